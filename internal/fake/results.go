package fake

import (
	"slices"
	"sync"
	"time"
)

// Outcome is how an operation ended for its client.
type Outcome int

// The outcomes.
const (
	OutcomeServed   Outcome = iota // within the latency objective
	OutcomeLate                    // served after the latency objective
	OutcomeRejected                // the last attempt was rejected
	OutcomeFailed                  // the last attempt failed
	OutcomeUnsent                  // not sent, for too many operations in flight or no connection
	outcomeCount
)

// String returns the word that reports use.
func (o Outcome) String() string {
	return [...]string{"served", "late", "refused", "failed", "unsent"}[o]
}

// ClientResults are what became of the operations of clients. The fields may be read once RunClients has returned.
type ClientResults struct {
	mu                 sync.Mutex // guards all fields while clients run
	Outcomes           [outcomeCount]int
	Attempts           int
	Connections        int             // that were opened
	Reused             int             // attempts on a connection used before
	ClosedBeforeReuse  int             // of them, those that found it closed by the program, and were sent once more
	ConnectionLimited  int             // attempts not sent, at the limit of the clients' connections
	Statuses           map[int]int     // of all attempts
	Latencies          []time.Duration // of the operations that were served, from their first attempt on
	RejectionLatencies []time.Duration // from an attempt to its rejection
	OfferedWeight      float64         // priority weight of all operations
	ServedWeight       float64         // priority weight of those served within the latency objective
}

func newClientResults() *ClientResults { return &ClientResults{Statuses: map[int]int{}} }

// ServedFraction returns the fraction of the offered weight that was served within the latency objective.
func (r *ClientResults) ServedFraction() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.OfferedWeight == 0 {
		return 0
	}
	return r.ServedWeight / r.OfferedWeight
}

// Percentile returns the latency below which the fraction p, 0 to 1, of the served operations lies; 0 if none was served.
func (r *ClientResults) Percentile(p float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return percentile(r.Latencies, p)
}

// RejectionPercentile returns the same of rejections.
func (r *ClientResults) RejectionPercentile(p float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return percentile(r.RejectionLatencies, p)
}

func percentile(all []time.Duration, p float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(all))
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

// Operations returns how many operations there were.
func (r *ClientResults) Operations() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, count := range r.Outcomes {
		n += count
	}
	return n
}

// Merge returns the sum of two results.
func (r *ClientResults) Merge(other *ClientResults) *ClientResults {
	sum := newClientResults()
	sum.add(r)
	sum.add(other)
	return sum
}

func (r *ClientResults) add(other *ClientResults) {
	other.mu.Lock()
	defer other.mu.Unlock()
	for i, n := range other.Outcomes {
		r.Outcomes[i] += n
	}
	for status, n := range other.Statuses {
		r.Statuses[status] += n
	}
	r.Attempts += other.Attempts
	r.Connections += other.Connections
	r.Reused += other.Reused
	r.ClosedBeforeReuse += other.ClosedBeforeReuse
	r.ConnectionLimited += other.ConnectionLimited
	r.Latencies = append(r.Latencies, other.Latencies...)
	r.RejectionLatencies = append(r.RejectionLatencies, other.RejectionLatencies...)
	r.OfferedWeight += other.OfferedWeight
	r.ServedWeight += other.ServedWeight
}

// recordOperation records how an operation ended; the latency counts if it was served.
func (r *ClientResults) recordOperation(class *ClassLoad, outcome Outcome, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.OfferedWeight += class.PriorityWeight
	if outcome == OutcomeServed {
		r.ServedWeight += class.PriorityWeight
	}
	if outcome == OutcomeServed || outcome == OutcomeLate {
		r.Latencies = append(r.Latencies, latency)
	}
	r.Outcomes[outcome]++
}

func (r *ClientResults) recordAttempt(reused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Attempts++
	if reused {
		r.Reused++
	}
}

func (r *ClientResults) recordRejection(latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.RejectionLatencies = append(r.RejectionLatencies, latency)
}

func (r *ClientResults) recordStatus(status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Statuses[status]++
}

func (r *ClientResults) recordConnection() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Connections++
}

func (r *ClientResults) recordConnectionLimited() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ConnectionLimited++
}

func (r *ClientResults) recordClosedBeforeReuse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ClosedBeforeReuse++
}
