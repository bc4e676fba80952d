package task

// Outcome is the outcome of a slot. Its values are stored in snapshots.
type Outcome string

// Outcomes of a slot.
const (
	OutcomeDone     Outcome = "done"
	OutcomeRejected Outcome = "refused" // the slot certainly did not run; as the outcome of a request: the request did not run it
	OutcomeFailed   Outcome = "failed"  // a server answered that the slot failed
	OutcomeUnknown  Outcome = "unknown" // the slot may have run
)

// valid reports whether a slot can be finished with o.
func (o Outcome) valid() bool {
	switch o {
	case OutcomeDone, OutcomeRejected, OutcomeFailed, OutcomeUnknown:
		return true
	}
	return false
}

// Op is the operation of a [Command]. Its values are stored in the replicated log.
type Op string

// Operations on a task.
const (
	OpBegin   Op = "begin"  // opens a slot
	OpFinish  Op = "finish" // closes a slot with its outcome
	OpTrigger Op = "call"   // makes the next slot due now, on request of an operator
)

// Command is a change of the [Registry]. Commands are stored in the replicated log and applied by [Registry.Apply].
type Command struct {
	Op    Op     `json:"op"`
	Task  string `json:"task"`
	Slot  int64  `json:"slot"`
	Token uint64 `json:"token"` // fencing token of the task's lease
	// Rerun allows beginning a slot that another process has begun, because running the slot twice does no harm (OpBegin).
	Rerun   bool    `json:"again,omitempty"`
	Outcome Outcome `json:"outcome,omitempty"`
	// Skipped is the number of slots that are left out before this one (OpBegin).
	Skipped int64 `json:"skipped,omitempty"`
	// MaxOpen bounds the open slots of all tasks in the fleet; 0: no bound (OpBegin).
	MaxOpen int `json:"most,omitempty"`
	// Priority orders the tasks that wait because of MaxOpen: the task with the largest priority is admitted first (OpBegin).
	Priority int `json:"priority,omitempty"`
	// Period is the budget period that the slot's cost is charged to (OpFinish).
	Period int64 `json:"period,omitempty"`
	// Requests is the number of requests sent for the slot (OpFinish).
	Requests int `json:"requests,omitempty"`
	// TookMs is the sum of the times from sending each of these requests to its response, in milliseconds (OpFinish).
	TookMs int64 `json:"took_ms,omitempty"`
}

// Result is the result of a command. A command that is sent again has the same result until a newer command changes the task.
type Result struct {
	Refusal Refusal `json:"why,omitempty"` // empty: it was applied
	Record  Record  `json:"state"`         // after the command
}

// Refusal is the reason why a command was refused, empty if the command was applied. It is sent to other processes and printed.
type Refusal string

// Reasons for refusing a command.
const (
	RefusedFenced           Refusal = "a newer holder has the task"
	RefusedAlreadyBegun     Refusal = "the slot was begun before"
	RefusedOtherSlotOpen    Refusal = "another slot is not finished"
	RefusedNotBegun         Refusal = "the slot is not begun"
	RefusedConcurrencyLimit Refusal = "as many tasks are being done as may be at once" // see Command.MaxOpen
	RefusedTooManyTasks     Refusal = "too many tasks"                                 // see MaxTasks
	RefusedMalformed        Refusal = "malformed"
)
