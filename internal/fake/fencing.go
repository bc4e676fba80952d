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

// FencedResource is a resource that only one client may act on at a time, and that checks fencing tokens: an action with a token
// older than the newest seen is rejected. It records what it sees, and Verdict tells of it afterwards. Its methods may be called
// concurrently. Resources are told apart by the path of the requests.
type FencedResource struct {
	mu         sync.Mutex                 // guards all fields
	newest     map[string]uint64          // tokens by resource
	running    map[string]map[uint64]int  // actions by resource and token
	starts     map[string][]time.Time     // of the accepted actions, by resource
	effects    map[string]int             // by task slot
	tokensSeen map[string]map[uint64]bool // of accepted actions, by resource
	inProgress int
	verdict    FencingVerdict
}

// FencingVerdict is what a resource has seen.
type FencingVerdict struct {
	Accepted       int // actions
	Rejected       int // actions with a stale token
	Overlaps       int // accepted while one with another token was in progress
	DuplicateSlots int // slots with more effects than one
	Slots          int // slots with an effect
	DistinctTokens int // of accepted actions
	MaxConcurrent  int // actions in progress at once
	FirstViolation string
}

// NewFencedResource returns a resource that nobody has acted on.
func NewFencedResource() *FencedResource {
	return &FencedResource{
		newest:     map[string]uint64{},
		running:    map[string]map[uint64]int{},
		starts:     map[string][]time.Time{},
		effects:    map[string]int{},
		tokensSeen: map[string]map[uint64]bool{},
	}
}

// beginAction is called as a request begins to be executed; end as it has been. A request with a stale token is not accepted. One
// without a token acts on nothing and is not counted.
func (f *FencedResource) beginAction(request *http.Request) (end func(), accepted bool) {
	token, err := strconv.ParseUint(request.Header.Get("Fencing-Token"), 10, 64)
	if err != nil {
		return func() {}, true
	}
	resource := request.URL.Path
	f.mu.Lock()
	defer f.mu.Unlock()
	if token < f.newest[resource] {
		f.verdict.Rejected++
		return nil, false
	}
	f.newest[resource] = token
	f.checkOverlap(resource, token)
	f.recordStart(resource, token)
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.running[resource][token]--
		f.inProgress--
	}, true
}

// checkOverlap counts the other tokens with actions in progress. The caller holds mu.
func (f *FencedResource) checkOverlap(resource string, token uint64) {
	for other, n := range f.running[resource] {
		if other != token && n > 0 {
			f.verdict.Overlaps++
			f.verdict.setFirst("%s: an act with token %d while one with %d was in work", resource, token, other)
		}
	}
}

// recordStart counts an accepted action. The caller holds mu.
func (f *FencedResource) recordStart(resource string, token uint64) {
	if f.running[resource] == nil {
		f.running[resource], f.tokensSeen[resource] = map[uint64]int{}, map[uint64]bool{}
	}
	f.running[resource][token]++
	f.inProgress++
	f.verdict.MaxConcurrent = max(f.verdict.MaxConcurrent, f.inProgress)
	f.tokensSeen[resource][token] = true
	f.starts[resource] = append(f.starts[resource], time.Now())
	f.verdict.Accepted++
}

func (v *FencingVerdict) setFirst(format string, args ...any) {
	if v.FirstViolation == "" {
		v.FirstViolation = fmt.Sprintf(format, args...)
	}
}

// recordEffect records that a request has done the work of its task's slot.
func (f *FencedResource) recordEffect(request *http.Request) {
	if slot := request.Header.Get("Task-Slot"); slot != "" {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.effects[slot]++
	}
}

// Verdict returns what has been seen. atMostOnce tells for which slots a second effect is a violation; others may be repeated.
func (f *FencedResource) Verdict(atMostOnce func(slot string) bool) FencingVerdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.verdict
	for slot, n := range f.effects {
		v.Slots++
		if n > 1 && atMostOnce(slot) {
			v.DuplicateSlots++
			v.setFirst("slot %s had %d effects", slot, n)
		}
	}
	for _, tokens := range f.tokensSeen {
		v.DistinctTokens += len(tokens)
	}
	return v
}

// IdleFraction returns the fraction of the time between two moments that lies in gaps, longer than minGap, between actions on a
// task's resources.
func (f *FencedResource) IdleFraction(task string, minGap time.Duration, from, to time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	last, idle := from, time.Duration(0)
	for resource, starts := range f.starts {
		if !strings.HasSuffix(resource, "/"+task) {
			continue
		}
		for _, next := range append(slices.Clone(starts), to) {
			if next.Before(from) || next.After(to) {
				continue
			}
			if gap := next.Sub(last); gap > minGap {
				idle += gap
			}
			last = next
		}
	}
	return idle.Seconds() / to.Sub(from).Seconds()
}
