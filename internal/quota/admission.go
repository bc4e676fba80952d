package quota

import (
	"math"
	"time"
)

// Limits bounds one pool.
type Limits struct {
	OpenRequests   Claim   // requests open at once
	BodyBytes      Claim   // bytes of the bodies of requests that are open
	Rate           float64 // requests a second, over any length of time; 0: no limit
	Burst          float64 // requests that may come at once above that, at least 1
	Forwardable    bool    // requests that find no server may be served elsewhere
	WaitForServers bool    // requests may wait in the module for a first server, as on the platform at a start
}

// Reason says why a request was not admitted.
type Reason int

// The reasons.
const (
	Admitted           Reason = iota
	RateExceeded              // the pool's requests come faster than its limit
	TooManyOpen               // too many of its requests are open
	BodyMemoryExceeded        // no memory left for its bodies
	NoReadyServer             // its list names no ready server
	PoolRemoved               // the pool is on its way out
)

// String is the reason in words for the client and the log.
func (r Reason) String() string {
	return [...]string{"admitted", "over the pool's rate", "too many requests open in the pool",
		"no room for the body", "the pool has no ready server", "the pool is being removed"}[r]
}

// Decision is what becomes of a request that asks to be admitted. One that is not has run nowhere, so that asking again is
// harmless.
type Decision struct {
	Reason     Reason
	RetryAfter time.Duration // 0 if admitted
}

const (
	// overloadRetryAfter is when one that found too many open had better come back: answers take about as long.
	overloadRetryAfter = 100 * time.Millisecond
	// noServerRetryAfter is when one that found no server had better come back: lists come every second or so.
	noServerRetryAfter = time.Second
)

// Admission decides which requests the pools take. It is not safe for concurrent use.
type Admission struct {
	open, bodies Budget
	pools        map[PoolID]*poolState
}

type poolState struct {
	limits       Limits
	tokens       float64
	tokensAt     time.Duration // of tokens
	readyServers int           // servers
}

// NewAdmission returns an Admission for a process that may hold so many requests open, and so many bytes of bodies.
func NewAdmission(open, bodies int64) *Admission {
	return &Admission{open: NewBudget(open), bodies: NewBudget(bodies), pools: map[PoolID]*poolState{}}
}

// Resize changes what the process may hold.
func (a *Admission) Resize(open, bodies int64) {
	a.open.Resize(open)
	a.bodies.Resize(bodies)
}

// Set adds pool k, or changes its limits. Tokens that it has are kept, so that a reload is no new burst.
func (a *Admission) Set(now time.Duration, k PoolID, l Limits) {
	l.Burst = max(1, l.Burst)
	p := a.pools[k]
	if p == nil {
		p = &poolState{tokens: l.Burst, tokensAt: now}
		a.pools[k] = p
	} else {
		p.refill(now)
		if p.limits.Rate == 0 {
			p.tokens = l.Burst
		}
	}
	p.limits = l
	p.tokens = min(p.tokens, l.Burst)
	a.open.Set(k, l.OpenRequests)
	a.bodies.Set(k, l.BodyBytes)
}

// Remove removes pool k: it is admitted nothing more.
func (a *Admission) Remove(k PoolID) {
	delete(a.pools, k)
	a.open.Remove(k)
	a.bodies.Remove(k)
}

// SetReady notes how many ready servers the list of pool k names.
func (a *Admission) SetReady(k PoolID, servers int) {
	if p := a.pools[k]; p != nil {
		p.readyServers = servers
	}
}

// CanServe reports whether a request of pool k that has not been sent may go on waiting. One that is leaving still serves what
// it took.
func (a *Admission) CanServe(k PoolID) bool {
	p := a.pools[k]
	return p == nil || p.readyServers > 0 || p.limits.WaitForServers
}

// refill adds the tokens of the time gone by.
func (p *poolState) refill(now time.Duration) {
	if now > p.tokensAt {
		p.tokens = min(p.limits.Burst, p.tokens+(now-p.tokensAt).Seconds()*p.limits.Rate)
		p.tokensAt = now
	}
}

// Admit decides on a request for pool k with a body of so many bytes. If it is admitted, Done must follow.
func (a *Admission) Admit(now time.Duration, k PoolID, body int64) Decision {
	p := a.pools[k]
	if p == nil {
		return Decision{PoolRemoved, overloadRetryAfter}
	}
	if !a.CanServe(k) && !p.limits.Forwardable {
		return Decision{NoReadyServer, noServerRetryAfter}
	}
	if p.limits.Rate > 0 {
		if p.refill(now); p.tokens < 1 {
			wait := (1 - p.tokens) / p.limits.Rate
			return Decision{RateExceeded, time.Duration(math.Ceil(min(wait, 60)*1000)) * time.Millisecond}
		}
	}
	if !a.open.Acquire(k, 1) {
		return Decision{TooManyOpen, overloadRetryAfter}
	}
	if !a.bodies.Acquire(k, body) {
		a.open.Release(k, 1)
		return Decision{BodyMemoryExceeded, overloadRetryAfter}
	}
	if p.limits.Rate > 0 {
		p.tokens--
	}
	return Decision{}
}

// Release gives back what an admitted request held.
func (a *Admission) Release(k PoolID, body int64) {
	a.open.Release(k, 1)
	a.bodies.Release(k, body)
}

// ReleaseBody gives back a part of what an admitted request holds, as its body turned out shorter.
func (a *Admission) ReleaseBody(k PoolID, unused int64) { a.bodies.Release(k, unused) }

// crowdedShare is the part of what is kept for a pool that its clients leave to the process' own work.
const crowdedShare = 0.5

// Crowded reports whether clients take so much of pool k that the process' own work had better wait: half of the requests that are
// kept for it are open, or it has fewer than one token of its rate in two.
func (a *Admission) Crowded(k PoolID) bool {
	p := a.pools[k]
	if p == nil {
		return true
	}
	if least := p.limits.OpenRequests.Reserved; least > 0 && float64(a.open.Used(k)) >= crowdedShare*float64(least) {
		return true
	}
	return p.limits.Rate > 0 && p.tokens < crowdedShare*p.limits.Burst
}

// OpenRequests is how many requests of pool k are open.
func (a *Admission) OpenRequests(k PoolID) int64 { return a.open.Used(k) }
