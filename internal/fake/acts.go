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

// FencedResource is a resource that only one may act on at a time, and that looks at fencing tokens: what comes with an older one after a newer
// is turned away. It counts what it sees, and judges afterwards.
type FencedResource struct {
	mu          sync.Mutex
	newestToken map[string]uint64          // tokens by resource
	running     map[string]map[uint64]int  // acts by resource and token
	starts      map[string][]time.Time     // of each accepted act's begin, by resource
	effects     map[string]int             // effects by slot
	actedTokens map[string]map[uint64]bool // that have acted, by resource
	inProgress  int                        // in work
	verdict     FencingVerdict
}

// FencingVerdict is what a resource has seen.
type FencingVerdict struct {
	Accepted       int // accepted
	Rejected       int // for their token
	Overlaps       int // accepted while one with another token was in work
	DuplicateSlots int // slots with more effects than one
	Slots          int // slots with an effect
	DistinctTokens int // different ones that have acted
	MaxConcurrent  int // the most that were in work at once
	FirstViolation string
}

// NewFencedResource returns a resource that nobody has acted on.
func NewFencedResource() *FencedResource {
	return &FencedResource{newestToken: map[string]uint64{}, running: map[string]map[uint64]int{}, starts: map[string][]time.Time{}, effects: map[string]int{}, actedTokens: map[string]map[uint64]bool{}}
}

// begin is called as an act comes to its work. A nil end turns it away.
func (a *FencedResource) begin(q *http.Request) (end func()) {
	token, err := strconv.ParseUint(q.Header.Get("Fencing-Token"), 10, 64)
	if err != nil {
		return func() {}
	}
	on := q.URL.Path
	a.mu.Lock()
	defer a.mu.Unlock()
	if token < a.newestToken[on] {
		a.verdict.Rejected++
		return nil
	}
	a.newestToken[on] = token
	for other, n := range a.running[on] {
		if other != token && n > 0 {
			a.verdict.Overlaps++
			if a.verdict.FirstViolation == "" {
				a.verdict.FirstViolation = fmt.Sprintf("%s: an act with token %d while one with %d was in work", on, token, other)
			}
		}
	}
	if a.running[on] == nil {
		a.running[on], a.actedTokens[on] = map[uint64]int{}, map[uint64]bool{}
	}
	a.running[on][token]++
	a.inProgress++
	a.verdict.MaxConcurrent = max(a.verdict.MaxConcurrent, a.inProgress)
	a.actedTokens[on][token] = true
	a.starts[on] = append(a.starts[on], time.Now())
	a.verdict.Accepted++
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.running[on][token]--
		a.inProgress--
	}
}

// recordEffect notes that the work of a slot was done.
func (a *FencedResource) recordEffect(q *http.Request) {
	if slot := q.Header.Get("Task-Slot"); slot != "" {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.effects[slot]++
	}
}

// Verdict is what has been seen. Doubled counts the slots of the classes named: for those that are safe to repeat it means nothing.
func (a *FencedResource) Verdict(once func(slot string) bool) FencingVerdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := a.verdict
	for slot, n := range a.effects {
		v.Slots++
		if n > 1 && once(slot) {
			v.DuplicateSlots++
			if v.FirstViolation == "" {
				v.FirstViolation = fmt.Sprintf("slot %s had %d effects", slot, n)
			}
		}
	}
	for _, tokens := range a.actedTokens {
		v.DistinctTokens += len(tokens)
	}
	return v
}

// IdleFraction is the share of the time between two moments that lies in gaps, longer than least, in which nobody acted on a task's path.
func (a *FencedResource) IdleFraction(task string, least time.Duration, from, to time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, idle := from, time.Duration(0)
	for on, times := range a.starts {
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
