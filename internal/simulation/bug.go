package simulation

import (
	"slices"

	"sorrelrudder/internal/gossip"
)

// InjectedBug is a deliberate mistake in the code under test, which the observer has to find.
type InjectedBug string

// The bugs of leases and tasks.
const (
	BugNone              InjectedBug = ""
	BugLongTTL           InjectedBug = "margin"       // holders take the TTL for longer than the consensus group does
	BugStaleDisk         InjectedBug = "token-reuse"  // a process restarts with an older copy of its disk, and votes
	BugNoSync            InjectedBug = "no-sync"      // messages are sent before the state that they rely on is synced
	BugNoLeaseGrace      InjectedBug = "hurry"        // a new leader lets the leases that it finds expire before a whole TTL
	BugWallClock         InjectedBug = "wall"         // the leader judges leases by a wall clock, which is set now and then
	BugUnconfirmedLeader InjectedBug = "lax"          // a leader renews leases without asking a quorum whether it still leads
	BugEarlyCompletion   InjectedBug = "early-finish" // a slot is recorded as done before its answer has come
	BugNoFencing         InjectedBug = "unfenced"     // the resource ignores fencing tokens
)

// The bugs of zone failover.
const (
	BugLocalRanking            InjectedBug = "own-rank"         // each process ranks the servers of a zone in an order of its own
	BugMinorityDecides         InjectedBug = "minority-decides" // a process that cannot reach the consensus group decides by itself
	BugWallClockRamp           InjectedBug = "wall-return"      // a recovery ramp is paced by a wall clock
	BugNoRelapse               InjectedBug = "no-way-back"      // a recovery that fails is not taken back
	BugRampIgnoresChecks       InjectedBug = "blind-steps"      // a recovery ramp ignores the zone checks
	BugIgnoreRemainingCapacity InjectedBug = "two-at-once"      // the capacity of the remaining zones is ignored
	BugCommandRepeated         InjectedBug = "word-repeated"    // an operator's command is applied as often as it arrives
	BugNoWarmUp                InjectedBug = "warm-at-once"     // a zone counts as warmed up with the last step of its ramp
)

var (
	leaseBugs = []InjectedBug{
		BugLongTTL, BugStaleDisk, BugNoSync, BugNoLeaseGrace, BugWallClock, BugUnconfirmedLeader, BugEarlyCompletion, BugNoFencing,
	}
	zoneBugs = []InjectedBug{
		BugLocalRanking, BugMinorityDecides, BugWallClockRamp, BugNoRelapse, BugRampIgnoresChecks, BugIgnoreRemainingCapacity, BugCommandRepeated, BugNoWarmUp,
	}
)

// InjectedBugs are all bugs but BugNone.
var InjectedBugs = slices.Concat(leaseBugs, gossipBugs(), zoneBugs)

// gossipBugs returns the bugs of gossip, by the names that they have there.
func gossipBugs() []InjectedBug {
	var all []InjectedBug
	for _, fault := range gossip.InjectedFaults {
		all = append(all, InjectedBug(fault))
	}
	return all
}

// NeedsSharedState reports whether the bug shows only in runs with Options.SharedState.
func (b InjectedBug) NeedsSharedState() bool {
	return slices.Contains(gossipBugs(), b) || b.NeedsZoneFailover()
}

// NeedsZoneFailover reports whether the bug shows only in runs with Options.ZoneFailover.
func (b InjectedBug) NeedsZoneFailover() bool { return slices.Contains(zoneBugs, b) }
