package e2e

import (
	"fmt"
	"sync"
)

// epochObserver tracks the epochs of zone shifts that members report. It counts the regressions: epochs that are lower than one seen before
// from the same start of the member.
type epochObserver struct {
	fleet *fleet

	observing sync.Mutex // held during an observation: concurrent ones could record older states after newer ones

	mu           sync.Mutex        // guards the fields below
	newest       map[string]uint64 // by member, start and zone
	regressions  int
	observations int
}

func newEpochObserver(f *fleet) *epochObserver {
	return &epochObserver{fleet: f, newest: map[string]uint64{}}
}

// observe queries members once and returns their shared state.
func (o *epochObserver) observe(members []*fleetMember) map[int]sharedState {
	o.observing.Lock()
	defer o.observing.Unlock()
	starts := map[int]int{}
	for _, member := range members {
		starts[member.index] = member.starts()
	}
	states := o.fleet.sharedStates(members)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.observations++
	for i, state := range states {
		member := o.fleet.members[i]
		if member.starts() != starts[i] {
			continue // the member was restarted meanwhile: either start may have answered
		}
		for _, zone := range state.Zones {
			id := fmt.Sprint(member.name, starts[i], zone.Zone)
			if zone.Epoch < o.newest[id] {
				o.regressions++
			}
			o.newest[id] = max(o.newest[id], zone.Epoch)
		}
	}
	return states
}

// measure records the number of regressions, which must be 0, and of observations.
func (o *epochObserver) measure() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fleet.env.AtMost("epochs_back", float64(o.regressions), 0)
	o.fleet.env.Measure("looks", float64(o.observations))
}
