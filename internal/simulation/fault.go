// Package simulation plays fleets in virtual time: the cores of the council, the leases and the tasks as they are, on a network, on disks and
// on clocks that a seed makes fail. An observer that knows nothing of the cores' state says what must not be. Equal seeds give equal
// runs, byte for byte, in one process at a time.
package simulation

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sorrelrudder/internal/gossip"
)

// FaultKind is what goes wrong.
type FaultKind string

// The kinds of faults.
const (
	FaultPause     FaultKind = "pause"   // a process stands still for a while, and goes on as if nothing had been
	FaultKill      FaultKind = "kill"    // a process ends, and starts again after a while with what its disk had synced
	FaultWipe      FaultKind = "wipe"    // the same, and the disk is new
	FaultOneWay    FaultKind = "oneway"  // nothing gets from one process to another
	FaultIsolate   FaultKind = "cut"     // one process is cut off from all others
	FaultPartition FaultKind = "split"   // the processes with the bits set are cut off from the others
	FaultLoss      FaultKind = "loss"    // a share of all messages is lost
	FaultDelay     FaultKind = "storm"   // messages are late, doubled and overtake each other
	FaultSync      FaultKind = "sync"    // the next sync of a process' disk fails
	FaultRevoke    FaultKind = "revoke"  // an operator revokes a lease
	FaultLeave     FaultKind = "leave"   // a process ends in order, and starts again after a while
	FaultKillAll   FaultKind = "killall" // all processes end at once, and start again one after the other
	FaultReplace   FaultKind = "replace" // an operator has the new identity of a process vote
)

// Fault is one thing that goes wrong.
type Fault struct {
	At       time.Duration `json:"at"`
	Kind     FaultKind     `json:"kind"`
	Target   int           `json:"p"`           // the process, or bits
	Peer     int           `json:"q,omitempty"` // another
	Duration time.Duration `json:"for,omitempty"`
}

func (f Fault) String() string {
	return fmt.Sprintf("%7.3fs %-8s p=%d q=%d for %.3fs", f.At.Seconds(), f.Kind, f.Target, f.Peer, f.Duration.Seconds())
}

// draw draws the faults of a run among voters that vote and processes in all.
func draw(rng *rand.Rand, voters, processes int, from, to time.Duration) []Fault {
	var all []Fault
	wiped := 0
	for n := 3 + rng.IntN(14); n > 0; n-- {
		f := Fault{At: from + time.Duration(rng.Int64N(int64(to-from))), Target: rng.IntN(processes), Peer: rng.IntN(processes)}
		f.Duration = time.Duration(50+rng.IntN(4000)) * time.Millisecond
		switch d := rng.IntN(100); {
		case d < 18:
			f.Kind = FaultPause
		case d < 34:
			f.Kind = FaultKill
		case d < 40:
			f.Kind = FaultLeave
		case d < 52:
			f.Kind = FaultOneWay
		case d < 62:
			f.Kind = FaultIsolate
		case d < 72:
			f.Kind, f.Target = FaultPartition, 1+rng.IntN(1<<processes-2)
		case d < 80:
			f.Kind = FaultLoss
		case d < 88:
			f.Kind = FaultDelay
		case d < 91:
			f.Kind, f.Target = FaultSync, rng.IntN(voters)
		case d < 94:
			f.Kind = FaultRevoke
		case d < 96:
			f.Kind = FaultKillAll
		default:
			// Of a council that has lost the disks of most nobody can know any more what was promised: that is not played.
			if wiped >= (voters-1)/2 {
				continue
			}
			wiped++
			f.Kind, f.Target = FaultWipe, rng.IntN(voters)
			all = append(all, Fault{At: f.At + f.Duration + time.Second, Kind: FaultReplace, Target: f.Target})
		}
		all = append(all, f)
	}
	slices.SortStableFunc(all, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return all
}

// InjectedBug is a mistake that is made on purpose: the explorer has to find it.
type InjectedBug string

// The mistakes that can be planted, to see that the observer finds them.
const (
	BugNone              InjectedBug = ""
	BugLongTTL           InjectedBug = "margin"       // holders reckon with a term longer than the council's
	BugStaleDisk         InjectedBug = "token-reuse"  // a process starts again with an older copy of its disk, and votes
	BugNoSync            InjectedBug = "no-sync"      // promises are sent before they are on the disk
	BugNoLeaseGrace      InjectedBug = "hurry"        // a new leader does not let what it finds live a whole term
	BugWallClock         InjectedBug = "wall"         // the council's leader judges by a wall clock, which is set now and then
	BugUnconfirmedLeader InjectedBug = "lax"          // a leader renews without asking a majority whether it still leads
	BugEarlyCompletion   InjectedBug = "early-finish" // a slot is written down as done before its answer has come
	BugNoFencing         InjectedBug = "unfenced"     // the resource does not look at tokens
)

// InjectedBugs are all mistakes that can be planted.
var InjectedBugs = slices.Concat([]InjectedBug{BugLongTTL, BugStaleDisk, BugNoSync, BugNoLeaseGrace, BugWallClock, BugUnconfirmedLeader, BugEarlyCompletion, BugNoFencing}, ofCopies(), zonePlants)

// ofCopies are those of the state that processes share; they are looked for in runs with Copies.
func ofCopies() (all []InjectedBug) {
	for _, p := range gossip.InjectedFaults {
		all = append(all, InjectedBug(p))
	}
	return all
}

// NeedsSharedState reports whether a mistake is one of the shared state.
func (p InjectedBug) NeedsSharedState() bool {
	return slices.Contains(ofCopies(), p) || p.NeedsZoneFailover()
}
