package policy

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// pollRetrySlot times the number of instances in the group is the period over which repeated calls to the list service are spread,
	// unless a bound below is shorter. A slow service may need this long for one call.
	pollRetrySlot = 50 * time.Millisecond
	// firstPollSlot replaces pollRetrySlot for the first call of each instance. It is longer because the instance has a cached list.
	firstPollSlot = 300 * time.Millisecond
	// pollRetryDivisor bounds the backoff after failed calls, before its doublings, to Config.PollInterval divided by it.
	pollRetryDivisor = 8
	// maxPollDoublings bounds the doublings of the backoff. It doubles with each consecutive failure, the first included.
	maxPollDoublings = 3
	// watchReopenDivisor bounds the delay of the call after a lost watch to Config.PollInterval divided by it.
	watchReopenDivisor = 16
	// firstPollTenths is the longest delay of the first call, in tenths of Config.PollInterval. The response thus arrives within the
	// interval. It must match firstPollSpread in package internal/staleness.
	firstPollTenths = 6
	// watchToken is the token of the timer for the next call to the list service.
	watchToken = "watch"
)

// endpoint is an entry of the endpoint list with the state that this instance keeps for it.
type endpoint struct {
	Endpoint
	hashKey uint64 // sort key of sortByHash

	// Load, from load reports.
	reportedQueue float64 // latest queue, in requests; infinite after a rejection or timeout
	hasReport     bool
	marked        bool // the latest report was at or below the threshold, and no attempt was sent since
	markedAt      Time

	// Attempts and health checks in flight from this instance.
	inFlight             int // attempts
	healthChecksInFlight int
	silentSince          Time // start of the current period with something in flight and no reply

	// Failures.
	consecutiveFailures int
	lastSuccess         Time
	ejectedUntil        Time // zero: not ejected

	// Latency.
	machineType          *machineType
	slowness             float64 // moving average of the ratio of latency to predicted latency
	slownessSamples      int     // responses in slowness, at most slownessWindow
	responseInterval     float64 // moving average of the time between responses while attempts are in flight, in nanoseconds
	lastResponse         Time
	newestAnsweredSentAt Time // when the newest attempt that has a response was sent
}

// hasQueue reports whether the latest load report of e has a queue of at least 1. The queue includes requests that are being processed.
func (e *endpoint) hasQueue() bool { return e.reportedQueue >= 1 }

// recordSend records that an attempt or a health check is about to be sent to e.
func (e *endpoint) recordSend(now Time) {
	if e.inFlight+e.healthChecksInFlight == 0 {
		e.silentSince = now
	}
}

// recordContact records the end of an attempt or a health check. A status that proves a reply of e ends its period of silence.
func (e *endpoint) recordContact(now Time, status Status) {
	switch status {
	case StatusTimeout, StatusConnectFailed, StatusCanceled, StatusNotSent:
	default:
		e.silentSince = now
	}
}

// endpointPoll decides how long to wait before calls to the list service. All instances of a group lose the service at the same time.
// Their calls are spread so that they do not keep overloading the service after its recovery. The caller randomizes the returned
// durations.
type endpointPoll struct {
	instanceCount  int
	interval       time.Duration // Config.PollInterval
	maxBackoff     time.Duration // Config.PollMaxBackoff, the bound of 1.5 times the backoff; 0: the backoff is at most interval
	reopenMaxDelay time.Duration // Config.WatchReopenMaxDelay; 0: interval
	watching       bool
	failures       int // consecutive failed calls
}

// newEndpointPoll returns the state of an instance that does not watch the list yet.
func newEndpointPoll(cfg Config) endpointPoll {
	return endpointPoll{
		instanceCount: cfg.InstanceCount, interval: cfg.PollInterval,
		maxBackoff: cfg.PollMaxBackoff, reopenMaxDelay: cfg.WatchReopenMaxDelay,
	}
}

// recordFailure records a failed call and returns the backoff. The caller waits 0.5 to 1.5 times the backoff until the next call.
func (p *endpointPoll) recordFailure() time.Duration {
	p.watching = false
	p.failures++
	backoff := p.spreadWindow(p.interval/pollRetryDivisor) << min(p.failures, maxPollDoublings)
	return min(backoff, cmp.Or(p.maxBackoff*2/3, p.interval)) // the caller waits up to 1.5 times the result
}

// recordWatchLoss records that the watch was lost and returns the longest delay until the next call.
func (p *endpointPoll) recordWatchLoss() time.Duration {
	p.watching, p.failures = false, 0
	return min(p.spreadWindow(p.interval/watchReopenDivisor), cmp.Or(p.reopenMaxDelay, p.interval))
}

// firstDelay returns the longest delay until the first call of an instance with a cached list.
func (p *endpointPoll) firstDelay() time.Duration {
	return min(p.interval*firstPollTenths/10, time.Duration(p.instanceCount)*firstPollSlot)
}

// spreadWindow returns the time over which the calls of the group are spread: most, or less if the group is small.
func (p *endpointPoll) spreadWindow(most time.Duration) time.Duration {
	return min(most, time.Duration(p.instanceCount)*pollRetrySlot)
}

// UpdateEndpoints handles an update of the endpoint list. entries is ignored for kinds that have none.
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

// applyEntries updates the endpoints from entries. A restarted endpoint is treated as a new one.
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

// orderEndpoints recomputes the subset and deletes removed endpoints. Attempts in flight keep their reference to a deleted endpoint.
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

// startUnsent starts the requests that arrived while the list had no endpoint, in the order of their IDs.
func (b *Balancer) startUnsent(now Time, act Actions) {
	for _, id := range slices.Sorted(maps.Keys(b.requests)) {
		if r := b.requests[id]; !r.ended && len(r.attempts) == 0 && r.queuedUntil == 0 {
			b.startOrAwaitEndpoint(now, r, b.activeSubset(now), act)
		}
	}
}

// jitter returns a random duration below limit.
func (b *Balancer) jitter(limit time.Duration) time.Duration {
	return time.Duration(b.rng.Float64() * float64(limit))
}
