package e2e

import (
	"fmt"
	"sync"
)

// epochObserver follows the epochs of zone shifts that members hold, and counts those that go back between two starts of a member.
type epochObserver struct {
	fleet *fleet

	observing sync.Mutex // held during an observation, so that none records what it saw before another

	mu           sync.Mutex        // guards the fields below
	newest       map[string]uint64 // by member, start and zone
	regressions  int
	observations int
}

func newEpochObserver(f *fleet) *epochObserver {
	return &epochObserver{fleet: f, newest: map[string]uint64{}}
}

// observe asks members once, and returns what they hold.
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
			continue // another start may have answered
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

// measure measures what was observed.
func (o *epochObserver) measure() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fleet.env.AtMost("epochs_back", float64(o.regressions), 0)
	o.fleet.env.Measure("looks", float64(o.observations))
}
