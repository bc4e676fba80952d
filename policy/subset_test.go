package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestSubsetsAreBalanced guards against connections from every instance to every endpoint, and against endpoints that are in many more
// subsets than others.
func TestSubsetsAreBalanced(t *testing.T) {
	cfg := testConfig()
	cfg.InstanceCount, cfg.ConnectionCost = 600, 0.08
	count := map[EndpointID]int{}
	for i := range cfg.InstanceCount {
		cfg.InstanceIndex = i
		b, _ := newTestBalancer(t, cfg, 40)
		for _, e := range b.activeSubset(0) {
			count[e.ID]++
		}
	}
	want := cfg.InstanceCount * minSubsetSize / 40
	for id, n := range count {
		if n < want*9/10 || n > want*11/10 {
			t.Errorf("%s is in %d subsets, want about %d", id, n, want)
		}
	}
}

// TestListOrderDoesNotChangeTheSubset guards against subsets, and so connections, that change with the order of the endpoint list.
func TestListOrderDoesNotChangeTheSubset(t *testing.T) {
	b, rec := newTestBalancer(t, testConfig(), 40)
	var list []Endpoint
	for _, e := range b.endpoints {
		list = append(list, e.Endpoint)
	}
	before := slices.Clone(b.readyEndpoints)
	for seed := range uint64(5) {
		rand.New(rand.NewPCG(seed, 1)).Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		b.UpdateEndpoints(time.Second, UpdateFull, list, rec)
		if !slices.Equal(before, b.readyEndpoints) {
			t.Fatal("the order of preference changed with the order of the list")
		}
	}
}

// TestSubsetsOfManyInstances guards against endpoints that are in many more subsets than others. It checks 60 endpoints and 80 instances,
// also after the removal of one endpoint and the replacement of 36. It logs the share of subset members that change.
func TestSubsetsOfManyInstances(t *testing.T) {
	list := func(n int, skip func(i int) bool) []Endpoint {
		var all []Endpoint
		for i := range n {
			if !skip(i) {
				all = append(all, Endpoint{ID: EndpointID(fmt.Sprint("s", i)), Zone: string(rune('a' + i%2))})
			}
		}
		return all
	}
	sets := func(endpoints []Endpoint) (all []map[EndpointID]bool, most, least int) {
		memberships := map[EndpointID]int{}
		for instance := range 80 {
			cfg := testConfig()
			cfg.InstanceIndex, cfg.InstanceCount = instance, 80
			b, err := New(cfg, 1)
			if err != nil {
				t.Fatal(err)
			}
			b.UpdateEndpoints(0, UpdateFull, endpoints, &recorder{})
			set := map[EndpointID]bool{}
			for _, e := range b.readyEndpoints[:b.subsetSize] {
				set[e.ID] = true
				memberships[e.ID]++
			}
			all = append(all, set)
		}
		least = 1 << 30
		for _, e := range endpoints {
			most, least = max(most, memberships[e.ID]), min(least, memberships[e.ID])
		}
		return all, most, least
	}
	before, most, least := sets(list(60, func(int) bool { return false }))
	t.Logf("60 endpoints: each in %d to %d of 80 subsets", least, most)
	if least == 0 || most > 5*least {
		t.Errorf("60 endpoints: each in %d to %d of 80 subsets, want a ratio of at most 5", least, most)
	}
	for name, c := range map[string]struct {
		endpoints []Endpoint
		minChange float64 // share of the members that were removed
	}{
		"one removed": {list(60, func(i int) bool { return i == 17 }), 1.0 / 60},
		"36 new":      {list(96, func(i int) bool { return i < 36 }), 36.0 / 60},
	} {
		after, most, least := sets(c.endpoints)
		moved, all := 0, 0
		for instance := range after {
			for id := range after[instance] {
				all++
				if !before[instance][id] {
					moved++
				}
			}
		}
		t.Logf("%s: %.2f of the members changed (at least %.2f is necessary); each endpoint in %d to %d subsets", name, float64(moved)/float64(all), c.minChange, least, most)
		if least == 0 || most > 5*least {
			t.Errorf("%s: each endpoint in %d to %d of 80 subsets, want a ratio of at most 5", name, least, most)
		}
	}
}

// TestSubsetsPreferTheLocalZone guards against subsets that ignore zones although crossing zones has a cost. Most of a subset must be of
// the zone of the instance. Endpoints must still be in about the same number of subsets, and those of a small zone must not be overloaded.
func TestSubsetsPreferTheLocalZone(t *testing.T) {
	for name, c := range map[string]struct {
		instances, endpoints, inA int // inA: endpoints in zone a
		least, most               float64
	}{
		"dealt":      {80, 60, 30, 0.75, 0.85}, // by rendezvous hashing
		"by stride":  {300, 200, 100, 0.75, 0.85},
		"small zone": {300, 200, 40, 0.1, 0.45},
		"a third":    {300, 200, 66, 0.75, 0.85},
	} {
		var list []Endpoint
		for i := range c.endpoints {
			list = append(list, Endpoint{ID: EndpointID(fmt.Sprint("s", i)), Zone: map[bool]string{true: "a", false: "b"}[i < c.inA]})
		}
		memberships, local, members := map[EndpointID]int{}, 0, 0
		for instance := range c.instances {
			cfg := testConfig()
			cfg.InstanceIndex, cfg.InstanceCount, cfg.CrossZoneCost, cfg.Zone = instance, c.instances, 0.015, string(rune('a'+instance%2))
			b, err := New(cfg, 1)
			if err != nil {
				t.Fatal(err)
			}
			b.UpdateEndpoints(0, UpdateFull, list, &recorder{})
			for _, e := range b.readyEndpoints[:b.subsetSize] {
				memberships[e.ID]++
				if cfg.Zone == "a" {
					members++
					if e.Zone == "a" {
						local++
					}
				}
			}
		}
		most, least := 0, c.instances
		for _, e := range list {
			most, least = max(most, memberships[e.ID]), min(least, memberships[e.ID])
		}
		share := float64(local) / float64(members)
		t.Logf("%s: %.2f of the subset members of instances in zone a are in zone a; each endpoint in %d to %d subsets", name, share, least, most)
		if share < c.least || share > c.most {
			t.Errorf("%s: %.2f of the subset members are in the local zone, want %.2f to %.2f", name, share, c.least, c.most)
		}
		if mean := c.instances * maxSubsetSize / c.endpoints; least == 0 || most > 2*mean+1 {
			t.Errorf("%s: each endpoint in %d to %d subsets, %d on average; want at least 1 and at most twice the average plus 1", name, least, most, mean)
		}
	}
}
