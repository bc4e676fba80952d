package h2

import (
	"net/http"
	"sync"
	"time"
)

// requestCounter counts the open requests of a connection, and reports when it becomes active or idle.
type requestCounter struct {
	http.Handler
	active   func(bool) // called under mu when the first request begins and the last one ends
	handlers sync.WaitGroup

	mu         sync.Mutex // guards the fields below
	open       int
	lastChange time.Time // when a request last began or ended
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

// idleFor reports whether no request has been open for at least that time.
func (c *requestCounter) idleFor(d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open == 0 && time.Since(c.lastChange) >= d
}

// wait returns once all handlers have returned. Their requests' contexts end with the connection.
func (c *requestCounter) wait() { c.handlers.Wait() }
