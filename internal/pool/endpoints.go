package pool

import (
	"sorrelrudder/internal/discovery"
	"sorrelrudder/internal/upstream"
	"sorrelrudder/policy"
)

// updateEndpoints takes a message about the endpoint list over and hands it to the decision module. The caller holds mu.
func (p *Pool) updateEndpoints(now policy.Time, kind policy.UpdateKind, l *discovery.EndpointList) {
	p.watch.accept(*l.Version, kind)
	update := make([]policy.Endpoint, len(l.Endpoints))
	listed := make(map[policy.EndpointID]bool, len(l.Endpoints))
	for i, e := range l.Endpoints {
		id := policy.EndpointID(e.ID)
		listed[id] = true
		update[i] = p.policyEndpoint(e)
		p.setPeer(id, update[i].State, e)
	}
	if kind != policy.UpdateDelta {
		for id := range p.peers {
			if !listed[id] {
				p.setPeer(id, policy.Removed, discovery.Endpoint{})
			}
		}
	}
	if p.onReadyCount != nil {
		p.onReadyCount(p.readyCount())
	}
	p.balancer.UpdateEndpoints(now, kind, update, p)
	if p.acceptsRequests != nil && !p.acceptsRequests() {
		p.rejectUnsent(now)
	}
}

// setPeer takes over what the list says of an endpoint. One that has restarted, moved or gone loses its connections, since another
// process may listen at its address. The caller holds mu.
func (p *Pool) setPeer(id policy.EndpointID, state policy.EndpointState, e discovery.Endpoint) {
	peer := p.peers[id]
	if peer != nil && (state == policy.Removed || peer.Addr() != e.Address || peer.Started() != p.clock.startTime(e.StartedMs)) {
		delete(p.peers, id)
		p.conns.Retire(peer)
		peer = nil
		p.reachability.clear(id)
	}
	p.endpoints[id] = e
	switch {
	case state == policy.Removed:
		delete(p.endpoints, id)
		p.exclusion.forget(string(id))
	case peer == nil:
		p.peers[id] = upstream.NewPeer(e.Address, p.clock.startTime(e.StartedMs))
	case state == policy.Draining:
		p.conns.CloseIdle(peer)
	}
}

// policyEndpoint returns an endpoint of the list as the decision module is given it: one that is excluded drains, and one that is
// used again counts as started then. The caller holds mu.
func (p *Pool) policyEndpoint(e discovery.Endpoint) policy.Endpoint {
	endpoint := policy.Endpoint{
		ID: policy.EndpointID(e.ID), State: e.State(), Zone: e.Zone, Cell: e.Cell, Weight: e.Weight, MachineType: e.MachineType,
		Started: p.clock.startTime(e.StartedMs),
	}
	if endpoint.State == policy.Ready && p.exclusion.excludes(e) {
		endpoint.State = policy.Draining
	}
	if returned := p.exclusion.returnedAt[e.ID]; returned > max(0, endpoint.Started) {
		endpoint.Started = returned
	}
	return endpoint
}

// readyCount returns how many endpoints the list names ready, excluded ones included: a list that leaves none but excluded ones counts as
// ready, and requests then wait for another. The caller holds mu.
func (p *Pool) readyCount() int {
	ready := 0
	for _, e := range p.endpoints {
		if e.State() == policy.Ready {
			ready++
		}
	}
	return ready
}

// EndpointList returns a complete list of the endpoints as they stand, for an instance that takes this one's place. It has version 0.
func (p *Pool) EndpointList() *discovery.EndpointList {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := &discovery.EndpointList{Version: new(int64), Complete: true}
	for _, e := range p.endpoints {
		l.Endpoints = append(l.Endpoints, e)
	}
	return l
}

// ReadyEndpoint is an endpoint that the list names ready.
type ReadyEndpoint struct{ Name, Zone string }

// ReadyEndpoints returns the endpoints that the list names ready, excluded ones included, in no order.
func (p *Pool) ReadyEndpoints() []ReadyEndpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]ReadyEndpoint, 0, len(p.endpoints))
	for _, e := range p.endpoints {
		if e.State() == policy.Ready {
			all = append(all, ReadyEndpoint{Name: e.ID, Zone: e.Zone})
		}
	}
	return all
}

// Readiness reports whether the list names a ready endpoint, be it excluded, and whether the source itself has sent a list.
func (p *Pool) Readiness() (ready, listReceived bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.readyCount() > 0, p.watch.received
}
