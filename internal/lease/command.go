package lease

// Op is the operation of a [Command]. Its values are stored in the replicated log.
type Op string

// Operations of sessions and leases.
const (
	OpOpen     Op = "open"    // opens a session of Member, identified by Nonce
	OpAcquire  Op = "acquire" // grants the lease Name, or queues the session for it
	OpRelease  Op = "release" // releases the lease Name, or leaves its queue
	OpTransfer Op = "pass"    // transfers the lease Name to the member To, ahead of its queue
	OpClose    Op = "close"   // ends the session and releases all its leases
	OpExpire   Op = "expire"  // ends a session that the leader's Lessor found expired
	OpRevoke   Op = "revoke"  // revokes the lease Name from its holders on behalf of an operator
	OpReclaim  Op = "free"    // frees a revoked lease; the leader proposes it once the former holder can no longer act
)

// Command is a change of the [StateMachine]. Commands are stored in the replicated log and applied by [StateMachine.Apply].
type Command struct {
	Op     Op     `json:"op"`
	Member string `json:"member,omitempty"`
	// Nonce identifies one opening of a session by one start of a process (OpOpen).
	Nonce string `json:"nonce,omitempty"`
	// KnownLastID is StateMachine.LastID as the sender read it before it sent the command (OpOpen). It identifies a late copy of the command.
	KnownLastID uint64 `json:"after,omitempty"`
	SessionID   uint64 `json:"session,omitempty"`
	// Seq numbers the commands of a session from 1. A command that is sent again keeps its number.
	Seq  uint64 `json:"seq,omitempty"`
	Name string `json:"name,omitempty"`
	// Limit is the number of sessions that may hold the lease at once (OpAcquire).
	Limit int `json:"limit,omitempty"`
	// Wait queues the session if the lease is not free (OpAcquire).
	Wait bool `json:"wait,omitempty"`
	// To is the member that receives the lease (OpTransfer).
	To string `json:"to,omitempty"`
	// Token is the fencing token of the grant to release, transfer, revoke or reclaim. 0 stands for any grant of the lease, except in
	// OpReclaim.
	Token uint64 `json:"token,omitempty"`
}

// Refusal is the reason why a command or a keepalive was refused, empty if it was not. Its values are stored in snapshots and sent to
// other processes.
type Refusal string

// Reasons for refusing a command or a keepalive.
const (
	RefusedNoSession     Refusal = "no such session"              // closed, expired (or the expiry was proposed), or never existed
	RefusedSuperseded    Refusal = "another process has the name" // a later session of the same member exists
	RefusedLimitReached  Refusal = "no room"                      // MaxSessions, MaxLeases or MaxWaitersPerLease is reached
	RefusedHeld          Refusal = "held by others"
	RefusedLimitMismatch Refusal = "in use with another limit"
	RefusedNotHeld       Refusal = "not held by this session"
	RefusedUnknownMember Refusal = "no such member"
	RefusedStale         Refusal = "asked too long ago" // a late copy, or a command whose result is no longer kept
	RefusedMalformed     Refusal = "malformed"
)

// Result is the outcome of a command. A command that is sent again has the result of its first application, which may be out of date.
type Result struct {
	Refusal   Refusal `json:"why,omitempty"` // empty: it was applied
	SessionID uint64  `json:"session,omitempty"`
	// Token is the fencing token of the lease if the session held it right after the command (OpAcquire). 0: the session did not hold it.
	Token uint64 `json:"token,omitempty"`
	// QueuePosition is the session's place in the queue right after the command (OpAcquire), from 1. 0: the session was not in the queue.
	QueuePosition int `json:"place,omitempty"`
	// Version and PreviousVersion are Session.Version after and before the command.
	Version         uint64 `json:"version,omitempty"`
	PreviousVersion uint64 `json:"before,omitempty"`
}

// Request is sent by a [Client] to the leader. It carries a command; a request without one is a keepalive of the session.
type Request struct {
	ID        uint64 `json:"id"` // copied to the response
	Member    string `json:"member"`
	SessionID uint64 `json:"session,omitempty"`
	// KnownVersion is the version of the client's holdings (keepalive).
	KnownVersion uint64   `json:"have,omitempty"`
	Command      *Command `json:"command,omitempty"`
}

// Response answers a [Request].
type Response struct {
	ID uint64 `json:"id"`
	// Refusal is why a keepalive was refused.
	Refusal Refusal `json:"why,omitempty"`
	// LastID is StateMachine.LastID. A client without a session uses it as the KnownLastID of its next OpOpen.
	LastID uint64 `json:"last,omitempty"`
	// Result is the result of a command.
	Result *Result `json:"result,omitempty"`
	// Holdings is set in the response to a keepalive whose KnownVersion is out of date.
	Holdings *Holdings `json:"listing,omitempty"`
}

// Holdings are the leases of a session at one version.
type Holdings struct {
	Version uint64            `json:"version"` // a larger one replaces a smaller one
	Tokens  map[string]uint64 `json:"holds,omitempty"`
}
