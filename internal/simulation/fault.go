package simulation

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind says what goes wrong.
type FaultKind string

// The faults of processes and their network.
const (
	FaultPause     FaultKind = "pause"   // a process stands still for a while, and goes on as if nothing had happened
	FaultKill      FaultKind = "kill"    // a process ends, and restarts after a while with what its disk had synced
	FaultWipe      FaultKind = "wipe"    // the same, with an empty disk
	FaultOneWay    FaultKind = "oneway"  // messages from one process to another are lost
	FaultIsolate   FaultKind = "cut"     // one process is isolated from all others
	FaultPartition FaultKind = "split"   // the processes whose bits are set are isolated from the others
	FaultLoss      FaultKind = "loss"    // a fraction of all messages is lost
	FaultDelay     FaultKind = "storm"   // messages are delayed, duplicated and reordered
	FaultSync      FaultKind = "sync"    // the next sync of a process' disk fails
	FaultRevoke    FaultKind = "revoke"  // an operator revokes a lease
	FaultLeave     FaultKind = "leave"   // a process shuts down in order, and restarts after a while
	FaultKillAll   FaultKind = "killall" // all processes end at once, and restart one after the other
	FaultReplace   FaultKind = "replace" // an operator makes the new identity of a process a voter
)

// Fault is one thing that goes wrong.
type Fault struct {
	At       time.Duration `json:"at"`
	Kind     FaultKind     `json:"kind"`
	Target   int           `json:"p"`           // a process, a zone, or a process' bit each
	Peer     int           `json:"q,omitempty"` // another process, a lease or a zone
	Duration time.Duration `json:"for,omitempty"`
}

// String returns the fault as the trace has it.
func (f Fault) String() string {
	return fmt.Sprintf("%7.3fs %-8s p=%d q=%d for %.3fs", f.At.Seconds(), f.Kind, f.Target, f.Peer, f.Duration.Seconds())
}

// drawFaults draws faults among so many processes, of which the first ones are voters, in the order of their times.
func drawFaults(rng *rand.Rand, voters, processes int, from, until time.Duration) []Fault {
	var all []Fault
	wiped := 0
	for n := 3 + rng.IntN(14); n > 0; n-- {
		fault := Fault{At: from + time.Duration(rng.Int64N(int64(until-from))), Target: rng.IntN(processes), Peer: rng.IntN(processes)}
		fault.Duration = time.Duration(50+rng.IntN(4000)) * time.Millisecond
		fault.Kind = faultKindOf(rng.IntN(100))
		switch fault.Kind {
		case FaultPartition:
			fault.Target = 1 + rng.IntN(1<<processes-2)
		case FaultSync:
			fault.Target = rng.IntN(voters)
		case FaultWipe:
			// A group that has lost most of its disks cannot know what it has acknowledged: no fault does that.
			if wiped >= (voters-1)/2 {
				continue
			}
			wiped++
			fault.Target = rng.IntN(voters)
			all = append(all, Fault{At: fault.At + fault.Duration + time.Second, Kind: FaultReplace, Target: fault.Target})
		}
		all = append(all, fault)
	}
	slices.SortStableFunc(all, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return all
}

// faultKindOf returns the kind of a draw below 100.
func faultKindOf(draw int) FaultKind {
	switch {
	case draw < 18:
		return FaultPause
	case draw < 34:
		return FaultKill
	case draw < 40:
		return FaultLeave
	case draw < 52:
		return FaultOneWay
	case draw < 62:
		return FaultIsolate
	case draw < 72:
		return FaultPartition
	case draw < 80:
		return FaultLoss
	case draw < 88:
		return FaultDelay
	case draw < 91:
		return FaultSync
	case draw < 94:
		return FaultRevoke
	case draw < 96:
		return FaultKillAll
	}
	return FaultWipe
}
