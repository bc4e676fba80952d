package simulation

import (
	"testing"
	"time"

	"sorrelrudder/internal/gossip"
)

// scaleOptions returns the options of a fleet of that size and loss.
func scaleOptions(size int, loss float64) ScaleOptions {
	cfg := gossip.DefaultConfig()
	cfg.Kinds, cfg.DecidedKinds = []string{"dead"}, []string{"order"}
	return ScaleOptions{Seed: 1, Size: size, Loss: loss, WriteCount: 20, KillCount: 3, RestDuration: 10 * time.Second, StartupWindow: time.Second, Gossip: cfg, RestartCount: max(1, size/10)}
}

// TestScale checks that writes reach all processes, that deaths are detected and living processes are not taken for dead, that restarted
// processes catch up, and that the traffic of a process at rest does not grow with the fleet.
func TestScale(t *testing.T) {
	for _, loss := range []float64{0, 0.3} {
		var rest []float64
		for _, size := range []int{10, 60} {
			r := RunScale(scaleOptions(size, loss))
			t.Logf("%+v", r)
			if r.IncompleteWrites > 0 || r.WriteP99Seconds > 4 || r.DetectionP50Seconds == 0 || r.DetectionMaxSeconds > 60 || r.CatchUpSeconds > 20 || r.ConvergedSeconds > 60 {
				t.Errorf("%d processes, %g lost: %+v", size, loss, r)
			}
			if loss == 0 && r.FalseDeaths > 0 {
				t.Errorf("%d processes: %d that live were taken for dead", size, r.FalseDeaths)
			}
			rest = append(rest, r.BytesPerSecond)
		}
		if loss == 0 && rest[1] > 2*rest[0]+100 {
			t.Errorf("%g lost: %.0f bytes a second of one in 60, %.0f in 10", loss, rest[1], rest[0])
		}
	}
}
