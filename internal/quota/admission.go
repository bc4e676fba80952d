package quota

import (
	"math"
	"time"
)

// Limits bound one pool.
type Limits struct {
	OpenRequests   Claim
	BodyBytes      Claim   // of the bodies of open requests
	Rate           float64 // requests a second, over any length of time; 0: no limit
	Burst          float64 // requests that may come at once above the rate, at least 1
	Forwardable    bool    // requests that find no ready server may be forwarded to another site
	WaitForServers bool    // requests may wait for the first ready server, as when the process starts
}

// Reason says why a request was not admitted.
type Reason int

// The reasons.
const (
	Admitted           Reason = iota
	RateExceeded              // the pool's requests come faster than its limit
	TooManyOpen               // too many requests are open
	BodyMemoryExceeded        // no memory is left for the body
	NoReadyServer             // the pool's endpoint list names no ready server
	PoolRemoved               // the pool is being removed
)

// String is the reason as text for the client and the log.
func (r Reason) String() string {
	return [...]string{"admitted", "over the pool's rate", "too many requests open in the pool",
		"no room for the body", "the pool has no ready server", "the pool is being removed"}[r]
}

// Decision is the answer to a request for admission. A request that is rejected has run nowhere, so that a retry is safe.
type Decision struct {
	Reason     Reason
	RetryAfter time.Duration // 0 if it was admitted
}

const (
	// overloadRetryAfter is when a request that found too many open may retry: about as long as a request takes.
	overloadRetryAfter = 100 * time.Millisecond
	// noServerRetryAfter is when a request that found no ready server may retry: endpoint lists change every second or so.
	noServerRetryAfter = time.Second
	// maxRateRetryAfter bounds when a request that exceeded the rate may retry.
	maxRateRetryAfter = 60 * time.Second
	// crowdedFraction is the fraction of a pool's reserve, or of its burst, of which clients leave less to the process' own work
	// when the pool counts as crowded.
	crowdedFraction = 0.5
)

// Admission decides which requests the pools admit. It is not safe for concurrent use.
type Admission struct {
	open, bodies Budget
	pools        map[PoolID]*poolState
}

// poolState is a pool's limits, and its token bucket.
type poolState struct {
	limits       Limits
	tokens       float64
	tokensAt     time.Duration
	readyServers int
}

// NewAdmission returns an Admission for a process with so many open requests and bytes of bodies at most.
func NewAdmission(openRequests, bodyBytes int64) *Admission {
	return &Admission{open: NewBudget(openRequests), bodies: NewBudget(bodyBytes), pools: map[PoolID]*poolState{}}
}

// Resize changes what the process may have.
func (a *Admission) Resize(openRequests, bodyBytes int64) {
	a.open.Resize(openRequests)
	a.bodies.Resize(bodyBytes)
}

// Set adds a pool, or changes its limits. Its tokens are kept, so that a reload is no new burst.
func (a *Admission) Set(now time.Duration, pool PoolID, limits Limits) {
	limits.Burst = max(1, limits.Burst)
	p := a.pools[pool]
	if p == nil {
		p = &poolState{tokens: limits.Burst, tokensAt: now}
		a.pools[pool] = p
	} else {
		p.refill(now)
		if p.limits.Rate == 0 {
			p.tokens = limits.Burst
		}
	}
	p.limits = limits
	p.tokens = min(p.tokens, limits.Burst)
	a.open.Set(pool, limits.OpenRequests)
	a.bodies.Set(pool, limits.BodyBytes)
}

// Remove removes a pool: its requests are rejected from now on, and those that are open are still to be released.
func (a *Admission) Remove(pool PoolID) {
	delete(a.pools, pool)
	a.open.Remove(pool)
	a.bodies.Remove(pool)
}

// SetReady notes how many ready servers a pool's endpoint list names.
func (a *Admission) SetReady(pool PoolID, servers int) {
	if p := a.pools[pool]; p != nil {
		p.readyServers = servers
	}
}

// CanServe reports whether a request of a pool that has not been sent may go on waiting. A pool that was removed still serves
// what it admitted.
func (a *Admission) CanServe(pool PoolID) bool {
	p := a.pools[pool]
	return p == nil || p.readyServers > 0 || p.limits.WaitForServers
}

// refill adds the tokens of the time since the last refill.
func (p *poolState) refill(now time.Duration) {
	if now > p.tokensAt {
		p.tokens = min(p.limits.Burst, p.tokens+(now-p.tokensAt).Seconds()*p.limits.Rate)
		p.tokensAt = now
	}
}

// tokenWait is how long it takes until there is a token, in whole milliseconds.
func (p *poolState) tokenWait() time.Duration {
	seconds := min((1-p.tokens)/p.limits.Rate, maxRateRetryAfter.Seconds())
	return time.Duration(math.Ceil(seconds*1000)) * time.Millisecond
}

// Admit decides on a request for a pool with a body of so many bytes. If it is admitted, Release must follow.
func (a *Admission) Admit(now time.Duration, pool PoolID, bodyBytes int64) Decision {
	p := a.pools[pool]
	if p == nil {
		return Decision{PoolRemoved, overloadRetryAfter}
	}
	if !a.CanServe(pool) && !p.limits.Forwardable {
		return Decision{NoReadyServer, noServerRetryAfter}
	}
	limited := p.limits.Rate > 0
	if limited {
		if p.refill(now); p.tokens < 1 {
			return Decision{RateExceeded, p.tokenWait()}
		}
	}
	if !a.open.Acquire(pool, 1) {
		return Decision{TooManyOpen, overloadRetryAfter}
	}
	if !a.bodies.Acquire(pool, bodyBytes) {
		a.open.Release(pool, 1)
		return Decision{BodyMemoryExceeded, overloadRetryAfter}
	}
	if limited {
		p.tokens--
	}
	return Decision{}
}

// Release gives back what an admitted request had, its body's bytes included as far as ReleaseBody has not.
func (a *Admission) Release(pool PoolID, bodyBytes int64) {
	a.open.Release(pool, 1)
	a.bodies.Release(pool, bodyBytes)
}

// ReleaseBody gives back a part of an admitted request's bytes, as its body turned out shorter.
func (a *Admission) ReleaseBody(pool PoolID, unused int64) { a.bodies.Release(pool, unused) }

// Crowded reports whether clients use so much of a pool that the process' own work is to wait: half of the requests reserved for
// it are open, or it has fewer than half of the tokens of its burst.
func (a *Admission) Crowded(pool PoolID) bool {
	p := a.pools[pool]
	if p == nil {
		return true
	}
	if reserved := p.limits.OpenRequests.Reserved; reserved > 0 && float64(a.open.Used(pool)) >= crowdedFraction*float64(reserved) {
		return true
	}
	return p.limits.Rate > 0 && p.tokens < crowdedFraction*p.limits.Burst
}

// OpenRequests is how many requests of a pool are open.
func (a *Admission) OpenRequests(pool PoolID) int64 { return a.open.Used(pool) }
