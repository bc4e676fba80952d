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

// Kind is what goes wrong.
type Kind string

// The kinds of faults.
const (
	Pause   Kind = "pause"   // a process stands still for a while, and goes on as if nothing had been
	Kill    Kind = "kill"    // a process ends, and starts again after a while with what its disk had synced
	Wipe    Kind = "wipe"    // the same, and the disk is new
	Oneway  Kind = "oneway"  // nothing gets from one process to another
	Cut     Kind = "cut"     // one process is cut off from all others
	Split   Kind = "split"   // the processes with the bits set are cut off from the others
	Loss    Kind = "loss"    // a share of all messages is lost
	Storm   Kind = "storm"   // messages are late, doubled and overtake each other
	Sync    Kind = "sync"    // the next sync of a process' disk fails
	Revoke  Kind = "revoke"  // an operator revokes a lease
	Leave   Kind = "leave"   // a process ends in order, and starts again after a while
	KillAll Kind = "killall" // all processes end at once, and start again one after the other
	Replace Kind = "replace" // an operator has the new identity of a process vote
)

// Fault is one thing that goes wrong.
type Fault struct {
	At   time.Duration `json:"at"`
	Kind Kind          `json:"kind"`
	P    int           `json:"p"`           // the process, or bits
	Q    int           `json:"q,omitempty"` // another
	For  time.Duration `json:"for,omitempty"`
}

func (f Fault) String() string {
	return fmt.Sprintf("%7.3fs %-8s p=%d q=%d for %.3fs", f.At.Seconds(), f.Kind, f.P, f.Q, f.For.Seconds())
}

// draw draws the faults of a run among voters that vote and processes in all.
func draw(rng *rand.Rand, voters, processes int, from, to time.Duration) []Fault {
	var all []Fault
	wiped := 0
	for n := 3 + rng.IntN(14); n > 0; n-- {
		f := Fault{At: from + time.Duration(rng.Int64N(int64(to-from))), P: rng.IntN(processes), Q: rng.IntN(processes)}
		f.For = time.Duration(50+rng.IntN(4000)) * time.Millisecond
		switch d := rng.IntN(100); {
		case d < 18:
			f.Kind = Pause
		case d < 34:
			f.Kind = Kill
		case d < 40:
			f.Kind = Leave
		case d < 52:
			f.Kind = Oneway
		case d < 62:
			f.Kind = Cut
		case d < 72:
			f.Kind, f.P = Split, 1+rng.IntN(1<<processes-2)
		case d < 80:
			f.Kind = Loss
		case d < 88:
			f.Kind = Storm
		case d < 91:
			f.Kind, f.P = Sync, rng.IntN(voters)
		case d < 94:
			f.Kind = Revoke
		case d < 96:
			f.Kind = KillAll
		default:
			// Of a council that has lost the disks of most nobody can know any more what was promised: that is not played.
			if wiped >= (voters-1)/2 {
				continue
			}
			wiped++
			f.Kind, f.P = Wipe, rng.IntN(voters)
			all = append(all, Fault{At: f.At + f.For + time.Second, Kind: Replace, P: f.P})
		}
		all = append(all, f)
	}
	slices.SortStableFunc(all, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return all
}

// Plant is a mistake that is made on purpose: the explorer has to find it.
type Plant string

// The mistakes that can be planted, to see that the observer finds them.
const (
	None        Plant = ""
	Margin      Plant = "margin"       // holders reckon with a term longer than the council's
	TokenReuse  Plant = "token-reuse"  // a process starts again with an older copy of its disk, and votes
	NoSync      Plant = "no-sync"      // promises are sent before they are on the disk
	Hurry       Plant = "hurry"        // a new leader does not let what it finds live a whole term
	Wall        Plant = "wall"         // the council's leader judges by a wall clock, which is set now and then
	Lax         Plant = "lax"          // a leader renews without asking a majority whether it still leads
	EarlyFinish Plant = "early-finish" // a slot is written down as done before its answer has come
	Unfenced    Plant = "unfenced"     // the resource does not look at tokens
)

// Plants are all mistakes that can be planted.
var Plants = slices.Concat([]Plant{Margin, TokenReuse, NoSync, Hurry, Wall, Lax, EarlyFinish, Unfenced}, ofCopies(), zonePlants)

// ofCopies are those of the state that processes share; they are looked for in runs with Copies.
func ofCopies() (all []Plant) {
	for _, p := range gossip.InjectedFaults {
		all = append(all, Plant(p))
	}
	return all
}

// OfCopies reports whether a mistake is one of the shared state.
func (p Plant) OfCopies() bool { return slices.Contains(ofCopies(), p) || p.OfZones() }
