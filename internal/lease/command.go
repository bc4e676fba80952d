package lease

// Op is the operation of a [Command]. Its values are stored in the replicated log.
type Op string

// Operations of sessions and leases.
const (
	OpOpen     Op = "open"    // opens a session of Member, identified by Nonce
	OpAcquire  Op = "acquire" // grants the lease Name, or queues the session for it
	OpRelease  Op = "release" // gives back the lease Name, or the place in its queue
	OpTransfer Op = "pass"    // gives the lease Name to the member To, ahead of its queue
	OpClose    Op = "close"   // ends the session and releases all that it has
	OpExpire   Op = "expire"  // OpClose on behalf of the leader, whose Lessor found the session expired
	OpRevoke   Op = "revoke"  // withdraws the lease Name from its holders on behalf of an operator
	OpReclaim  Op = "free"    // frees a revoked lease on behalf of the leader, once its holder has surely stopped
)

// Command changes the state. Commands are stored in the replicated log and applied by [StateMachine.Apply].
type Command struct {
	Op     Op     `json:"op"`
	Member string `json:"member,omitempty"`
	// Nonce identifies one opening of a session by one start of a process (OpOpen).
	Nonce string `json:"nonce,omitempty"`
	// KnownLastID is StateMachine.LastID as the sender read it before it asked (OpOpen). A late copy of the command is told by it.
	KnownLastID uint64 `json:"after,omitempty"`
	SessionID   uint64 `json:"session,omitempty"`
	// Seq numbers the commands of a session from 1. A command that is sent again keeps its number.
	Seq  uint64 `json:"seq,omitempty"`
	Name string `json:"name,omitempty"`
	// Limit is how many sessions may hold the lease at once (OpAcquire).
	Limit int `json:"limit,omitempty"`
	// Wait queues the session if the lease is not free (OpAcquire).
	Wait  bool   `json:"wait,omitempty"`
	To    string `json:"to,omitempty"`
	Token uint64 `json:"token,omitempty"`
}

// Refusal is the reason why a command or a keepalive was refused, empty if it was not. Its values are stored in snapshots and sent to
// other processes.
type Refusal string

// Reasons for refusing a command or a keepalive.
const (
	RefusedNoSession     Refusal = "no such session"              // it has expired, or another process of that name took its place
	RefusedSuperseded    Refusal = "another process has the name" // of two processes with one name, the one whose session was opened first
	RefusedLimitReached  Refusal = "no room"                      // one of the Max constants
	RefusedHeld          Refusal = "held by others"
	RefusedLimitMismatch Refusal = "in use with another limit"
	RefusedNotHeld       Refusal = "not held by this session"
	RefusedUnknownMember Refusal = "no such member"
	RefusedStale         Refusal = "asked too long ago" // a late copy, or its result is no longer kept
	RefusedMalformed     Refusal = "malformed"
)

// Result is the outcome of a command. A command that is sent again has the same result.
type Result struct {
	Refusal   Refusal `json:"why,omitempty"` // empty: it was applied
	SessionID uint64  `json:"session,omitempty"`
	// Token is the fencing token of the lease that is now held; 0: the session waits for it.
	Token uint64 `json:"token,omitempty"`
	// QueuePosition counts from 1; 0: the session does not wait.
	QueuePosition int `json:"place,omitempty"`
	// Version and PreviousVersion are Session.Version after and before the command.
	Version         uint64 `json:"version,omitempty"`
	PreviousVersion uint64 `json:"before,omitempty"`
}

// Request is sent by a [Client] to the leader: a command, or without one a keepalive of its session.
type Request struct {
	ID        uint64 `json:"id"` // the response bears it
	Member    string `json:"member"`
	SessionID uint64 `json:"session,omitempty"`
	// KnownVersion is the version of the holdings that the client has, in a keepalive.
	KnownVersion uint64   `json:"have,omitempty"`
	Command      *Command `json:"command,omitempty"`
}

// Response answers a [Request].
type Response struct {
	ID uint64 `json:"id"`
	// Refusal is why a keepalive was refused.
	Refusal Refusal `json:"why,omitempty"`
	// LastID answers a keepalive without a session: it is the KnownLastID of the next OpOpen.
	LastID uint64 `json:"last,omitempty"`
	// Result answers a command.
	Result *Result `json:"result,omitempty"`
	// Holdings answers a keepalive whose KnownVersion is out of date.
	Holdings *Holdings `json:"listing,omitempty"`
}

// Holdings are the leases of a session at one version.
type Holdings struct {
	Version uint64            `json:"version"` // a larger one replaces a smaller one
	Tokens  map[string]uint64 `json:"holds,omitempty"`
}
