package h2

import (
	"net/http"
	"sync"
	"time"
)

// requestCounter counts the open requests of a connection, and reports when it becomes active or idle.
type requestCounter struct {
	http.Handler
	active   func(bool) // called with mu held: true when the first request begins, false when the last one ends
	handlers sync.WaitGroup

	mu         sync.Mutex // guards the fields below
	open       int
	lastChange time.Time // time at which a request last began or ended
}

// ServeHTTP implements http.Handler.
func (c *requestCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.handlers.Add(1)
	defer c.handlers.Done()
	c.add(1)
	defer c.add(-1)
	c.Handler.ServeHTTP(w, r)
}

// add changes the number of open requests by 1 or -1.
func (c *requestCounter) add(delta int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.open
	c.open += delta
	c.lastChange = time.Now()
	if before == 0 || c.open == 0 {
		c.active(c.open > 0)
	}
}

// idleFor reports whether no request has been open for at least d.
func (c *requestCounter) idleFor(d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open == 0 && time.Since(c.lastChange) >= d
}

// wait blocks until all handlers have returned. The contexts of their requests are canceled when the connection ends.
func (c *requestCounter) wait() { c.handlers.Wait() }
