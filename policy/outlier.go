package policy

import (
	"math"
	"time"
)

const (
	// baseEjectionTime is the duration of the first ejection. Each further consecutive failure doubles it.
	baseEjectionTime = 500 * time.Millisecond
	// maxEjectionDoublings prevents an overflow of the doubled time. outlierPolicy.maxEjection is reached earlier.
	maxEjectionDoublings = 10
	// minTimeoutFailures is the least number of consecutive failures with which a timeout ejects a responsive endpoint. The endpoint must
	// also have had no success for minTimeSinceSuccess. Otherwise the timeout may be caused by load.
	minTimeoutFailures = 3
	// minTimeSinceSuccess is the least time without a success with which a timeout ejects a responsive endpoint, together with
	// minTimeoutFailures.
	minTimeSinceSuccess = time.Second
	// unresponsiveFactor is the time without a reply above which an endpoint is unresponsive, as a multiple of the typical latency.
	unresponsiveFactor = 3
	// minInFlightUnresponsive is the smallest number of attempts and health checks in flight at an unresponsive endpoint, because a single
	// one may just be slow.
	minInFlightUnresponsive = 2
	// maxEjectedDivisor sets the panic threshold, as Envoy calls it: while more than one in maxEjectedDivisor ready endpoints is ejected,
	// the active subset includes ejected endpoints. So many failures point to the network or the load and not to single endpoints.
	maxEjectedDivisor = 2
	// hintDivisor limits ejections by hints of other instances to one in hintDivisor ready endpoints, so that false hints cost little.
	hintDivisor = 3
)

// outlierPolicy decides when an endpoint is ejected from the subset and when it is readmitted. It protects against endpoints that fail
// fast, because their queues are short and would attract requests.
type outlierPolicy struct {
	maxEjection          time.Duration // longest ejection
	readmitByHealthCheck bool          // a successful health check readmits; otherwise the ejection time alone does
}

// newOutlierPolicy returns the policy for cfg. The longest ejection is the duration of slow start, but at least baseEjectionTime, because
// no ejection needs to last longer than the slow start of a restarted endpoint.
func newOutlierPolicy(cfg Config) outlierPolicy {
	return outlierPolicy{maxEjection: max(cfg.SlowStartDuration, baseEjectionTime), readmitByHealthCheck: cfg.HealthChecksAllowed}
}

// ejectionTime returns the ejection time after the given number of consecutive failures.
func (p outlierPolicy) ejectionTime(consecutiveFailures int) time.Duration {
	return min(baseEjectionTime<<min(consecutiveFailures-1, maxEjectionDoublings), p.maxEjection)
}

// isEjected reports whether e is ejected. An ejection ends when its time is over. If health checks are allowed, it also needs a success of
// a health check or an attempt after that time. Without the health check, client requests would probe a failed endpoint, at each instance
// after each ejection.
func (p outlierPolicy) isEjected(now Time, e *endpoint) bool {
	return e.ejectedUntil > now || e.ejectedUntil > 0 && p.readmitByHealthCheck
}

// recordFailure counts a failure of e and ejects e unless the failure may be caused by overload. If e is already ejected, any failure
// extends the ejection.
func (p outlierPolicy) recordFailure(now Time, e *endpoint, status Status, unresponsive bool) {
	e.consecutiveFailures++
	if e.ejectedUntil == 0 && mayBeOverload(now, e, status, unresponsive) {
		return
	}
	e.ejectedUntil = now + p.ejectionTime(e.consecutiveFailures)
}

// mayBeOverload reports whether a failure of e with this status may be caused by overload. Ejection would only move the load to other
// endpoints. A rejection may always be overload. A timeout may be overload unless e was unresponsive, or has failed at least
// minTimeoutFailures times in a row and had no success for minTimeSinceSuccess.
func mayBeOverload(now Time, e *endpoint, status Status, unresponsive bool) bool {
	switch status {
	case StatusOverloaded:
		return true
	case StatusTimeout:
		return !unresponsive && (e.consecutiveFailures < minTimeoutFailures || now-e.lastSuccess < minTimeSinceSuccess)
	}
	return false
}

// recordSuccess records a reply of e. It readmits e only if the ejection time is over, because a reply during the ejection may belong to a
// request from before the ejection. resetFailures resets the count of consecutive failures. It is true except for a health check of an
// ejected endpoint, because health checks may succeed while requests fail.
func (e *endpoint) recordSuccess(now Time, resetFailures bool) {
	if resetFailures {
		e.consecutiveFailures = 0
	}
	if e.ejectedUntil <= now {
		e.ejectedUntil = 0
	}
	e.lastSuccess = now
}

// isUnresponsive reports whether e has not replied for so long, with several attempts or health checks in flight, that it is left out of
// the active subset until it replies. This protects against machines that are down, disconnected or paused: their connections stay open,
// and the endpoint list reports them much later. typicalLatency is in nanoseconds; 0 means unknown.
func (e *endpoint) isUnresponsive(now Time, typicalLatency float64) bool {
	return e.inFlight+e.healthChecksInFlight >= minInFlightUnresponsive &&
		typicalLatency > 0 && float64(now-e.silentSince) > unresponsiveFactor*typicalLatency
}

// timeoutInconclusive reports whether a timed out without evidence against its endpoint. Either the client gave up before a response would
// have been slow, or the endpoint has responded to an attempt that was sent later, so that only this request was lost. Without this check,
// clients with short timeouts would cause the ejection of healthy endpoints.
func (a *attempt) timeoutInconclusive(now Time) bool {
	return now-a.sentAt < slowResponseFactor*a.expectedLatency || a.endpoint.newestAnsweredSentAt > a.sentAt
}

// recordFailure clears the mark of e. It also counts a failure of e, unless this instance ended the attempt or never sent it.
func (b *Balancer) recordFailure(now Time, e *endpoint, status Status, unresponsive bool) {
	e.marked = false
	switch status {
	case StatusCanceled, StatusNotSent:
		return
	case StatusTimeout, StatusOverloaded:
		e.reportedQueue = math.Inf(1) // until the next load report
	}
	b.healthChecks.recordFailure()
	b.outliers.recordFailure(now, e, status, unresponsive)
}

// isUnresponsive reports whether e has not replied for much longer than the typical latency.
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

// tooManyEjected reports whether so many endpoints are ejected that the active subset includes ejected endpoints.
func (b *Balancer) tooManyEjected(now Time) bool {
	return maxEjectedDivisor*b.countEjected(now) > len(b.readyEndpoints)
}

// EjectedCount returns how many ready endpoints are left out of the active subset because they are ejected. It is 0 while more than half
// are ejected, because the active subset then includes ejected endpoints. Endpoints that are merely unresponsive are not counted.
func (b *Balancer) EjectedCount(now Time) int {
	if b.tooManyEjected(now) {
		return 0
	}
	return b.countEjected(now)
}

// HandleUnreachableHint handles a hint of other instances that an endpoint does not respond. The endpoint is ejected for at least
// baseEjectionTime, until a health check or an attempt of this instance succeeds. No failure is counted. The hint is ignored if the
// endpoint is unknown, not ready or already ejected, if it has replied to this instance with a success within baseEjectionTime, if health
// checks are not allowed, or if too many endpoints would be ejected.
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
