package simulation

import (
	"testing"
	"time"

	"sorrelrudder/internal/gossip"
)

func scaleDay(size int, loss float64) ScaleOptions {
	cfg := gossip.DefaultConfig()
	cfg.Kinds, cfg.DecidedKinds = []string{"dead"}, []string{"order"}
	return ScaleOptions{Seed: 1, Size: size, Loss: loss, Writes: 20, Killed: 3, Length: 10 * time.Second, Wake: time.Second, Start: cfg, Restart: max(1, size/10)}
}

// TestScale: what one writes all have soon, the dead are missed and the living are not, and those that return catch up; the bytes that one
// sends at rest do not grow with the fleet.
func TestScale(t *testing.T) {
	for _, loss := range []float64{0, 0.3} {
		var rest []float64
		for _, size := range []int{10, 60} {
			r := Scale(scaleDay(size, loss))
			t.Logf("%+v", r)
			if r.Missed > 0 || r.ConvergeP9 > 4 || r.DeadP50 == 0 || r.DeadMost > 60 || r.CatchupS > 20 || r.InStepS > 60 {
				t.Errorf("%d processes, %g lost: %+v", size, loss, r)
			}
			if loss == 0 && r.False > 0 {
				t.Errorf("%d processes: %d that live were held for dead", size, r.False)
			}
			rest = append(rest, r.Bytes)
		}
		if loss == 0 && rest[1] > 2*rest[0]+100 {
			t.Errorf("%g lost: %.0f bytes a second of one in 60, %.0f in 10", loss, rest[1], rest[0])
		}
	}
}
