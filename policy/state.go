package policy

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"strconv"
	"time"
)

// validate reports what in cfg is out of range.
func (cfg Config) validate() error {
	switch {
	case cfg.InstanceCount < 1 || cfg.InstanceIndex < 0 || cfg.InstanceIndex >= cfg.InstanceCount:
		return fmt.Errorf("policy: ordinal %d outside a group of %d", cfg.InstanceIndex, cfg.InstanceCount)
	case cfg.MaxAttempts < 1:
		return errors.New("policy: MaxAttempts below 1")
	case !(cfg.SlowStartMinCapacity >= 0 && cfg.SlowStartMinCapacity <= 1) || cfg.SlowStartDuration < 0:
		return errors.New("policy: ColdFrom outside 0..1 or negative Ramp")
	case cfg.TimerResolution < 0 || cfg.PollInterval < 0 || cfg.ResponseGrace < 0 || cfg.DialTimeout < 0:
		return errors.New("policy: negative time in Config")
	}
	for _, c := range cfg.Classes {
		if c.LatencyObjective <= 0 || c.Deadline < c.LatencyObjective || c.PriorityWeight < 0 || c.DedupWindow < 0 {
			return fmt.Errorf("policy: class %q: aim, deadline, worth or window out of range", c.Name)
		}
	}
	return nil
}

type classState struct {
	Class
	usualTimeout time.Duration // the time that clients give most tries; the last one gets all that is left
	timeoutVotes int           // by how many the tries of the usual time lead
	unanswered   []*request    // ended unanswered while their clients go on: a try of each may follow
}

// minTimeoutVotes tells that the usual time of a try is known.
const minTimeoutVotes = 2

// startTolerance is how far from the end of its client's patience less the deadline a request may have begun: what passes
// between the client's clock and this one, and the rounding of what it tells.
const startTolerance = 10 * time.Millisecond

// estimateStart estimates when the request began of which q is a try, as few clients mark their retries. A last
// try, which gets all the time that is left of the deadline rather than the usual, tells it exactly, if a request that is
// owed began then: a client may as well be of little patience, and its request new.
// Another is taken for a retry of a request owed to the same tenant, with the same key and expected work, if one could
// come now. Where neither key nor work is told nothing is taken for a retry: at a sidecar with much traffic some request
// is always owed, and new ones taken for its retries would be refused as late, be owed in turn, and so on for ever.
func (c *classState) estimateStart(now Time, q Request, tick time.Duration) Time {
	left := q.Expires - now
	near := (left - c.usualTimeout).Abs() <= 2*tick
	known := c.timeoutVotes >= minTimeoutVotes
	switch { // the majority vote of Boyer and Moore
	case near:
		c.timeoutVotes = min(c.timeoutVotes+1, 4*minTimeoutVotes)
	case c.timeoutVotes == 0:
		c.usualTimeout, c.timeoutVotes = left, 1
	default:
		c.timeoutVotes--
	}
	c.unanswered = slices.DeleteFunc(c.unanswered, func(r *request) bool { return now > r.startedAt+c.Deadline })
	for i, r := range c.unanswered {
		if r.Tenant == q.Tenant && r.Key == q.Key && r.ExpectedWork == q.ExpectedWork && (q.Key != "" || q.ExpectedWork > 0) && q.Expires <= r.startedAt+c.Deadline+2*tick {
			c.unanswered = slices.Delete(c.unanswered, i, i+1)
			return r.startedAt
		}
	}
	first := min(now, max(now, q.Expires)-c.Deadline)
	if known && !near && slices.ContainsFunc(c.unanswered, func(r *request) bool { return (r.startedAt - first).Abs() <= startTolerance+tick }) {
		return first
	}
	return now
}

// maxUnanswered bounds the requests that are owed: under a flood of refusals the oldest are given up.
const maxUnanswered = 1024

// addUnanswered notes that r ended unanswered while its client goes on.
func (c *classState) addUnanswered(r *request) {
	if len(c.unanswered) >= maxUnanswered {
		c.unanswered = slices.Delete(c.unanswered, 0, 1)
	}
	c.unanswered = append(c.unanswered, r)
}

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

// machineType is what servers of one kind have in common.
type machineType struct{ slowness float64 }

// isIdle reports whether nothing waits at s as far as this sidecar can tell: by the latest report, and by its own requests
// that are out there. The report alone would have a sidecar with much traffic heap requests on a server until the next
// one, and under overload fill it with what comes late. Where all are slow at little traffic it still tells idle, since
// what is out comes back.
func (s *endpoint) isIdle() bool {
	return s.hasReport && s.reportedQueue < 1 && s.inFlight < assumedConcurrency
}

// recordResponse notes an answer to an attempt that is out since sent. What else is out may hang for reasons of its own, so that
// the server worked on this one from then on at the earliest. While fewer are out than a server works on at once, the time
// from one answer to the next is not all that it could do.
func (s *endpoint) recordResponse(now, sent Time) {
	sample := float64(now-max(s.lastResponse, sent)) * float64(min(s.inFlight, assumedConcurrency)) / assumedConcurrency
	if s.responseInterval == 0 {
		s.responseInterval = sample
	}
	s.responseInterval += smoothingWeight * (sample - s.responseInterval)
	s.lastResponse, s.newestAnswered = now, max(s.newestAnswered, sent)
}

// paceLatency is when a further attempt at s would be answered by the pace at which this sidecar's own have been: those that are
// out come first, whatever others send there. Where s has said nothing for longer than that takes, the time since counts.
func (s *endpoint) paceLatency(now Time) time.Duration {
	if s.inFlight == 0 {
		return time.Duration(s.responseInterval)
	}
	return time.Duration(float64(s.inFlight)*s.responseInterval) + max(time.Duration(s.responseInterval), now-s.silentSince)
}

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

// assumedConcurrency is how many requests a server works on at once, which is not told, until the
// answers have taught the slope: two is the least that has any.
const assumedConcurrency = 2

// latencyModel is a running least-squares line of the delay of answers by the queue that the server had
// reported when they were sent. Stale figures flatten the line by themselves, and so count for less.
type latencyModel struct {
	meanQueue, meanLatency, queueVariance, covariance float64
}

// observe takes one answer.
func (m *latencyModel) observe(queue, delay float64) {
	if math.IsInf(queue, 1) {
		return
	}
	if m.meanLatency == 0 {
		m.meanQueue, m.meanLatency = queue, delay
	}
	dq, dd := queue-m.meanQueue, delay-m.meanLatency
	m.meanQueue += smoothingWeight * dq
	m.meanLatency += smoothingWeight * dd
	m.queueVariance = (1 - smoothingWeight) * (m.queueVariance + smoothingWeight*dq*dq)
	m.covariance = (1 - smoothingWeight) * (m.covariance + smoothingWeight*dq*dd)
}

// predict is the delay to expect at a reported queue. Until queues have varied by a request or so the
// slope is that of assumedCores.
func (m *latencyModel) predict(queue float64) float64 {
	if math.IsInf(queue, 1) {
		return queue // also where the line is flat: zero times infinity is no number
	}
	prior := m.meanLatency / (1 + m.meanQueue/assumedConcurrency) / assumedConcurrency
	slope := max(0, (m.covariance+prior)/(m.queueVariance+1))
	return max(m.meanLatency+slope*(queue-m.meanQueue), m.meanLatency/4)
}

// reportedQueueLength is the queue of JBT-d: all that a server holds, where it tells. Those that take many requests
// at once are slow long before any of them waits. It is negative if l tells neither.
func reportedQueueLength(l *LoadReport) float64 {
	if l == nil {
		return -1
	}
	return max(l.Queue, l.InFlight)
}

// capacityEstimator tells a shortage from a slow answer or a spoilt one: in how many of the latest requests some server of the set
// could be expected to answer in time, worth aside. Only what was seen within roomMemory counts, and roomPrior requests that
// found no room beside it, so that a sidecar that sends little, whose figures are a guess, refuses as under a shortage.
type capacityEstimator struct {
	requests, withCapacity float64
	updatedAt              Time
}

const (
	capacityMemory        = 500 * time.Millisecond
	capacityPriorRequests = 10
	minCapacityRequests   = 3
	// Refusals by worth are off up to a part of roomEnough that found no room, and fully on from roomShort.
	sheddingStartShortage = 0.15
	sheddingFullShortage  = 0.4
)

func (m *capacityEstimator) decay(now Time) {
	f := math.Exp(-float64(max(0, now-m.updatedAt)) / float64(capacityMemory))
	m.requests, m.withCapacity, m.updatedAt = m.requests*f, m.withCapacity*f, now
}

// record takes one request.
func (m *capacityEstimator) record(now Time, had bool) {
	m.decay(now)
	m.requests++
	if had {
		m.withCapacity++
	}
}

// provenSufficient reports whether enough was seen of late to tell that there is room, and it was. Unlike strict it takes nothing for granted.
func (m *capacityEstimator) provenSufficient() bool {
	return m.requests >= minCapacityRequests && m.requests-m.withCapacity <= sheddingStartShortage*m.requests
}

// shortage is how far what is worth least is to give way: from 0, there is room for all, to 1, there is a shortage.
func (m *capacityEstimator) shortage(now Time) float64 {
	m.decay(now)
	short := 1 - m.withCapacity/(m.requests+capacityPriorRequests)
	return min(1, max(0, (short-sheddingStartShortage)/(sheddingFullShortage-sheddingStartShortage)))
}

type attempt struct {
	endpoint        *endpoint
	zone            string
	cell            int
	canceled        bool
	sentAt          Time
	queueAtSend     float64       // that the server had reported
	expectedLatency time.Duration // its delay, then
	inFlight        bool          // no outcome yet
	notExecuted     bool          // proven never to have run
	warmingUp       bool          // its server was
}

// timeoutInconclusive reports whether the time-out of a tells nothing of its server: the client waited less than an answer that is
// not even slow takes, or the server has answered what it was sent later, so that only this request was swallowed.
// Without this clients of little patience, or a fault that swallows some requests, would have good servers taken for full
// or failing and left out, and the waits learnt as their delay. It could hide a server that gets to some much too late;
// its pace still tells.
func (a *attempt) timeoutInconclusive(now Time) bool {
	return now-a.sentAt < slowResponseFactor*a.expectedLatency || a.endpoint.newestAnswered > a.sentAt
}

type request struct {
	Request
	class             *classState
	latencyLimit      time.Duration // an expected delay over it means refusal
	startedAt         Time          // when the client first asked, as far as can be told
	objectiveDeadline Time          // an answer after this has lost worth
	finalDeadline     Time          // a final answer is given then at the latest
	queuedUntil       Time          // while held: a refusal is given then
	sampled           []*endpoint   // by the round it has started
	sampleReplies     int           // of them, to all its rounds
	attempts          []attempt     // those made elsewhere first
	inFlight          int
	ended             bool
	responseStarted   bool // the answer has begun; the client has it
	bodyConsumed      bool // its body is gone, or going: no further attempt can be made
	bodyInTransfer    bool // it is going, at the client's pace
	timerResolution   time.Duration
}

// setDeadlines works out until when an answer is of full worth, and of any.
func (r *request) setDeadlines() {
	r.objectiveDeadline = min(r.startedAt+r.class.LatencyObjective, r.Expires) // nobody waits longer, however short that is
	r.finalDeadline = r.Expires
	if r.class.LateWeightFraction == 0 {
		r.finalDeadline = min(r.finalDeadline, r.objectiveDeadline-r.timerResolution)
	}
}

// hedgeTimerPrefix begins the token of the timer that tells that an answer is slow.
const hedgeTimerPrefix = "h:"

func timerToken(id RequestID) string { return strconv.FormatUint(uint64(id), 36) }

// sortByHash sorts servers by a hash of their ID and salt.
func sortByHash(list []*endpoint, salt uint64) {
	for _, s := range list {
		s.hashKey = rendezvousHash(s.ID, salt)
	}
	slices.SortFunc(list, func(x, y *endpoint) int { return cmp.Or(cmp.Compare(x.hashKey, y.hashKey), cmp.Compare(x.ID, y.ID)) })
}

func rendezvousHash(id EndpointID, salt uint64) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	x := h.Sum64() ^ salt*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	return x ^ x>>31
}
