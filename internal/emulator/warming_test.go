package emulator

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

// warmingSeeds is the number of seeds with which TestWarmingBudget runs each case. With two or more seeds the test also runs the large
// fleets.
var warmingSeeds = flag.Int("cold.seeds", 1, "`number` of seeds per case of TestWarmingBudget; 2 or more also run the large fleets")

// TestWarmingBudget guards against instances that together overload a backend that is warming up. It covers small fleets, fleets in which
// all backends warm up at the same time, and uneven traffic of the instances.
func TestWarmingBudget(t *testing.T) {
	for _, size := range []struct{ instances, backends int }{{5, 8}, {20, 14}, {30, 20}, {80, 60}, {300, 200}} {
		if size.instances > 30 && *warmingSeeds < 2 {
			continue // takes minutes with -race
		}
		// A collapse factor below the 2.5 of fleetScenario makes the budget smaller.
		for _, warming := range []struct{ fraction, collapseFactor float64 }{{1, 2.5}, {1, 2}, {0.5, 2.5}, {0.5, 1.5}} {
			t.Run(fmt.Sprintf("%d instances, %.0f%% warming up, collapse factor %v", size.instances, 100*warming.fraction, warming.collapseFactor), func(t *testing.T) {
				t.Parallel()
				maxRequests, maxWork := 0.0, 0.0
				for seed := range uint64(*warmingSeeds) {
					scenario := fleetScenario()
					scenario.Seed, scenario.InstanceCount, scenario.BackendCount, scenario.Duration = seed+1, size.instances, size.backends, 12*time.Second
					scenario.Clients.RequestsPerSecond *= float64(size.backends) / 60
					scenario.Clients.RateSpread, scenario.CollapseDisabled, scenario.CollapseFactor = 3, true, warming.collapseFactor
					scenario.Discovery.WatchesPerSecond = max(60, float64(size.instances))
					scenario.Events = []ScheduledEvent{{3 * time.Second, func(e *Emulation) { e.RestartBackends(warming.fraction) }}}
					e, err := New(scenario)
					if err != nil {
						t.Fatal(err)
					}
					r := e.Run()
					maxRequests, maxWork = max(maxRequests, r.MaxWarmingRequests), max(maxWork, r.MaxWarmingWork)
					for _, violation := range r.Violations {
						t.Errorf("seed %d: %s", seed+1, violation)
					}
				}
				t.Logf("highest load of a warming backend relative to random variation: %.2f by requests, %.2f by work", maxRequests, maxWork)
				if maxRequests > 1 {
					t.Errorf("load of a warming backend is %.2f times what random variation explains, want at most 1", maxRequests)
				}
			})
		}
	}
}

// TestAllBackendsWarmUp guards against unserved requests while and after all backends warm up at the same time.
func TestAllBackendsWarmUp(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		allBackendsWarmUp(t, seed+1)
	}
}

func allBackendsWarmUp(t *testing.T, seed uint64) {
	scenario := fleetScenario()
	scenario.Seed = seed
	scenario.Clients.RequestsPerSecond = 900
	scenario.Events = []ScheduledEvent{{3 * time.Second, func(e *Emulation) { e.RestartAllBackends() }}}
	r := run(t, scenario)
	if s := r.Sum(5, 8); s.ServedFraction() < 0.4 || s.WarmingAttempts == 0 {
		t.Errorf("served fraction %.3f while all backends are warming up, want at least 0.4", s.ServedFraction())
	}
	if s := r.Sum(16, 20); s.ServedFraction() < 0.93 {
		t.Errorf("served fraction %.3f after all backends have warmed up, want at least 0.93", s.ServedFraction())
	}
}
