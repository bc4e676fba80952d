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

type class struct {
	Class
	usual time.Duration // the time that clients give most tries; the last one gets all that is left
	votes int           // by how many the tries of the usual time lead
	owed  []*request    // ended unanswered while their clients go on: a try of each may follow
}

// minVotes tells that the usual time of a try is known.
const minVotes = 2

// nearBegin is how far from the end of its client's patience less the deadline a request may have begun: what passes
// between the client's clock and this one, and the rounding of what it tells.
const nearBegin = 10 * time.Millisecond

// began estimates when the request began of which q is a try, as few clients mark their retries. A last
// try, which gets all the time that is left of the deadline rather than the usual, tells it exactly, if a request that is
// owed began then: a client may as well be of little patience, and its request new.
// Another is taken for a retry of a request owed to the same tenant, with the same key and expected work, if one could
// come now. Where neither key nor work is told nothing is taken for a retry: at a sidecar with much traffic some request
// is always owed, and new ones taken for its retries would be refused as late, be owed in turn, and so on for ever.
func (c *class) began(now Time, q Request, tick time.Duration) Time {
	left := q.Expires - now
	near := (left - c.usual).Abs() <= 2*tick
	known := c.votes >= minVotes
	switch { // the majority vote of Boyer and Moore
	case near:
		c.votes = min(c.votes+1, 4*minVotes)
	case c.votes == 0:
		c.usual, c.votes = left, 1
	default:
		c.votes--
	}
	c.owed = slices.DeleteFunc(c.owed, func(r *request) bool { return now > r.began+c.Deadline })
	for i, r := range c.owed {
		if r.Tenant == q.Tenant && r.Key == q.Key && r.ExpectedWork == q.ExpectedWork && (q.Key != "" || q.ExpectedWork > 0) && q.Expires <= r.began+c.Deadline+2*tick {
			c.owed = slices.Delete(c.owed, i, i+1)
			return r.began
		}
	}
	first := min(now, max(now, q.Expires)-c.Deadline)
	if known && !near && slices.ContainsFunc(c.owed, func(r *request) bool { return (r.began - first).Abs() <= nearBegin+tick }) {
		return first
	}
	return now
}

// mostOwed bounds the requests that are owed: under a flood of refusals the oldest are given up.
const mostOwed = 1024

// owe notes that r ended unanswered while its client goes on.
func (c *class) owe(r *request) {
	if len(c.owed) >= mostOwed {
		c.owed = slices.Delete(c.owed, 0, 1)
	}
	c.owed = append(c.owed, r)
}

type server struct {
	Endpoint
	queue    float64 // latest reported queue
	reported bool
	marked   bool
	markedAt Time
	fails    int // failures in a row
	lastOK   Time
	out      int     // own attempts that are out
	probes   int     // that are out
	asked    Time    // since when something is out without a word from it
	slowness float64 // smoothed: delay of its answers over that expected
	answers  int     // that tell it, as far as they count
	like     *machines
	key      uint64  // by which byHash sorts
	gap      float64 // smoothed: time from one answer to own attempts to the next, while some are out
	turnFrom Time    // of the last answer
	overtook Time    // when the latest attempt was sent that it has answered
	ejected  Time
}

// machines is what servers of one kind have in common.
type machines struct{ slowness float64 }

// idle reports whether nothing waits at s as far as this sidecar can tell: by the latest report, and by its own requests
// that are out there. The report alone would have a sidecar with much traffic heap requests on a server until the next
// one, and under overload fill it with what comes late. Where all are slow at little traffic it still tells idle, since
// what is out comes back.
func (s *server) idle() bool { return s.reported && s.queue < 1 && s.out < assumedCores }

// answered notes an answer to an attempt that is out since sent. What else is out may hang for reasons of its own, so that
// the server worked on this one from then on at the earliest. While fewer are out than a server works on at once, the time
// from one answer to the next is not all that it could do.
func (s *server) answered(now, sent Time) {
	sample := float64(now-max(s.turnFrom, sent)) * float64(min(s.out, assumedCores)) / assumedCores
	if s.gap == 0 {
		s.gap = sample
	}
	s.gap += smooth * (sample - s.gap)
	s.turnFrom, s.overtook = now, max(s.overtook, sent)
}

// turn is when a further attempt at s would be answered by the pace at which this sidecar's own have been: those that are
// out come first, whatever others send there. Where s has said nothing for longer than that takes, the time since counts.
func (s *server) turn(now Time) time.Duration {
	if s.out == 0 {
		return time.Duration(s.gap)
	}
	return time.Duration(float64(s.out)*s.gap) + max(time.Duration(s.gap), now-s.asked)
}

// ask notes that an attempt or a probe is about to go to s.
func (s *server) ask(now Time) {
	if s.out+s.probes == 0 {
		s.asked = now
	}
}

// hear notes the end of an attempt or a probe, if it tells that s is there.
func (s *server) hear(now Time, st Status) {
	switch st {
	case StatusTimeout, StatusConnectFailed, StatusCanceled, StatusNotSent:
	default:
		s.asked = now
	}
}

// assumedCores is how many requests a server works on at once, which is not told, until the
// answers have taught the slope: two is the least that has any.
const assumedCores = 2

// delayModel is a running least-squares line of the delay of answers by the queue that the server had
// reported when they were sent. Stale figures flatten the line by themselves, and so count for less.
type delayModel struct {
	queue, delay, variance, covariance float64
}

// learn takes one answer.
func (m *delayModel) learn(queue, delay float64) {
	if math.IsInf(queue, 1) {
		return
	}
	if m.delay == 0 {
		m.queue, m.delay = queue, delay
	}
	dq, dd := queue-m.queue, delay-m.delay
	m.queue += smooth * dq
	m.delay += smooth * dd
	m.variance = (1 - smooth) * (m.variance + smooth*dq*dq)
	m.covariance = (1 - smooth) * (m.covariance + smooth*dq*dd)
}

// at is the delay to expect at a reported queue. Until queues have varied by a request or so the
// slope is that of assumedCores.
func (m *delayModel) at(queue float64) float64 {
	if math.IsInf(queue, 1) {
		return queue // also where the line is flat: zero times infinity is no number
	}
	prior := m.delay / (1 + m.queue/assumedCores) / assumedCores
	slope := max(0, (m.covariance+prior)/(m.variance+1))
	return max(m.delay+slope*(queue-m.queue), m.delay/4)
}

// queueOf is the queue of JBT-d: all that a server holds, where it tells. Those that take many requests
// at once are slow long before any of them waits. It is negative if l tells neither.
func queueOf(l *LoadReport) float64 {
	if l == nil {
		return -1
	}
	return max(l.Queue, l.InFlight)
}

// roomModel tells a shortage from a slow answer or a spoilt one: in how many of the latest requests some server of the set
// could be expected to answer in time, worth aside. Only what was seen within roomMemory counts, and roomPrior requests that
// found no room beside it, so that a sidecar that sends little, whose figures are a guess, refuses as under a shortage.
type roomModel struct {
	seen, had float64
	at        Time
}

const (
	roomMemory = 500 * time.Millisecond
	roomPrior  = 10
	roomTells  = 3
	// Refusals by worth are off up to a part of roomEnough that found no room, and fully on from roomShort.
	roomEnough = 0.15
	roomShort  = 0.4
)

func (m *roomModel) fade(now Time) {
	f := math.Exp(-float64(max(0, now-m.at)) / float64(roomMemory))
	m.seen, m.had, m.at = m.seen*f, m.had*f, now
}

// note takes one request.
func (m *roomModel) note(now Time, had bool) {
	m.fade(now)
	m.seen++
	if had {
		m.had++
	}
}

// seenEnough reports whether enough was seen of late to tell that there is room, and it was. Unlike strict it takes nothing for granted.
func (m *roomModel) seenEnough() bool {
	return m.seen >= roomTells && m.seen-m.had <= roomEnough*m.seen
}

// strict is how far what is worth least is to give way: from 0, there is room for all, to 1, there is a shortage.
func (m *roomModel) strict(now Time) float64 {
	m.fade(now)
	short := 1 - m.had/(m.seen+roomPrior)
	return min(1, max(0, (short-roomEnough)/(roomShort-roomEnough)))
}

type attempt struct {
	server   *server
	zone     string
	cell     int
	canceled bool
	sent     Time
	queue    float64       // that the server had reported
	expected time.Duration // its delay, then
	out      bool          // no outcome yet
	notRun   bool          // proven never to have run
	cold     bool          // its server was
}

// ownFault reports whether the time-out of a tells nothing of its server: the client waited less than an answer that is
// not even slow takes, or the server has answered what it was sent later, so that only this request was swallowed.
// Without this clients of little patience, or a fault that swallows some requests, would have good servers taken for full
// or failing and left out, and the waits learnt as their delay. It could hide a server that gets to some much too late;
// its pace still tells.
func (a *attempt) ownFault(now Time) bool {
	return now-a.sent < slowShare*a.expected || a.server.overtook > a.sent
}

type request struct {
	Request
	class    *class
	limit    time.Duration // an expected delay over it means refusal
	began    Time          // when the client first asked, as far as can be told
	useful   Time          // an answer after this has lost worth
	end      Time          // a final answer is given then at the latest
	patience Time          // while held: a refusal is given then
	probed   []*server     // by the round it has started
	replies  int           // of them, to all its rounds
	attempts []attempt     // those made elsewhere first
	out      int
	ended    bool
	stream   bool // the answer has begun; the client has it
	used     bool // its body is gone, or going: no further attempt can be made
	paused   bool // it is going, at the client's pace
	tick     time.Duration
}

// span works out until when an answer is of full worth, and of any.
func (r *request) span() {
	r.useful = min(r.began+r.class.LatencyObjective, r.Expires) // nobody waits longer, however short that is
	r.end = r.Expires
	if r.class.LateWeightFraction == 0 {
		r.end = min(r.end, r.useful-r.tick)
	}
}

// hedgeToken begins the token of the timer that tells that an answer is slow.
const hedgeToken = "h:"

func token(id RequestID) string { return strconv.FormatUint(uint64(id), 36) }

// byHash sorts servers by a hash of their ID and salt.
func byHash(list []*server, salt uint64) {
	for _, s := range list {
		s.key = hash(s.ID, salt)
	}
	slices.SortFunc(list, func(x, y *server) int { return cmp.Or(cmp.Compare(x.key, y.key), cmp.Compare(x.ID, y.ID)) })
}

func hash(id EndpointID, salt uint64) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	x := h.Sum64() ^ salt*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	return x ^ x>>31
}
