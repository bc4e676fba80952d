package quota

import (
	"math"
	"time"
)

// Limits are the admission limits of one pool.
type Limits struct {
	OpenRequests   Claim
	BodyBytes      Claim   // of the bodies of open requests
	Rate           float64 // sustained rate in requests per second; 0: no limit
	Burst          float64 // requests that may arrive at once above the rate; values below 1 are taken as 1
	Forwardable    bool    // requests may be forwarded to another site while no server is ready
	WaitForServers bool    // requests may wait for the first ready server, for example when the process starts
}

// Reason is Admitted, or the reason why a request was rejected.
type Reason int

// The reasons of a Decision.
const (
	Admitted           Reason = iota
	RateExceeded              // the pool's requests arrive faster than its rate limit
	TooManyOpen               // too many requests are open
	BodyMemoryExceeded        // not enough memory is left for the body
	NoReadyServer             // the pool's endpoint list names no ready server
	PoolRemoved               // the pool is being removed
)

// String returns the text of the reason for response bodies and the log.
func (r Reason) String() string {
	return [...]string{"admitted", "over the pool's rate", "too many requests open in the pool",
		"no room for the body", "the pool has no ready server", "the pool is being removed"}[r]
}

// Decision is the result of Admit. A rejected request has not run on any server, so that a retry is safe.
type Decision struct {
	Reason     Reason
	RetryAfter time.Duration // 0 for an admitted request
}

const (
	// overloadRetryAfter is the RetryAfter of a rejection for lack of quota, or because the pool is being removed. It is about the time
	// that a request takes.
	overloadRetryAfter = 100 * time.Millisecond
	// noServerRetryAfter is the RetryAfter of a rejection because no server is ready. Endpoint lists change about every second.
	noServerRetryAfter = time.Second
	// maxRateRetryAfter is the longest RetryAfter of a rejection because the rate is exceeded.
	maxRateRetryAfter = 60 * time.Second
	// crowdedFraction decides when a pool counts as crowded: at least this fraction of its reserved open requests is in use, or less
	// than this fraction of its burst is left as tokens.
	crowdedFraction = 0.5
)

// Admission decides which requests the pools of one process admit. It is not safe for concurrent use.
type Admission struct {
	open, bodies Budget
	pools        map[PoolID]*poolState
}

// poolState holds a pool's limits and its token bucket.
type poolState struct {
	limits       Limits
	tokens       float64
	tokensAt     time.Duration
	readyServers int
}

// NewAdmission returns an Admission without pools, for a process with at most openRequests open requests and bodyBytes bytes of
// bodies.
func NewAdmission(openRequests, bodyBytes int64) *Admission {
	return &Admission{open: NewBudget(openRequests), bodies: NewBudget(bodyBytes), pools: map[PoolID]*poolState{}}
}

// Resize changes the limits of the process. Requests admitted beyond the new limits stay admitted.
func (a *Admission) Resize(openRequests, bodyBytes int64) {
	a.open.Resize(openRequests)
	a.bodies.Resize(bodyBytes)
}

// Set adds a pool or changes its limits. A known pool keeps its tokens, so that a reload does not allow another burst.
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

// Remove removes a pool. Its requests are rejected from now on, and its open requests must still be released.
func (a *Admission) Remove(pool PoolID) {
	delete(a.pools, pool)
	a.open.Remove(pool)
	a.bodies.Remove(pool)
}

// SetReady sets the number of ready servers in a pool's endpoint list. It has no effect for an unknown pool.
func (a *Admission) SetReady(pool PoolID, servers int) {
	if p := a.pools[pool]; p != nil {
		p.readyServers = servers
	}
}

// CanServe reports whether a pool has a ready server, or its requests may wait for the first one. If the result is false, requests
// that have not been sent must stop waiting. The result is also true for a removed pool, which still serves the requests that it admitted.
func (a *Admission) CanServe(pool PoolID) bool {
	p := a.pools[pool]
	return p == nil || p.readyServers > 0 || p.limits.WaitForServers
}

// refill adds the tokens for the time since the last refill, up to the burst.
func (p *poolState) refill(now time.Duration) {
	if now > p.tokensAt {
		p.tokens = min(p.limits.Burst, p.tokens+(now-p.tokensAt).Seconds()*p.limits.Rate)
		p.tokensAt = now
	}
}

// tokenWait returns the time until a token is available, rounded up to whole milliseconds and at most maxRateRetryAfter.
func (p *poolState) tokenWait() time.Duration {
	seconds := min((1-p.tokens)/p.limits.Rate, maxRateRetryAfter.Seconds())
	return time.Duration(math.Ceil(seconds*1000)) * time.Millisecond
}

// Admit decides whether to admit a request to a pool with a body of bodyBytes bytes. Release must follow for an admitted request.
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

// Release releases the quota of an admitted request. bodyBytes are the bytes of its body that ReleaseBody has not released yet.
func (a *Admission) Release(pool PoolID, bodyBytes int64) {
	a.open.Release(pool, 1)
	a.bodies.Release(pool, bodyBytes)
}

// ReleaseBody releases unused bytes of an admitted request whose body is shorter than the bytes passed to Admit.
func (a *Admission) ReleaseBody(pool PoolID, unused int64) { a.bodies.Release(pool, unused) }

// Crowded reports whether client requests use so much of a pool's quota that internal work of the process must wait: at least half of
// its reserved open requests are in use, or less than half of the tokens of its burst are left. The tokens are counted as of the last
// call of Admit or Set for the pool. The result is true for an unknown pool.
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

// OpenRequests returns the number of open requests of a pool.
func (a *Admission) OpenRequests(pool PoolID) int64 { return a.open.Used(pool) }
