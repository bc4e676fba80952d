package quota

import (
	"math"
	"time"
)

// Limits bounds one pool.
type Limits struct {
	Open   Claim   // requests open at once
	Bodies Claim   // bytes of the bodies of requests that are open
	Rate   float64 // requests a second, over any length of time; 0: no limit
	Burst  float64 // requests that may come at once above that, at least 1
	Away   bool    // requests that find no server may be served elsewhere
	Hold   bool    // requests may wait in the module for a first server, as on the platform at a start
}

// Reason says why a request was not admitted.
type Reason int

// The reasons.
const (
	Admitted   Reason = iota
	OverRate          // the pool's requests come faster than its limit
	OverOpen          // too many of its requests are open
	OverBodies        // no memory left for its bodies
	NoServer          // its list names no ready server
	Leaving           // the pool is on its way out
)

// String is the reason in words for the client and the log.
func (r Reason) String() string {
	return [...]string{"admitted", "over the pool's rate", "too many requests open in the pool",
		"no room for the body", "the pool has no ready server", "the pool is being removed"}[r]
}

// Verdict is what becomes of a request that asks to be admitted. One that is not has run nowhere, so that asking again is
// harmless.
type Verdict struct {
	Reason     Reason
	RetryAfter time.Duration // 0 if admitted
}

const (
	// openRetry is when one that found too many open had better come back: answers take about as long.
	openRetry = 100 * time.Millisecond
	// emptyRetry is when one that found no server had better come back: lists come every second or so.
	emptyRetry = time.Second
)

// Admission decides which requests the pools take. It is not safe for concurrent use.
type Admission struct {
	open, bodies Pot
	pools        map[Key]*admitted
}

type admitted struct {
	limits Limits
	tokens float64
	at     time.Duration // of tokens
	ready  int           // servers
}

// NewAdmission returns an Admission for a process that may hold so many requests open, and so many bytes of bodies.
func NewAdmission(open, bodies int64) *Admission {
	return &Admission{open: NewPot(open), bodies: NewPot(bodies), pools: map[Key]*admitted{}}
}

// Resize changes what the process may hold.
func (a *Admission) Resize(open, bodies int64) {
	a.open.Resize(open)
	a.bodies.Resize(bodies)
}

// Set adds pool k, or changes its limits. Tokens that it has are kept, so that a reload is no new burst.
func (a *Admission) Set(now time.Duration, k Key, l Limits) {
	l.Burst = max(1, l.Burst)
	p := a.pools[k]
	if p == nil {
		p = &admitted{tokens: l.Burst, at: now}
		a.pools[k] = p
	} else {
		p.fill(now)
		if p.limits.Rate == 0 {
			p.tokens = l.Burst
		}
	}
	p.limits = l
	p.tokens = min(p.tokens, l.Burst)
	a.open.Set(k, l.Open)
	a.bodies.Set(k, l.Bodies)
}

// Drop removes pool k: it is admitted nothing more.
func (a *Admission) Drop(k Key) {
	delete(a.pools, k)
	a.open.Drop(k)
	a.bodies.Drop(k)
}

// Ready notes how many ready servers the list of pool k names.
func (a *Admission) Ready(k Key, servers int) {
	if p := a.pools[k]; p != nil {
		p.ready = servers
	}
}

// Serves reports whether a request of pool k that has not been sent may go on waiting. One that is leaving still serves what
// it took.
func (a *Admission) Serves(k Key) bool {
	p := a.pools[k]
	return p == nil || p.ready > 0 || p.limits.Hold
}

// fill adds the tokens of the time gone by.
func (p *admitted) fill(now time.Duration) {
	if now > p.at {
		p.tokens = min(p.limits.Burst, p.tokens+(now-p.at).Seconds()*p.limits.Rate)
		p.at = now
	}
}

// Ask decides on a request for pool k with a body of so many bytes. If it is admitted, Done must follow.
func (a *Admission) Ask(now time.Duration, k Key, body int64) Verdict {
	p := a.pools[k]
	if p == nil {
		return Verdict{Leaving, openRetry}
	}
	if !a.Serves(k) && !p.limits.Away {
		return Verdict{NoServer, emptyRetry}
	}
	if p.limits.Rate > 0 {
		if p.fill(now); p.tokens < 1 {
			wait := (1 - p.tokens) / p.limits.Rate
			return Verdict{OverRate, time.Duration(math.Ceil(min(wait, 60)*1000)) * time.Millisecond}
		}
	}
	if !a.open.Take(k, 1) {
		return Verdict{OverOpen, openRetry}
	}
	if !a.bodies.Take(k, body) {
		a.open.Give(k, 1)
		return Verdict{OverBodies, openRetry}
	}
	if p.limits.Rate > 0 {
		p.tokens--
	}
	return Verdict{}
}

// Done gives back what an admitted request held.
func (a *Admission) Done(k Key, body int64) {
	a.open.Give(k, 1)
	a.bodies.Give(k, body)
}

// Trim gives back a part of what an admitted request holds, as its body turned out shorter.
func (a *Admission) Trim(k Key, unused int64) { a.bodies.Give(k, unused) }

// crowdedShare is the part of what is kept for a pool that its clients leave to the process' own work.
const crowdedShare = 0.5

// Crowded reports whether clients take so much of pool k that the process' own work had better wait: half of the requests that are
// kept for it are open, or it has fewer than one token of its rate in two.
func (a *Admission) Crowded(k Key) bool {
	p := a.pools[k]
	if p == nil {
		return true
	}
	if least := p.limits.Open.Min; least > 0 && float64(a.open.Used(k)) >= crowdedShare*float64(least) {
		return true
	}
	return p.limits.Rate > 0 && p.tokens < crowdedShare*p.limits.Burst
}

// Open is how many requests of pool k are open.
func (a *Admission) Open(k Key) int64 { return a.open.Used(k) }
