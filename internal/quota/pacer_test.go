package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestPacer checks that a pool that is alone or within its fair share is not delayed, nor any while the processor is not
// overloaded, and that the pool that does most of the work is delayed while it is.
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
				t.Fatalf("delayed by %v", delay)
			case delay > 0 && (!overloaded || len(weights) == 1 || excess <= 0.1-1e-9):
				t.Fatalf("pool %d delayed by %v: overloaded %v, %d pools, in excess by %.2f", i+1, delay, overloaded, len(weights), excess)
			case delay == 0 && overloaded && len(weights) > 1 && excess > 0.11:
				t.Fatalf("pool %d, in excess by %.2f, not delayed while overloaded", i+1, excess)
			}
		}
		if a, b := p.ReadDelay(now, 1, 1), p.ReadDelay(now, 1, 4); a <= 0 || b < a || b > maxReadDelay {
			t.Fatalf("delayed by %v after one rejection and %v after four", a, b)
		}
		p.Remove(1)
		p.RecordWork(now+time.Hour, 2, 1)
		if p.totalWork > 1+1e-9 {
			t.Fatalf("work of an hour ago counts: %v", p.totalWork)
		}
	})
}
