package e2e

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// versionObserver remembers what each start of each process has shown of each entry, and counts what must not be: a version that goes back, and an
// entry that was gone and is there again as it was. It knows nothing of how copies are merged.
type versionObserver struct {
	fleet          *fleet
	observing      sync.Mutex
	mu             sync.Mutex
	newest         map[string][2]uint64 // by process, start, owner and key
	present        map[string]bool      // there at the last look
	regressions    int
	resurrections  int
	firstViolation string
	observations   int
}

func newVersionObserver(f *fleet) *versionObserver {
	return &versionObserver{fleet: f, newest: map[string][2]uint64{}, present: map[string]bool{}}
}

// observe looks at all processes once. One look is over before the next begins: else what one has seen earlier could be noted later.
func (h *versionObserver) observe() map[int]sharedState {
	h.observing.Lock()
	defer h.observing.Unlock()
	starts := map[int]int{}
	for _, p := range h.fleet.members {
		p.mu.Lock()
		starts[p.index] = p.startCount
		p.mu.Unlock()
	}
	got := h.fleet.sharedStates(h.fleet.members)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observations++
	for i, s := range got {
		p := h.fleet.members[i]
		p.mu.Lock()
		now := p.startCount
		p.mu.Unlock()
		if now != starts[i] {
			continue // it may be another start that answered
		}
		prefix := fmt.Sprintf("%s/%d ", p.name, now)
		there := map[string]bool{}
		for _, e := range s.Entries {
			id := prefix + e.Owner + " " + e.Key
			there[id] = true
			v := [2]uint64{e.Inc, e.Seq}
			last, had := h.newest[id]
			switch {
			case had && (v[0] < last[0] || v[0] == last[0] && v[1] < last[1]):
				h.regressions++
				h.setFirst("%s: version %v after %v", id, v, last)
			case had && v == last && !h.present[id]:
				h.resurrections++
				h.setFirst("%s: version %v was gone, and is there again", id, v)
			}
			h.newest[id] = v
		}
		for id := range h.newest {
			if strings.HasPrefix(id, prefix) {
				h.present[id] = there[id]
			}
		}
	}
	return got
}

func (h *versionObserver) setFirst(format string, args ...any) {
	if h.firstViolation == "" {
		h.firstViolation = fmt.Sprintf(format, args...)
	}
}

// follow looks again and again until ctx ends.
func (h *versionObserver) follow(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for pause(ctx, 700*time.Millisecond) {
			h.observe()
		}
	}()
	return done
}

// converge waits until all processes are there to each other and hold the same, and notes how long after the last fault that was.
func (h *versionObserver) converge(ctx context.Context, name string) error {
	f := h.fleet
	from := time.Now()
	var got map[int]sharedState
	err := f.awaitCondition(ctx, 40*time.Second, "all hold the same of all", func() bool {
		got = h.observe()
		if len(got) < len(f.members) || differingEntries(got) > 0 {
			return false
		}
		for _, s := range got {
			for _, state := range s.Members {
				if state != "alive" {
					return false
				}
			}
		}
		return true
	})
	if err != nil {
		var told []string
		for i, s := range got {
			for name, state := range s.Members {
				if state != "alive" {
					told = append(told, fmt.Sprintf("%s holds %s for %s", f.members[i].name, name, state))
				}
			}
		}
		slices.Sort(told)
		return fmt.Errorf("%w: %d entries differ; %s; %w", errNotRecovered, differingEntries(got), strings.Join(told[:min(len(told), 8)], ", "), err)
	}
	took := time.Since(from)
	f.env.Measure(name+"_s", took.Seconds())
	late := 0
	if took > convergenceTimeout {
		late = 1
	}
	f.env.Measure("late_"+name, float64(late))
	return nil
}

// measure notes what the copies have come to. All was well for settleTime before.
func (h *versionObserver) measure() {
	e := h.fleet.env
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.firstViolation != "" {
		e.Fail("%s", h.firstViolation)
	}
	e.AtMost("went_back", float64(h.regressions), 0)
	e.AtMost("resurrected", float64(h.resurrections), 0)
	e.Measure("looks", float64(h.observations))
}

// measureDivergence is how many entries differ settleTime after the last fault. What is on its way at one look is not at all of three.
func (h *versionObserver) measureDivergence(ctx context.Context, since time.Time) {
	pause(ctx, convergenceTimeout-time.Since(since))
	least := 1 << 30
	for range 3 {
		least = min(least, differingEntries(h.observe()))
		if least == 0 {
			break
		}
		pause(ctx, 300*time.Millisecond)
	}
	h.fleet.env.AtMost("diverged", float64(least), 0)
}
