package pool

import (
	"time"

	"sorrelrudder/policy"
)

// maxZones bounds the zones whose attempts are counted: a list may name ever new ones.
const maxZones = 64

// zoneOutcomes counts what became of attempts at the endpoints of each zone. The pool's mu guards it.
type zoneOutcomes struct {
	enabled bool
	byZone  map[string]*zoneOutcome
}

// zoneOutcome counts the attempts at the endpoints of one zone.
type zoneOutcome struct {
	answered, failed int64
	latencySum       time.Duration // sum over those answered
}

// add counts an attempt that has ended. One that was canceled, since another was quicker, counts as answered: it would have taken as
// long at least.
func (z *zoneOutcomes) add(zone string, status policy.Status, took time.Duration) {
	if !z.enabled || zone == "" {
		return
	}
	outcome := z.outcomeOf(zone)
	if outcome == nil {
		return
	}
	switch status {
	case policy.StatusOK, policy.StatusCanceled:
		outcome.answered++
		outcome.latencySum += took
	case policy.StatusApplicationError, policy.StatusTimeout, policy.StatusReset, policy.StatusConnectFailed:
		outcome.failed++
	}
}

// of returns the counts of a zone, or nil if there are too many zones.
func (z *zoneOutcomes) outcomeOf(zone string) *zoneOutcome {
	if outcome := z.byZone[zone]; outcome != nil {
		return outcome
	}
	if len(z.byZone) >= maxZones {
		return nil
	}
	if z.byZone == nil {
		z.byZone = map[string]*zoneOutcome{}
	}
	outcome := &zoneOutcome{}
	z.byZone[zone] = outcome
	return outcome
}

// ZoneOutcomes calls f with what became of the attempts at each zone's endpoints since the start: answers, with the sum of their
// delays, and failures. It holds the pool's lock: f must not call the pool.
func (p *Pool) ZoneOutcomes(f func(zone string, answered, failed int64, delay time.Duration)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for zone, outcome := range p.zoneOutcomes.byZone {
		f(zone, outcome.answered, outcome.failed, outcome.latencySum)
	}
}
