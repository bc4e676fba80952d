package gateway

import (
	"sorrelrudder/internal/keepalive"
	"sorrelrudder/internal/pool"
)

// LearnedState is what a process has learned of clients and servers, for the process that replaces it with the same pools.
// Nothing depends on it: what is missing or wrong in it is learned anew.
type LearnedState struct {
	Clients keepalive.History            `json:"Clients"` // by pool, in the order of their IDs
	Pools   map[string]pool.LearnedState `json:"Pools"`
}

// ExportLearnedState returns what has been learned so far.
func (g *Gateway) ExportLearnedState() LearnedState {
	l := LearnedState{Clients: g.clientServer.ExportLearnedState(), Pools: map[string]pool.LearnedState{}}
	for name, p := range g.table.Load().pools {
		l.Pools[name] = p.pool.ExportLearnedState()
	}
	return l
}

// ImportLearnedState adds what another process has learned.
func (g *Gateway) ImportLearnedState(l LearnedState) {
	g.clientServer.ImportLearnedState(l.Clients)
	for name, p := range g.table.Load().pools {
		if state, known := l.Pools[name]; known {
			p.pool.ImportLearnedState(state)
		}
	}
}
