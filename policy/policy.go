// The interface (Config, events, Actions) is in policy/api.go, the records kept are in policy/state.go.

package policy

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// sampleSize is d of JBT-d: two choices already tilt the pick (section 3.2).
	sampleSize = 2
	// maxSubsetSize keeps each member's figures fresh: more members than this see too few of a sidecar's
	// own requests and probes.
	maxSubsetSize = 5
	// healthCheckBudgetPoints is what probing may cost in points of the result; with the tariff it gives the period T.
	healthCheckBudgetPoints = 0.05
	// trafficFreshness is how long what a sidecar's own traffic has told holds: one that has requests more often spends less on probes
	// by as much, down to leastProbes of probeSpend. Too little of it would leave marks and thresholds to chance.
	trafficFreshness    = 600 * time.Millisecond
	minHealthCheckShare = 0.3
	// arrivalCreditShare of it is spent on a request that ends up refused: it comes back up to three times.
	arrivalCreditShare = 0.4
	// connectionBudgetPoints is what held connections may cost in points; with the tariff it sizes the ready set.
	connectionBudgetPoints = 0.02
	// localZoneFactor is how many times its part of the set the own zone has where leaving it has a price, up to all but one. Queues even
	// out what is left uneven; a zone with few servers must not be crowded by its own sidecars.
	localZoneFactor = 2.4
	// minDealtSubsets is in how many sets a server must be for these to be dealt, dealtMore how many times its part it may be in, and
	// mostDealt the most sidecars for which that is worth the work.
	minDealtSubsets   = 5
	dealtOverfill     = 1.2
	maxDealtInstances = 200
	// minSubsetSize keeps a choice and two spares when one member fails.
	minSubsetSize = 3
	// queueWaitDivisor of the time left may pass until a good reply: the request then stands in that queue too.
	queueWaitDivisor = 6
	// rejectionBand is the part of the time left over which refusals set in, up to certain: wide enough that
	// queues settle inside it, below the aim, although each refused client comes back up to three times.
	rejectionBand = 0.4
	// baseEjectionTime is the first ejection; each further failure in a row doubles it, up to the ramp time.
	baseEjectionTime = 500 * time.Millisecond
	// slowStartMaxShare bounds how much more than its part of an even load a cold server is sent.
	slowStartMaxShare = 1.4
	// warmCapacityFraction is the least share of its capacity from which on a server is one like others: most are warm by then, and its queue
	// tells. A cold one falls over at a multiple of what it can do (2.5 on the platform); none is sent 1.75 times what it does warm.
	warmCapacityFraction = 0.7
	// hedgeBudgetRatio is the part of requests that may have a second copy sent while the first is out, and mostHedges how
	// many of them may come at once. What the copies cost must stay small where all are slow.
	hedgeBudgetRatio = 0.03
	maxHedgeCredit   = 10
	// earlyHedgeWinRate is the share of second copies that must answer first for them to be sent as soon as an answer is slow.
	earlyHedgeWinRate = 0.5
	// timerLatenessTicks is how many ticks a timer may come late.
	timerLatenessTicks = 4
	// slowResponseFactor times the delay expected of it makes an answer slow.
	slowResponseFactor = 2
	// safeLatencyFactor times the delay expected of a server must fit into the aim for it to be drawn before others: answers
	// scatter about what is expected, so that half of those that just fit would be late.
	safeLatencyFactor = 2
	// unresponsiveFactor times the usual delay of answers without any word from a server, while something of this sidecar's is
	// out there, make it silent.
	unresponsiveFactor = 3
	// machineTypeSamples is how many answers of a server tell as much of it as those of all of its kind, and mostKinds how many
	// kinds of machines are told apart: lists could name one for each server.
	machineTypeSamples = 3
	maxMachineTypes    = 64
	// smoothingWeight is the weight of a new sample in moving averages: about the last ten count.
	smoothingWeight = 0.1
)

// Balancer decides for one sidecar. It is not safe for concurrent use.
type Balancer struct {
	cfg            Config
	rng            *rand.Rand
	classes        map[string]*classState
	endpoints      map[EndpointID]*endpoint
	readyEndpoints []*endpoint // ready servers in this sidecar's order of preference
	localZoneOnly  bool        // the ready set is of the own zone
	subsetSize     int         // how many of them make up the ready set
	requests       map[RequestID]*request

	threshold          float64       // shortest queue reported so far in the last probe round
	awaitingFirstReply bool          // no reply of that round has come
	queued             []*request    // in order of arrival: requests waiting for a mark
	markLifetime       time.Duration // marks older than this have gone stale
	contention         float64       // share of probes that found a request waiting
	healthCheckCredit  float64       // probes that the traffic so far has paid for
	lastRequestAt      Time          // the latest request
	requestInterval    time.Duration // smoothed: from one request to the next
	hedgeCredit        float64       // second copies that the traffic so far, and copies that answered first, have paid for
	hedgeWinRate       float64       // smoothed: share of second copies that answered first

	latency      latencyModel // of answers by the reported queue
	machineTypes map[string]*machineType

	capacity           capacityEstimator // whether the set had room for the requests of late
	maxPriorityDensity float64           // highest worth of a class for each second of its aim
	watching           bool
	watchFailures      int
}

// New returns a Balancer for cfg; seed feeds its private random numbers.
func New(cfg Config, seed uint64) (*Balancer, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		classes: map[string]*classState{}, endpoints: map[EndpointID]*endpoint{}, requests: map[RequestID]*request{}, machineTypes: map[string]*machineType{},
		threshold: math.Inf(1), healthCheckCredit: sampleSize, contention: 1, requestInterval: trafficFreshness,
	}
	for _, c := range cfg.Classes {
		b.classes[c.Name] = &classState{Class: c}
		b.maxPriorityDensity = max(b.maxPriorityDensity, c.PriorityWeight/c.LatencyObjective.Seconds())
		if b.markLifetime == 0 || c.LatencyObjective < b.markLifetime {
			b.markLifetime = c.LatencyObjective
		}
	}
	return b, nil
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

// pollRetrySlot is the part of a pause between calls to the list service that each sidecar of the group is given, and firstTurn that of
// the time for first calls, which may wait: so long does a slow service work on a call, and one that it refuses is owed sooner.
const pollRetrySlot, firstPollSlot = 50 * time.Millisecond, 300 * time.Millisecond

// pollSpread is the pause over which this group's calls to the list service are spread: most, which is as much as the rules
// give, or less where the group is too small to swamp the service.
func (b *Balancer) pollSpread(most time.Duration) time.Duration {
	return min(most, time.Duration(b.cfg.InstanceCount)*pollRetrySlot)
}

// rebuildSubset orders the ready servers. A ready set starts at a place given by the sidecar's number and
// goes on in steps that differ between neighbours: every server gets equally many sidecars, and the
// load of one that fails spreads over many. The spares after it follow by rendezvous hashing. Where each server is in many sets
// they are dealt: by places, one server that goes moves half of all members, and everyone connects and learns anew at once.
func (b *Balancer) rebuildSubset() {
	pool := b.readyEndpoints[:0]
	for _, id := range slices.Sorted(maps.Keys(b.endpoints)) {
		s := b.endpoints[id]
		s.marked = s.marked && s.State == Ready
		if s.State == Ready {
			pool = append(pool, s)
		}
	}
	sortByHash(pool, 0)
	// Where leaving the zone has a price, the set holds more of the own zone than its part, and nothing else where it costs more than
	// the probes to find a server there.
	abroad := func(s *endpoint) bool { return s.Zone != b.cfg.Zone && b.cfg.CrossZoneCost > 0 }
	near := slices.DeleteFunc(slices.Clone(pool), abroad)
	far := slices.DeleteFunc(slices.Clone(pool), func(s *endpoint) bool { return !abroad(s) })
	b.localZoneOnly = len(near) >= minSubsetSize && b.cfg.CrossZoneCost > sampleSize*b.cfg.HealthCheckCost
	if b.localZoneOnly {
		far = nil
	}
	b.subsetSize = min(len(near)+len(far), maxSubsetSize)
	if b.cfg.ConnectionCost > 0 {
		perSidecar := 100 * connectionBudgetPoints / b.cfg.ConnectionCost * float64(len(pool)) / float64(b.cfg.InstanceCount)
		b.subsetSize = min(b.subsetSize, max(minSubsetSize, int(perSidecar)))
	}
	home := int(math.Round(localZoneFactor * float64(b.subsetSize*len(near)) / float64(max(1, len(near)+len(far)))))
	home = max(b.subsetSize-len(far), min(home, b.subsetSize-1, len(near)))
	ordered := b.selectSubset(b.selectSubset(nil, near, home), far, b.subsetSize-home)
	b.subsetSize = len(ordered) // all but always as many as before
	sortByHash(pool, uint64(b.cfg.InstanceIndex)<<32)
	for _, s := range pool {
		if !slices.Contains(ordered[:b.subsetSize], s) {
			ordered = append(ordered, s)
		}
	}
	b.readyEndpoints = ordered
}

// selectSubset adds k servers of list to set. A deal gives each sidecar its part in turn, as rendezvous hashing puts the servers, but none to
// many more than its part of the sets. Else they are by places.
func (b *Balancer) selectSubset(set, list []*endpoint, k int) []*endpoint {
	n, before := len(list), len(set)
	if b.cfg.InstanceCount > maxDealtInstances || b.cfg.InstanceCount*k < minDealtSubsets*n {
		step := 1 + b.cfg.InstanceIndex%max(1, (n-1)/max(1, k-1))
		for j := range k {
			set = append(set, list[(b.cfg.InstanceIndex*n/b.cfg.InstanceCount+j*step)%n])
		}
		return set
	}
	left := make(map[*endpoint]int, n)
	for _, s := range list {
		left[s] = int(math.Ceil(dealtOverfill * float64(b.cfg.InstanceCount*k) / float64(n)))
	}
	for o := range b.cfg.InstanceIndex + 1 {
		sortByHash(list, uint64(o)<<32)
		set = set[:before]
		for _, s := range list {
			if len(set) < before+k && left[s] > 0 {
				left[s]--
				set = append(set, s)
			}
		}
	}
	return set
}

// HandleRequest takes a client's request.
func (b *Balancer) HandleRequest(now Time, q Request, act Actions) {
	c := b.classes[q.Class]
	if c == nil { // unknown: assume the worst of a repeat and the best of a late answer
		left := q.Expires - now
		c = &classState{Class: Class{Name: q.Class, Idempotency: NonIdempotent, LatencyObjective: left, Deadline: left}}
	}
	r := &request{Request: q, class: c}
	for _, p := range q.PriorAttempts {
		r.attempts = append(r.attempts, attempt{zone: p.Zone, cell: p.Cell, notExecuted: p.NotExecuted, sentAt: now + p.DedupRemaining - c.DedupWindow})
	}
	b.requests[q.ID] = r
	b.requestInterval += time.Duration(smoothingWeight * float64(min(now-b.lastRequestAt, 4*trafficFreshness)-b.requestInterval))
	b.lastRequestAt = now
	r.startedAt, r.timerResolution = c.estimateStart(now, q, b.cfg.TimerResolution), b.cfg.TimerResolution
	r.setDeadlines()
	// Under overload what is worth less for its time gives way first, by standing less of a queue.
	bare := b.latency.predict(0)
	strict := b.capacity.shortage(now)
	// What is worth most is refused only where it would be late: the band is for those that make room for it.
	scale := math.Pow(c.PriorityWeight/c.LatencyObjective.Seconds()/max(b.maxPriorityDensity, 1e-9), strict)
	if scale < 1 {
		scale *= 1 - strict*rejectionBand*b.rng.Float64()
	}
	r.latencyLimit = time.Duration(bare + (float64(r.objectiveDeadline-now)-bare)*scale)
	if r.finalDeadline <= now+b.cfg.TimerResolution { // nobody gains from the work
		b.finishRequest(now, r, false, act)
		return
	}
	act.SetTimer(r.finalDeadline-now, timerToken(q.ID))
	b.earnHealthChecks(arrivalCreditShare)
	for _, s := range b.readyEndpoints { // those whose ejection would be over by the clock are asked whether it is
		if s.ejectedUntil <= now && b.isEjected(now, s) && s.healthChecksInFlight == 0 {
			b.checkHealth(now, s, act)
		}
	}
	set := b.activeSubset(now)
	if !b.cfg.HealthChecksAllowed || b.healthCheckCredit < sampleSize || len(set) == 0 {
		// Work that nobody awaits any more keeps queues long for all.
		b.admitOrReject(now, r, set, act)
		return
	}
	r.sampled = b.startSamplingRound(now, r, set, act)
	good := func(s *endpoint) bool { return b.isMarked(now, s) && !b.exceedsLimit(now, r, s) && !b.cfg.KeyAffinity }
	if slices.ContainsFunc(set, good) {
		b.startAttempt(now, r, set, act)
		return
	}
	// Only stale figures: the request waits for the first reply of its round, or else is refused.
	r.queuedUntil = now + (r.finalDeadline-now)/queueWaitDivisor
	b.queued = append(b.queued, r)
	act.SetTimer(r.queuedUntil-now, timerToken(q.ID))
}

// earnHealthChecks credits the probes that a share of a request pays for: all of them after a failure or while they
// find requests waiting, and down to a tenth while they find none, when any server will do.
func (b *Balancer) earnHealthChecks(share float64) {
	share *= min(1, max(minHealthCheckShare, float64(b.requestInterval)/float64(trafficFreshness)))
	b.healthCheckCredit = min(b.healthCheckCredit+share*max(b.contention, 0.1)*healthCheckBudgetPoints/max(b.cfg.HealthCheckCost, 1e-9), sampleSize)
}

// startSamplingRound starts a probe round, whose replies set the threshold. The period T is thus counted in
// requests, so that sidecars that send little neither probe in vain nor keep a clock.
// Where servers do less work for a key they met lately, the round asks the key's homes instead: the d
// servers that rendezvous hashing puts first.
func (b *Balancer) startSamplingRound(now Time, r *request, set []*endpoint, act Actions) []*endpoint {
	set = slices.Clone(set)
	b.rng.Shuffle(len(set), func(i, j int) { set[i], set[j] = set[j], set[i] })
	if b.cfg.KeyAffinity && r.Key != "" {
		sortByHash(set, rendezvousHash(EndpointID(r.Key), 0))
	}
	set = set[:min(sampleSize, len(set))]
	b.healthCheckCredit -= sampleSize
	b.awaitingFirstReply = true
	for _, s := range set {
		b.checkHealth(now, s, act)
	}
	return set
}

func (b *Balancer) checkHealth(now Time, s *endpoint, act Actions) {
	s.recordSend(now)
	s.healthChecksInFlight++
	act.CheckHealth(s.ID)
}

// HandleHealthCheck takes the result of a probe.
func (b *Balancer) HandleHealthCheck(now Time, p HealthCheckResult, act Actions) {
	s := b.endpoints[p.Endpoint]
	if s == nil {
		return
	}
	s.healthChecksInFlight = max(0, s.healthChecksInFlight-1)
	silent := b.isUnresponsive(now, s)
	s.recordContact(now, p.Status)
	if p.Status != StatusOK {
		b.recordFailure(now, s, p.Status, silent)
		b.handleSampleReply(now, s, false, act)
		return
	}
	s.recordSuccess(now, s.ejectedUntil == 0)
	q := reportedQueueLength(p.Load)
	if q < 0 {
		b.handleSampleReply(now, s, false, act)
		return
	}
	b.contention += smoothingWeight * (min(q, 1) - b.contention)
	if b.awaitingFirstReply || q < b.threshold {
		b.awaitingFirstReply, b.threshold = false, q
		for _, t := range b.readyEndpoints {
			t.marked = t.marked && t.reportedQueue <= b.threshold
		}
	}
	b.recordLoadReport(now, s, p.Load)
	b.handleSampleReply(now, s, true, act)
}

// handleSampleReply hands a reply of s to the requests that are held for it: the first for which s is good goes there. One that has
// had all its replies waits no longer.
func (b *Balancer) handleSampleReply(now Time, s *endpoint, told bool, act Actions) {
	var done []*request
	for i, r := range b.queued {
		if !slices.Contains(r.sampled, s) {
			continue
		}
		r.sampleReplies++
		if r.sampleReplies == len(r.sampled) && b.localZoneOnly && (!told || b.exceedsLimit(now, r, s)) && b.healthCheckCredit >= sampleSize {
			r.sampled = b.startSamplingRound(now, r, b.readyEndpoints[b.subsetSize:], act) // the own zone is full: look abroad
			continue
		}
		if told && !b.exceedsLimit(now, r, s) {
			// The first reply of its own round is the request's threshold, and so its mark. Waiting for a
			// mark under the threshold of another request's round would refuse what could be served.
			b.threshold, s.marked, s.markedAt = s.reportedQueue, true, now
			b.queued = slices.Delete(b.queued, i, i+1)
			r.queuedUntil = 0
			b.startAttempt(now, r, []*endpoint{s}, act)
			break
		}
		if r.sampleReplies >= len(r.sampled) {
			done = append(done, r)
		}
	}
	for _, r := range done {
		b.resolveQueued(now, r, act)
	}
}

// resolveQueued ends the wait of a request that is held: it goes where it can be expected in time, or else is refused.
func (b *Balancer) resolveQueued(now Time, r *request, act Actions) {
	b.queued = slices.DeleteFunc(b.queued, func(h *request) bool { return h == r })
	r.queuedUntil = 0
	b.admitOrReject(now, r, b.activeSubset(now), act)
}

// admitOrReject sends r to a server of set, or refuses it if one drawn is full for it.
// Where this sidecar has seen lately that there is room, a full one is not drawn while there are others: what is refused
// then is in time there. Under a true shortage such picks would only fill what is left, and the refusals are right, but for
// what is worth most: what is left is for that.
func (b *Balancer) admitOrReject(now Time, r *request, set []*endpoint, act Actions) {
	hasRoom := func(s *endpoint) bool {
		return s.isIdle() || now+b.pessimisticLatency(now, s, 1) <= r.objectiveDeadline
	}
	b.capacity.record(now, slices.ContainsFunc(set, hasRoom))
	if b.capacity.shortage(now) < 1 || b.capacity.provenSufficient() || r.class.PriorityWeight/r.class.LatencyObjective.Seconds() > b.maxPriorityDensity/2 {
		if free := slices.DeleteFunc(slices.Clone(set), func(s *endpoint) bool { return b.exceedsLimit(now, r, s) }); len(free) > 0 {
			set = free
		}
	}
	if s := b.pickEndpoint(now, r, set); s != nil && b.exceedsLimit(now, r, s) || !b.startAttempt(now, r, set, act) {
		b.finishRequest(now, r, true, act)
	}
}

// isMarked reports whether s has a mark that is not stale.
func (b *Balancer) isMarked(now Time, s *endpoint) bool {
	return s.marked && now-s.markedAt <= b.markLifetime
}

// recordLoadReport notes a load report. The tick of the design is the arrival of a report: the server is
// marked if the figure is at or below the threshold. Figures are never used twice for marking,
// which is how marks and thresholds of a sidecar that sends little stay fresh.
func (b *Balancer) recordLoadReport(now Time, s *endpoint, l *LoadReport) {
	q := reportedQueueLength(l)
	if q < 0 {
		return
	}
	s.reportedQueue, s.hasReport = q, true
	s.marked, s.markedAt = s.State == Ready && s.reportedQueue <= b.threshold, now
}

// HandleAttemptResult takes the end of an attempt.
func (b *Balancer) HandleAttemptResult(now Time, o AttemptResult, act Actions) {
	r := b.requests[o.ID]
	known := r != nil && o.Attempt >= 0 && o.Attempt < len(r.attempts) && r.attempts[o.Attempt].inFlight
	own := known && o.Status == StatusTimeout && r.attempts[o.Attempt].timeoutInconclusive(now)
	if s := b.endpoints[o.Endpoint]; s != nil {
		if o.Status == StatusOK {
			s.recordSuccess(now, true)
		} else if !own {
			b.recordFailure(now, s, o.Status, b.isUnresponsive(now, s))
		}
		b.recordLoadReport(now, s, o.Load)
	}
	if !known {
		return
	}
	a := &r.attempts[o.Attempt]
	a.inFlight, a.notExecuted = false, o.Status.NotExecuted()
	r.inFlight--
	if (o.Status == StatusOK || o.Status == StatusApplicationError) && !r.bodyInTransfer {
		a.endpoint.recordResponse(now, a.sentAt)
	}
	if !r.bodyInTransfer {
		a.endpoint.inFlight--
	}
	a.endpoint.recordContact(now, o.Status)
	if o.Status == StatusOK && (r.inFlight > 0) {
		b.recordHedgeOutcome(o.Attempt > 0)
	}
	r.ended = r.ended || o.RequestEnded
	if o.Status == StatusOK || o.Status == StatusTimeout && !own {
		b.recordLatency(a, float64(o.Delay))
	}
	switch {
	case r.ended:
		b.cancelAttempts(r, act)
		b.release(r)
	case r.inFlight == 0 && !b.startAttempt(now, r, b.activeSubset(now), act):
		b.finishRequest(now, r, true, act)
	}
}

// recordLatency learns from the delay of an attempt. A cold server tells of itself alone: where many are cold at once the line of all
// would have warm ones taken for slow, and full, and refuse what they could serve.
func (b *Balancer) recordLatency(a *attempt, delay float64) {
	at := b.latency.predict(a.queueAtSend)
	if s := a.endpoint; at > 0 {
		ratio := min(delay/at, 10)
		if !a.warmingUp {
			s.machineType.slowness += smoothingWeight / 2 * (ratio - s.machineType.slowness)
		}
		s.slownessSamples = min(s.slownessSamples+1, 1/smoothingWeight)
		s.slowness += max(smoothingWeight, 1/float64(s.slownessSamples)) * (ratio - s.slowness)
	}
	if !a.warmingUp {
		b.latency.observe(a.queueAtSend, delay/a.endpoint.effectiveSlowness())
	}
}

// effectiveSlowness is how much slower than expected the answers of s are: its own so far, and those of its kind of machine where
// there are few. Without them a sidecar that meets most servers seldom would take each for an even one for as long as it is
// there, and crowd the slow ones.
func (s *endpoint) effectiveSlowness() float64 {
	n := float64(s.slownessSamples)
	return (n*s.slowness + machineTypeSamples*s.machineType.slowness) / (n + machineTypeSamples)
}

// machineTypeOf is what the machines of that name have in common.
func (b *Balancer) machineTypeOf(name string) *machineType {
	k := b.machineTypes[name]
	if k == nil {
		k = &machineType{slowness: 1}
		if len(b.machineTypes) < maxMachineTypes {
			b.machineTypes[name] = k
		}
	}
	return k
}

// recordHedgeOutcome notes whether, of two attempts that were out together, the second answered first. Such a copy pays for a further
// one: where some servers swallow requests, copies go on for as long as they win, and where all are slow alike, so that
// the first answers first, they stay within their share of the traffic.
func (b *Balancer) recordHedgeOutcome(won bool) {
	b.hedgeWinRate *= 1 - smoothingWeight
	if won {
		b.hedgeCredit, b.hedgeWinRate = min(b.hedgeCredit+1, maxHedgeCredit), b.hedgeWinRate+smoothingWeight
	}
}

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

// activeSubset returns the ready set: the first servers in order of preference that are not ejected. When
// more than half of all are ejected the evidence is against the network or the load, not
// against servers, and ejections are ignored.
func (b *Balancer) activeSubset(now Time) []*endpoint {
	set := make([]*endpoint, 0, b.subsetSize)
	for _, s := range b.readyEndpoints {
		if len(set) < b.subsetSize && !b.isEjected(now, s) && !b.isUnresponsive(now, s) && b.capacityFraction(now, s) == 1 {
			set = append(set, s)
		}
	}
	if len(set) == 0 || 2*b.countEjected(now) > len(b.readyEndpoints) {
		set = append(set[:0], b.readyEndpoints[:b.subsetSize]...)
	}
	return set
}

// ExportLearnedState returns what has been learnt so far.
func (b *Balancer) ExportLearnedState(now Time) LearnedState {
	l := LearnedState{
		DelayModel: [4]float64{b.latency.meanQueue, b.latency.meanLatency, b.latency.queueVariance, b.latency.covariance}, ProbeContention: b.contention, HedgeWinRate: b.hedgeWinRate,
		Endpoints: map[EndpointID]LearnedEndpoint{}, ClientTimeouts: map[string]time.Duration{},
	}
	for id, s := range b.endpoints {
		l.Endpoints[id] = LearnedEndpoint{s.Started, s.slowness, s.slownessSamples, s.responseInterval, max(0, s.ejectedUntil-now), s.consecutiveFailures}
	}
	for name, c := range b.classes {
		if c.timeoutVotes >= minTimeoutVotes {
			l.ClientTimeouts[name] = c.usualTimeout
		}
	}
	return l
}

// ImportLearnedState takes over what another Balancer has learnt, of the servers that are on the list and have not restarted since.
func (b *Balancer) ImportLearnedState(now Time, l LearnedState) {
	b.latency = latencyModel{l.DelayModel[0], l.DelayModel[1], l.DelayModel[2], l.DelayModel[3]}
	b.contention, b.hedgeWinRate = l.ProbeContention, l.HedgeWinRate
	for id, t := range l.Endpoints {
		if s := b.endpoints[id]; s != nil && s.Started == t.Started {
			s.slowness, s.slownessSamples, s.responseInterval, s.consecutiveFailures = t.Slowness, t.Samples, t.ResponseInterval, t.ConsecutiveFailures
			if t.EjectedFor > 0 {
				s.ejectedUntil = now + t.EjectedFor
			}
		}
	}
	for name, usual := range l.ClientTimeouts {
		if c := b.classes[name]; c != nil {
			c.usualTimeout, c.timeoutVotes = usual, minTimeoutVotes
		}
	}
}

// HandleUnreachableHint takes hearsay that a server does not answer: it is left out until a probe of this sidecar's own has been answered, and counts
// as no failure. It is not believed against an answer of late, nor where it would leave out more than a third: a liar costs no more.
func (b *Balancer) HandleUnreachableHint(now Time, id EndpointID) {
	s := b.endpoints[id]
	if s != nil && s.State == Ready && s.ejectedUntil == 0 && b.cfg.HealthChecksAllowed && now-s.lastSuccess >= baseEjectionTime && 3*(b.countEjected(now)+1) <= len(b.readyEndpoints) {
		s.marked, s.ejectedUntil = false, now+baseEjectionTime
	}
}

// EjectedCount is how many servers that the list names ready are left out after failures; one that is silent for the moment is not.
func (b *Balancer) EjectedCount(now Time) int {
	if bad := b.countEjected(now); 2*bad <= len(b.readyEndpoints) { // see set
		return bad
	}
	return 0
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

// Summarize tells how things look.
func (b *Balancer) Summarize(now Time) Summary {
	return Summary{TypicalLatency: time.Duration(b.latency.meanLatency), CapacityShortage: b.capacity.shortage(now), EjectedEndpoints: b.EjectedCount(now)}
}

// drawWarming draws a place of the ready set, and returns the server there if it is cold, in proportion to
// the least capacity it can have. An empty queue would make every probe round choose it; this way it
// gets that part of what this sidecar sends a warm one, whatever its reports, and however many wait.
func (b *Balancer) drawWarming(now Time) *endpoint {
	s := b.readyEndpoints[b.rng.IntN(b.subsetSize)]
	w := b.capacityFraction(now, s)
	if w == 1 || b.isEjected(now, s) || b.isUnresponsive(now, s) || s.reportedQueue >= 1 {
		return nil
	}
	able, warm := 0.0, 0 // of what all could do warm
	for _, t := range b.readyEndpoints {
		x := b.capacityFraction(now, t)
		able += x
		if x == 1 {
			warm++
		}
	}
	if warm < minSubsetSize { // none is spared by it
		w = b.warmingShare(now, s)
	} else {
		w *= min(slowStartMaxShare, float64(len(b.readyEndpoints))/able)
	}
	if b.rng.Float64() >= w {
		return nil
	}
	return s
}

// startAttempt starts a further attempt of r if a legal one exists and reports whether it did, or whether
// the request may still be held.
func (b *Balancer) startAttempt(now Time, r *request, set []*endpoint, act Actions) bool {
	s := b.pickEndpoint(now, r, set)
	if s == nil {
		s = b.pickEndpoint(now, r, b.readyEndpoints)
	}
	if s == nil {
		return len(r.attempts) == 0 && len(b.readyEndpoints) == 0 // hold until the list names a server
	}
	if c := b.drawWarming(now); c != nil && len(r.attempts) == 0 && b.attemptAllowed(now, r, c) && !b.missesObjective(now, r, c) {
		s = c
	}
	s.marked = false
	a := attempt{endpoint: s, zone: s.Zone, cell: s.Cell, sentAt: now, inFlight: true, queueAtSend: b.expectedQueue(s), expectedLatency: b.expectedLatency(now, s), warmingUp: b.capacityFraction(now, s) < 1}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	s.recordSend(now)
	s.inFlight++
	if len(r.attempts) == 1 {
		b.earnHealthChecks(1 - arrivalCreditShare)
		b.hedgeCredit = min(b.hedgeCredit+hedgeBudgetRatio, maxHedgeCredit)
		wait := max(b.cfg.TimerResolution, slowResponseFactor*b.expectedLatency(now, s))
		if b.hedgeWinRate < earlyHedgeWinRate { // at the last moment, as most that are slow still answer; timers come a little late
			wait = max(wait, r.objectiveDeadline-now-b.expectedLatency(now, s)-timerLatenessTicks*b.cfg.TimerResolution)
		}
		if b.cfg.HedgingAllowed && r.class.Idempotency != NonIdempotent && !r.StreamedBody && now+wait < r.objectiveDeadline {
			act.SetTimer(wait, hedgeTimerPrefix+timerToken(r.ID))
		}
	}
	act.StartAttempt(r.ID, s.ID, r.finalDeadline-now)
	return true
}

// hedgeRequest sends a second copy of r, whose answer is slow, where it can be expected in time and nothing waits. It guards
// against servers that are silent, paused or stuck, whatever the reason; it might do harm where all are slow alike, and
// so is bounded by a share of the traffic and kept from queues.
func (b *Balancer) hedgeRequest(now Time, r *request, act Actions) {
	if r.ended || r.responseStarted || r.inFlight != 1 {
		return
	}
	silent := slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.inFlight && b.isUnresponsive(now, a.endpoint) })
	idle := slices.DeleteFunc(b.activeSubset(now), func(s *endpoint) bool {
		return !silent && s.reportedQueue >= 1 || now+b.expectedLatency(now, s) > r.objectiveDeadline || b.capacityFraction(now, s) < 1
	})
	if b.hedgeCredit < 1 && !silent || b.pickEndpoint(now, r, idle) == nil {
		return
	}
	b.hedgeCredit--
	b.startAttempt(now, r, idle, act)
}

// pickEndpoint draws a marked server of set at random, or else a server uniformly: of those that would safely answer in time, or
// else just so, if there are any, since a slow server that takes its even share collects an endless queue.
func (b *Balancer) pickEndpoint(now Time, r *request, set []*endpoint) *endpoint {
	var marked, safe, all, late []*endpoint
	for _, s := range set {
		tried := slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.endpoint == s })
		if tried || !b.attemptAllowed(now, r, s) || !b.admitsWarming(now, r, s) {
			continue
		}
		if b.missesObjective(now, r, s) {
			late = append(late, s)
			continue
		}
		all = append(all, s)
		if now+safeLatencyFactor*b.expectedLatency(now, s) > r.objectiveDeadline {
			continue
		}
		safe = append(safe, s)
		if b.isMarked(now, s) {
			marked = append(marked, s)
		}
	}
	if len(r.attempts) > 0 {
		late = nil // a further attempt that would be late as well only feeds the overload
	}
	for _, from := range [][]*endpoint{marked, safe, all, late} {
		if len(from) > 0 {
			return from[b.rng.IntN(len(from))]
		}
	}
	return nil
}

// admitsWarming lets a request have a cold server for its first attempt only, and only a share of requests: that
// of its least capacity. All picks for a request agree, so that asking twice does not double the share.
func (b *Balancer) admitsWarming(now Time, r *request, s *endpoint) bool {
	w := b.warmingShare(now, s)
	return b.capacityFraction(now, s) == 1 || len(r.attempts) == 0 && float64(rendezvousHash(s.ID, uint64(r.ID))) < w*math.MaxUint64
}

// warmingShare is the part that s, which is cold, gets where no warm one is to be had: its least capacity, less where its kind is slow. With
// the same part for all, 80 sidecars before servers that were all cold pushed the smallest over.
func (b *Balancer) warmingShare(now Time, s *endpoint) float64 {
	return b.capacityFraction(now, s) / max(s.machineType.slowness, 1)
}

// missesObjective reports whether r would miss its aim at s by the latest figures.
func (b *Balancer) missesObjective(now Time, r *request, s *endpoint) bool {
	return now+b.expectedLatency(now, s) > r.objectiveDeadline
}

// exceedsLimit reports whether r should rather be refused than stand in the queue of s. Where s is idle, refusing makes
// nobody faster, whatever the delays so far tell: without this a spell of slow answers would have all refused for good,
// since no further answer could tell that it is over.
func (b *Balancer) exceedsLimit(now Time, r *request, s *endpoint) bool {
	return !s.isIdle() && b.pessimisticLatency(now, s, b.capacity.shortage(now)) > r.latencyLimit
}

// sheddingLatencyMargin is the part by which answers of servers where all have to wait are reckoned with as slower than expected.
const sheddingLatencyMargin = 0.5

// pessimisticLatency is the delay of s to reckon with: answers scatter about what is expected, so that where many wait, half of those
// let in at the very limit would come late and cost as much. Too much of it turns away what would be in time.
func (b *Balancer) pessimisticLatency(now Time, s *endpoint, strict float64) time.Duration {
	return time.Duration(min((1+strict*sheddingLatencyMargin*b.contention*b.contention)*float64(b.expectedLatency(now, s)), float64(time.Hour)))
}

// retryAfter is how long the client of a refused request had better wait: until the queue by which it could first be
// served will have shrunk to its limit.
func (b *Balancer) retryAfter(now Time, r *request) time.Duration {
	if !b.cfg.RetryAfterHonored {
		return 0
	}
	wait := b.cfg.MaxRetryAfter
	for _, s := range b.activeSubset(now) {
		wait = min(wait, max(b.cfg.TimerResolution, b.pessimisticLatency(now, s, b.capacity.shortage(now))-r.latencyLimit))
	}
	return wait
}

// expectedLatency is the delay to expect of an answer of s: the common line of delay by requests standing there, times how much
// slower than it s has been, and at least what its own pace tells. The line is learnt of all servers alike, and goes flat
// where the quick ones are given more and so hold more; the pace guards against heaping requests on one of them then.
func (b *Balancer) expectedLatency(now Time, s *endpoint) time.Duration {
	line := min(b.latency.predict(b.expectedQueue(s))*s.effectiveSlowness(), float64(time.Hour))
	return max(time.Duration(line), s.paceLatency(now))
}

// expectedQueue is how many requests a further one at s would stand among, as far as this sidecar can tell: those that the
// latest report told waiting and its own that are out. At a sidecar with much traffic a report is old after a few sends;
// at one with little the sum is the report. Marks and threshold go by the report alone.
func (b *Balancer) expectedQueue(s *endpoint) float64 {
	if !s.hasReport {
		return max(b.latency.meanQueue, float64(s.inFlight))
	}
	return s.reportedQueue + float64(s.inFlight)
}

// capacityFraction is the least share of its capacity that s has at now, or 1 from nearWarm on.
func (b *Balancer) capacityFraction(now Time, s *endpoint) float64 {
	w := b.cfg.SlowStartMinCapacity + (1-b.cfg.SlowStartMinCapacity)*float64(max(0, now-s.Started))/float64(max(b.cfg.SlowStartDuration, 1))
	if s.Started == 0 || w >= warmCapacityFraction {
		return 1
	}
	return w
}

// attemptAllowed is the one judge of whether the rules allow an attempt of r at s.
func (b *Balancer) attemptAllowed(now Time, r *request, s *endpoint) bool {
	if r.ended || r.responseStarted || r.bodyConsumed || s.State != Ready || now >= r.Expires || len(r.attempts) >= b.cfg.MaxAttempts || r.MaxAttempts > 0 && len(r.attempts) >= r.MaxAttempts ||
		r.inFlight > 0 && !b.cfg.HedgingAllowed {
		return false
	}
	for _, a := range r.attempts {
		if a.notExecuted {
			continue
		}
		c := r.class
		switch {
		case c.Idempotency == NonIdempotent:
			return false
		case c.Idempotency == IdempotentByKey && (now >= a.sentAt+c.DedupWindow-b.cfg.DialTimeout-b.cfg.TimerResolution ||
			c.DedupScope == DedupZone && a.zone != s.Zone || c.DedupScope == DedupCell && a.cell != s.Cell):
			return false
		}
	}
	return true
}

// rejectionSafe is the one judge of whether a refusal, which promises that a retry is harmless, is true of r.
func rejectionSafe(r *request) bool {
	return r.class.Idempotency == Idempotent || r.class.Idempotency == IdempotentByKey && r.class.DedupScope == DedupEverywhere ||
		!slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.notExecuted })
}

// finishRequest gives the final answer: a refusal where it is true and a retry could help, else a failure.
func (b *Balancer) finishRequest(now Time, r *request, retry bool, act Actions) {
	b.cancelAttempts(r, act)
	r.ended = true
	r.class.addUnanswered(r)
	if r.queuedUntil > 0 {
		r.queuedUntil = 0
		b.queued = slices.DeleteFunc(b.queued, func(h *request) bool { return h == r })
	}
	if retry && rejectionSafe(r) {
		act.Reject(r.ID, b.retryAfter(now, r))
	} else {
		act.Fail(r.ID)
	}
	b.release(r)
}

func (b *Balancer) cancelAttempts(r *request, act Actions) {
	for i, a := range r.attempts {
		if a.inFlight && b.cfg.CancellationAllowed && !a.canceled {
			r.attempts[i].canceled = true
			act.CancelAttempt(r.ID, i)
		}
	}
}

// release drops an ended request once all its attempts are back.
func (b *Balancer) release(r *request) {
	if r.inFlight == 0 {
		delete(b.requests, r.ID)
	}
}

// HandleResponseStarted notes that the answer of r has begun.
func (b *Balancer) HandleResponseStarted(now Time, id RequestID, attempt int, act Actions) {
	if r := b.requests[id]; r != nil {
		r.responseStarted = true
	}
}

// HandleBodyStarted notes that the body of r, which is long, begins to be used up by its only attempt that is out. From here on the
// client's pace counts, which tells nothing of the server, until Uploaded.
func (b *Balancer) HandleBodyStarted(now Time, id RequestID, attempt int) {
	r := b.requests[id]
	if r == nil || r.ended || r.bodyConsumed || attempt >= len(r.attempts) || !r.attempts[attempt].inFlight {
		return
	}
	r.bodyConsumed, r.bodyInTransfer, r.finalDeadline = true, true, math.MaxInt64
	r.attempts[attempt].endpoint.inFlight--
}

// HandleBodyFinished notes that the last byte of r is written, and that its client waits until expires. All times count from here.
func (b *Balancer) HandleBodyFinished(now Time, id RequestID, expires Time, act Actions) {
	r := b.requests[id]
	if r == nil || r.ended || !r.bodyInTransfer {
		return
	}
	r.bodyInTransfer = false
	for i := range r.attempts {
		if a := &r.attempts[i]; a.inFlight {
			a.sentAt = now
			a.endpoint.recordSend(now)
			a.endpoint.inFlight++
		}
	}
	r.Expires, r.startedAt = expires, now
	r.setDeadlines()
	act.SetTimer(max(0, r.finalDeadline-now), timerToken(id))
}

// HandleClientGone notes that the client has left.
func (b *Balancer) HandleClientGone(now Time, id RequestID, act Actions) {
	if r := b.requests[id]; r != nil && !r.ended {
		r.ended = true
		r.class.addUnanswered(r)
		b.queued = slices.DeleteFunc(b.queued, func(h *request) bool { return h == r })
		b.cancelAttempts(r, act)
		b.release(r)
	}
}

// HandleTimer takes a timer that has fallen due.
func (b *Balancer) HandleTimer(now Time, tok string, act Actions) {
	if tok == "watch" {
		if !b.watching {
			b.watching = true
			act.WatchEndpoints(true)
		}
		return
	}
	digits, hedge := strings.CutPrefix(tok, hedgeTimerPrefix)
	id, _ := strconv.ParseUint(digits, 36, 64)
	r := b.requests[RequestID(id)]
	switch {
	case r != nil && hedge:
		b.hedgeRequest(now, r, act)
	case r == nil || r.ended || r.responseStarted:
	case now >= r.finalDeadline:
		b.finishRequest(now, r, false, act)
	case r.queuedUntil > 0 && now >= r.queuedUntil:
		b.resolveQueued(now, r, act)
	}
}

// jitter draws a time below d.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(b.rng.Float64() * float64(d))
}
