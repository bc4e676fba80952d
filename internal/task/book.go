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
	MostTasks   = 4096
	mostNameLen = 128
)

// Outcome is what became of a slot.
type Outcome string

const (
	Done    Outcome = "done"
	Refused Outcome = "refused" // it has surely not run
	Failed  Outcome = "failed"  // a server has answered that it failed
	Unknown Outcome = "unknown" // it may have run, and nobody knows
)

// Op is what a command does to the book.
type Op string

const (
	Begin  Op = "begin"
	Finish Op = "finish"
	Call   Op = "call" // an operator has the next slot done now
)

// Command changes the book. It comes out of the council's log.
type Command struct {
	Op      Op      `json:"op"`
	Task    string  `json:"task"`
	Slot    int64   `json:"slot"`
	Token   uint64  `json:"token"`           // fencing token of the task's lease
	Again   bool    `json:"again,omitempty"` // Begin: one that another has begun may be begun again: a repeat does no harm
	Outcome Outcome `json:"outcome,omitempty"`
	Skipped int64   `json:"skipped,omitempty"` // Begin: slots before this one that are left out

	Most     int `json:"most,omitempty"`     // Begin: how many slots of all tasks may be open at once over the fleet; 0: no bound
	Priority int `json:"priority,omitempty"` // Begin: of those that wait for room the largest goes first

	// Finish: what the slot has cost, and in which period of the task's budget.
	Period   int64 `json:"period,omitempty"`
	Requests int   `json:"requests,omitempty"`
	TookMs   int64 `json:"took_ms,omitempty"`
}

// Result is what became of a command; Why is empty if it was done. A command may be asked again: it has the same result until
// something newer has happened to the task.
type Result struct {
	Why   Why  `json:"why,omitempty"`
	State Page `json:"state"`
}

// Why says why a command was refused.
type Why string

const (
	Fenced    Why = "a newer holder has the task"
	Taken     Why = "the slot was begun before"
	Running   Why = "another slot is not finished"
	NotBegun  Why = "the slot is not begun"
	Crowded   Why = "as many tasks are being done as may be at once"
	Full      Why = "too many tasks"
	Malformed Why = "malformed"
)

// Page is what the book has of one task.
type Page struct {
	Rev     uint64            `json:"rev"`   // grows with each change: of two pages the one with the larger is the newer
	Token   uint64            `json:"token"` // the largest that has written here
	Slot    int64             `json:"slot"`  // the newest that was begun
	Open    bool              `json:"open"`  // it is not finished
	By      uint64            `json:"by"`    // the token that has begun it, the last time
	Begun   int               `json:"begun"` // how often it was begun
	Last    Outcome           `json:"last,omitempty"`
	Counts  map[Outcome]int64 `json:"counts,omitempty"`
	Skipped int64             `json:"skipped,omitempty"`
	Called  bool              `json:"called,omitempty"` // an operator wants the next slot now

	// While a slot waits for room among the tasks that are being done: since which of the book's asks (0: none waits), how much it
	// matters, and how often others were sent away for it since it asked last.
	Waits    uint64 `json:"waits,omitempty"`
	Priority int    `json:"priority,omitempty"`
	Passed   int    `json:"passed,omitempty"`

	// What the task has cost in the newest period of its budget that is known.
	Period   int64 `json:"period,omitempty"`
	Requests int64 `json:"requests,omitempty"`
	TookMs   int64 `json:"took_ms,omitempty"`
}

// staleAsks is for how many rounds of asking others give way to one that waits and does not ask any more: its holder has died, or its
// slot is not due any more. The book has no clock; all that wait ask about equally often.
const staleAsks = 8

// Book is the replicated state.
type Book struct {
	Tasks map[string]*Page `json:"tasks"`
	Asks  uint64           `json:"asks,omitempty"` // for room, so far
}

// NewBook returns an empty one.
func NewBook() *Book { return &Book{Tasks: map[string]*Page{}} }

// Restore reads a book as encoding/json writes it.
func Restore(data []byte) (*Book, error) {
	b := NewBook()
	if err := json.Unmarshal(data, b); err != nil {
		return nil, fmt.Errorf("task: snapshot: %w", err)
	}
	if b.Tasks == nil {
		return nil, errors.New("task: snapshot: no tasks in it")
	}
	for name, p := range b.Tasks {
		if p == nil || p.Open && p.By == 0 {
			return nil, fmt.Errorf("task: snapshot: %q is not whole", name)
		}
		if p.Counts == nil {
			p.Counts = map[Outcome]int64{}
		}
	}
	return b, nil
}

// Page returns a copy of what the book has of a task; the zero value if nothing.
func (b *Book) Page(task string) Page {
	p := b.Tasks[task]
	if p == nil {
		return Page{}
	}
	c := *p
	c.Counts = nil
	return c
}

// Apply carries out a command.
func (b *Book) Apply(c Command) Result {
	why := b.apply(c)
	return Result{why, b.Page(c.Task)}
}

func (b *Book) apply(c Command) Why {
	if c.Op == Call {
		p := b.Tasks[c.Task]
		if p == nil {
			return NotBegun
		}
		p.Called = true
		p.Rev++
		return ""
	}
	if c.Task == "" || len(c.Task) > mostNameLen || c.Token == 0 || c.Slot <= 0 {
		return Malformed
	}
	p := b.Tasks[c.Task]
	if p == nil {
		if c.Op != Begin {
			return NotBegun
		}
		if len(b.Tasks) >= MostTasks {
			return Full
		}
		p = &Page{Counts: map[Outcome]int64{}}
		b.Tasks[c.Task] = p
	}
	if c.Token < p.Token {
		return Fenced
	}
	switch c.Op {
	case Begin:
		switch {
		case p.Open && p.Slot == c.Slot && p.By == c.Token: // asked again: its answer was lost, and the asker waits for it
		case p.Open && p.Slot != c.Slot:
			return Running
		case p.Open && !c.Again, !p.Open && c.Slot <= p.Slot:
			return Taken
		case p.Open:
			p.By = c.Token
			p.Begun++
		case !b.room(c, p):
			return Crowded
		default:
			p.Slot, p.Open, p.By, p.Begun = c.Slot, true, c.Token, 1
			p.Skipped += max(0, c.Skipped)
			p.Called = false
		}
	case Finish:
		switch c.Outcome {
		case Done, Refused, Failed, Unknown:
		default:
			return Malformed
		}
		if p.Slot != c.Slot {
			return NotBegun
		}
		if p.Open {
			p.Open, p.Last = false, c.Outcome
			p.Counts[c.Outcome]++
			if c.Period > p.Period { // a clock that is behind spends of the period that is known
				p.Period, p.Requests, p.TookMs = c.Period, 0, 0
			}
			p.Requests += int64(max(0, c.Requests))
			p.TookMs += max(0, c.TookMs)
		}
	default:
		return Malformed
	}
	p.Token = c.Token
	p.Rev++
	return ""
}

// room says whether a slot may be begun beside those that are open over the whole fleet. Of those that wait the one that matters most
// goes first, then the one that has waited longest. What a dead holder left open counts until somebody has taken it up.
func (b *Book) room(c Command, p *Page) bool {
	if c.Most <= 0 {
		p.Waits, p.Passed = 0, 0
		return true
	}
	b.Asks++
	p.Passed, p.Priority = 0, c.Priority
	if p.Waits == 0 {
		p.Waits = b.Asks
	}
	open, waiting := 0, 0
	var ahead []*Page
	for _, other := range b.Tasks {
		if other == p {
			continue
		}
		if other.Open {
			open++
		}
		if other.Waits != 0 {
			waiting++
			if other.Priority > p.Priority || other.Priority == p.Priority && other.Waits < p.Waits {
				ahead = append(ahead, other)
			}
		}
	}
	if open >= c.Most {
		return false
	}
	free := c.Most - open
	for _, other := range ahead {
		if other.Passed++; other.Passed > staleAsks*(waiting+1) {
			other.Waits, other.Passed = 0, 0
			continue
		}
		free--
	}
	if free <= 0 {
		return false
	}
	p.Waits, p.Passed = 0, 0
	return true
}
