// Package metrics counts the requests of one process by class and outcome, for operators. It does not depend on sockets, clocks or the way
// in which the counts are published.
package metrics

import (
	"net/http"
	"sync"
	"sync/atomic"
)

// Outcome is the result of a request as its client sees it.
type Outcome int

// Outcomes of a request.
const (
	Succeeded Outcome = iota
	Rejected          // not served; a retry is harmless
	Failed
)

// OutcomeOfStatus returns the outcome that an HTTP status has in the platform's protocol.
func OutcomeOfStatus(status int) Outcome {
	switch status {
	case http.StatusOK:
		return Succeeded
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return Rejected
	}
	return Failed
}

// ClassCounts holds the number of requests of one class by outcome since the process started. Its JSON keys are those of the platform's
// protocol.
type ClassCounts struct {
	Succeeded int64 `json:"succeeded"`
	Rejected  int64 `json:"declined"`
	Failed    int64 `json:"aborted"`
}

// maxClasses bounds the number of classes that are counted. If the settings define no classes, a client could name a new one with each
// request.
const maxClasses = 256

// RequestCounters counts the requests and attempts of one process. The zero value is ready to use. Its methods are safe for concurrent use.
type RequestCounters struct {
	forwardedAttempts atomic.Int64

	mu      sync.Mutex // guards classes and the counts in it
	classes map[string]*ClassCounts
}

// Register adds a class to Snapshot before its first request has ended.
func (c *RequestCounters) Register(class string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.countsOf(class)
}

// countsOf returns the counts of a class, which it adds if necessary, or nil if there are too many classes. The caller holds mu.
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

// RecordOutcome counts a request of a class whose final response was sent.
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

// RecordAttemptWritten counts an attempt that was written to an endpoint completely.
func (c *RequestCounters) RecordAttemptWritten() { c.forwardedAttempts.Add(1) }

// ForwardedAttempts returns the number of attempts that were written completely.
func (c *RequestCounters) ForwardedAttempts() int64 { return c.forwardedAttempts.Load() }

// Snapshot returns a copy of the counts by class.
func (c *RequestCounters) Snapshot() map[string]ClassCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make(map[string]ClassCounts, len(c.classes))
	for class, counts := range c.classes {
		all[class] = *counts
	}
	return all
}
