package pool

import (
	"sorrelrudder/internal/discovery"
	"sorrelrudder/internal/upstream"
	"sorrelrudder/policy"
)

// updateEndpoints applies an update of the endpoint list and passes it to the decision module. If the pool then accepts no requests, it
// rejects those without an attempt. The caller holds mu.
func (p *Pool) updateEndpoints(now policy.Time, kind policy.UpdateKind, l *discovery.EndpointList) {
	p.watch.accept(*l.Version, kind)
	entries := p.addresses.apply(l.Endpoints, kind != policy.UpdateDelta)
	update := make([]policy.Endpoint, len(entries))
	listed := make(map[policy.EndpointID]bool, len(entries))
	for i, e := range entries {
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

// setPeer applies the list entry of one endpoint. The idle connections of an endpoint that was restarted, moved or removed are closed, and
// those in use are not kept afterwards, since another process may listen at its address. The caller holds mu.
func (p *Pool) setPeer(id policy.EndpointID, state policy.EndpointState, e discovery.Endpoint) {
	peer := p.peers[id]
	if peer != nil && e.Health == discovery.HealthLeft && e.Address == peer.Addr() {
		p.events.Info("endpoint removed", "upstream", id, "address", e.Address)
	}
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

// policyEndpoint converts a list entry for the decision module. An excluded endpoint is draining. An endpoint that was readmitted after
// an exclusion counts as started at its readmission, unless its listed start time is later. The caller holds mu.
func (p *Pool) policyEndpoint(e discovery.Endpoint) policy.Endpoint {
	endpoint := policy.Endpoint{
		ID: policy.EndpointID(e.ID), State: e.State(), Zone: e.Zone, Cell: e.Cell, Weight: e.Weight, MachineType: e.MachineType,
		Started: p.clock.startTime(e.StartedMs),
	}
	if endpoint.State == policy.Ready && p.exclusion.excludes(e) {
		endpoint.State = policy.Draining
	}
	if readmitted := p.exclusion.readmittedAt[e.ID]; readmitted > max(0, endpoint.Started) {
		endpoint.Started = readmitted
	}
	return endpoint
}

// readyCount returns the number of endpoints that are ready according to the list, including excluded ones. If all ready endpoints are
// excluded, the pool still counts as ready, and requests wait until another endpoint is ready. The caller holds mu.
func (p *Pool) readyCount() int {
	ready := 0
	for _, e := range p.endpoints {
		if e.State() == policy.Ready {
			ready++
		}
	}
	return ready
}

// EndpointList returns a complete list of the current endpoints, for the instance that replaces this one. Its version is 0.
func (p *Pool) EndpointList() *discovery.EndpointList {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := &discovery.EndpointList{Version: new(int64), Complete: true}
	for _, e := range p.endpoints {
		l.Endpoints = append(l.Endpoints, e)
	}
	return l
}

// ReadyEndpoint is an endpoint that is ready according to the endpoint list.
type ReadyEndpoint struct{ Name, Zone string }

// ReadyEndpoints returns the endpoints that are ready according to the list, including excluded ones, in no particular order.
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

// Readiness reports whether the list has a ready endpoint, excluded or not, and whether a list has been received from the source; the
// cached list does not count.
func (p *Pool) Readiness() (ready, listReceived bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.readyCount() > 0, p.watch.received
}
