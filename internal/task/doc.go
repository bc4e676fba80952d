// Package task decides about work that is done once for a whole fleet: which slot of a task is due, whether it may be begun, and what
// becomes of a slot whose process died. [Registry] is replicated by the consensus log; [Spec] and [Runner] are the side of the process
// that holds the task's lease. There is no I/O, clock or goroutine here, and no type is safe for concurrent use.
//
// A slot of a task that is not idempotent runs at most once: its request is sent only by the process whose fencing token began it, and a
// slot that another began is finished as OutcomeUnknown. An idempotent task may be run again, one with an idempotency key as long as the
// servers remember the key.
package task
