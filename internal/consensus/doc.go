// Package consensus replicates the state of a fleet: who the voters are, who holds which lease, which slots (scheduled runs) of tasks
// have begun, and what operators and the zone failover have decided. The log and the elections are those of go.etcd.io/raft. This package
// decides what to propose, applies committed entries, answers requests, and changes the voters.
//
// A member is a process of the fleet, known by its name. A node is a member's part in the raft group, as a voter or a learner. A
// member need not have a node.
//
// It has no I/O, clock or goroutine. State that must be durable goes to a [Storage], messages are passed as values, and the caller passes
// in readings of its monotonic clock. The types are not safe for concurrent use.
//
// A request is processed in three steps. [LeaderTracker] picks the member to send it to. [Node.Submit] proposes a command to the log, or
// adds a keepalive or read to the next batch that a majority confirms. [Node.Process] returns the response once the command is committed
// and applied, or the batch confirmed.
package consensus
