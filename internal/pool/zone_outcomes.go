package pool

import (
	"time"

	"sorrelrudder/policy"
)

// maxZones bounds the number of zones whose attempts are counted, since endpoint lists may bring new zones without end.
const maxZones = 64

// zoneOutcomes counts the outcomes of attempts by the zone of their endpoint. The pool's mu guards it.
type zoneOutcomes struct {
	enabled bool
	byZone  map[string]*zoneOutcome
}

// zoneOutcome counts the attempts at the endpoints of one zone.
type zoneOutcome struct {
	answered, failed int64
	latencySum       time.Duration // of the attempts counted in answered
}

// add counts an attempt that has ended. An attempt that was canceled because another one was faster counts as answered with the time it
// took until then, which is a lower bound of its latency. Attempts that were rejected for overload or not sent are not counted.
func (z *zoneOutcomes) add(zone string, status policy.Status, latency time.Duration) {
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
		outcome.latencySum += latency
	case policy.StatusApplicationError, policy.StatusTimeout, policy.StatusReset, policy.StatusConnectFailed:
		outcome.failed++
	}
}

// outcomeOf returns the counts of a zone, or nil for a new zone beyond maxZones.
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

// ZoneOutcomes calls f for each zone with the outcomes of the attempts at its endpoints since the pool was started: the number of
// answered attempts and the sum of their latencies, and the number of failed attempts. f is called with the pool's lock held, and must
// not call the pool.
func (p *Pool) ZoneOutcomes(f func(zone string, answered, failed int64, latencySum time.Duration)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for zone, outcome := range p.zoneOutcomes.byZone {
		f(zone, outcome.answered, outcome.failed, outcome.latencySum)
	}
}
