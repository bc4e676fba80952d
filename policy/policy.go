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
	// probeSample is d of JBT-d: two choices already tilt the pick (section 3.2).
	probeSample = 2
	// maxReadySet keeps each member's figures fresh: more members than this see too few of a sidecar's
	// own requests and probes.
	maxReadySet = 5
	// probeSpend is what probing may cost in points of the result; with the tariff it gives the period T.
	probeSpend = 0.05
	// tellsFor is how long what a sidecar's own traffic has told holds: one that has requests more often spends less on probes
	// by as much, down to leastProbes of probeSpend. Too little of it would leave marks and thresholds to chance.
	tellsFor    = 600 * time.Millisecond
	leastProbes = 0.3
	// refusedShare of it is spent on a request that ends up refused: it comes back up to three times.
	refusedShare = 0.4
	// connSpend is what held connections may cost in points; with the tariff it sizes the ready set.
	connSpend = 0.02
	// homeMore is how many times its part of the set the own zone has where leaving it has a price, up to all but one. Queues even
	// out what is left uneven; a zone with few servers must not be crowded by its own sidecars.
	homeMore = 2.4
	// stillSets is in how many sets a server must be for these to be dealt, dealtMore how many times its part it may be in, and
	// mostDealt the most sidecars for which that is worth the work.
	stillSets = 5
	dealtMore = 1.2
	mostDealt = 200
	// minReadySet keeps a choice and two spares when one member fails.
	minReadySet = 3
	// patienceShare of the time left may pass until a good reply: the request then stands in that queue too.
	patienceShare = 6
	// lateBand is the part of the time left over which refusals set in, up to certain: wide enough that
	// queues settle inside it, below the aim, although each refused client comes back up to three times.
	lateBand = 0.4
	// firstEject is the first ejection; each further failure in a row doubles it, up to the ramp time.
	firstEject = 500 * time.Millisecond
	// coldMost bounds how much more than its part of an even load a cold server is sent.
	coldMost = 1.4
	// nearWarm is the least share of its capacity from which on a server is one like others: most are warm by then, and its queue
	// tells. A cold one falls over at a multiple of what it can do (2.5 on the platform); none is sent 1.75 times what it does warm.
	nearWarm = 0.7
	// hedgeShare is the part of requests that may have a second copy sent while the first is out, and mostHedges how
	// many of them may come at once. What the copies cost must stay small where all are slow.
	hedgeShare = 0.03
	mostHedges = 10
	// copiesWin is the share of second copies that must answer first for them to be sent as soon as an answer is slow.
	copiesWin = 0.5
	// lateTimer is how many ticks a timer may come late.
	lateTimer = 4
	// slowShare times the delay expected of it makes an answer slow.
	slowShare = 2
	// safeShare times the delay expected of a server must fit into the aim for it to be drawn before others: answers
	// scatter about what is expected, so that half of those that just fit would be late.
	safeShare = 2
	// silentShare times the usual delay of answers without any word from a server, while something of this sidecar's is
	// out there, make it silent.
	silentShare = 3
	// kindAnswers is how many answers of a server tell as much of it as those of all of its kind, and mostKinds how many
	// kinds of machines are told apart: lists could name one for each server.
	kindAnswers = 3
	mostKinds   = 64
	// smooth is the weight of a new sample in moving averages: about the last ten count.
	smooth = 0.1
)

// Balancer decides for one sidecar. It is not safe for concurrent use.
type Balancer struct {
	cfg      Config
	rng      *rand.Rand
	classes  map[string]*class
	servers  map[EndpointID]*server
	ready    []*server // ready servers in this sidecar's order of preference
	zonal    bool      // the ready set is of the own zone
	setSize  int       // how many of them make up the ready set
	requests map[RequestID]*request

	threshold float64       // shortest queue reported so far in the last probe round
	newRound  bool          // no reply of that round has come
	held      []*request    // in order of arrival: requests waiting for a mark
	markLife  time.Duration // marks older than this have gone stale
	busy      float64       // share of probes that found a request waiting
	credit    float64       // probes that the traffic so far has paid for
	came      Time          // the latest request
	every     time.Duration // smoothed: from one request to the next
	hedges    float64       // second copies that the traffic so far, and copies that answered first, have paid for
	copyWins  float64       // smoothed: share of second copies that answered first

	delay delayModel // of answers by the reported queue
	kinds map[string]*machines

	room       roomModel // whether the set had room for the requests of late
	topWorth   float64   // highest worth of a class for each second of its aim
	watching   bool
	watchFails int
}

// New returns a Balancer for cfg; seed feeds its private random numbers.
func New(cfg Config, seed uint64) (*Balancer, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		classes: map[string]*class{}, servers: map[EndpointID]*server{}, requests: map[RequestID]*request{}, kinds: map[string]*machines{},
		threshold: math.Inf(1), credit: probeSample, busy: 1, every: tellsFor,
	}
	for _, c := range cfg.Classes {
		b.classes[c.Name] = &class{Class: c}
		b.topWorth = max(b.topWorth, c.PriorityWeight/c.LatencyObjective.Seconds())
		if b.markLife == 0 || c.LatencyObjective < b.markLife {
			b.markLife = c.LatencyObjective
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
		b.watchFails++
		pause := min(b.spread(b.cfg.PollInterval/8)<<min(b.watchFails, 3), cmp.Or(b.cfg.PollMaxBackoff*2/3, b.cfg.PollInterval))
		act.SetTimer(pause/2+b.jitter(pause), "watch")
		return
	}
	if kind == UpdateWatchLost {
		b.watching, b.watchFails = false, 0
		act.SetTimer(b.jitter(min(b.spread(b.cfg.PollInterval/16), cmp.Or(b.cfg.WatchReopenMaxDelay, b.cfg.PollInterval))), "watch")
		return
	}
	if kind != UpdateDelta {
		for _, s := range b.servers {
			s.State = Removed
		}
	}
	for _, e := range entries {
		s := b.servers[e.ID]
		if s == nil || e.Started != s.Started { // a restarted process owes nothing to its past
			s = &server{slowness: 1}
			b.servers[e.ID] = s
		}
		s.Endpoint, s.like = e, b.kind(e.Kind)
	}
	b.rebuild()
	for id, s := range b.servers { // ids come and go for ever; attempts keep hold of theirs
		if s.State == Removed {
			delete(b.servers, id)
		}
	}
	if kind == UpdateCached && !b.cfg.EndpointsPushed && !b.watching {
		act.SetTimer(b.jitter(min(b.cfg.PollInterval*6/10, time.Duration(b.cfg.InstanceCount)*firstTurn)), "watch")
	} else if b.watching {
		b.watchFails = 0
	}
	for _, id := range slices.Sorted(maps.Keys(b.requests)) { // requests held for want of a server
		if r := b.requests[id]; !r.ended && len(r.attempts) == 0 && r.patience == 0 {
			b.send(now, r, b.set(now), act)
		}
	}
}

// askTurn is the part of a pause between calls to the list service that each sidecar of the group is given, and firstTurn that of
// the time for first calls, which may wait: so long does a slow service work on a call, and one that it refuses is owed sooner.
const askTurn, firstTurn = 50 * time.Millisecond, 300 * time.Millisecond

// spread is the pause over which this group's calls to the list service are spread: most, which is as much as the rules
// give, or less where the group is too small to swamp the service.
func (b *Balancer) spread(most time.Duration) time.Duration {
	return min(most, time.Duration(b.cfg.InstanceCount)*askTurn)
}

// rebuild orders the ready servers. A ready set starts at a place given by the sidecar's number and
// goes on in steps that differ between neighbours: every server gets equally many sidecars, and the
// load of one that fails spreads over many. The spares after it follow by rendezvous hashing. Where each server is in many sets
// they are dealt: by places, one server that goes moves half of all members, and everyone connects and learns anew at once.
func (b *Balancer) rebuild() {
	pool := b.ready[:0]
	for _, id := range slices.Sorted(maps.Keys(b.servers)) {
		s := b.servers[id]
		s.marked = s.marked && s.State == Ready
		if s.State == Ready {
			pool = append(pool, s)
		}
	}
	byHash(pool, 0)
	// Where leaving the zone has a price, the set holds more of the own zone than its part, and nothing else where it costs more than
	// the probes to find a server there.
	abroad := func(s *server) bool { return s.Zone != b.cfg.Zone && b.cfg.CrossZoneCost > 0 }
	near := slices.DeleteFunc(slices.Clone(pool), abroad)
	far := slices.DeleteFunc(slices.Clone(pool), func(s *server) bool { return !abroad(s) })
	b.zonal = len(near) >= minReadySet && b.cfg.CrossZoneCost > probeSample*b.cfg.HealthCheckCost
	if b.zonal {
		far = nil
	}
	b.setSize = min(len(near)+len(far), maxReadySet)
	if b.cfg.ConnectionCost > 0 {
		perSidecar := 100 * connSpend / b.cfg.ConnectionCost * float64(len(pool)) / float64(b.cfg.InstanceCount)
		b.setSize = min(b.setSize, max(minReadySet, int(perSidecar)))
	}
	home := int(math.Round(homeMore * float64(b.setSize*len(near)) / float64(max(1, len(near)+len(far)))))
	home = max(b.setSize-len(far), min(home, b.setSize-1, len(near)))
	ordered := b.draw(b.draw(nil, near, home), far, b.setSize-home)
	b.setSize = len(ordered) // all but always as many as before
	byHash(pool, uint64(b.cfg.InstanceIndex)<<32)
	for _, s := range pool {
		if !slices.Contains(ordered[:b.setSize], s) {
			ordered = append(ordered, s)
		}
	}
	b.ready = ordered
}

// draw adds k servers of list to set. A deal gives each sidecar its part in turn, as rendezvous hashing puts the servers, but none to
// many more than its part of the sets. Else they are by places.
func (b *Balancer) draw(set, list []*server, k int) []*server {
	n, before := len(list), len(set)
	if b.cfg.InstanceCount > mostDealt || b.cfg.InstanceCount*k < stillSets*n {
		step := 1 + b.cfg.InstanceIndex%max(1, (n-1)/max(1, k-1))
		for j := range k {
			set = append(set, list[(b.cfg.InstanceIndex*n/b.cfg.InstanceCount+j*step)%n])
		}
		return set
	}
	left := make(map[*server]int, n)
	for _, s := range list {
		left[s] = int(math.Ceil(dealtMore * float64(b.cfg.InstanceCount*k) / float64(n)))
	}
	for o := range b.cfg.InstanceIndex + 1 {
		byHash(list, uint64(o)<<32)
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
		c = &class{Class: Class{Name: q.Class, Idempotency: NonIdempotent, LatencyObjective: left, Deadline: left}}
	}
	r := &request{Request: q, class: c}
	for _, p := range q.PriorAttempts {
		r.attempts = append(r.attempts, attempt{zone: p.Zone, cell: p.Cell, notRun: p.NotExecuted, sent: now + p.DedupRemaining - c.DedupWindow})
	}
	b.requests[q.ID] = r
	b.every += time.Duration(smooth * float64(min(now-b.came, 4*tellsFor)-b.every))
	b.came = now
	r.began, r.tick = c.began(now, q, b.cfg.TimerResolution), b.cfg.TimerResolution
	r.span()
	// Under overload what is worth less for its time gives way first, by standing less of a queue.
	bare := b.delay.at(0)
	strict := b.room.strict(now)
	// What is worth most is refused only where it would be late: the band is for those that make room for it.
	scale := math.Pow(c.PriorityWeight/c.LatencyObjective.Seconds()/max(b.topWorth, 1e-9), strict)
	if scale < 1 {
		scale *= 1 - strict*lateBand*b.rng.Float64()
	}
	r.limit = time.Duration(bare + (float64(r.useful-now)-bare)*scale)
	if r.end <= now+b.cfg.TimerResolution { // nobody gains from the work
		b.finish(now, r, false, act)
		return
	}
	act.SetTimer(r.end-now, token(q.ID))
	b.earn(refusedShare)
	for _, s := range b.ready { // those whose ejection would be over by the clock are asked whether it is
		if s.ejected <= now && b.leftOut(now, s) && s.probes == 0 {
			b.probe(now, s, act)
		}
	}
	set := b.set(now)
	if !b.cfg.HealthChecksAllowed || b.credit < probeSample || len(set) == 0 {
		// Work that nobody awaits any more keeps queues long for all.
		b.place(now, r, set, act)
		return
	}
	r.probed = b.renew(now, r, set, act)
	good := func(s *server) bool { return b.hasMark(now, s) && !b.full(now, r, s) && !b.cfg.KeyAffinity }
	if slices.ContainsFunc(set, good) {
		b.send(now, r, set, act)
		return
	}
	// Only stale figures: the request waits for the first reply of its round, or else is refused.
	r.patience = now + (r.end-now)/patienceShare
	b.held = append(b.held, r)
	act.SetTimer(r.patience-now, token(q.ID))
}

// earn credits the probes that a share of a request pays for: all of them after a failure or while they
// find requests waiting, and down to a tenth while they find none, when any server will do.
func (b *Balancer) earn(share float64) {
	share *= min(1, max(leastProbes, float64(b.every)/float64(tellsFor)))
	b.credit = min(b.credit+share*max(b.busy, 0.1)*probeSpend/max(b.cfg.HealthCheckCost, 1e-9), probeSample)
}

// renew starts a probe round, whose replies set the threshold. The period T is thus counted in
// requests, so that sidecars that send little neither probe in vain nor keep a clock.
// Where servers do less work for a key they met lately, the round asks the key's homes instead: the d
// servers that rendezvous hashing puts first.
func (b *Balancer) renew(now Time, r *request, set []*server, act Actions) []*server {
	set = slices.Clone(set)
	b.rng.Shuffle(len(set), func(i, j int) { set[i], set[j] = set[j], set[i] })
	if b.cfg.KeyAffinity && r.Key != "" {
		byHash(set, hash(EndpointID(r.Key), 0))
	}
	set = set[:min(probeSample, len(set))]
	b.credit -= probeSample
	b.newRound = true
	for _, s := range set {
		b.probe(now, s, act)
	}
	return set
}

func (b *Balancer) probe(now Time, s *server, act Actions) {
	s.ask(now)
	s.probes++
	act.CheckHealth(s.ID)
}

// HandleHealthCheck takes the result of a probe.
func (b *Balancer) HandleHealthCheck(now Time, p HealthCheckResult, act Actions) {
	s := b.servers[p.Endpoint]
	if s == nil {
		return
	}
	s.probes = max(0, s.probes-1)
	silent := b.silent(now, s)
	s.hear(now, p.Status)
	if p.Status != StatusOK {
		b.failed(now, s, p.Status, silent)
		b.replied(now, s, false, act)
		return
	}
	s.works(now, s.ejected == 0)
	q := queueOf(p.Load)
	if q < 0 {
		b.replied(now, s, false, act)
		return
	}
	b.busy += smooth * (min(q, 1) - b.busy)
	if b.newRound || q < b.threshold {
		b.newRound, b.threshold = false, q
		for _, t := range b.ready {
			t.marked = t.marked && t.queue <= b.threshold
		}
	}
	b.report(now, s, p.Load)
	b.replied(now, s, true, act)
}

// replied hands a reply of s to the requests that are held for it: the first for which s is good goes there. One that has
// had all its replies waits no longer.
func (b *Balancer) replied(now Time, s *server, told bool, act Actions) {
	var done []*request
	for i, r := range b.held {
		if !slices.Contains(r.probed, s) {
			continue
		}
		r.replies++
		if r.replies == len(r.probed) && b.zonal && (!told || b.full(now, r, s)) && b.credit >= probeSample {
			r.probed = b.renew(now, r, b.ready[b.setSize:], act) // the own zone is full: look abroad
			continue
		}
		if told && !b.full(now, r, s) {
			// The first reply of its own round is the request's threshold, and so its mark. Waiting for a
			// mark under the threshold of another request's round would refuse what could be served.
			b.threshold, s.marked, s.markedAt = s.queue, true, now
			b.held = slices.Delete(b.held, i, i+1)
			r.patience = 0
			b.send(now, r, []*server{s}, act)
			break
		}
		if r.replies >= len(r.probed) {
			done = append(done, r)
		}
	}
	for _, r := range done {
		b.decide(now, r, act)
	}
}

// decide ends the wait of a request that is held: it goes where it can be expected in time, or else is refused.
func (b *Balancer) decide(now Time, r *request, act Actions) {
	b.held = slices.DeleteFunc(b.held, func(h *request) bool { return h == r })
	r.patience = 0
	b.place(now, r, b.set(now), act)
}

// place sends r to a server of set, or refuses it if one drawn is full for it.
// Where this sidecar has seen lately that there is room, a full one is not drawn while there are others: what is refused
// then is in time there. Under a true shortage such picks would only fill what is left, and the refusals are right, but for
// what is worth most: what is left is for that.
func (b *Balancer) place(now Time, r *request, set []*server, act Actions) {
	hasRoom := func(s *server) bool { return s.idle() || now+b.feared(now, s, 1) <= r.useful }
	b.room.note(now, slices.ContainsFunc(set, hasRoom))
	if b.room.strict(now) < 1 || b.room.seenEnough() || r.class.PriorityWeight/r.class.LatencyObjective.Seconds() > b.topWorth/2 {
		if free := slices.DeleteFunc(slices.Clone(set), func(s *server) bool { return b.full(now, r, s) }); len(free) > 0 {
			set = free
		}
	}
	if s := b.pick(now, r, set); s != nil && b.full(now, r, s) || !b.send(now, r, set, act) {
		b.finish(now, r, true, act)
	}
}

// hasMark reports whether s has a mark that is not stale.
func (b *Balancer) hasMark(now Time, s *server) bool { return s.marked && now-s.markedAt <= b.markLife }

// report notes a load report. The tick of the design is the arrival of a report: the server is
// marked if the figure is at or below the threshold. Figures are never used twice for marking,
// which is how marks and thresholds of a sidecar that sends little stay fresh.
func (b *Balancer) report(now Time, s *server, l *LoadReport) {
	q := queueOf(l)
	if q < 0 {
		return
	}
	s.queue, s.reported = q, true
	s.marked, s.markedAt = s.State == Ready && s.queue <= b.threshold, now
}

// HandleAttemptResult takes the end of an attempt.
func (b *Balancer) HandleAttemptResult(now Time, o AttemptResult, act Actions) {
	r := b.requests[o.ID]
	known := r != nil && o.Attempt >= 0 && o.Attempt < len(r.attempts) && r.attempts[o.Attempt].out
	own := known && o.Status == StatusTimeout && r.attempts[o.Attempt].ownFault(now)
	if s := b.servers[o.Endpoint]; s != nil {
		if o.Status == StatusOK {
			s.works(now, true)
		} else if !own {
			b.failed(now, s, o.Status, b.silent(now, s))
		}
		b.report(now, s, o.Load)
	}
	if !known {
		return
	}
	a := &r.attempts[o.Attempt]
	a.out, a.notRun = false, o.Status.NotExecuted()
	r.out--
	if (o.Status == StatusOK || o.Status == StatusApplicationError) && !r.paused {
		a.server.answered(now, a.sent)
	}
	if !r.paused {
		a.server.out--
	}
	a.server.hear(now, o.Status)
	if o.Status == StatusOK && (r.out > 0) {
		b.copied(o.Attempt > 0)
	}
	r.ended = r.ended || o.RequestEnded
	if o.Status == StatusOK || o.Status == StatusTimeout && !own {
		b.took(a, float64(o.Delay))
	}
	switch {
	case r.ended:
		b.cancelAll(r, act)
		b.forget(r)
	case r.out == 0 && !b.send(now, r, b.set(now), act):
		b.finish(now, r, true, act)
	}
}

// took learns from the delay of an attempt. A cold server tells of itself alone: where many are cold at once the line of all
// would have warm ones taken for slow, and full, and refuse what they could serve.
func (b *Balancer) took(a *attempt, delay float64) {
	at := b.delay.at(a.queue)
	if s := a.server; at > 0 {
		ratio := min(delay/at, 10)
		if !a.cold {
			s.like.slowness += smooth / 2 * (ratio - s.like.slowness)
		}
		s.answers = min(s.answers+1, 1/smooth)
		s.slowness += max(smooth, 1/float64(s.answers)) * (ratio - s.slowness)
	}
	if !a.cold {
		b.delay.learn(a.queue, delay/a.server.slow())
	}
}

// slow is how much slower than expected the answers of s are: its own so far, and those of its kind of machine where
// there are few. Without them a sidecar that meets most servers seldom would take each for an even one for as long as it is
// there, and crowd the slow ones.
func (s *server) slow() float64 {
	n := float64(s.answers)
	return (n*s.slowness + kindAnswers*s.like.slowness) / (n + kindAnswers)
}

// kind is what the machines of that name have in common.
func (b *Balancer) kind(name string) *machines {
	k := b.kinds[name]
	if k == nil {
		k = &machines{slowness: 1}
		if len(b.kinds) < mostKinds {
			b.kinds[name] = k
		}
	}
	return k
}

// copied notes whether, of two attempts that were out together, the second answered first. Such a copy pays for a further
// one: where some servers swallow requests, copies go on for as long as they win, and where all are slow alike, so that
// the first answers first, they stay within their share of the traffic.
func (b *Balancer) copied(won bool) {
	b.copyWins *= 1 - smooth
	if won {
		b.hedges, b.copyWins = min(b.hedges+1, mostHedges), b.copyWins+smooth
	}
}

// failed notes evidence against a server: it is left out of the ready set for a while that grows
// with failures in a row. Guards against servers that err at once and so keep a short queue. A time-out counts only if the
// server had been silent altogether, or if others have gone before and nothing good came between: else it may be the load.
func (b *Balancer) failed(now Time, s *server, st Status, silent bool) {
	s.marked = false
	switch st {
	case StatusCanceled, StatusNotSent:
		return
	case StatusTimeout, StatusOverloaded:
		s.queue = math.Inf(1) // until it reports again
	}
	s.fails, b.busy = s.fails+1, 1
	if s.ejected == 0 && (st == StatusOverloaded || st == StatusTimeout && !silent && (s.fails < 3 || now-s.lastOK < time.Second)) {
		return // may be the load: see set
	}
	s.ejected = now + min(firstEject<<min(s.fails-1, 10), max(b.cfg.SlowStartDuration, firstEject))
}

// works notes that s has answered. That ends an ejection whose time is over, and no other: what was out there before tells little.
// That it fails no more is told by answers to requests alone, since a probe may well succeed where those fail.
func (s *server) works(now Time, sure bool) {
	if sure {
		s.fails = 0
	}
	if s.ejected <= now {
		s.ejected = 0
	}
	s.lastOK = now
}

// silent reports whether s has said nothing at all for so long, while something of this sidecar's was out there, that it
// should be left alone until it does. It guards against machines that vanish, are cut off or stand still: their
// connections stay open, and the list tells of them only much later. One thing out is not enough, as it may just be slow.
func (b *Balancer) silent(now Time, s *server) bool {
	return s.out+s.probes > 1 && b.delay.delay > 0 && float64(now-s.asked) > silentShare*b.delay.delay
}

// set returns the ready set: the first servers in order of preference that are not ejected. When
// more than half of all are ejected the evidence is against the network or the load, not
// against servers, and ejections are ignored.
func (b *Balancer) set(now Time) []*server {
	set := make([]*server, 0, b.setSize)
	for _, s := range b.ready {
		if len(set) < b.setSize && !b.leftOut(now, s) && !b.silent(now, s) && b.warmth(now, s) == 1 {
			set = append(set, s)
		}
	}
	if len(set) == 0 || 2*b.countLeftOut(now) > len(b.ready) {
		set = append(set[:0], b.ready[:b.setSize]...)
	}
	return set
}

// ExportLearnedState returns what has been learnt so far.
func (b *Balancer) ExportLearnedState(now Time) LearnedState {
	l := LearnedState{
		DelayModel: [4]float64{b.delay.queue, b.delay.delay, b.delay.variance, b.delay.covariance}, ProbeContention: b.busy, HedgeWinRate: b.copyWins,
		Endpoints: map[EndpointID]LearnedEndpoint{}, ClientTimeouts: map[string]time.Duration{},
	}
	for id, s := range b.servers {
		l.Endpoints[id] = LearnedEndpoint{s.Started, s.slowness, s.answers, s.gap, max(0, s.ejected-now), s.fails}
	}
	for name, c := range b.classes {
		if c.votes >= minVotes {
			l.ClientTimeouts[name] = c.usual
		}
	}
	return l
}

// ImportLearnedState takes over what another Balancer has learnt, of the servers that are on the list and have not restarted since.
func (b *Balancer) ImportLearnedState(now Time, l LearnedState) {
	b.delay = delayModel{l.DelayModel[0], l.DelayModel[1], l.DelayModel[2], l.DelayModel[3]}
	b.busy, b.copyWins = l.ProbeContention, l.HedgeWinRate
	for id, t := range l.Endpoints {
		if s := b.servers[id]; s != nil && s.Started == t.Started {
			s.slowness, s.answers, s.gap, s.fails = t.Slowness, t.Samples, t.ResponseInterval, t.ConsecutiveFailures
			if t.EjectedFor > 0 {
				s.ejected = now + t.EjectedFor
			}
		}
	}
	for name, usual := range l.ClientTimeouts {
		if c := b.classes[name]; c != nil {
			c.usual, c.votes = usual, minVotes
		}
	}
}

// HandleUnreachableHint takes hearsay that a server does not answer: it is left out until a probe of this sidecar's own has been answered, and counts
// as no failure. It is not believed against an answer of late, nor where it would leave out more than a third: a liar costs no more.
func (b *Balancer) HandleUnreachableHint(now Time, id EndpointID) {
	s := b.servers[id]
	if s != nil && s.State == Ready && s.ejected == 0 && b.cfg.HealthChecksAllowed && now-s.lastOK >= firstEject && 3*(b.countLeftOut(now)+1) <= len(b.ready) {
		s.marked, s.ejected = false, now+firstEject
	}
}

// EjectedCount is how many servers that the list names ready are left out after failures; one that is silent for the moment is not.
func (b *Balancer) EjectedCount(now Time) int {
	if bad := b.countLeftOut(now); 2*bad <= len(b.ready) { // see set
		return bad
	}
	return 0
}

// leftOut reports whether s is left out after failures: for a time, and where probes are to be had until it has answered one. Else
// clients' requests would find out whether it is over, of each sidecar one after each time.
func (b *Balancer) leftOut(now Time, s *server) bool {
	return s.ejected > now || s.ejected > 0 && b.cfg.HealthChecksAllowed
}

func (b *Balancer) countLeftOut(now Time) (bad int) {
	for _, s := range b.ready {
		if b.leftOut(now, s) {
			bad++
		}
	}
	return bad
}

// Summarize tells how things look.
func (b *Balancer) Summarize(now Time) Summary {
	return Summary{TypicalLatency: time.Duration(b.delay.delay), CapacityShortage: b.room.strict(now), EjectedEndpoints: b.EjectedCount(now)}
}

// coldTurn draws a place of the ready set, and returns the server there if it is cold, in proportion to
// the least capacity it can have. An empty queue would make every probe round choose it; this way it
// gets that part of what this sidecar sends a warm one, whatever its reports, and however many wait.
func (b *Balancer) coldTurn(now Time) *server {
	s := b.ready[b.rng.IntN(b.setSize)]
	w := b.warmth(now, s)
	if w == 1 || b.leftOut(now, s) || b.silent(now, s) || s.queue >= 1 {
		return nil
	}
	able, warm := 0.0, 0 // of what all could do warm
	for _, t := range b.ready {
		x := b.warmth(now, t)
		able += x
		if x == 1 {
			warm++
		}
	}
	if warm < minReadySet { // none is spared by it
		w = b.share(now, s)
	} else {
		w *= min(coldMost, float64(len(b.ready))/able)
	}
	if b.rng.Float64() >= w {
		return nil
	}
	return s
}

// send starts a further attempt of r if a legal one exists and reports whether it did, or whether
// the request may still be held.
func (b *Balancer) send(now Time, r *request, set []*server, act Actions) bool {
	s := b.pick(now, r, set)
	if s == nil {
		s = b.pick(now, r, b.ready)
	}
	if s == nil {
		return len(r.attempts) == 0 && len(b.ready) == 0 // hold until the list names a server
	}
	if c := b.coldTurn(now); c != nil && len(r.attempts) == 0 && b.maySend(now, r, c) && !b.late(now, r, c) {
		s = c
	}
	s.marked = false
	a := attempt{server: s, zone: s.Zone, cell: s.Cell, sent: now, out: true, queue: b.standing(s), expected: b.expected(now, s), cold: b.warmth(now, s) < 1}
	r.attempts = append(r.attempts, a)
	r.out++
	s.ask(now)
	s.out++
	if len(r.attempts) == 1 {
		b.earn(1 - refusedShare)
		b.hedges = min(b.hedges+hedgeShare, mostHedges)
		wait := max(b.cfg.TimerResolution, slowShare*b.expected(now, s))
		if b.copyWins < copiesWin { // at the last moment, as most that are slow still answer; timers come a little late
			wait = max(wait, r.useful-now-b.expected(now, s)-lateTimer*b.cfg.TimerResolution)
		}
		if b.cfg.HedgingAllowed && r.class.Idempotency != NonIdempotent && !r.StreamedBody && now+wait < r.useful {
			act.SetTimer(wait, hedgeToken+token(r.ID))
		}
	}
	act.StartAttempt(r.ID, s.ID, r.end-now)
	return true
}

// hedge sends a second copy of r, whose answer is slow, where it can be expected in time and nothing waits. It guards
// against servers that are silent, paused or stuck, whatever the reason; it might do harm where all are slow alike, and
// so is bounded by a share of the traffic and kept from queues.
func (b *Balancer) hedge(now Time, r *request, act Actions) {
	if r.ended || r.stream || r.out != 1 {
		return
	}
	silent := slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.out && b.silent(now, a.server) })
	idle := slices.DeleteFunc(b.set(now), func(s *server) bool {
		return !silent && s.queue >= 1 || now+b.expected(now, s) > r.useful || b.warmth(now, s) < 1
	})
	if b.hedges < 1 && !silent || b.pick(now, r, idle) == nil {
		return
	}
	b.hedges--
	b.send(now, r, idle, act)
}

// pick draws a marked server of set at random, or else a server uniformly: of those that would safely answer in time, or
// else just so, if there are any, since a slow server that takes its even share collects an endless queue.
func (b *Balancer) pick(now Time, r *request, set []*server) *server {
	var marked, safe, all, late []*server
	for _, s := range set {
		tried := slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.server == s })
		if tried || !b.maySend(now, r, s) || !b.thin(now, r, s) {
			continue
		}
		if b.late(now, r, s) {
			late = append(late, s)
			continue
		}
		all = append(all, s)
		if now+safeShare*b.expected(now, s) > r.useful {
			continue
		}
		safe = append(safe, s)
		if b.hasMark(now, s) {
			marked = append(marked, s)
		}
	}
	if len(r.attempts) > 0 {
		late = nil // a further attempt that would be late as well only feeds the overload
	}
	for _, from := range [][]*server{marked, safe, all, late} {
		if len(from) > 0 {
			return from[b.rng.IntN(len(from))]
		}
	}
	return nil
}

// thin lets a request have a cold server for its first attempt only, and only a share of requests: that
// of its least capacity. All picks for a request agree, so that asking twice does not double the share.
func (b *Balancer) thin(now Time, r *request, s *server) bool {
	w := b.share(now, s)
	return b.warmth(now, s) == 1 || len(r.attempts) == 0 && float64(hash(s.ID, uint64(r.ID))) < w*math.MaxUint64
}

// share is the part that s, which is cold, gets where no warm one is to be had: its least capacity, less where its kind is slow. With
// the same part for all, 80 sidecars before servers that were all cold pushed the smallest over.
func (b *Balancer) share(now Time, s *server) float64 {
	return b.warmth(now, s) / max(s.like.slowness, 1)
}

// late reports whether r would miss its aim at s by the latest figures.
func (b *Balancer) late(now Time, r *request, s *server) bool {
	return now+b.expected(now, s) > r.useful
}

// full reports whether r should rather be refused than stand in the queue of s. Where s is idle, refusing makes
// nobody faster, whatever the delays so far tell: without this a spell of slow answers would have all refused for good,
// since no further answer could tell that it is over.
func (b *Balancer) full(now Time, r *request, s *server) bool {
	return !s.idle() && b.feared(now, s, b.room.strict(now)) > r.limit
}

// fear is the part by which answers of servers where all have to wait are reckoned with as slower than expected.
const fear = 0.5

// feared is the delay of s to reckon with: answers scatter about what is expected, so that where many wait, half of those
// let in at the very limit would come late and cost as much. Too much of it turns away what would be in time.
func (b *Balancer) feared(now Time, s *server, strict float64) time.Duration {
	return time.Duration(min((1+strict*fear*b.busy*b.busy)*float64(b.expected(now, s)), float64(time.Hour)))
}

// comeBack is how long the client of a refused request had better wait: until the queue by which it could first be
// served will have shrunk to its limit.
func (b *Balancer) comeBack(now Time, r *request) time.Duration {
	if !b.cfg.RetryAfterHonored {
		return 0
	}
	wait := b.cfg.MaxRetryAfter
	for _, s := range b.set(now) {
		wait = min(wait, max(b.cfg.TimerResolution, b.feared(now, s, b.room.strict(now))-r.limit))
	}
	return wait
}

// expected is the delay to expect of an answer of s: the common line of delay by requests standing there, times how much
// slower than it s has been, and at least what its own pace tells. The line is learnt of all servers alike, and goes flat
// where the quick ones are given more and so hold more; the pace guards against heaping requests on one of them then.
func (b *Balancer) expected(now Time, s *server) time.Duration {
	line := min(b.delay.at(b.standing(s))*s.slow(), float64(time.Hour))
	return max(time.Duration(line), s.turn(now))
}

// standing is how many requests a further one at s would stand among, as far as this sidecar can tell: those that the
// latest report told waiting and its own that are out. At a sidecar with much traffic a report is old after a few sends;
// at one with little the sum is the report. Marks and threshold go by the report alone.
func (b *Balancer) standing(s *server) float64 {
	if !s.reported {
		return max(b.delay.queue, float64(s.out))
	}
	return s.queue + float64(s.out)
}

// warmth is the least share of its capacity that s has at now, or 1 from nearWarm on.
func (b *Balancer) warmth(now Time, s *server) float64 {
	w := b.cfg.SlowStartMinCapacity + (1-b.cfg.SlowStartMinCapacity)*float64(max(0, now-s.Started))/float64(max(b.cfg.SlowStartDuration, 1))
	if s.Started == 0 || w >= nearWarm {
		return 1
	}
	return w
}

// maySend is the one judge of whether the rules allow an attempt of r at s.
func (b *Balancer) maySend(now Time, r *request, s *server) bool {
	if r.ended || r.stream || r.used || s.State != Ready || now >= r.Expires || len(r.attempts) >= b.cfg.MaxAttempts || r.MaxAttempts > 0 && len(r.attempts) >= r.MaxAttempts ||
		r.out > 0 && !b.cfg.HedgingAllowed {
		return false
	}
	for _, a := range r.attempts {
		if a.notRun {
			continue
		}
		c := r.class
		switch {
		case c.Idempotency == NonIdempotent:
			return false
		case c.Idempotency == IdempotentByKey && (now >= a.sent+c.DedupWindow-b.cfg.DialTimeout-b.cfg.TimerResolution ||
			c.DedupScope == DedupZone && a.zone != s.Zone || c.DedupScope == DedupCell && a.cell != s.Cell):
			return false
		}
	}
	return true
}

// mayRefuse is the one judge of whether a refusal, which promises that a retry is harmless, is true of r.
func mayRefuse(r *request) bool {
	return r.class.Idempotency == Idempotent || r.class.Idempotency == IdempotentByKey && r.class.DedupScope == DedupEverywhere ||
		!slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.notRun })
}

// finish gives the final answer: a refusal where it is true and a retry could help, else a failure.
func (b *Balancer) finish(now Time, r *request, retry bool, act Actions) {
	b.cancelAll(r, act)
	r.ended = true
	r.class.owe(r)
	if r.patience > 0 {
		r.patience = 0
		b.held = slices.DeleteFunc(b.held, func(h *request) bool { return h == r })
	}
	if retry && mayRefuse(r) {
		act.Reject(r.ID, b.comeBack(now, r))
	} else {
		act.Fail(r.ID)
	}
	b.forget(r)
}

func (b *Balancer) cancelAll(r *request, act Actions) {
	for i, a := range r.attempts {
		if a.out && b.cfg.CancellationAllowed && !a.canceled {
			r.attempts[i].canceled = true
			act.CancelAttempt(r.ID, i)
		}
	}
}

// forget drops an ended request once all its attempts are back.
func (b *Balancer) forget(r *request) {
	if r.out == 0 {
		delete(b.requests, r.ID)
	}
}

// HandleResponseStarted notes that the answer of r has begun.
func (b *Balancer) HandleResponseStarted(now Time, id RequestID, attempt int, act Actions) {
	if r := b.requests[id]; r != nil {
		r.stream = true
	}
}

// HandleBodyStarted notes that the body of r, which is long, begins to be used up by its only attempt that is out. From here on the
// client's pace counts, which tells nothing of the server, until Uploaded.
func (b *Balancer) HandleBodyStarted(now Time, id RequestID, attempt int) {
	r := b.requests[id]
	if r == nil || r.ended || r.used || attempt >= len(r.attempts) || !r.attempts[attempt].out {
		return
	}
	r.used, r.paused, r.end = true, true, math.MaxInt64
	r.attempts[attempt].server.out--
}

// HandleBodyFinished notes that the last byte of r is written, and that its client waits until expires. All times count from here.
func (b *Balancer) HandleBodyFinished(now Time, id RequestID, expires Time, act Actions) {
	r := b.requests[id]
	if r == nil || r.ended || !r.paused {
		return
	}
	r.paused = false
	for i := range r.attempts {
		if a := &r.attempts[i]; a.out {
			a.sent = now
			a.server.ask(now)
			a.server.out++
		}
	}
	r.Expires, r.began = expires, now
	r.span()
	act.SetTimer(max(0, r.end-now), token(id))
}

// HandleClientGone notes that the client has left.
func (b *Balancer) HandleClientGone(now Time, id RequestID, act Actions) {
	if r := b.requests[id]; r != nil && !r.ended {
		r.ended = true
		r.class.owe(r)
		b.held = slices.DeleteFunc(b.held, func(h *request) bool { return h == r })
		b.cancelAll(r, act)
		b.forget(r)
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
	digits, hedge := strings.CutPrefix(tok, hedgeToken)
	id, _ := strconv.ParseUint(digits, 36, 64)
	r := b.requests[RequestID(id)]
	switch {
	case r != nil && hedge:
		b.hedge(now, r, act)
	case r == nil || r.ended || r.stream:
	case now >= r.end:
		b.finish(now, r, false, act)
	case r.patience > 0 && now >= r.patience:
		b.decide(now, r, act)
	}
}

// jitter draws a time below d.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(b.rng.Float64() * float64(d))
}
