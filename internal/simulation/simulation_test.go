package simulation

import (
	"bytes"
	"os"
	"strconv"
	"testing"
)

// seeds returns the number of seeds that a test runs: usual, or that of SORRELRUDDER_SEEDS.
func seeds(usual int) int {
	if n, err := strconv.Atoi(os.Getenv("SORRELRUDDER_SEEDS")); err == nil {
		return n
	}
	if raceEnabled { // a run is one goroutine; .ci/run runs more seeds without the detector
		return 1
	}
	return usual
}

func TestNoViolations(t *testing.T) {
	for seed := range seeds(40) {
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

// firstSeeds are seeds shortly before those that find a bug that shows only in one of hundreds of runs. With SORRELRUDDER_SEEDS all start
// at 0.
var firstSeeds = map[InjectedBug]uint64{BugUnconfirmedLeader: 126, BugWallClockRamp: 52, BugCommandRepeated: 85}

// TestInjectedBugsAreFound checks that the observer finds each injected bug.
func TestInjectedBugsAreFound(t *testing.T) {
	for _, bug := range InjectedBugs {
		t.Run(string(bug), func(t *testing.T) {
			if raceEnabled {
				t.Skip("runs without the race detector only")
			}
			first := firstSeeds[bug]
			if os.Getenv("SORRELRUDDER_SEEDS") != "" {
				first = 0
			}
			for seed := first; seed < 2000; seed++ {
				if o := Run(Options{Seed: seed, Bug: bug, SharedState: bug.NeedsSharedState(), ZoneFailover: bug.NeedsZoneFailover()}); o.Violation != "" {
					t.Logf("seed %d: %v: %s", seed, o.ViolatedAt, o.Violation)
					return
				}
			}
			t.Error("not found in 2000 seeds")
		})
	}
}
