// Package task decides about work that is done once for a whole fleet: which slot of a task is due, whether it may be begun, and
// what becomes of one whose process died. The book is replicated by the council's log; the plan is made by the process that holds the
// task's lease. There is no I/O and no clock here.
package task

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Bounds of the book.
const (
	MaxTasks   = 4096
	maxNameLen = 128
)

// Outcome is what became of a slot.
type Outcome string

const (
	OutcomeDone     Outcome = "done"
	OutcomeRejected Outcome = "refused" // it has surely not run
	OutcomeFailed   Outcome = "failed"  // a server has answered that it failed
	OutcomeUnknown  Outcome = "unknown" // it may have run, and nobody knows
)

// Op is what a command does to the book.
type Op string

const (
	OpBegin   Op = "begin"
	OpFinish  Op = "finish"
	OpTrigger Op = "call" // an operator has the next slot done now
)

// Command changes the book. It comes out of the council's log.
type Command struct {
	Op      Op      `json:"op"`
	Task    string  `json:"task"`
	Slot    int64   `json:"slot"`
	Token   uint64  `json:"token"`           // fencing token of the task's lease
	Rerun   bool    `json:"again,omitempty"` // Begin: one that another has begun may be begun again: a repeat does no harm
	Outcome Outcome `json:"outcome,omitempty"`
	Skipped int64   `json:"skipped,omitempty"` // Begin: slots before this one that are left out

	MaxOpen  int `json:"most,omitempty"`     // Begin: how many slots of all tasks may be open at once over the fleet; 0: no bound
	Priority int `json:"priority,omitempty"` // Begin: of those that wait for room the largest goes first

	// Finish: what the slot has cost, and in which period of the task's budget.
	Period   int64 `json:"period,omitempty"`
	Requests int   `json:"requests,omitempty"`
	TookMs   int64 `json:"took_ms,omitempty"`
}

// Result is what became of a command; Why is empty if it was done. A command may be asked again: it has the same result until
// something newer has happened to the task.
type Result struct {
	Refusal Refusal `json:"why,omitempty"`
	Record  Record  `json:"state"`
}

// Refusal says why a command was refused.
type Refusal string

const (
	RefusedFenced           Refusal = "a newer holder has the task"
	RefusedAlreadyBegun     Refusal = "the slot was begun before"
	RefusedOtherSlotOpen    Refusal = "another slot is not finished"
	RefusedNotBegun         Refusal = "the slot is not begun"
	RefusedConcurrencyLimit Refusal = "as many tasks are being done as may be at once"
	RefusedTooManyTasks     Refusal = "too many tasks"
	RefusedMalformed        Refusal = "malformed"
)

// Record is what the book has of one task.
type Record struct {
	Revision      uint64            `json:"rev"`   // grows with each change: of two pages the one with the larger is the newer
	Token         uint64            `json:"token"` // the largest that has written here
	Slot          int64             `json:"slot"`  // the newest that was begun
	Open          bool              `json:"open"`  // it is not finished
	BegunBy       uint64            `json:"by"`    // the token that has begun it, the last time
	Attempts      int               `json:"begun"` // how often it was begun
	LastOutcome   Outcome           `json:"last,omitempty"`
	OutcomeCounts map[Outcome]int64 `json:"counts,omitempty"`
	Skipped       int64             `json:"skipped,omitempty"`
	Triggered     bool              `json:"called,omitempty"` // an operator wants the next slot now

	// While a slot waits for room among the tasks that are being done: since which of the book's asks (0: none waits), how much it
	// matters, and how often others were sent away for it since it asked last.
	WaitingSince uint64 `json:"waits,omitempty"`
	Priority     int    `json:"priority,omitempty"`
	PassedOver   int    `json:"passed,omitempty"`

	// What the task has cost in the newest period of its budget that is known.
	Period   int64 `json:"period,omitempty"`
	Requests int64 `json:"requests,omitempty"`
	TookMs   int64 `json:"took_ms,omitempty"`
}

// staleWaiterRounds is for how many rounds of asking others give way to one that waits and does not ask any more: its holder has died, or its
// slot is not due any more. The book has no clock; all that wait ask about equally often.
const staleWaiterRounds = 8

// Registry is the replicated state.
type Registry struct {
	Tasks        map[string]*Record `json:"tasks"`
	AdmissionSeq uint64             `json:"asks,omitempty"` // for room, so far
}

// NewRegistry returns an empty one.
func NewRegistry() *Registry { return &Registry{Tasks: map[string]*Record{}} }

// Restore reads a book as encoding/json writes it.
func Restore(data []byte) (*Registry, error) {
	b := NewRegistry()
	if err := json.Unmarshal(data, b); err != nil {
		return nil, fmt.Errorf("task: snapshot: %w", err)
	}
	if b.Tasks == nil {
		return nil, errors.New("task: snapshot: no tasks in it")
	}
	for name, p := range b.Tasks {
		if p == nil || p.Open && p.BegunBy == 0 {
			return nil, fmt.Errorf("task: snapshot: %q is not whole", name)
		}
		if p.OutcomeCounts == nil {
			p.OutcomeCounts = map[Outcome]int64{}
		}
	}
	return b, nil
}

// Record returns a copy of what the book has of a task; the zero value if nothing.
func (b *Registry) Record(task string) Record {
	p := b.Tasks[task]
	if p == nil {
		return Record{}
	}
	c := *p
	c.OutcomeCounts = nil
	return c
}

// Apply carries out a command.
func (b *Registry) Apply(c Command) Result {
	why := b.apply(c)
	return Result{why, b.Record(c.Task)}
}

func (b *Registry) apply(c Command) Refusal {
	if c.Op == OpTrigger {
		p := b.Tasks[c.Task]
		if p == nil {
			return RefusedNotBegun
		}
		p.Triggered = true
		p.Revision++
		return ""
	}
	if c.Task == "" || len(c.Task) > maxNameLen || c.Token == 0 || c.Slot <= 0 {
		return RefusedMalformed
	}
	p := b.Tasks[c.Task]
	if p == nil {
		if c.Op != OpBegin {
			return RefusedNotBegun
		}
		if len(b.Tasks) >= MaxTasks {
			return RefusedTooManyTasks
		}
		p = &Record{OutcomeCounts: map[Outcome]int64{}}
		b.Tasks[c.Task] = p
	}
	if c.Token < p.Token {
		return RefusedFenced
	}
	switch c.Op {
	case OpBegin:
		switch {
		case p.Open && p.Slot == c.Slot && p.BegunBy == c.Token: // asked again: its answer was lost, and the asker waits for it
		case p.Open && p.Slot != c.Slot:
			return RefusedOtherSlotOpen
		case p.Open && !c.Rerun, !p.Open && c.Slot <= p.Slot:
			return RefusedAlreadyBegun
		case p.Open:
			p.BegunBy = c.Token
			p.Attempts++
		case !b.admit(c, p):
			return RefusedConcurrencyLimit
		default:
			p.Slot, p.Open, p.BegunBy, p.Attempts = c.Slot, true, c.Token, 1
			p.Skipped += max(0, c.Skipped)
			p.Triggered = false
		}
	case OpFinish:
		switch c.Outcome {
		case OutcomeDone, OutcomeRejected, OutcomeFailed, OutcomeUnknown:
		default:
			return RefusedMalformed
		}
		if p.Slot != c.Slot {
			return RefusedNotBegun
		}
		if p.Open {
			p.Open, p.LastOutcome = false, c.Outcome
			p.OutcomeCounts[c.Outcome]++
			if c.Period > p.Period { // a clock that is behind spends of the period that is known
				p.Period, p.Requests, p.TookMs = c.Period, 0, 0
			}
			p.Requests += int64(max(0, c.Requests))
			p.TookMs += max(0, c.TookMs)
		}
	default:
		return RefusedMalformed
	}
	p.Token = c.Token
	p.Revision++
	return ""
}

// admit says whether a slot may be begun beside those that are open over the whole fleet. Of those that wait the one that matters most
// goes first, then the one that has waited longest. What a dead holder left open counts until somebody has taken it up.
func (b *Registry) admit(c Command, p *Record) bool {
	if c.MaxOpen <= 0 {
		p.WaitingSince, p.PassedOver = 0, 0
		return true
	}
	b.AdmissionSeq++
	p.PassedOver, p.Priority = 0, c.Priority
	if p.WaitingSince == 0 {
		p.WaitingSince = b.AdmissionSeq
	}
	open, waiting := 0, 0
	var ahead []*Record
	for _, other := range b.Tasks {
		if other == p {
			continue
		}
		if other.Open {
			open++
		}
		if other.WaitingSince != 0 {
			waiting++
			if other.Priority > p.Priority || other.Priority == p.Priority && other.WaitingSince < p.WaitingSince {
				ahead = append(ahead, other)
			}
		}
	}
	if open >= c.MaxOpen {
		return false
	}
	free := c.MaxOpen - open
	for _, other := range ahead {
		if other.PassedOver++; other.PassedOver > staleWaiterRounds*(waiting+1) {
			other.WaitingSince, other.PassedOver = 0, 0
			continue
		}
		free--
	}
	if free <= 0 {
		return false
	}
	p.WaitingSince, p.PassedOver = 0, 0
	return true
}
