package gossip

// InjectedFault is a deliberate mistake in the protocol. Tests inject one to see that they find it.
type InjectedFault string

// The faults.
const (
	NoFault               InjectedFault = ""
	FaultLastArrivalWins  InjectedFault = "arrival-decides" // the last entry to arrive wins, as with unsynchronized clocks
	FaultDropTombstones   InjectedFault = "forget-deleted"  // a tombstone is dropped as soon as it is merged
	FaultSkipDigestRanges InjectedFault = "leave-out-range" // digests leave out a third of the leaves
	FaultPartialMerge     InjectedFault = "half-a-piece"    // half of a reply's entries are merged, and all taken for known
)

// InjectedFaults are all faults but NoFault.
var InjectedFaults = []InjectedFault{FaultLastArrivalWins, FaultDropTombstones, FaultSkipDigestRanges, FaultPartialMerge}
