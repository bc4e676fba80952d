package upstream

import "sorrelrudder/policy"

// Peer is one process of an endpoint, at one address.
type Peer struct {
	addr    string
	started policy.Time

	// Guarded by ConnPool.mu.
	retired bool    // it is not listed any more, and keeps no connection
	idle    []*Conn // longest idle first
}

// NewPeer returns the process of an endpoint that listens at addr and started at the time given; 0: long ago.
func NewPeer(addr string, started policy.Time) *Peer { return &Peer{addr: addr, started: started} }

// Addr returns the address at which the process listens.
func (p *Peer) Addr() string { return p.addr }

// Started returns when the process started, in the decision module's time; 0: long ago.
func (p *Peer) Started() policy.Time { return p.started }
