package e2e

import (
	"context"
	"fmt"
	"sync"
)

const (
	// defaultSharedState is the configuration of the shared state. Its intervals are short, so that a run of a few seconds has many
	// rounds of gossip.
	defaultSharedState = "gossip = \"50ms\"\nprobe = \"250ms\"\nsync = \"500ms\"\nkeep = \"4s\"\n"

	// maxConcurrentQueries bounds the query commands that run concurrently.
	maxConcurrentQueries = 6

	memberAlive = "alive"
)

// sharedState is the part of a member's shared state that scenarios use. The fields have the names of its JSON.
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

// allAlive reports whether the member considers all members alive.
func (s *sharedState) allAlive() bool {
	for _, state := range s.Members {
		if state != memberAlive {
			return false
		}
	}
	return true
}

// sharedState queries the shared state of a member.
func (f *fleet) sharedState(member *fleetMember) (s sharedState, err error) {
	err = f.queryMember(member, "state", &s)
	return s, err
}

// sharedStates queries members concurrently, and returns their shared state by member index. Members that do not answer are omitted.
func (f *fleet) sharedStates(members []*fleetMember) map[int]sharedState {
	var mu sync.Mutex
	var queries sync.WaitGroup
	states := map[int]sharedState{}
	slots := make(chan struct{}, maxConcurrentQueries)
	for _, member := range members {
		queries.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			state, err := f.sharedState(member)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			states[member.index] = state
		})
	}
	queries.Wait()
	return states
}

// hintCount returns the number of hints that all members have used.
func (f *fleet) hintCount() int {
	hints := 0
	for _, state := range f.sharedStates(f.members) {
		hints += state.Hinted
	}
	return hints
}

// differingEntries returns the number of entries that are missing at a member or differ between members.
func differingEntries(states map[int]sharedState) int {
	type entryID struct{ owner, key string }
	versions := map[entryID]map[string]int{} // number of members by version
	for _, state := range states {
		for _, entry := range state.Entries {
			id := entryID{entry.Owner, entry.Key}
			if versions[id] == nil {
				versions[id] = map[string]int{}
			}
			versions[id][fmt.Sprint(entry.Inc, entry.Seq, entry.Values)]++
		}
	}
	differing := 0
	for _, counts := range versions {
		holders := 0
		for _, count := range counts {
			holders += count
		}
		if len(counts) > 1 || holders != len(states) {
			differing++
		}
	}
	return differing
}

// startSharedStateFleet starts a fleet with or without shared state, and waits until all members are ready. name is the prefix of its
// measures.
func (e *Env) startSharedStateFleet(ctx context.Context, shared bool, cfg fleetConfig) (f *fleet, name string, err error) {
	name = "alone"
	if shared {
		cfg.sharedState, name = defaultSharedState, "shared"
	}
	if f, err = e.startFleet(ctx, cfg); err != nil {
		return nil, "", err
	}
	return f, name, f.awaitAllReady(ctx)
}

// awaitAllReady waits until all members are ready.
func (f *fleet) awaitAllReady(ctx context.Context) error {
	for _, member := range f.members {
		if err := member.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}
