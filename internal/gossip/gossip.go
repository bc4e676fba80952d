// Package gossip replicates a small amount of state among many processes without a leader: the entries that each member writes and
// the decisions of consensus. It detects failed members (SWIM, with the local health of Lifeguard), disseminates updates as rumors,
// and finds differences between replicas by anti-entropy over digest trees. The package has no I/O, clock or goroutines: the caller
// passes in messages and the time of its own monotonic clock, and sends the messages that are returned. Messages may be lost,
// duplicated, delayed and reordered.
//
// All replicas merge entries by the same rules:
//
//   - Of each owner, only the entries of the newest incarnation count. Incarnations up to the reaped one do not count.
//   - Of each key within the incarnation, the entry with the largest sequence number wins.
//   - Two different values of the same version are both kept as siblings, and readers use the more restrictive value. A correct
//     process never writes two values of the same version.
//
// A merge is therefore the least upper bound in a lattice: commutative, associative and idempotent. The result depends neither on
// the order of the messages nor on clocks.
package gossip

import "time"

// Config is the configuration of one node.
type Config struct {
	Name           string        // name of this process
	Members        []string      // names of all members, including this process
	Kinds          []string      // kinds of keys that members write
	DecidedKinds   []string      // kinds of keys that consensus decides
	GossipInterval time.Duration // time between two rounds of rumors
	Fanout         int           // number of members that receive the rumors of a round
	PingInterval   time.Duration // protocol period of SWIM, in which one member is pinged
	SyncInterval   time.Duration // mean time between two anti-entropy exchanges that this process starts
	DeadRetention  time.Duration // how long the entries of a dead member are kept
	CatchUpBudget  float64       // bytes of entries per second for members that catch up
	Seed           uint64        // seed of the random number generator
	Fault          InjectedFault // NoFault, except in tests of the test suite
}

// DefaultConfig returns a configuration for a fleet within one region. The caller sets the name, members, kinds and seed.
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

// MemberEvent is a change of a member's state in the view of this process.
type MemberEvent struct {
	Name     string
	From, To State
}

// Stats are the counters of a node since it started.
type Stats struct {
	Suspicions      int `json:"Suspicions"` // members that this process has started to suspect by its own pings
	Refutations     int `json:"Objections"` // received states of this process as suspect, dead or left that it has refuted
	Deaths          int `json:"Deaths"`     // members that became dead in the view of this process
	Syncs           int `json:"Syncs"`      // anti-entropy exchanges started by this process
	SyncsEqual      int `json:"Equal"`      // started exchanges that found no difference
	CatchUpBytes    int `json:"Helped"`     // bytes of entries sent to members that catch up
	CatchUpRejected int `json:"Turned"`     // requests of members that catch up, rejected because the budget was exhausted
}
