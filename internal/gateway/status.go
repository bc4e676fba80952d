package gateway

import (
	"errors"
	"fmt"
	"runtime"

	"sorrelrudder/internal/admin"
)

var (
	errDraining     = errors.New("the process is draining")
	errNotListening = errors.New("the process takes no clients yet")
)

// Load is a snapshot of the objects that the process holds.
type Load struct {
	Pools      int // pools in force
	Draining   int // removed pools with open requests
	Requests   int // open requests of the pools in force
	Timers     int // timers of the pools in force
	Endpoints  int // endpoints of the pools in force
	Clients    int // connections of clients
	Goroutines int
}

// Load returns the current load of the process.
func (g *Gateway) Load() Load {
	load := Load{
		Draining:   len(g.quotas.retiredPools()),
		Clients:    g.clientServer.ConnectionCount(),
		Goroutines: runtime.NumGoroutine(),
	}
	for _, p := range g.table.Load().pools {
		requests, timers, endpoints := p.pool.Counts()
		load.Pools++
		load.Requests += requests
		load.Timers += timers
		load.Endpoints += endpoints
	}
	return load
}

// String returns the current load as text for log lines.
func (g *Gateway) String() string {
	l := g.Load()
	return fmt.Sprintf("%d pools, %d draining, %d requests, %d timers, %d upstreams, %d clients, %d goroutines",
		l.Pools, l.Draining, l.Requests, l.Timers, l.Endpoints, l.Clients, l.Goroutines)
}

// Ready implements admin.Process. It returns nil if every pool can serve requests, and otherwise an error with the reason.
func (g *Gateway) Ready() error {
	switch {
	case g.draining.Load():
		return errDraining
	case !g.listening.Load():
		return errNotListening
	}
	for name, p := range g.table.Load().pools {
		if serves, _ := p.pool.Readiness(); !serves {
			return fmt.Errorf("pool %q has no ready server", name)
		}
	}
	return nil
}

// Vars implements admin.Process. The counters include removed pools; the gauges are sums over the pools in force.
func (g *Gateway) Vars() admin.Vars {
	v := admin.Vars{Results: g.counters.Snapshot(), Forwards: g.counters.ForwardedAttempts()}
	for _, p := range g.table.Load().pools {
		stats := p.pool.Stats()
		v.Outstanding += stats.Outstanding
		v.Discovered += stats.Endpoints
		v.Ejected += stats.Ejected
	}
	return v
}
