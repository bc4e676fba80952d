package fake

import (
	"math"
	"sync"
	"time"
)

// overloadWindow is the time over which a backend that may crash counts its requests.
const overloadWindow = time.Second

// crashModel has a backend that warms up crash if it gets more requests than it can bear. It starts warm.
type crashModel struct {
	mu       sync.Mutex  // guards the fields below
	arrivals []time.Time // of the last overloadWindow
	peak     float64     // the largest number of them while it warmed up, as a multiple of what it could bear
	crashes  int64
}

// recordArrival counts a request that comes while the backend bears rate requests a second, warming up or not, and reports whether
// it is one too many. A backend that warms up bears N + 3√N + 3 requests in a second, N being its rate: three standard deviations
// of evenly spread arrivals, and a few for the smallest rates.
func (m *crashModel) recordArrival(now time.Time, rate float64, warmingUp bool) (crashes bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.arrivals = append(m.arrivals, now)
	for now.Sub(m.arrivals[0]) > overloadWindow {
		m.arrivals = m.arrivals[1:]
	}
	if !warmingUp {
		return false
	}
	bearable := rate + 3*math.Sqrt(rate) + 3
	load := float64(len(m.arrivals))
	m.peak = max(m.peak, load/bearable)
	if load <= bearable {
		return false
	}
	m.crashes++
	m.arrivals = nil
	return true
}

func (m *crashModel) stats() (crashes int64, peak float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.crashes, m.peak
}
