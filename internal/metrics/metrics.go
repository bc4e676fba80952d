// Package metrics counts, for operators, how the requests of one process have ended, by class. It knows neither sockets nor
// clocks, nor how its counts are published.
package metrics

import (
	"net/http"
	"sync"
	"sync/atomic"
)

// Outcome is how a request has ended, as its client was told.
type Outcome int

// The outcomes.
const (
	Succeeded Outcome = iota
	Rejected          // not served; a retry is harmless
	Failed
)

// OutcomeOfStatus returns the outcome that an HTTP status tells a client by the platform's protocol.
func OutcomeOfStatus(status int) Outcome {
	switch status {
	case http.StatusOK:
		return Succeeded
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return Rejected
	}
	return Failed
}

// ClassCounts is how many requests of one class have ended in each way since the process started. Its JSON names are those
// of the platform's protocol.
type ClassCounts struct {
	Succeeded int64 `json:"succeeded"`
	Rejected  int64 `json:"declined"`
	Failed    int64 `json:"aborted"`
}

// maxClasses bounds the classes that are counted: where the settings name none, clients could name one with each request.
const maxClasses = 256

// RequestCounters are the counts of one process. The zero value has counted nothing. Its methods are safe for concurrent
// use.
type RequestCounters struct {
	forwardedAttempts atomic.Int64

	mu      sync.Mutex // guards classes and what it points to
	classes map[string]*ClassCounts
}

// Register makes a class appear in Snapshot before a request of it has ended.
func (c *RequestCounters) Register(class string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.countsOf(class)
}

// countsOf returns the counts of a class, or nil if there are too many classes. The caller holds mu.
func (c *RequestCounters) countsOf(class string) *ClassCounts {
	counts := c.classes[class]
	if counts == nil && len(c.classes) < maxClasses {
		if c.classes == nil {
			c.classes = map[string]*ClassCounts{}
		}
		counts = &ClassCounts{}
		c.classes[class] = counts
	}
	return counts
}

// RecordOutcome counts a request of a class that has had its final response.
func (c *RequestCounters) RecordOutcome(class string, o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.countsOf(class)
	if counts == nil {
		return
	}
	switch o {
	case Succeeded:
		counts.Succeeded++
	case Rejected:
		counts.Rejected++
	default:
		counts.Failed++
	}
}

// RecordAttemptWritten counts an attempt whose last byte was written to an endpoint.
func (c *RequestCounters) RecordAttemptWritten() { c.forwardedAttempts.Add(1) }

// ForwardedAttempts returns the number of such attempts.
func (c *RequestCounters) ForwardedAttempts() int64 { return c.forwardedAttempts.Load() }

// Snapshot returns a copy of the counts, by class.
func (c *RequestCounters) Snapshot() map[string]ClassCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make(map[string]ClassCounts, len(c.classes))
	for class, counts := range c.classes {
		all[class] = *counts
	}
	return all
}
