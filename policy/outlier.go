package policy

import (
	"math"
	"time"
)

const (
	// baseEjectionTime is how long the first ejection lasts; each further failure in a row doubles it.
	baseEjectionTime = 500 * time.Millisecond
	// maxEjectionDoublings keeps the doubling from overflowing; maxEjection of the policy is reached before.
	maxEjectionDoublings = 10
	// minTimeoutFailures is how many failures in a row make time-outs a reason for ejection: fewer may be the load.
	minTimeoutFailures = 3
	// minTimeSinceSuccess must have passed since the last success for time-outs to be a reason for ejection.
	minTimeSinceSuccess = time.Second
	// unresponsiveFactor makes an endpoint unresponsive that has been silent for more than this many times the typical latency.
	unresponsiveFactor = 3
	// minPendingUnresponsive is how many attempts and health checks must be in flight there: one alone may just be slow.
	minPendingUnresponsive = 2
	// panicDivisor ends ejection where more than one in so many ready endpoints is ejected: that is evidence against the network
	// or the load, not against endpoints.
	panicDivisor = 2
	// hintDivisor bounds ejections on other instances' word to one in so many ready endpoints, so that a false hint costs little.
	hintDivisor = 3
)

// outlierPolicy decides when an endpoint is ejected from the subset and when it is readmitted. It guards against endpoints that
// fail at once, keep a short queue by it and so attract requests.
type outlierPolicy struct {
	maxEjection          time.Duration // longest ejection
	readmitByHealthCheck bool          // a health check readmits; otherwise time alone does
}

// newOutlierPolicy returns the policy for cfg. No ejection needs to last longer than a restarted endpoint's slow start.
func newOutlierPolicy(cfg Config) outlierPolicy {
	return outlierPolicy{maxEjection: max(cfg.SlowStartDuration, baseEjectionTime), readmitByHealthCheck: cfg.HealthChecksAllowed}
}

// ejectionTime returns how long to eject an endpoint after so many failures in a row.
func (p outlierPolicy) ejectionTime(consecutiveFailures int) time.Duration {
	return min(baseEjectionTime<<min(consecutiveFailures-1, maxEjectionDoublings), p.maxEjection)
}

// isEjected reports whether e is ejected: until its time is over, and if health checks are allowed until one has succeeded.
// Otherwise clients' requests would find out whether it is back, at each instance and after each period anew.
func (p outlierPolicy) isEjected(now Time, e *endpoint) bool {
	return e.ejectedUntil > now || e.ejectedUntil > 0 && p.readmitByHealthCheck
}

// recordFailure counts a failure of e and ejects it if that is a reason. An endpoint that is ejected already stays so for longer.
func (p outlierPolicy) recordFailure(now Time, e *endpoint, status Status, unresponsive bool) {
	e.consecutiveFailures++
	if e.ejectedUntil == 0 && mayBeOverload(now, e, status, unresponsive) {
		return
	}
	e.ejectedUntil = now + p.ejectionTime(e.consecutiveFailures)
}

// mayBeOverload reports whether a failure of e with this status may come from too much load, which ejection would only move
// elsewhere: a rejection always, a time-out unless e was unresponsive or has failed several times with no success of late.
func mayBeOverload(now Time, e *endpoint, status Status, unresponsive bool) bool {
	switch status {
	case StatusOverloaded:
		return true
	case StatusTimeout:
		return !unresponsive && (e.consecutiveFailures < minTimeoutFailures || now-e.lastSuccess < minTimeSinceSuccess)
	}
	return false
}

// recordSuccess notes that e has answered. That ends an ejection whose time is over, and no other: a response to something sent
// before the ejection tells little. Only responses to requests reset the failures, since health checks may succeed where
// requests fail.
func (e *endpoint) recordSuccess(now Time, resetFailures bool) {
	if resetFailures {
		e.consecutiveFailures = 0
	}
	if e.ejectedUntil <= now {
		e.ejectedUntil = 0
	}
	e.lastSuccess = now
}

// isUnresponsive reports whether e has been silent for so long, with several attempts or health checks in flight, that it is
// avoided until it answers. It guards against machines that vanished, are cut off or paused: their connections stay open,
// and the endpoint list tells only much later. A typical latency of 0, in nanoseconds, is not known yet.
func (e *endpoint) isUnresponsive(now Time, typicalLatency float64) bool {
	return e.inFlight+e.healthChecksInFlight >= minPendingUnresponsive &&
		typicalLatency > 0 && float64(now-e.silentSince) > unresponsiveFactor*typicalLatency
}

// timeoutInconclusive reports whether the time-out of a tells nothing of its endpoint: the client gave up before a response
// would have been slow, or the endpoint has answered something that was sent later, so that this request alone was lost.
// Otherwise clients with short time-outs would have good endpoints taken for slow and ejected.
func (a *attempt) timeoutInconclusive(now Time) bool {
	return now-a.sentAt < slowResponseFactor*a.expectedLatency || a.endpoint.newestAnswered > a.sentAt
}

// recordFailure notes evidence against e: it loses its mark and, unless the attempt ended on this side, counts a failure.
func (b *Balancer) recordFailure(now Time, e *endpoint, status Status, unresponsive bool) {
	e.marked = false
	switch status {
	case StatusCanceled, StatusNotSent:
		return
	case StatusTimeout, StatusOverloaded:
		e.reportedQueue = math.Inf(1) // until it reports again
	}
	b.healthChecks.recordFailure()
	b.outliers.recordFailure(now, e, status, unresponsive)
}

// isUnresponsive reports whether e has been silent for much longer than responses usually take.
func (b *Balancer) isUnresponsive(now Time, e *endpoint) bool {
	return e.isUnresponsive(now, b.latency.meanLatency)
}

// isEjected reports whether e is ejected.
func (b *Balancer) isEjected(now Time, e *endpoint) bool { return b.outliers.isEjected(now, e) }

// countEjected returns how many ready endpoints are ejected.
func (b *Balancer) countEjected(now Time) int {
	count := 0
	for _, e := range b.readyEndpoints {
		if b.isEjected(now, e) {
			count++
		}
	}
	return count
}

// tooManyEjected reports whether so many endpoints are ejected that ejections are ignored.
func (b *Balancer) tooManyEjected(now Time) bool {
	return panicDivisor*b.countEjected(now) > len(b.readyEndpoints)
}

// EjectedCount returns how many ready endpoints get no traffic because they are ejected. Those that are merely unresponsive at
// the moment are not counted.
func (b *Balancer) EjectedCount(now Time) int {
	if b.tooManyEjected(now) {
		return 0
	}
	return b.countEjected(now)
}

// HandleUnreachableHint takes other instances' word that an endpoint does not answer: it is ejected until a health check of this
// instance succeeds, with no failure counted. The hint is ignored if the endpoint answered here of late, if health
// checks are not allowed or if too many endpoints would be ejected.
func (b *Balancer) HandleUnreachableHint(now Time, id EndpointID) {
	e := b.endpoints[id]
	switch {
	case e == nil || e.State != Ready || e.ejectedUntil != 0:
		return
	case !b.cfg.HealthChecksAllowed || now-e.lastSuccess < baseEjectionTime:
		return
	case hintDivisor*(b.countEjected(now)+1) > len(b.readyEndpoints):
		return
	}
	e.marked, e.ejectedUntil = false, now+baseEjectionTime
}
