package simulation

import "sorrelrudder/internal/consensus"

// eventTexts are the texts of consensus events in a trace. The hash of a run includes them, so they must not change.
var eventTexts = map[consensus.EventKind]string{
	consensus.EventLeaderElected:        "the council has a leader",
	consensus.EventLeaderUnknown:        "the council has no leader that this process knows of",
	consensus.EventConfigurationChanged: "the council's members",
	consensus.EventSnapshotRestored:     "the council's state taken over",
	consensus.EventVoterChanged:         "a seat of the council",
	consensus.EventDecision:             "an order",
	consensus.EventSessionOpened:        "a session",
	consensus.EventSessionExpired:       "a session has ended",
	consensus.EventLeaseGranted:         "a lease",
	consensus.EventLeaseTransferred:     "a lease: pass",
	consensus.EventLeaseRevoked:         "a lease: revoke",
	consensus.EventLeaseReclaimed:       "a lease: free",
}
