// Package metrics counts, for operators, what became of the requests of one process, by class. It knows neither sockets nor
// clocks nor how its figures are told.
package metrics

import (
	"maps"
	"sync"
	"sync/atomic"
)

// Outcome is how a request ended, as its client was told.
type Outcome int

// The outcomes.
const (
	Succeeded Outcome = iota // served
	Rejected                 // refused: asking again is harmless
	Failed                   // failed
	outcomeCount
)

// OutcomeOfStatus is the outcome that an HTTP status tells a client, by the platform's protocol.
func OutcomeOfStatus(status int) Outcome {
	switch status {
	case 200:
		return Succeeded
	case 429, 503:
		return Rejected
	}
	return Failed
}

// ClassCounts is what became of the requests of one class since the process started.
type ClassCounts struct {
	Succeeded int64 `json:"succeeded"`
	Rejected  int64 `json:"declined"`
	Failed    int64 `json:"aborted"`
}

// maxClasses bounds the classes that are counted where the settings name none: clients could name one with each request.
const maxClasses = 256

// RequestCounters are those of one process. It is safe for concurrent use; the zero value counts nothing yet.
type RequestCounters struct {
	forwardedAttempts atomic.Int64

	mu      sync.Mutex
	classes map[string]*ClassCounts
}

// Register makes a class appear with its figures at 0.
func (c *RequestCounters) Register(class string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.countsOf(class)
}

// countsOf returns the figures of a class, or nil where there are too many. The caller holds mu.
func (c *RequestCounters) countsOf(class string) *ClassCounts {
	k := c.classes[class]
	if k == nil && len(c.classes) < maxClasses {
		if c.classes == nil {
			c.classes = map[string]*ClassCounts{}
		}
		k = &ClassCounts{}
		c.classes[class] = k
	}
	return k
}

// RecordOutcome counts a request of a class that had its final answer.
func (c *RequestCounters) RecordOutcome(class string, o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.countsOf(class)
	if k == nil {
		return
	}
	switch o {
	case Succeeded:
		k.Succeeded++
	case Rejected:
		k.Rejected++
	default:
		k.Failed++
	}
}

// RecordForwardedAttempt counts an attempt whose last byte was written to a server.
func (c *RequestCounters) RecordForwardedAttempt() { c.forwardedAttempts.Add(1) }

// ForwardedAttempts is how many such attempts there were.
func (c *RequestCounters) ForwardedAttempts() int64 { return c.forwardedAttempts.Load() }

// Snapshot returns a copy of all figures, by class.
func (c *RequestCounters) Snapshot() map[string]ClassCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make(map[string]ClassCounts, len(c.classes))
	for name, k := range maps.All(c.classes) {
		all[name] = *k
	}
	return all
}
