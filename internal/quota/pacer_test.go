package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestPacer checks that no pool is delayed while the CPU is not overloaded, and that a single pool or a pool within its fair share is
// never delayed. While the CPU is overloaded, a pool above its fair share must be delayed.
func TestPacer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPacer()
		weights := rapid.SliceOfN(rapid.Float64Range(0.1, 10), 1, 5).Draw(t, "weights")
		sum := 0.0
		for i, w := range weights {
			p.Set(PoolID(i+1), w)
			sum += w
		}
		overloaded := rapid.Bool().Draw(t, "overloaded")
		for range 30 {
			if overloaded {
				p.RecordLag(20 * time.Millisecond)
			} else {
				p.RecordLag(100 * time.Microsecond)
			}
		}
		now := time.Duration(0)
		work := make([]float64, len(weights))
		total := 0.0
		for range 50 {
			i := rapid.IntRange(0, len(weights)-1).Draw(t, "pool")
			n := rapid.Float64Range(0, 10).Draw(t, "work")
			p.RecordWork(now, PoolID(i+1), n)
			work[i] += n
			total += n
		}
		for i := range weights {
			delay := p.ReadDelay(now, PoolID(i+1), 0)
			excess := work[i]/max(total, 1e-9) - weights[i]/sum
			switch {
			case delay < 0 || delay > maxReadDelay:
				t.Fatalf("pool is delayed by %v, want 0 to maxReadDelay", delay)
			case delay > 0 && (!overloaded || len(weights) == 1 || excess <= 0.1-1e-9):
				t.Fatalf("pool %d is delayed by %v, want no delay: overloaded %v, %d pools, %.2f above its fair share", i+1, delay, overloaded, len(weights), excess)
			case delay == 0 && overloaded && len(weights) > 1 && excess > 0.11:
				t.Fatalf("pool %d is not delayed although the CPU is overloaded and the pool is %.2f above its fair share", i+1, excess)
			}
		}
		if a, b := p.ReadDelay(now, 1, 1), p.ReadDelay(now, 1, 4); a <= 0 || b < a || b > maxReadDelay {
			t.Fatalf("the delay is %v after one rejection and %v after four, want both above 0, no decrease, and at most maxReadDelay", a, b)
		}
		p.Remove(1)
		p.RecordWork(now+time.Hour, 2, 1)
		if p.totalWork > 1+1e-9 {
			t.Fatalf("total work is %v one hour later with 1 unit of new work, want 1", p.totalWork)
		}
	})
}
