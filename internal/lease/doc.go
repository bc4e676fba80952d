// Package lease implements leases with fencing tokens. It contains the replicated state of sessions, leases and their queues
// ([StateMachine]), the leader's session deadlines ([Lessor]), and the client side of a session ([Client]). It has no I/O, clock or
// goroutine: the caller passes in events and readings of its monotonic clock, and gets back commands, requests and responses. Its types
// are not safe for concurrent use.
//
// # Safety
//
// No two sessions act on an exclusive lease at the same time, as long as the rate of every clock stays within Timing.MaxClockDrift of true
// time:
//
//   - [Client] counts its validity from before it sent a keepalive, for Timing.ClientTTL.
//   - [Lessor] starts a session's Timing.TTL only after a majority has confirmed that the Lessor's process is still the leader.
//   - A new leader keeps every live session for a whole TTL.
//   - ClientTTL is shorter than TTL by enough to cover a slow clock at the client together with a fast clock at the leader.
//
// A holder that was paused for longer than its ClientTTL finds by its own clock that it may no longer act. Requests that it sent before
// carry a smaller fencing token than those of the next holder. The proof is in docs/design/lease.md.
package lease
