package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

const (
	defaultSharedState = "gossip = \"50ms\"\nprobe = \"250ms\"\nsync = \"500ms\"\nkeep = \"4s\"\n"
	// convergenceTimeout is by when after the last fault all copies are to be equal.
	convergenceTimeout = 5 * time.Second
)

// sharedState is what a scenario reads of a process' own account of the shared state.
type sharedState struct {
	Incarnation uint64
	Members     map[string]string
	InStepMs    int64 `json:"in_step_ms"`
	DecidedMs   int64 `json:"decided_ms"`
	Hinted      int
	Sums        map[string]uint64
	Figures     struct{ Helped, Turned, Deaths, Suspicions int }
	Refused     struct{ Differ int }
	Zones       []struct {
		Zone  string
		Epoch uint64
		Step  int
	}
	Entries []struct {
		Owner, Key string
		Inc, Seq   uint64
		Values     []string
	}
}

func (f *fleet) sharedState(p *fleetMember) (s sharedState, err error) {
	out, err := f.runCommand("tier", "state", p.addr, "--secret", f.secret, "--json", "--timeout", "2s")
	if err == nil {
		err = json.Unmarshal([]byte(out), &s)
	}
	if err != nil {
		err = fmt.Errorf("tier state of %s: %w: %s", p.name, err, out)
	}
	return s, err
}

// sharedStates asks all processes at once; one that does not answer is left out.
func (f *fleet) sharedStates(members []*fleetMember) map[int]sharedState {
	var mu sync.Mutex
	var asks sync.WaitGroup
	got := map[int]sharedState{}
	slots := make(chan struct{}, 6)
	for _, p := range members {
		asks.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if s, err := f.sharedState(p); err == nil {
				mu.Lock()
				got[p.index] = s
				mu.Unlock()
			}
		})
	}
	asks.Wait()
	return got
}

// differingEntries is how many entries are not the same at all processes, and of how many processes something is known.
func differingEntries(got map[int]sharedState) (entries int) {
	type at struct{ owner, key string }
	seen := map[at]map[string]int{}
	for _, s := range got {
		for _, e := range s.Entries {
			id := at{e.Owner, e.Key}
			if seen[id] == nil {
				seen[id] = map[string]int{}
			}
			seen[id][fmt.Sprint(e.Inc, e.Seq, e.Values)]++
		}
	}
	for _, versions := range seen {
		n := 0
		for _, count := range versions {
			n += count
		}
		if len(versions) > 1 || n != len(got) {
			entries++
		}
	}
	return entries
}

// startSharedStateFleet starts a fleet whose processes share state, or not, and waits until all take part.
func (e *Env) startSharedStateFleet(ctx context.Context, shared bool, cfg fleetConfig) (f *fleet, name string, err error) {
	name = "alone"
	if shared {
		cfg.sharedState, name = defaultSharedState, "shared"
	}
	if f, err = e.startFleet(ctx, cfg); err != nil {
		return nil, "", err
	}
	for _, p := range f.members {
		if err := p.awaitReady(ctx); err != nil {
			return nil, "", err
		}
	}
	return f, name, nil
}
