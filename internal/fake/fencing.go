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

// FencedResource is a fake of resources on each of which only one client may act at a time. It checks fencing tokens: it
// rejects an action whose token is older than the newest token seen for the resource. The path of a request identifies the
// resource. Verdict summarizes the actions. The methods may be called concurrently.
type FencedResource struct {
	mu         sync.Mutex                 // guards all fields
	newest     map[string]uint64          // highest token seen, by resource
	running    map[string]map[uint64]int  // actions in progress, by resource and token
	starts     map[string][]time.Time     // of accepted actions, by resource
	effects    map[string]int             // by task slot
	tokensSeen map[string]map[uint64]bool // of accepted actions, by resource
	inProgress int                        // actions in progress on all resources
	verdict    FencingVerdict
}

// FencingVerdict summarizes the actions on a FencedResource.
type FencingVerdict struct {
	Accepted       int    // actions
	Rejected       int    // actions with a stale token
	Overlaps       int    // times that an action was accepted while an action with another token was in progress
	DuplicateSlots int    // task slots with more than one effect where only one is allowed
	Slots          int    // task slots with an effect
	DistinctTokens int    // of accepted actions
	MaxConcurrent  int    // largest number of actions in progress at once
	FirstViolation string // description; empty if there was no violation
}

// NewFencedResource returns a FencedResource without recorded actions.
func NewFencedResource() *FencedResource {
	return &FencedResource{
		newest:     map[string]uint64{},
		running:    map[string]map[uint64]int{},
		starts:     map[string][]time.Time{},
		effects:    map[string]int{},
		tokensSeen: map[string]map[uint64]bool{},
	}
}

// beginAction records that the execution of a request begins. The caller calls end when the execution has ended. If the token
// is stale, accepted is false and end is nil. A request without a token is accepted and not recorded, since it does not act on
// the resource.
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

// checkOverlap counts an overlap for each other token with actions in progress on the resource. The caller holds mu.
func (f *FencedResource) checkOverlap(resource string, token uint64) {
	for other, n := range f.running[resource] {
		if other != token && n > 0 {
			f.verdict.Overlaps++
			f.verdict.setFirst("%s: an act with token %d while one with %d was in work", resource, token, other)
		}
	}
}

// recordStart records an accepted action. The caller holds mu.
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

// setFirst sets FirstViolation unless it is already set.
func (v *FencingVerdict) setFirst(format string, args ...any) {
	if v.FirstViolation == "" {
		v.FirstViolation = fmt.Sprintf(format, args...)
	}
}

// recordEffect records the effect of a request, if the request belongs to a task slot.
func (f *FencedResource) recordEffect(request *http.Request) {
	if slot := request.Header.Get("Task-Slot"); slot != "" {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.effects[slot]++
	}
}

// Verdict returns a summary of the recorded actions. atMostOnce reports whether a second effect of a slot is a violation. Other
// slots may be repeated.
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

// IdleFraction returns the fraction of a period that lies in gaps between the starts of actions on the resources of a task.
// Only gaps longer than minGap count.
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
