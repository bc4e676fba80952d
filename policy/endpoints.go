package policy

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// pollRetrySlot is the part of a pause between calls to the list service that each sidecar of the group is given, and firstTurn that of
// the time for first calls, which may wait: so long does a slow service work on a call, and one that it refuses is owed sooner.
const pollRetrySlot, firstPollSlot = 50 * time.Millisecond, 300 * time.Millisecond

type endpoint struct {
	Endpoint
	reportedQueue        float64 // latest reported queue
	hasReport            bool
	marked               bool
	markedAt             Time
	consecutiveFailures  int // failures in a row
	lastSuccess          Time
	inFlight             int     // own attempts that are out
	healthChecksInFlight int     // that are out
	silentSince          Time    // since when something is out without a word from it
	slowness             float64 // smoothed: delay of its answers over that expected
	slownessSamples      int     // that tell it, as far as they count
	machineType          *machineType
	hashKey              uint64  // by which byHash sorts
	responseInterval     float64 // smoothed: time from one answer to own attempts to the next, while some are out
	lastResponse         Time    // of the last answer
	newestAnswered       Time    // when the latest attempt was sent that it has answered
	ejectedUntil         Time
}

// hasQueue reports whether requests wait at s by its latest load report.
func (s *endpoint) hasQueue() bool { return s.reportedQueue >= 1 }

// recordSend notes that an attempt or a probe is about to go to s.
func (s *endpoint) recordSend(now Time) {
	if s.inFlight+s.healthChecksInFlight == 0 {
		s.silentSince = now
	}
}

// recordContact notes the end of an attempt or a probe, if it tells that s is there.
func (s *endpoint) recordContact(now Time, st Status) {
	switch st {
	case StatusTimeout, StatusConnectFailed, StatusCanceled, StatusNotSent:
	default:
		s.silentSince = now
	}
}

// UpdateEndpoints takes a message about the server list.
func (b *Balancer) UpdateEndpoints(now Time, kind UpdateKind, entries []Endpoint, act Actions) {
	if kind == UpdatePollFailed {
		// A failed call is retried after a growing, jittered pause: a thousand sidecars
		// that ask again at once would swamp the list service for good.
		b.watching = false
		b.watchFailures++
		pause := min(b.pollSpread(b.cfg.PollInterval/8)<<min(b.watchFailures, 3), cmp.Or(b.cfg.PollMaxBackoff*2/3, b.cfg.PollInterval))
		act.SetTimer(pause/2+b.jitter(pause), "watch")
		return
	}
	if kind == UpdateWatchLost {
		b.watching, b.watchFailures = false, 0
		act.SetTimer(b.jitter(min(b.pollSpread(b.cfg.PollInterval/16), cmp.Or(b.cfg.WatchReopenMaxDelay, b.cfg.PollInterval))), "watch")
		return
	}
	if kind != UpdateDelta {
		for _, s := range b.endpoints {
			s.State = Removed
		}
	}
	for _, e := range entries {
		s := b.endpoints[e.ID]
		if s == nil || e.Started != s.Started { // a restarted process owes nothing to its past
			s = &endpoint{slowness: 1}
			b.endpoints[e.ID] = s
		}
		s.Endpoint, s.machineType = e, b.machineTypeOf(e.Kind)
	}
	b.rebuildSubset()
	for id, s := range b.endpoints { // ids come and go for ever; attempts keep hold of theirs
		if s.State == Removed {
			delete(b.endpoints, id)
		}
	}
	if kind == UpdateCached && !b.cfg.EndpointsPushed && !b.watching {
		act.SetTimer(b.jitter(min(b.cfg.PollInterval*6/10, time.Duration(b.cfg.InstanceCount)*firstPollSlot)), "watch")
	} else if b.watching {
		b.watchFailures = 0
	}
	for _, id := range slices.Sorted(maps.Keys(b.requests)) { // requests held for want of a server
		if r := b.requests[id]; !r.ended && len(r.attempts) == 0 && r.queuedUntil == 0 {
			b.startAttempt(now, r, b.activeSubset(now), act)
		}
	}
}

// pollSpread is the pause over which this group's calls to the list service are spread: most, which is as much as the rules
// give, or less where the group is too small to swamp the service.
func (b *Balancer) pollSpread(most time.Duration) time.Duration {
	return min(most, time.Duration(b.cfg.InstanceCount)*pollRetrySlot)
}

// jitter draws a time below d.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(b.rng.Float64() * float64(d))
}
