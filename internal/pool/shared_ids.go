package pool

import "sorrelrudder/policy"

// SharedIDs exchanges the ids of requests with an effect with other processes of the same sidecar, as numbers that stand for them.
type SharedIDs interface {
	// Publish tells the other processes of ids that this process has taken.
	Publish(ids []uint64) error
	// Received calls f with each id that another process has published since the last call.
	Received(f func(id uint64)) error
}

// ShareIDs begins to exchange the ids of requests with other processes, and publishes those that the pool has. A nil shared ends the exchange;
// ids of other processes stay known.
func (p *Pool) ShareIDs(shared SharedIDs) {
	p.runEvent(func(policy.Time) {
		if p.sharedIDs != nil {
			p.receiveIDs()
		}
		if shared != nil && p.sharedIDs == nil {
			p.publishIDs(shared, p.requestIDs.allEffects())
		}
		p.sharedIDs = shared
		if shared != nil {
			p.receiveIDs()
		}
	})
}

// openID adds the id of a new request. It returns false if a request with the id is open or ended recently, here or at another process. The id
// is published before those of the others are read, so that of two processes that take an id at once one at least sees the other. The caller
// holds mu.
func (p *Pool) openID(id string, hasEffect bool) bool {
	if p.sharedIDs == nil || !hasEffect {
		return p.requestIDs.open(id, hasEffect)
	}
	p.publishIDs(p.sharedIDs, []idHash{hashID(id)})
	p.receiveIDs()
	return p.requestIDs.open(id, hasEffect)
}

// publishIDs publishes ids. An id that cannot be published may run at another process too.
func (p *Pool) publishIDs(shared SharedIDs, ids []idHash) {
	records := make([]uint64, len(ids))
	for i, id := range ids {
		records[i] = uint64(id)
	}
	if err := shared.Publish(records); err != nil {
		p.log.Warn("request ids are not known to other processes", "ids", len(ids), "err", err)
	}
}

// receiveIDs adds the ids that other processes have published. The caller holds mu.
func (p *Pool) receiveIDs() {
	err := p.sharedIDs.Received(func(id uint64) { p.requestIDs.addEffect(idHash(id)) })
	if err != nil {
		p.log.Warn("request ids of other processes are not known", "err", err)
	}
}
