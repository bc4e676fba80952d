package gateway

import (
	"sorrelrudder/internal/keepalive"
	"sorrelrudder/internal/pool"
)

// LearnedState is what a process has learnt of clients and servers, for one that takes its place with the same pools. It is a help
// and no truth: whatever is missing or wrong in it is learnt anew.
type LearnedState struct {
	Clients keepalive.History            `json:"Clients"` // by pool, in the order of their keys
	Pools   map[string]pool.LearnedState `json:"Pools"`
}

// ExportLearnedState returns what has been learnt so far.
func (g *Gateway) ExportLearnedState() LearnedState {
	l := LearnedState{Clients: g.server.ExportLearnedState(), Pools: map[string]pool.LearnedState{}}
	for name, m := range g.table.Load().pools {
		l.Pools[name] = m.pool.ExportLearnedState()
	}
	return l
}

// ImportLearnedState takes it over.
func (g *Gateway) ImportLearnedState(l LearnedState) {
	g.server.ImportLearnedState(l.Clients)
	for name, m := range g.table.Load().pools {
		if of, known := l.Pools[name]; known {
			m.pool.ImportLearnedState(of)
		}
	}
}
