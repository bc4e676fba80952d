package upstream

import "sorrelrudder/policy"

// Peer is one process of an endpoint, at one address. An endpoint that restarts or moves gets a new Peer.
type Peer struct {
	addr    string
	started policy.Time

	responseTime responseTime

	// Guarded by ConnPool.mu.
	retired bool    // it is no longer on the endpoint list; its connections are not kept
	idle    []*Conn // least recently used first
}

// NewPeer returns the process of an endpoint that listens at addr and was started at the given time, in the decision module's time; 0
// means long ago.
func NewPeer(addr string, started policy.Time) *Peer { return &Peer{addr: addr, started: started} }

// Addr returns the address on which the process listens.
func (p *Peer) Addr() string { return p.addr }

// Started returns when the process was started, in the decision module's time; 0 means long ago.
func (p *Peer) Started() policy.Time { return p.started }
