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
	Declined                 // refused: asking again is harmless
	Aborted                  // failed
	outcomes
)

// Of is the outcome that an HTTP status tells a client, by the platform's protocol.
func Of(status int) Outcome {
	switch status {
	case 200:
		return Succeeded
	case 429, 503:
		return Declined
	}
	return Aborted
}

// Class is what became of the requests of one class since the process started.
type Class struct {
	Succeeded int64 `json:"succeeded"`
	Declined  int64 `json:"declined"`
	Aborted   int64 `json:"aborted"`
}

// mostClasses bounds the classes that are counted where the settings name none: clients could name one with each request.
const mostClasses = 256

// Counts are those of one process. It is safe for concurrent use; the zero value counts nothing yet.
type Counts struct {
	forwards atomic.Int64

	mu      sync.Mutex
	classes map[string]*Class
}

// Name makes a class appear with its figures at 0.
func (c *Counts) Name(class string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.of(class)
}

// of returns the figures of a class, or nil where there are too many. The caller holds mu.
func (c *Counts) of(class string) *Class {
	k := c.classes[class]
	if k == nil && len(c.classes) < mostClasses {
		if c.classes == nil {
			c.classes = map[string]*Class{}
		}
		k = &Class{}
		c.classes[class] = k
	}
	return k
}

// Ended counts a request of a class that had its final answer.
func (c *Counts) Ended(class string, o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.of(class)
	if k == nil {
		return
	}
	switch o {
	case Succeeded:
		k.Succeeded++
	case Declined:
		k.Declined++
	default:
		k.Aborted++
	}
}

// Forwarded counts an attempt whose last byte was written to a server.
func (c *Counts) Forwarded() { c.forwards.Add(1) }

// Forwards is how many such attempts there were.
func (c *Counts) Forwards() int64 { return c.forwards.Load() }

// Classes returns a copy of all figures, by class.
func (c *Counts) Classes() map[string]Class {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make(map[string]Class, len(c.classes))
	for name, k := range maps.All(c.classes) {
		all[name] = *k
	}
	return all
}
