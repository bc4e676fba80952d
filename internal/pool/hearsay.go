package pool

import (
	"time"

	"sorrelrudder/internal/discovery"
	"sorrelrudder/policy"
)

// notice tells of a server that has not answered this pool, and of one that answers again. A time-out may be the load or chance: what comes of
// it is for those to say who hear it of several.
func (p *Pool) notice(id policy.EndpointID, status policy.Status) {
	if p.silent == nil {
		return
	}
	switch status {
	case policy.StatusConnectFailed, policy.StatusTimeout, policy.StatusReset: // told again while it lasts: what is not found out anew is forgotten
		p.said[id] = true
		p.silent(string(id), true)
	case policy.StatusOK:
		p.unsay(id)
	}
}

// unsay takes back what was told of a server, which answers again, has restarted or is gone.
func (p *Pool) unsay(id policy.EndpointID) {
	if p.said[id] {
		delete(p.said, id)
		p.silent(string(id), false)
	}
}

// outcomes count what became of attempts at the servers of a zone.
type outcomes struct {
	answered, failed int64
	delay            time.Duration
}

// count counts an attempt that has ended. One that was called off, since another was quicker, has taken as long at least.
func (p *Pool) count(zone string, status policy.Status, took time.Duration) {
	if p.silent == nil || zone == "" {
		return
	}
	o := p.outcomes[zone]
	if o == nil {
		if p.outcomes == nil {
			p.outcomes = map[string]*outcomes{}
		}
		if len(p.outcomes) >= mostZones {
			return
		}
		o = &outcomes{}
		p.outcomes[zone] = o
	}
	switch status {
	case policy.StatusOK, policy.StatusCanceled:
		o.answered++
		o.delay += took
	case policy.StatusApplicationError, policy.StatusTimeout, policy.StatusReset, policy.StatusConnectFailed:
		o.failed++
	}
}

// mostZones bounds the zones that are counted: a list may name ever new ones.
const mostZones = 64

// Outcomes calls f with what became of attempts at each zone's servers since the start: answers, with the sum of their delays, and failures.
func (p *Pool) Outcomes(f func(zone string, answered, failed int64, delay time.Duration)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for zone, o := range p.outcomes {
		f(zone, o.answered, o.failed, o.delay)
	}
}

// Hint has the module hear that a server does not answer others. It only ever makes it careful: see policy.Balancer.Hint.
func (p *Pool) Hint(server string) {
	p.event(func(now policy.Time) { p.balancer.HandleUnreachableHint(now, policy.EndpointID(server)) })
}

// anotherStart is no start that a list names.
const anotherStart = -1

// Avoid has the servers named take nothing new, though the list names them ready, as if it said that they drain, until another call leaves
// them out. It does so with none of them, and returns false, where no ready server would be left. One that was avoided and is not any more, and
// those of returning, which the fleet has just begun to use again, count as started then, since nobody has sent them anything for a while: no list
// need say so, and all processes together would else push them over. Those of soft are used again once the list names another start of theirs: it has
// seen them since, and what is known to be cold is paced by the module.
func (p *Pool) Avoid(servers, returning, soft map[string]bool) (done bool) {
	p.event(func(now policy.Time) {
		left := 0
		for id, e := range p.entries {
			if discovery.States[e.Health] == policy.Ready && !servers[string(id)] {
				left++
			}
		}
		if done = left > 0 || len(p.entries) == 0; !done {
			servers, returning, soft = nil, nil, nil
		}
		before := p.avoided
		used := map[policy.EndpointID]bool{} // also of those that are avoided: they have started again
		for id, e := range p.entries {
			used[id] = p.listed(e).State == policy.Ready
		}
		p.avoided, p.soft = servers, soft
		for id := range p.leftBorn {
			if !servers[id] {
				delete(p.leftBorn, id)
			}
		}
		leftZones := map[string]bool{} // zones of which some were avoided already
		for id := range before {
			if e, there := p.entries[policy.EndpointID(id)]; there {
				leftZones[e.Site] = true
			}
		}
		for id := range servers {
			if _, had := p.leftBorn[id]; had {
				continue
			}
			if p.leftBorn == nil {
				p.leftBorn = map[string]int64{}
			}
			e, there := p.entries[policy.EndpointID(id)]
			if p.leftBorn[id] = e.BornMs; there && e.BornMs != 0 && leftZones[e.Site] && !p.met[policy.EndpointID(id)] {
				p.leftBorn[id] = anotherStart // the list has named it since its zone was left
			}
		}
		p.met = map[policy.EndpointID]bool{}
		for id := range p.entries {
			p.met[id] = true
		}
		var changed []policy.Endpoint
		for id, e := range p.entries {
			_, had := p.returned[string(id)]
			since, back := policy.Time(0), false // 0: as the list has it
			switch {
			case servers[string(id)]:
				delete(p.returned, string(id))
			case before[string(id)]:
				if back = !used[id]; back {
					since = max(now, 1)
				}
				p.setReturned(string(id), since)
			case returning[string(id)] && !had:
				back = true
				p.setReturned(string(id), max(now, 1))
			}
			if back || before[string(id)] != servers[string(id)] {
				changed = append(changed, p.listed(e))
			}
		}
		if len(changed) > 0 {
			p.balancer.UpdateEndpoints(now, policy.UpdateDelta, changed, p)
		}
	})
	return done
}

// setReturned notes since when a server is used again. The caller holds mu.
func (p *Pool) setReturned(id string, since policy.Time) {
	if p.settings.Config.SlowStartDuration <= 0 {
		return
	}
	if p.returned == nil {
		p.returned = map[string]policy.Time{}
	}
	p.returned[id] = since
}

// listed is what the module is told of an entry of the list.
func (p *Pool) listed(e discovery.Entry) policy.Endpoint {
	s := policy.Endpoint{
		ID: policy.EndpointID(e.Host), State: discovery.States[e.Health], Zone: e.Site, Cell: e.Block, Weight: e.Share, Kind: e.Class, Started: p.started(e.BornMs),
	}
	if s.State == policy.Ready && p.avoided[e.Host] && !(p.soft[e.Host] && e.BornMs != p.leftBorn[e.Host]) {
		s.State = policy.Draining
	}
	if at := p.returned[e.Host]; at > max(0, s.Started) {
		s.Started = at
	}
	return s
}

// Listed is a server that the list names ready.
type Listed struct{ Name, Zone string }

// Servers are those that the list names ready, whether they are avoided or not, in no order.
func (p *Pool) Servers() []Listed {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]Listed, 0, len(p.entries))
	for _, e := range p.entries {
		if discovery.States[e.Health] == policy.Ready {
			all = append(all, Listed{e.Host, e.Site})
		}
	}
	return all
}

// Look asks a server that is avoided whether it answers, as a probe does. The module hears nothing of it.
func (p *Pool) Look(server string) bool {
	p.mu.Lock()
	to := p.peers[policy.EndpointID(server)]
	closed := p.closed
	p.mu.Unlock()
	if to == nil || closed {
		return false
	}
	status, _ := p.probe(to)
	return status == policy.StatusOK
}
