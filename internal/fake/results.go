package fake

import (
	"slices"
	"sync"
	"time"
)

// Outcome is the result of an operation as its client sees it.
type Outcome int

// The outcomes.
const (
	OutcomeServed   Outcome = iota // within the latency objective
	OutcomeLate                    // served after the latency objective
	OutcomeRejected                // the last attempt was rejected
	OutcomeFailed                  // the last attempt failed
	OutcomeUnsent                  // not sent, because of too many operations in flight or the connection limit
	outcomeCount
)

// String returns the name used in reports.
func (o Outcome) String() string {
	return [...]string{"served", "late", "refused", "failed", "unsent"}[o]
}

// ClientResults are the results of the operations of clients. The fields may be read once RunClients has returned.
type ClientResults struct {
	mu                 sync.Mutex // guards all fields while clients run
	Outcomes           [outcomeCount]int
	Attempts           int
	Connections        int             // opened
	Reused             int             // attempts on a connection that was used before
	ClosedBeforeReuse  int             // reused connections that the program had closed, so that the attempt was sent again
	ConnectionLimited  int             // attempts that were not sent because of the connection limit
	Statuses           map[int]int     // number of responses by status
	Latencies          []time.Duration // of served operations, late ones included, from the start of the operation
	RejectionLatencies []time.Duration // from the start of an attempt to its rejection
	OfferedWeight      float64         // priority weight of all operations
	ServedWeight       float64         // priority weight of operations served within the latency objective
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

// Percentile returns the latency below which the fraction p of the served operations lies, with p from 0 to 1. It returns 0 if
// no operation was served.
func (r *ClientResults) Percentile(p float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return percentile(r.Latencies, p)
}

// RejectionPercentile returns the latency below which the fraction p of the rejections lies, with p from 0 to 1. It returns 0
// if there was no rejection.
func (r *ClientResults) RejectionPercentile(p float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return percentile(r.RejectionLatencies, p)
}

// percentile returns the duration below which the fraction p of all lies, or 0 if all is empty.
func percentile(all []time.Duration, p float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(all))
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

// Operations returns the number of operations.
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

// recordOperation records the outcome of an operation. latency is ignored unless the operation was served.
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
