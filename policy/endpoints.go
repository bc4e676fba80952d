package policy

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// pollRetrySlot is the part of a pause between calls to the list service that each instance of the group is given: so long a
	// slow service may work on a call.
	pollRetrySlot = 50 * time.Millisecond
	// firstPollSlot is that part before an instance's first call, which may wait: it has a cached list.
	firstPollSlot = 300 * time.Millisecond
	// pollRetryDivisor of Config.PollInterval is the longest first pause after a failed call.
	pollRetryDivisor = 8
	// maxPollDoublings is how many times the pause doubles with further failures.
	maxPollDoublings = 3
	// watchReopenDivisor of Config.PollInterval is the longest delay of the call after a watch was lost.
	watchReopenDivisor = 16
	// firstPollTenths of Config.PollInterval may pass until the first call, so that its answer comes within the interval. Package staleness
	// reckons with it (firstPollSpread).
	firstPollTenths = 6
	// watchToken is the token of the timer for the next call to the list service.
	watchToken = "watch"
)

// endpoint is an entry of the endpoint list and what this instance knows of it.
type endpoint struct {
	Endpoint
	hashKey uint64 // by which sortByHash sorts

	// Load, by its reports.
	reportedQueue float64 // latest, in requests; infinite after a rejection or time-out
	hasReport     bool
	marked        bool // its report was at or below the threshold, and nothing was sent since
	markedAt      Time

	// What is in flight from this instance.
	inFlight             int // attempts
	healthChecksInFlight int
	silentSince          Time // when something was in flight and nothing came back

	// Failures.
	consecutiveFailures int
	lastSuccess         Time
	ejectedUntil        Time // zero: not ejected

	// Latency.
	machineType      *machineType
	slowness         float64 // smoothed ratio of its latencies to those predicted
	slownessSamples  int     // responses that tell it, as far as they count
	responseInterval float64 // smoothed, in nanoseconds: between responses while attempts are in flight
	lastResponse     Time
	newestAnswered   Time // when the latest attempt was sent that was answered
}

// hasQueue reports whether requests wait at e by its latest load report.
func (e *endpoint) hasQueue() bool { return e.reportedQueue >= 1 }

// recordSend notes that an attempt or a health check is about to be sent to e.
func (e *endpoint) recordSend(now Time) {
	if e.inFlight+e.healthChecksInFlight == 0 {
		e.silentSince = now
	}
}

// recordContact notes the end of an attempt or a health check, which ends the silence of e if it comes from there.
func (e *endpoint) recordContact(now Time, status Status) {
	switch status {
	case StatusTimeout, StatusConnectFailed, StatusCanceled, StatusNotSent:
	default:
		e.silentSince = now
	}
}

// endpointPoll decides how long to wait before calls to the list service. All instances of a group lose it at once; their calls
// are spread so that they do not swamp it for good when it comes back. Its durations are the longest: the caller draws a jitter.
type endpointPoll struct {
	instanceCount  int
	interval       time.Duration // Config.PollInterval
	maxBackoff     time.Duration // 0: interval
	reopenMaxDelay time.Duration // 0: interval
	watching       bool
	failures       int // in a row
}

// newEndpointPoll returns the state of an instance that does not watch the list yet.
func newEndpointPoll(cfg Config) endpointPoll {
	return endpointPoll{
		instanceCount: cfg.InstanceCount, interval: cfg.PollInterval,
		maxBackoff: cfg.PollMaxBackoff, reopenMaxDelay: cfg.WatchReopenMaxDelay,
	}
}

// recordFailure notes a failed call and returns the backoff: half to one and a half times it may pass until the next call.
func (p *endpointPoll) recordFailure() time.Duration {
	p.watching = false
	p.failures++
	backoff := p.spreadWindow(p.interval/pollRetryDivisor) << min(p.failures, maxPollDoublings)
	return min(backoff, cmp.Or(p.maxBackoff*2/3, p.interval)) // one and a half times two thirds is the most
}

// recordWatchLoss notes that the watch was lost and returns within which time to call again.
func (p *endpointPoll) recordWatchLoss() time.Duration {
	p.watching, p.failures = false, 0
	return min(p.spreadWindow(p.interval/watchReopenDivisor), cmp.Or(p.reopenMaxDelay, p.interval))
}

// firstDelay returns within which time an instance that has a cached list calls for the first time.
func (p *endpointPoll) firstDelay() time.Duration {
	return min(p.interval*firstPollTenths/10, time.Duration(p.instanceCount)*firstPollSlot)
}

// spreadWindow returns the time over which the calls of the group are spread: most, or less where the group is small.
func (p *endpointPoll) spreadWindow(most time.Duration) time.Duration {
	return min(most, time.Duration(p.instanceCount)*pollRetrySlot)
}

// UpdateEndpoints takes a message about the endpoint list.
func (b *Balancer) UpdateEndpoints(now Time, kind UpdateKind, entries []Endpoint, act Actions) {
	switch kind {
	case UpdatePollFailed:
		backoff := b.poll.recordFailure()
		act.SetTimer(backoff/2+b.jitter(backoff), watchToken)
		return
	case UpdateWatchLost:
		act.SetTimer(b.jitter(b.poll.recordWatchLoss()), watchToken)
		return
	}
	b.applyEntries(kind, entries)
	b.orderEndpoints()
	if kind == UpdateCached && !b.cfg.EndpointsPushed && !b.poll.watching {
		act.SetTimer(b.jitter(b.poll.firstDelay()), watchToken)
	} else if b.poll.watching {
		b.poll.failures = 0
	}
	b.startUnsent(now, act)
}

// applyEntries brings the endpoints up to date. One that has restarted is a new one.
func (b *Balancer) applyEntries(kind UpdateKind, entries []Endpoint) {
	if kind != UpdateDelta {
		for _, e := range b.endpoints {
			e.State = Removed
		}
	}
	for _, entry := range entries {
		e := b.endpoints[entry.ID]
		if e == nil || entry.Started != e.Started {
			e = &endpoint{slowness: 1}
			b.endpoints[entry.ID] = e
		}
		e.Endpoint, e.machineType = entry, b.machineTypes.get(entry.MachineType)
	}
}

// orderEndpoints computes the subset anew, and drops removed endpoints, whose attempts in flight keep hold of them.
func (b *Balancer) orderEndpoints() {
	var ready []*endpoint
	for _, id := range slices.Sorted(maps.Keys(b.endpoints)) {
		e := b.endpoints[id]
		e.marked = e.marked && e.State == Ready
		if e.State == Ready {
			ready = append(ready, e)
		}
	}
	b.endpointOrder = b.subsetRule.order(ready)
	for id, e := range b.endpoints {
		if e.State == Removed {
			delete(b.endpoints, id)
		}
	}
}

// startUnsent starts the requests that arrived while the list named no endpoint, in the order of their IDs.
func (b *Balancer) startUnsent(now Time, act Actions) {
	for _, id := range slices.Sorted(maps.Keys(b.requests)) {
		if r := b.requests[id]; !r.ended && len(r.attempts) == 0 && r.queuedUntil == 0 {
			b.startOrAwaitEndpoint(now, r, b.activeSubset(now), act)
		}
	}
}

// jitter draws a duration below limit.
func (b *Balancer) jitter(limit time.Duration) time.Duration {
	return time.Duration(b.rng.Float64() * float64(limit))
}
