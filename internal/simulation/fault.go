package simulation

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind identifies a kind of fault, in traces and in encoded outcomes.
type FaultKind string

// Faults of processes and of the network between them.
const (
	FaultPause     FaultKind = "pause"   // a process stops for a while, and then continues where it stopped
	FaultKill      FaultKind = "kill"    // a process ends, and later restarts with the synced state of its disk
	FaultWipe      FaultKind = "wipe"    // a process ends, and later restarts with an empty disk
	FaultOneWay    FaultKind = "oneway"  // messages from one process to another are lost
	FaultIsolate   FaultKind = "cut"     // a process is isolated from all others
	FaultPartition FaultKind = "split"   // the processes whose bits are set in Target are isolated from the others
	FaultLoss      FaultKind = "loss"    // a fraction of all messages is lost
	FaultDelay     FaultKind = "storm"   // messages are delayed, duplicated and reordered
	FaultSync      FaultKind = "sync"    // the next sync of a process's disk fails
	FaultRevoke    FaultKind = "revoke"  // an operator revokes a lease
	FaultLeave     FaultKind = "leave"   // a process shuts down gracefully, and later restarts
	FaultKillAll   FaultKind = "killall" // all processes end at once, and later restart one after the other
	FaultReplace   FaultKind = "replace" // an operator replaces a voter's former identity by its new one
)

// Fault is one fault of a run. At is the virtual time since the start of the run.
type Fault struct {
	At       time.Duration `json:"at"`
	Kind     FaultKind     `json:"kind"`
	Target   int           `json:"p"`           // index of a process or zone; for FaultPartition a bit set of processes
	Peer     int           `json:"q,omitempty"` // index of another process, a lease or another zone
	Duration time.Duration `json:"for,omitempty"`
}

// String returns the fault in the format of the trace.
func (f Fault) String() string {
	return fmt.Sprintf("%7.3fs %-8s p=%d q=%d for %.3fs", f.At.Seconds(), f.Kind, f.Target, f.Peer, f.Duration.Seconds())
}

// drawFaults draws random faults between the times from and until, for a fleet whose first processes are the voters. It returns them sorted
// by time.
func drawFaults(rng *rand.Rand, voters, processes int, from, until time.Duration) []Fault {
	var all []Fault
	wiped := 0
	for n := 3 + rng.IntN(14); n > 0; n-- {
		fault := Fault{At: from + time.Duration(rng.Int64N(int64(until-from))), Target: rng.IntN(processes), Peer: rng.IntN(processes)}
		fault.Duration = time.Duration(50+rng.IntN(4000)) * time.Millisecond
		fault.Kind = faultKindForDraw(rng.IntN(100))
		switch fault.Kind {
		case FaultPartition:
			fault.Target = 1 + rng.IntN(1<<processes-2)
		case FaultSync:
			fault.Target = rng.IntN(voters)
		case FaultWipe:
			// A majority of the disks must survive: a group that has lost most of its disks cannot know which writes it has acknowledged.
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

// faultKindForDraw maps a random number, 0 to 99, to a kind of fault.
func faultKindForDraw(draw int) FaultKind {
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
