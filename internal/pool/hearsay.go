package pool

import (
	"time"

	"sorrelrudder/internal/discovery"
	"sorrelrudder/policy"
)

// noteReachability tells of a server that has not answered this pool, and of one that answers again. A time-out may be the load or chance: what comes of
// it is for those to say who hear it of several.
func (p *Pool) noteReachability(id policy.EndpointID, status policy.Status) {
	if p.onUnreachable == nil {
		return
	}
	switch status {
	case policy.StatusConnectFailed, policy.StatusTimeout, policy.StatusReset: // told again while it lasts: what is not found out anew is forgotten
		p.reportedUnreachable[id] = true
		p.onUnreachable(string(id), true)
	case policy.StatusOK:
		p.clearUnreachable(id)
	}
}

// clearUnreachable takes back what was told of a server, which answers again, has restarted or is gone.
func (p *Pool) clearUnreachable(id policy.EndpointID) {
	if p.reportedUnreachable[id] {
		delete(p.reportedUnreachable, id)
		p.onUnreachable(string(id), false)
	}
}

// zoneOutcome count what became of attempts at the servers of a zone.
type zoneOutcome struct {
	answered, failed int64
	delay            time.Duration
}

// countOutcome counts an attempt that has ended. One that was called off, since another was quicker, has taken as long at least.
func (p *Pool) countOutcome(zone string, status policy.Status, took time.Duration) {
	if p.onUnreachable == nil || zone == "" {
		return
	}
	o := p.zoneOutcomes[zone]
	if o == nil {
		if p.zoneOutcomes == nil {
			p.zoneOutcomes = map[string]*zoneOutcome{}
		}
		if len(p.zoneOutcomes) >= maxZones {
			return
		}
		o = &zoneOutcome{}
		p.zoneOutcomes[zone] = o
	}
	switch status {
	case policy.StatusOK, policy.StatusCanceled:
		o.answered++
		o.delay += took
	case policy.StatusApplicationError, policy.StatusTimeout, policy.StatusReset, policy.StatusConnectFailed:
		o.failed++
	}
}

// maxZones bounds the zones that are counted: a list may name ever new ones.
const maxZones = 64

// ZoneOutcomes calls f with what became of attempts at each zone's servers since the start: answers, with the sum of their delays, and failures.
func (p *Pool) ZoneOutcomes(f func(zone string, answered, failed int64, delay time.Duration)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for zone, o := range p.zoneOutcomes {
		f(zone, o.answered, o.failed, o.delay)
	}
}

// HintUnreachable has the module hear that a server does not answer others. It only ever makes it careful: see policy.Balancer.Hint.
func (p *Pool) HintUnreachable(server string) {
	p.runEvent(func(now policy.Time) { p.balancer.HandleUnreachableHint(now, policy.EndpointID(server)) })
}

// otherStartMs is no start that a list names.
const otherStartMs = -1

// SetExcluded has the servers named take nothing new, though the list names them ready, as if it said that they drain, until another call leaves
// them out. It does so with none of them, and returns false, where no ready server would be left. One that was avoided and is not any more, and
// those of returning, which the fleet has just begun to use again, count as started then, since nobody has sent them anything for a while: no list
// need say so, and all processes together would else push them over. Those of soft are used again once the list names another start of theirs: it has
// seen them since, and what is known to be cold is paced by the module.
func (p *Pool) SetExcluded(servers, returning, soft map[string]bool) (done bool) {
	p.runEvent(func(now policy.Time) {
		left := 0
		for id, e := range p.endpoints {
			if discovery.States[e.Health] == policy.Ready && !servers[string(id)] {
				left++
			}
		}
		if done = left > 0 || len(p.endpoints) == 0; !done {
			servers, returning, soft = nil, nil, nil
		}
		before := p.excluded
		used := map[policy.EndpointID]bool{} // also of those that are avoided: they have started again
		for id, e := range p.endpoints {
			used[id] = p.policyEndpoint(e).State == policy.Ready
		}
		p.excluded, p.softExcluded = servers, soft
		for id := range p.startMsAtExclusion {
			if !servers[id] {
				delete(p.startMsAtExclusion, id)
			}
		}
		leftZones := map[string]bool{} // zones of which some were avoided already
		for id := range before {
			if e, there := p.endpoints[policy.EndpointID(id)]; there {
				leftZones[e.Zone] = true
			}
		}
		for id := range servers {
			if _, had := p.startMsAtExclusion[id]; had {
				continue
			}
			if p.startMsAtExclusion == nil {
				p.startMsAtExclusion = map[string]int64{}
			}
			e, there := p.endpoints[policy.EndpointID(id)]
			if p.startMsAtExclusion[id] = e.StartedMs; there && e.StartedMs != 0 && leftZones[e.Zone] && !p.listedAtLastOrder[policy.EndpointID(id)] {
				p.startMsAtExclusion[id] = otherStartMs // the list has named it since its zone was left
			}
		}
		p.listedAtLastOrder = map[policy.EndpointID]bool{}
		for id := range p.endpoints {
			p.listedAtLastOrder[id] = true
		}
		var changed []policy.Endpoint
		for id, e := range p.endpoints {
			_, had := p.returnedAt[string(id)]
			since, back := policy.Time(0), false // 0: as the list has it
			switch {
			case servers[string(id)]:
				delete(p.returnedAt, string(id))
			case before[string(id)]:
				if back = !used[id]; back {
					since = max(now, 1)
				}
				p.setReturnedAt(string(id), since)
			case returning[string(id)] && !had:
				back = true
				p.setReturnedAt(string(id), max(now, 1))
			}
			if back || before[string(id)] != servers[string(id)] {
				changed = append(changed, p.policyEndpoint(e))
			}
		}
		if len(changed) > 0 {
			p.balancer.UpdateEndpoints(now, policy.UpdateDelta, changed, p)
		}
	})
	return done
}

// setReturnedAt notes since when a server is used again. The caller holds mu.
func (p *Pool) setReturnedAt(id string, since policy.Time) {
	if p.settings.Config.SlowStartDuration <= 0 {
		return
	}
	if p.returnedAt == nil {
		p.returnedAt = map[string]policy.Time{}
	}
	p.returnedAt[id] = since
}

// policyEndpoint is what the module is told of an entry of the list.
func (p *Pool) policyEndpoint(e discovery.Endpoint) policy.Endpoint {
	s := policy.Endpoint{
		ID: policy.EndpointID(e.ID), State: discovery.States[e.Health], Zone: e.Zone, Cell: e.Cell, Weight: e.Weight, Kind: e.MachineType, Started: p.startTime(e.StartedMs),
	}
	if s.State == policy.Ready && p.excluded[e.ID] && !(p.softExcluded[e.ID] && e.StartedMs != p.startMsAtExclusion[e.ID]) {
		s.State = policy.Draining
	}
	if at := p.returnedAt[e.ID]; at > max(0, s.Started) {
		s.Started = at
	}
	return s
}

// ReadyEndpoint is a server that the list names ready.
type ReadyEndpoint struct{ Name, Zone string }

// ReadyEndpoints are those that the list names ready, whether they are avoided or not, in no order.
func (p *Pool) ReadyEndpoints() []ReadyEndpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]ReadyEndpoint, 0, len(p.endpoints))
	for _, e := range p.endpoints {
		if discovery.States[e.Health] == policy.Ready {
			all = append(all, ReadyEndpoint{e.ID, e.Zone})
		}
	}
	return all
}

// CheckEndpoint asks a server that is avoided whether it answers, as a probe does. The module hears nothing of it.
func (p *Pool) CheckEndpoint(server string) bool {
	p.mu.Lock()
	to := p.peers[policy.EndpointID(server)]
	closed := p.closed
	p.mu.Unlock()
	if to == nil || closed {
		return false
	}
	status, _ := p.healthCheck(to)
	return status == policy.StatusOK
}
