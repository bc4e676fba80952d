package policy

import (
	"math"
	"time"
)

const (
	// baseEjectionTime is the first ejection; each further failure in a row doubles it, up to the ramp time.
	baseEjectionTime = 500 * time.Millisecond
	// unresponsiveFactor times the usual delay of answers without any word from a server, while something of this sidecar's is
	// out there, make it silent.
	unresponsiveFactor = 3
)

// recordFailure notes evidence against a server: it is left out of the ready set for a while that grows
// with failures in a row. Guards against servers that err at once and so keep a short queue. A time-out counts only if the
// server had been silent altogether, or if others have gone before and nothing good came between: else it may be the load.
func (b *Balancer) recordFailure(now Time, s *endpoint, st Status, silent bool) {
	s.marked = false
	switch st {
	case StatusCanceled, StatusNotSent:
		return
	case StatusTimeout, StatusOverloaded:
		s.reportedQueue = math.Inf(1) // until it reports again
	}
	s.consecutiveFailures, b.contention = s.consecutiveFailures+1, 1
	if s.ejectedUntil == 0 && (st == StatusOverloaded || st == StatusTimeout && !silent && (s.consecutiveFailures < 3 || now-s.lastSuccess < time.Second)) {
		return // may be the load: see set
	}
	s.ejectedUntil = now + min(baseEjectionTime<<min(s.consecutiveFailures-1, 10), max(b.cfg.SlowStartDuration, baseEjectionTime))
}

// recordSuccess notes that s has answered. That ends an ejection whose time is over, and no other: what was out there before tells little.
// That it fails no more is told by answers to requests alone, since a probe may well succeed where those fail.
func (s *endpoint) recordSuccess(now Time, sure bool) {
	if sure {
		s.consecutiveFailures = 0
	}
	if s.ejectedUntil <= now {
		s.ejectedUntil = 0
	}
	s.lastSuccess = now
}

// isUnresponsive reports whether s has said nothing at all for so long, while something of this sidecar's was out there, that it
// should be left alone until it does. It guards against machines that vanish, are cut off or stand still: their
// connections stay open, and the list tells of them only much later. One thing out is not enough, as it may just be slow.
func (b *Balancer) isUnresponsive(now Time, s *endpoint) bool {
	return s.inFlight+s.healthChecksInFlight > 1 && b.latency.meanLatency > 0 && float64(now-s.silentSince) > unresponsiveFactor*b.latency.meanLatency
}

// timeoutInconclusive reports whether the time-out of a tells nothing of its server: the client waited less than an answer that is
// not even slow takes, or the server has answered what it was sent later, so that only this request was swallowed.
// Without this clients of little patience, or a fault that swallows some requests, would have good servers taken for full
// or failing and left out, and the waits learnt as their delay. It could hide a server that gets to some much too late;
// its pace still tells.
func (a *attempt) timeoutInconclusive(now Time) bool {
	return now-a.sentAt < slowResponseFactor*a.expectedLatency || a.endpoint.newestAnswered > a.sentAt
}

// isEjected reports whether s is left out after failures: for a time, and where probes are to be had until it has answered one. Else
// clients' requests would find out whether it is over, of each sidecar one after each time.
func (b *Balancer) isEjected(now Time, s *endpoint) bool {
	return s.ejectedUntil > now || s.ejectedUntil > 0 && b.cfg.HealthChecksAllowed
}

func (b *Balancer) countEjected(now Time) (bad int) {
	for _, s := range b.readyEndpoints {
		if b.isEjected(now, s) {
			bad++
		}
	}
	return bad
}

// EjectedCount is how many servers that the list names ready are left out after failures; one that is silent for the moment is not.
func (b *Balancer) EjectedCount(now Time) int {
	if bad := b.countEjected(now); 2*bad <= len(b.readyEndpoints) { // see set
		return bad
	}
	return 0
}

// HandleUnreachableHint takes hearsay that a server does not answer: it is left out until a probe of this sidecar's own has been answered, and counts
// as no failure. It is not believed against an answer of late, nor where it would leave out more than a third: a liar costs no more.
func (b *Balancer) HandleUnreachableHint(now Time, id EndpointID) {
	s := b.endpoints[id]
	if s != nil && s.State == Ready && s.ejectedUntil == 0 && b.cfg.HealthChecksAllowed && now-s.lastSuccess >= baseEjectionTime && 3*(b.countEjected(now)+1) <= len(b.readyEndpoints) {
		s.marked, s.ejectedUntil = false, now+baseEjectionTime
	}
}
