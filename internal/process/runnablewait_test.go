package process

import (
	"math"
	"runtime"
	"sync"
	"testing"
	"time"
)

// TestQuantile guards against a quantile of the wrong bucket.
func TestQuantile(t *testing.T) {
	bounds := []float64{0, 0.001, 0.01, math.Inf(1)}
	for _, c := range []struct {
		counts []uint64
		q      float64
		want   time.Duration
	}{
		{[]uint64{0, 0, 0}, 0.99, 0},
		{[]uint64{99, 1, 0}, 0.99, time.Millisecond},
		{[]uint64{98, 2, 0}, 0.99, 10 * time.Millisecond},
		{[]uint64{0, 0, 5}, 0.5, 10 * time.Millisecond},
		{[]uint64{1, 0, 1}, 1, 10 * time.Millisecond},
	} {
		if got := quantile(c.counts, bounds, c.q); got != c.want {
			t.Errorf("quantile %v of %v: got %v, want %v", c.q, c.counts, got, c.want)
		}
	}
}

// TestRunnableWait guards against a measurement that misses goroutines which wait for a processor, or that counts a wait twice.
func TestRunnableWait(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	w := NewRunnableWait()
	const goroutines, busyTime = 64, 2 * time.Millisecond
	var all sync.WaitGroup
	for range goroutines { // the last one waits for all others
		all.Go(func() {
			for end := time.Now().Add(busyTime); time.Now().Before(end); {
			}
		})
	}
	all.Wait()
	if got := w.Quantile(1); got < busyTime {
		t.Errorf("longest wait %v, want at least %v", got, busyTime)
	}
	if got := w.Quantile(1); got > goroutines*busyTime/2 {
		t.Errorf("longest wait since then %v: waits are counted twice", got)
	}
}
