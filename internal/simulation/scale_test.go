package simulation

import (
	"testing"
	"time"

	"sorrelrudder/internal/gossip"
)

// scaleOptions returns the options of a fleet of a size, in which a fraction of all messages is lost.
func scaleOptions(size int, loss float64) ScaleOptions {
	cfg := gossip.DefaultConfig()
	cfg.Kinds, cfg.DecidedKinds = []string{"dead"}, []string{"order"}
	return ScaleOptions{Seed: 1, Size: size, Loss: loss, WriteCount: 20, KillCount: 3, RestDuration: 10 * time.Second, StartupWindow: time.Second, Gossip: cfg, RestartCount: max(1, size/10)}
}

// TestScale checks that writes reach all processes, that deaths are detected, that no live process is declared dead without loss, that
// restarted processes catch up, and that the idle traffic per process does not grow with the size of the fleet.
func TestScale(t *testing.T) {
	for _, loss := range []float64{0, 0.3} {
		var rest []float64
		for _, size := range []int{10, 60} {
			r := RunScale(scaleOptions(size, loss))
			t.Logf("%+v", r)
			if r.IncompleteWrites > 0 || r.WriteP99Seconds > 4 || r.DetectionP50Seconds == 0 || r.DetectionMaxSeconds > 60 || r.CatchUpSeconds > 20 || r.ConvergedSeconds > 60 {
				t.Errorf("fleet of %d processes with message loss %g: a measurement exceeds its bound: %+v", size, loss, r)
			}
			if loss == 0 && r.FalseDeaths > 0 {
				t.Errorf("fleet of %d processes: %d live processes were declared dead, want 0", size, r.FalseDeaths)
			}
			rest = append(rest, r.BytesPerSecond)
		}
		if loss == 0 && rest[1] > 2*rest[0]+100 {
			t.Errorf("message loss %g: an idle process sends %.0f bytes/s in a fleet of 60 and %.0f bytes/s in a fleet of 10, want at most twice as much plus 100 bytes/s", loss, rest[1], rest[0])
		}
	}
}
