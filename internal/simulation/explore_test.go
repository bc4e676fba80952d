package simulation

import (
	"bytes"
	"os"
	"strconv"
	"testing"
)

// seeds is how many runs the tests play; more are played with SORRELRUDDER_SEEDS.
func seeds(_ *testing.T, usual int) int {
	if n, err := strconv.Atoi(os.Getenv("SORRELRUDDER_SEEDS")); err == nil {
		return n
	}
	if raced { // one goroutine has no races; .ci/run plays more without the detector, beside nothing else
		return 1
	}
	return usual
}

func TestNoViolations(t *testing.T) {
	for seed := range seeds(t, 40) {
		if o := Run(Options{Seed: uint64(seed), SharedState: seed%2 == 1, ZoneFailover: seed%4 == 3}); o.Violation != "" {
			t.Errorf("seed %d: %v: %s", seed, o.ViolatedAt, o.Violation)
		}
	}
}

func TestSameSeedSameRun(t *testing.T) {
	for seed := uint64(1); seed <= 1; seed++ {
		var a, b bytes.Buffer
		x, y := Run(Options{Seed: seed, Trace: &a, SharedState: true, ZoneFailover: true}), Run(Options{Seed: seed, Trace: &b, SharedState: true, ZoneFailover: true})
		if x.Hash != y.Hash || !bytes.Equal(a.Bytes(), b.Bytes()) {
			t.Errorf("seed %d: two runs differ", seed)
		}
	}
}

// foundBy are seeds shortly before those that find a mistake only in one of hundreds of runs; SORRELRUDDER_SEEDS begins at 0 for all.
var foundBy = map[InjectedBug]uint64{BugUnconfirmedLeader: 126, BugWallClockRamp: 52, BugCommandRepeated: 85}

// TestInjectedBugsAreFound guards against an explorer that finds nothing because it looks at nothing.
func TestInjectedBugsAreFound(t *testing.T) {
	for _, plant := range InjectedBugs {
		t.Run(string(plant), func(t *testing.T) {
			if raced {
				t.Skip("played without the race detector")
			}
			first := foundBy[plant]
			if os.Getenv("SORRELRUDDER_SEEDS") != "" {
				first = 0
			}
			for seed := first; seed < 2000; seed++ {
				if o := Run(Options{Seed: seed, Bug: plant, SharedState: plant.NeedsSharedState(), ZoneFailover: plant.NeedsZoneFailover()}); o.Violation != "" {
					t.Logf("seed %d: %v: %s", seed, o.ViolatedAt, o.Violation)
					return
				}
			}
			t.Error("not found in 2000 seeds")
		})
	}
}
