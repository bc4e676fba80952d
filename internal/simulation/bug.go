package simulation

import (
	"slices"

	"sorrelrudder/internal/gossip"
)

// InjectedBug is a deliberate mistake in the code under test. The observer must report a violation of an invariant because of it.
type InjectedBug string

// Bugs in leases and tasks.
const (
	BugNone              InjectedBug = ""             // no bug is injected
	BugLongTTL           InjectedBug = "margin"       // holders assume a longer TTL than the consensus group
	BugStaleDisk         InjectedBug = "token-reuse"  // a restarted process votes with an older copy of its disk
	BugNoSync            InjectedBug = "no-sync"      // messages are sent before the state they depend on is synced to disk
	BugNoLeaseGrace      InjectedBug = "hurry"        // a new leader expires existing leases before a full TTL has passed
	BugWallClock         InjectedBug = "wall"         // the leader expires leases by a wall clock, which is adjusted occasionally
	BugUnconfirmedLeader InjectedBug = "lax"          // a leader renews leases without a quorum's confirmation that it still leads
	BugEarlyCompletion   InjectedBug = "early-finish" // a slot is recorded as done before its response has arrived
	BugNoFencing         InjectedBug = "unfenced"     // the resource ignores fencing tokens
)

// Bugs in zone failover.
const (
	BugLocalRanking            InjectedBug = "own-rank"         // each process ranks the servers of a zone in a different order
	BugMinorityDecides         InjectedBug = "minority-decides" // a process that cannot reach the consensus group decides on its own
	BugWallClockRamp           InjectedBug = "wall-return"      // a recovery ramp is paced by a wall clock
	BugNoRelapse               InjectedBug = "no-way-back"      // a failed recovery is not reversed
	BugRampIgnoresChecks       InjectedBug = "blind-steps"      // a recovery ramp ignores the zone checks
	BugIgnoreRemainingCapacity InjectedBug = "two-at-once"      // the capacity of the remaining zones is ignored
	BugCommandRepeated         InjectedBug = "word-repeated"    // each duplicate of an operator's command is applied again
	BugNoWarmUp                InjectedBug = "warm-at-once"     // a zone counts as warmed up as soon as its ramp reaches the last step
)

var (
	leaseBugs = []InjectedBug{
		BugLongTTL, BugStaleDisk, BugNoSync, BugNoLeaseGrace, BugWallClock, BugUnconfirmedLeader, BugEarlyCompletion, BugNoFencing,
	}
	zoneBugs = []InjectedBug{
		BugLocalRanking, BugMinorityDecides, BugWallClockRamp, BugNoRelapse, BugRampIgnoresChecks, BugIgnoreRemainingCapacity, BugCommandRepeated, BugNoWarmUp,
	}
)

// InjectedBugs lists all bugs except BugNone.
var InjectedBugs = slices.Concat(leaseBugs, gossipBugs(), zoneBugs)

// gossipBugs returns the faults that the gossip package can inject, as bugs of the same names.
func gossipBugs() []InjectedBug {
	var all []InjectedBug
	for _, fault := range gossip.InjectedFaults {
		all = append(all, InjectedBug(fault))
	}
	return all
}

// NeedsSharedState reports whether the bug has an effect only in runs with Options.SharedState.
func (b InjectedBug) NeedsSharedState() bool {
	return slices.Contains(gossipBugs(), b) || b.NeedsZoneFailover()
}

// NeedsZoneFailover reports whether the bug has an effect only in runs with Options.ZoneFailover.
func (b InjectedBug) NeedsZoneFailover() bool { return slices.Contains(zoneBugs, b) }
