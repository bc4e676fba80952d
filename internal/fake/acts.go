package fake

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Acts is a resource that only one may act on at a time, and that looks at fencing tokens: what comes with an older one after a newer
// is turned away. It counts what it sees, and judges afterwards.
type Acts struct {
	mu      sync.Mutex
	newest  map[string]uint64          // tokens by resource
	running map[string]map[uint64]int  // acts by resource and token
	times   map[string][]time.Time     // of each accepted act's begin, by resource
	done    map[string]int             // effects by slot
	tokens  map[string]map[uint64]bool // that have acted, by resource
	now     int                        // in work
	verdict ActsVerdict
}

// ActsVerdict is what a resource has seen.
type ActsVerdict struct {
	Acts        int // accepted
	Refused     int // for their token
	Overlapping int // accepted while one with another token was in work
	Doubled     int // slots with more effects than one
	Slots       int // slots with an effect
	Tokens      int // different ones that have acted
	AtOnce      int // the most that were in work at once
	First       string
}

// NewActs returns a resource that nobody has acted on.
func NewActs() *Acts {
	return &Acts{newest: map[string]uint64{}, running: map[string]map[uint64]int{}, times: map[string][]time.Time{}, done: map[string]int{}, tokens: map[string]map[uint64]bool{}}
}

// begin is called as an act comes to its work. A nil end turns it away.
func (a *Acts) begin(q *http.Request) (end func()) {
	token, err := strconv.ParseUint(q.Header.Get("Fencing-Token"), 10, 64)
	if err != nil {
		return func() {}
	}
	on := q.URL.Path
	a.mu.Lock()
	defer a.mu.Unlock()
	if token < a.newest[on] {
		a.verdict.Refused++
		return nil
	}
	a.newest[on] = token
	for other, n := range a.running[on] {
		if other != token && n > 0 {
			a.verdict.Overlapping++
			if a.verdict.First == "" {
				a.verdict.First = fmt.Sprintf("%s: an act with token %d while one with %d was in work", on, token, other)
			}
		}
	}
	if a.running[on] == nil {
		a.running[on], a.tokens[on] = map[uint64]int{}, map[uint64]bool{}
	}
	a.running[on][token]++
	a.now++
	a.verdict.AtOnce = max(a.verdict.AtOnce, a.now)
	a.tokens[on][token] = true
	a.times[on] = append(a.times[on], time.Now())
	a.verdict.Acts++
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.running[on][token]--
		a.now--
	}
}

// effect notes that the work of a slot was done.
func (a *Acts) effect(q *http.Request) {
	if slot := q.Header.Get("Task-Slot"); slot != "" {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.done[slot]++
	}
}

// Verdict is what has been seen. Doubled counts the slots of the classes named: for those that are safe to repeat it means nothing.
func (a *Acts) Verdict(once func(slot string) bool) ActsVerdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := a.verdict
	for slot, n := range a.done {
		v.Slots++
		if n > 1 && once(slot) {
			v.Doubled++
			if v.First == "" {
				v.First = fmt.Sprintf("slot %s had %d effects", slot, n)
			}
		}
	}
	for _, tokens := range a.tokens {
		v.Tokens += len(tokens)
	}
	return v
}

// Idle is the share of the time between two moments that lies in gaps, longer than least, in which nobody acted on a task's path.
func (a *Acts) Idle(task string, least time.Duration, from, to time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, idle := from, time.Duration(0)
	for on, times := range a.times {
		if !strings.HasSuffix(on, "/"+task) {
			continue
		}
		for _, next := range append(slices.Clone(times), to) {
			if next.Before(from) || next.After(to) {
				continue
			}
			if gap := next.Sub(at); gap > least {
				idle += gap
			}
			at = next
		}
	}
	return idle.Seconds() / to.Sub(from).Seconds()
}
