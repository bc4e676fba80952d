package emulator

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

// warmingSeeds is how many seeds TestWarmingBudget runs of each case. With two or more it also runs the large fleets.
var warmingSeeds = flag.Int("cold.seeds", 1, "days of each size and share in TestColdBudget")

// TestWarmingBudget checks that the instances together do not overload a backend that is warming up, also where the fleet is small, where
// all backends warm up at once, and where the instances' traffic is uneven.
func TestWarmingBudget(t *testing.T) {
	for _, size := range []struct{ instances, servers int }{{5, 8}, {20, 14}, {30, 20}, {80, 60}, {300, 200}} {
		if size.instances > 30 && *warmingSeeds < 2 {
			continue // minutes with -race
		}
		// A collapse factor below the usual 2.5 makes the budget smaller.
		for _, cold := range []struct{ part, tip float64 }{{1, 2.5}, {1, 2}, {0.5, 2.5}, {0.5, 1.5}} {
			t.Run(fmt.Sprintf("%d instances, %.0f%% cold, tip %v", size.instances, 100*cold.part, cold.tip), func(t *testing.T) {
				t.Parallel()
				worst, work := 0.0, 0.0
				for seed := range uint64(*warmingSeeds) {
					scenario := fleetScenario()
					scenario.Seed, scenario.InstanceCount, scenario.BackendCount, scenario.Duration = seed+1, size.instances, size.servers, 12*time.Second
					scenario.Clients.RequestsPerSecond *= float64(size.servers) / 60
					scenario.Clients.RateSpread, scenario.CollapseDisabled, scenario.CollapseFactor = 3, true, cold.tip
					scenario.Discovery.WatchesPerSecond = max(60, float64(size.instances))
					scenario.Events = []ScheduledEvent{{3 * time.Second, func(e *Emulation) { e.RestartBackends(cold.part) }}}
					e, err := New(scenario)
					if err != nil {
						t.Fatal(err)
					}
					r := e.Run()
					worst, work = max(worst, r.MaxWarmingRequests), max(work, r.MaxWarmingWork)
					for _, b := range r.Violations {
						t.Errorf("seed %d: %s", seed+1, b)
					}
				}
				t.Logf("most sent to a warming backend, of what is chance: %.2f; by work %.2f", worst, work)
				if worst > 1 {
					t.Errorf("a warming backend was sent %.2f of what may be put down to chance", worst)
				}
			})
		}
	}
}

// All backends warm up at once.
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
		t.Errorf("served fraction %.3f while all are cold", s.ServedFraction())
	}
	if s := r.Sum(16, 20); s.ServedFraction() < 0.93 {
		t.Errorf("served fraction %.3f once they are warm", s.ServedFraction())
	}
}
