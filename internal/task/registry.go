package task

import (
	"encoding/json"
	"errors"
	"fmt"
)

const (
	// MaxTasks bounds the tasks of a registry.
	MaxTasks = 4096
	// maxNameLen is the longest name of a task, in bytes.
	maxNameLen = 128
)

// Registry is the replicated state of all tasks: equal commands in equal order make equal registries.
//
// Invariants: at most one slot of a task is open; slot numbers only grow; a command with an older token than Record.Token changes
// nothing; a slot is begun a second time only by another token and with Command.Rerun.
type Registry struct {
	Tasks map[string]*Record `json:"tasks"`
	// AdmissionSeq counts the OpBegin commands that were subject to MaxOpen.
	AdmissionSeq uint64 `json:"asks,omitempty"`
}

// Record is the state of one task.
type Record struct {
	Revision      uint64            `json:"rev"`   // grows with each change
	Token         uint64            `json:"token"` // the largest that has changed the record
	Slot          int64             `json:"slot"`  // the newest that was begun
	Open          bool              `json:"open"`  // Slot is not finished
	BegunBy       uint64            `json:"by"`    // the token that began Slot last
	Attempts      int               `json:"begun"` // how often Slot was begun
	LastOutcome   Outcome           `json:"last,omitempty"`
	OutcomeCounts map[Outcome]int64 `json:"counts,omitempty"`
	Skipped       int64             `json:"skipped,omitempty"`
	Triggered     bool              `json:"called,omitempty"` // an operator wants the next slot now

	// While a slot waits for MaxOpen: the Registry.AdmissionSeq since which it waits (0: it does not), its priority, and how often others
	// were refused in its favour since it asked last.
	WaitingSince uint64 `json:"waits,omitempty"`
	Priority     int    `json:"priority,omitempty"`
	PassedOver   int    `json:"passed,omitempty"`

	// What the task has cost in the newest known period of its budget.
	Period   int64 `json:"period,omitempty"`
	Requests int64 `json:"requests,omitempty"`
	TookMs   int64 `json:"took_ms,omitempty"`
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{Tasks: map[string]*Record{}} }

// ErrInvalidSnapshot is wrapped by the errors of [Restore].
var ErrInvalidSnapshot = errors.New("task: snapshot")

// Restore reads a registry as encoding/json writes it. It fails with ErrInvalidSnapshot for data that is not one.
func Restore(data []byte) (*Registry, error) {
	r := NewRegistry()
	if err := json.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidSnapshot, err)
	}
	if r.Tasks == nil {
		return nil, fmt.Errorf("%w: no tasks in it", ErrInvalidSnapshot)
	}
	for name, record := range r.Tasks {
		if record == nil || record.Open && record.BegunBy == 0 {
			return nil, fmt.Errorf("%w: %q is not whole", ErrInvalidSnapshot, name)
		}
		if record.OutcomeCounts == nil {
			record.OutcomeCounts = map[Outcome]int64{}
		}
	}
	return r, nil
}

// Record returns a copy of a task's record without OutcomeCounts; the zero value if there is none.
func (r *Registry) Record(task string) Record {
	record := r.Tasks[task]
	if record == nil {
		return Record{}
	}
	c := *record
	c.OutcomeCounts = nil
	return c
}

// Apply carries out a command of the replicated log.
func (r *Registry) Apply(c Command) Result {
	refusal := r.apply(c)
	return Result{refusal, r.Record(c.Task)}
}

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

// recordFor returns the record of a command's task. OpBegin makes one for a new task.
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

func (r *Registry) trigger(task string) Refusal {
	record := r.Tasks[task]
	if record == nil {
		return RefusedNotBegun
	}
	record.Triggered = true
	record.Revision++
	return ""
}

// begin opens a slot. One that the same token has begun is left as it is: the command was sent again.
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

// finish closes a slot and charges its cost. One that is closed is left as it is: the command was sent again.
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

// charge adds the cost of a slot. A process whose clock is behind charges the newest known period.
func (record *Record) charge(c Command) {
	if c.Period > record.Period {
		record.Period, record.Requests, record.TookMs = c.Period, 0, 0
	}
	record.Requests += int64(max(0, c.Requests))
	record.TookMs += max(0, c.TookMs)
}
