// Package lease decides who may act: it holds the replicated state of sessions, leases and their queues, the leader's deadlines of
// sessions, and a process's own view of how long it may act. It has no I/O, clock or goroutine: events and the readings of the caller's
// monotonic clock go in, decisions come out. Its types are not safe for concurrent use.
//
// # Safety
//
// Two sessions never act on one exclusive lease at once, as long as no clock's rate is further from true time than Timing.MaxClockDrift:
//
//   - [Client] counts from before it sent a keepalive, and for Timing.ClientTTL.
//   - [Lessor] counts from after a majority has confirmed that its process still leads, and for Timing.TTL.
//   - A new leader lets every session that it finds live for a whole TTL.
//   - ClientTTL is so much shorter than TTL that a slow clock at the client and a fast one at the leader can't turn one into the other.
//
// A holder that is paused beyond its ClientTTL finds out by its own clock that it may no longer act. What it sent before carries a
// fencing token that is smaller than the one of the next holder. The proof is in docs/design/lease.md.
package lease
