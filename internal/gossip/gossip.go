// Package gossip replicates small state among many processes without a leader: what each member writes of what it sees, and
// what consensus has decided. It detects failures of members (SWIM, with Lifeguard's local health), spreads news as rumors,
// finds differences between replicas by anti-entropy over digest trees, and merges entries by one rule. It has no I/O, clock or
// goroutine: messages and the time of the caller's own monotonic clock go in, messages come out, which may be lost, duplicated,
// delayed and reordered.
//
// The merge rule, in full: of one owner only the entries of its newest incarnation count, and none up to the one that was
// reaped; within it, of each key the larger sequence number wins. Two values of one and the same version, which no correct
// process can write, are both kept as siblings, and readers take the more careful of them. So a merge is the least upper bound
// of a lattice, commutative, associative and idempotent: the order of messages does not matter, and no clock has a part in it.
package gossip

import "time"

// Config is what one process is configured with.
type Config struct {
	Name           string        // of this process
	Members        []string      // names of all members, this process included
	Kinds          []string      // kinds of keys that members write
	DecidedKinds   []string      // kinds of keys that consensus decides
	GossipInterval time.Duration // between two rounds of rumors
	Fanout         int           // members that a round goes to
	PingInterval   time.Duration // SWIM's protocol period: one member is pinged in each
	SyncInterval   time.Duration // mean time between two anti-entropy exchanges that this process starts
	DeadRetention  time.Duration // how long the entries of a dead member are kept
	CatchUpBudget  float64       // bytes a second of entries for members that catch up
	Seed           uint64        // of all random draws
	Fault          InjectedFault // NoFault but in tests of the tests
}

// DefaultConfig has intervals that suit a fleet within one region. Name, members, kinds and seed are left to the caller.
func DefaultConfig() Config {
	return Config{
		GossipInterval: 100 * time.Millisecond,
		Fanout:         3,
		PingInterval:   500 * time.Millisecond,
		SyncInterval:   2 * time.Second,
		DeadRetention:  30 * time.Second,
		CatchUpBudget:  1 << 20,
	}
}

// Envelope is a message with its recipient.
type Envelope struct {
	To      string
	Message *Message
}

// MemberEvent is a change of a member's state, as seen by this process.
type MemberEvent struct {
	Name     string
	From, To State
}

// Stats count what a node has done since it started.
type Stats struct {
	Suspicions      int `json:"Suspicions"` // members that this process itself began to suspect
	Refutations     int `json:"Objections"` // suspicions of this process that it refuted
	Deaths          int `json:"Deaths"`     // members declared dead here
	Syncs           int `json:"Syncs"`      // anti-entropy exchanges started here
	SyncsEqual      int `json:"Equal"`      // of them those that found no difference
	CatchUpBytes    int `json:"Helped"`     // entries sent to members that catch up, in bytes
	CatchUpRejected int `json:"Turned"`     // their requests that were rejected for want of budget
}
