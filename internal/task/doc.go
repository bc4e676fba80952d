// Package task schedules work that is done once for a whole fleet. It decides which slot of a task is due, whether the slot may be begun,
// and what happens to an open slot of a process that has died. [Registry] is replicated by the consensus log. [Spec] and [Runner] are used
// by the process that holds the task's lease. The package has no I/O, clock or goroutine, and its types are not safe for concurrent use.
//
// A slot of a task that is not idempotent runs at most once: only the process whose fencing token began the slot sends its request, and a
// slot that another process began is finished as OutcomeUnknown. A slot of an idempotent task may be run again. A slot of a task with
// idempotency keys may be run again as long as the servers remember the key.
package task
