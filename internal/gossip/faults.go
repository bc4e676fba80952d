package gossip

// InjectedFault is a deliberate fault in the protocol. Tests inject a fault to verify that they detect it.
type InjectedFault string

// The faults that can be injected.
const (
	NoFault               InjectedFault = ""
	FaultLastArrivalWins  InjectedFault = "arrival-decides" // the entry that arrives last wins, as with unsynchronized clocks
	FaultDropTombstones   InjectedFault = "forget-deleted"  // a tombstone is removed as soon as it is merged
	FaultSkipDigestRanges InjectedFault = "leave-out-range" // digests omit a third of the leaves
	FaultPartialMerge     InjectedFault = "half-a-piece"    // half of the entries of a reply are merged, but all are treated as merged
)

// InjectedFaults lists all faults except NoFault.
var InjectedFaults = []InjectedFault{FaultLastArrivalWins, FaultDropTombstones, FaultSkipDigestRanges, FaultPartialMerge}
