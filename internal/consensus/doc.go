// Package consensus replicates one state over the processes of a fleet: who votes, who holds which lease, which slots of tasks have been
// begun, and what operators and the zone failover have decided. The log and the elections are those of go.etcd.io/raft; this package
// decides what is proposed, applies what is committed, answers the requests, and changes the voters.
//
// It has no I/O, clock or goroutine: what has to be durable goes to a [Storage], messages come and go as values, and the caller tells the
// time by its monotonic clock. The types are not safe for concurrent use.
//
// A request takes this way: [LeaderTracker] picks the process to ask; [Node.Submit] puts a command into the log, or a keepalive or read
// into the next batch that a majority confirms; [Node.Process] returns the answer once it is committed and applied.
package consensus
