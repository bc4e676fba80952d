package task

import (
	"encoding/json"
	"errors"
	"fmt"
)

const (
	// MaxTasks is the largest number of tasks in a registry.
	MaxTasks = 4096
	// maxNameLen is the largest length of a task's name, in bytes.
	maxNameLen = 128
)

// Registry is the replicated state of all tasks. It is deterministic: the same commands in the same order lead to the same state.
//
// Invariants:
//   - At most one slot of a task is open.
//   - The slot numbers of a task increase.
//   - A command with an older token than Record.Token changes nothing.
//   - A slot is begun a second time only by another token and with Command.Rerun.
type Registry struct {
	Tasks map[string]*Record `json:"tasks"`
	// AdmissionSeq counts the OpBegin commands that were subject to MaxOpen.
	AdmissionSeq uint64 `json:"asks,omitempty"`
}

// Record is the state of one task.
type Record struct {
	Revision      uint64            `json:"rev"`   // grows with each change
	Token         uint64            `json:"token"` // the largest fencing token that has changed the record
	Slot          int64             `json:"slot"`  // the newest slot that was begun
	Open          bool              `json:"open"`  // Slot is not finished
	BegunBy       uint64            `json:"by"`    // the fencing token that began Slot last
	Attempts      int               `json:"begun"` // how many times Slot was begun
	LastOutcome   Outcome           `json:"last,omitempty"`
	OutcomeCounts map[Outcome]int64 `json:"counts,omitempty"`
	Skipped       int64             `json:"skipped,omitempty"`
	Triggered     bool              `json:"called,omitempty"` // an operator has requested the next slot now

	// The state of a task that waits because of Command.MaxOpen.
	WaitingSince uint64 `json:"waits,omitempty"`    // Registry.AdmissionSeq at the start of the wait; 0: the task does not wait
	Priority     int    `json:"priority,omitempty"` // Command.Priority of its last OpBegin
	PassedOver   int    `json:"passed,omitempty"`   // OpBegin commands of other tasks that kept a place for this task, since its own last OpBegin

	// The cost of the task in the newest known period of its budget.
	Period   int64 `json:"period,omitempty"`
	Requests int64 `json:"requests,omitempty"`
	TookMs   int64 `json:"took_ms,omitempty"`
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{Tasks: map[string]*Record{}} }

// ErrInvalidSnapshot is wrapped by the errors of [Restore].
var ErrInvalidSnapshot = errors.New("task: invalid snapshot")

// Restore decodes a registry from its JSON encoding. The error wraps ErrInvalidSnapshot if the data can't be decoded or is
// inconsistent.
func Restore(data []byte) (*Registry, error) {
	r := NewRegistry()
	if err := json.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidSnapshot, err)
	}
	if r.Tasks == nil {
		return nil, fmt.Errorf("%w: field tasks is missing", ErrInvalidSnapshot)
	}
	for name, record := range r.Tasks {
		if record == nil || record.Open && record.BegunBy == 0 {
			return nil, fmt.Errorf("%w: task %q is null, or has an open slot without a token", ErrInvalidSnapshot, name)
		}
		if record.OutcomeCounts == nil {
			record.OutcomeCounts = map[Outcome]int64{}
		}
	}
	return r, nil
}

// Record returns a copy of a task's record without OutcomeCounts, or the zero value for an unknown task.
func (r *Registry) Record(task string) Record {
	record := r.Tasks[task]
	if record == nil {
		return Record{}
	}
	c := *record
	c.OutcomeCounts = nil
	return c
}

// Apply applies a committed command and returns its result.
func (r *Registry) Apply(c Command) Result {
	refusal := r.apply(c)
	return Result{refusal, r.Record(c.Task)}
}

// apply applies a command and returns its refusal.
func (r *Registry) apply(c Command) Refusal {
	if c.Op == OpTrigger {
		return r.trigger(c.Task)
	}
	if c.Task == "" || len(c.Task) > maxNameLen || c.Token == 0 || c.Slot <= 0 {
		return RefusedMalformed
	}
	record, refusal := r.recordFor(c)
	switch {
	case refusal != "":
		return refusal
	case c.Token < record.Token:
		return RefusedFenced
	}
	switch c.Op {
	case OpBegin:
		refusal = r.begin(record, c)
	case OpFinish:
		refusal = record.finish(c)
	default:
		refusal = RefusedMalformed
	}
	if refusal != "" {
		return refusal
	}
	record.Token = c.Token
	record.Revision++
	return ""
}

// recordFor returns the record of a command's task. OpBegin creates the record of a new task.
func (r *Registry) recordFor(c Command) (*Record, Refusal) {
	if record := r.Tasks[c.Task]; record != nil {
		return record, ""
	}
	if c.Op != OpBegin {
		return nil, RefusedNotBegun
	}
	if len(r.Tasks) >= MaxTasks {
		return nil, RefusedTooManyTasks
	}
	record := &Record{OutcomeCounts: map[Outcome]int64{}}
	r.Tasks[c.Task] = record
	return record, ""
}

// trigger makes the next slot of a task due now.
func (r *Registry) trigger(task string) Refusal {
	record := r.Tasks[task]
	if record == nil {
		return RefusedNotBegun
	}
	record.Triggered = true
	record.Revision++
	return ""
}

// begin opens a slot. An open slot that the same token has begun stays unchanged, because the command was sent again.
func (r *Registry) begin(record *Record, c Command) Refusal {
	switch {
	case record.Open && record.Slot == c.Slot && record.BegunBy == c.Token:
		return ""
	case record.Open && record.Slot != c.Slot:
		return RefusedOtherSlotOpen
	case record.Open && !c.Rerun, !record.Open && c.Slot <= record.Slot:
		return RefusedAlreadyBegun
	case record.Open:
		record.BegunBy = c.Token
		record.Attempts++
		return ""
	case !r.admit(record, c):
		return RefusedConcurrencyLimit
	}
	record.Slot, record.Open, record.BegunBy, record.Attempts = c.Slot, true, c.Token, 1
	record.Skipped += max(0, c.Skipped)
	record.Triggered = false
	return ""
}

// finish closes a slot and charges its cost. A closed slot stays unchanged, because the command was sent again.
func (record *Record) finish(c Command) Refusal {
	if !c.Outcome.valid() {
		return RefusedMalformed
	}
	if record.Slot != c.Slot {
		return RefusedNotBegun
	}
	if record.Open {
		record.Open, record.LastOutcome = false, c.Outcome
		record.OutcomeCounts[c.Outcome]++
		record.charge(c)
	}
	return ""
}

// charge adds the cost of a slot to its budget period. A process whose clock is behind may report an older period; its cost is added to the
// newest known period.
func (record *Record) charge(c Command) {
	if c.Period > record.Period {
		record.Period, record.Requests, record.TookMs = c.Period, 0, 0
	}
	record.Requests += int64(max(0, c.Requests))
	record.TookMs += max(0, c.TookMs)
}
