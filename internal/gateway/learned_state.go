package gateway

import (
	"sorrelrudder/internal/keepalive"
	"sorrelrudder/internal/pool"
)

// LearnedState is what a process has learned about clients and endpoints. It is handed to the process that replaces this one with the same
// pools. It only saves time: values that are missing or wrong are learned anew.
type LearnedState struct {
	Clients keepalive.History            `json:"Clients"` // by pool, ordered by pool ID
	Pools   map[string]pool.LearnedState `json:"Pools"`   // by pool name
}

// ExportLearnedState returns the state that the gateway and its pools have learned so far.
func (g *Gateway) ExportLearnedState() LearnedState {
	l := LearnedState{Clients: g.clientServer.ExportLearnedState(), Pools: map[string]pool.LearnedState{}}
	for name, p := range g.table.Load().pools {
		l.Pools[name] = p.pool.ExportLearnedState()
	}
	return l
}

// ImportLearnedState adds the state that another process has learned. State of unknown pools is ignored.
func (g *Gateway) ImportLearnedState(l LearnedState) {
	g.clientServer.ImportLearnedState(l.Clients)
	for name, p := range g.table.Load().pools {
		if state, known := l.Pools[name]; known {
			p.pool.ImportLearnedState(state)
		}
	}
}

// ShareRequestIDs makes the pools exchange the ids of their requests with other processes of the same sidecar; see pool.Pool.ShareIDs.
func (g *Gateway) ShareRequestIDs(shared pool.SharedIDs) {
	for _, p := range g.table.Load().pools {
		p.pool.ShareIDs(shared)
	}
}
