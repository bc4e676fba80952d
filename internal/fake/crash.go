package fake

import (
	"math"
	"sync"
	"time"
)

// overloadWindow is the period over which a crashModel counts arrivals.
const overloadWindow = time.Second

// crashModel decides when a backend crashes because it received too many requests during slow start. The backend starts at full
// capacity.
type crashModel struct {
	mu       sync.Mutex  // guards the fields below
	arrivals []time.Time // within the last overloadWindow
	peak     float64     // largest number of arrivals in a window during slow start, as a multiple of the allowed number
	crashes  int64
}

// recordArrival counts a request and reports whether it crashes the backend. rate is the present throughput of the backend in
// requests per second. During slow start, a backend handles N + 3√N + 3 requests in a second, where N is the rate. The term 3√N
// is three standard deviations of Poisson arrivals. The constant 3 allows for the smallest rates. A backend that is not warming
// up never crashes.
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
	limit := rate + 3*math.Sqrt(rate) + 3
	load := float64(len(m.arrivals))
	m.peak = max(m.peak, load/limit)
	if load <= limit {
		return false
	}
	m.crashes++
	m.arrivals = nil
	return true
}

// stats returns the number of crashes and the peak load.
func (m *crashModel) stats() (crashes int64, peak float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.crashes, m.peak
}
