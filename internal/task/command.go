package task

// Outcome is what became of a slot. Its values are stored in snapshots.
type Outcome string

// Outcomes of a slot.
const (
	OutcomeDone     Outcome = "done"
	OutcomeRejected Outcome = "refused" // it has surely not run
	OutcomeFailed   Outcome = "failed"  // a server answered that it failed
	OutcomeUnknown  Outcome = "unknown" // it may have run
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
	OpTrigger Op = "call"   // has the next slot done now, on behalf of an operator
)

// Command changes the registry. Commands are stored in the replicated log and applied by [Registry.Apply].
type Command struct {
	Op    Op     `json:"op"`
	Task  string `json:"task"`
	Slot  int64  `json:"slot"`
	Token uint64 `json:"token"` // fencing token of the task's lease
	// Rerun allows a slot to be begun that another process has begun, since running it twice does no harm (OpBegin).
	Rerun   bool    `json:"again,omitempty"`
	Outcome Outcome `json:"outcome,omitempty"`
	// Skipped is the number of slots before this one that are left out (OpBegin).
	Skipped int64 `json:"skipped,omitempty"`
	// MaxOpen bounds the slots of all tasks that are open at once in the fleet; 0: no bound (OpBegin).
	MaxOpen int `json:"most,omitempty"`
	// Priority orders the tasks that wait for MaxOpen: the largest goes first (OpBegin).
	Priority int `json:"priority,omitempty"`
	// Period is the period of the task's budget that the slot's cost, Requests and TookMs, is charged to (OpFinish).
	Period   int64 `json:"period,omitempty"`
	Requests int   `json:"requests,omitempty"`
	TookMs   int64 `json:"took_ms,omitempty"`
}

// Result is the outcome of a command. A command that is sent again has the same result until something newer happens to the task.
type Result struct {
	Refusal Refusal `json:"why,omitempty"` // empty: it was applied
	Record  Record  `json:"state"`         // after the command
}

// Refusal is the reason why a command was refused, empty if it was not. It is sent to other processes and printed.
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
