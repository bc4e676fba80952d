// Package keepalive decides how long an idle client connection is kept: not at all, in which case its response carries
// `Connection: close`, for a limited time, or for MaxIdle. The package is pure: it uses no sockets and no clocks, and the caller
// passes the time in. A connection's pool is known by its ID only.
//
// An idle connection counts against the capacity of this process, and against the limit that its client may have. Its value is the
// rate at which such connections are reused. It is measured by the Gittins index of the connection's kind and age: the most uses
// per second of waiting that any further wait can bring. The price is one use per MaxIdle while the capacity is used up, and
// proportionally less while part of it is free. A connection is kept while its index is at or above the price. A connection that is
// never reused is closed at once. A connection that is reused within MaxIdle is kept as long as there is capacity. Between these
// cases the wait grows with the free capacity. Once the capacity is used up, the connection with the lowest index is closed first.
package keepalive

import (
	"math"
	"time"
)

// Kind classifies connections by the number of requests received on them.
type Kind int

// The kinds of connections.
const (
	NoRequest Kind = iota
	OneRequest
	SeveralRequests
	kindCount
)

// PoolID identifies the pool of a connection's last request. It is 0 for a connection without a request.
type PoolID uint32

const (
	// MaxIdle is the longest time that any connection may wait for a request.
	MaxIdle = 2 * time.Second
	// minFirstRequestWait is the time that a new connection may always wait for its first request, because its client has just opened
	// it.
	minFirstRequestWait = 100 * time.Millisecond
	// exploreInterval is how often a connection is kept to explore: one in exploreInterval of those whose index falls below the price
	// before MaxIdle. Without them, the policy could not observe that clients have started to reuse their connections again.
	exploreInterval = 16
	// maxExploreShare is the largest fraction of the capacity that connections kept to explore may use.
	maxExploreShare = 1.0 / 16
	// evictAheadTime sets the capacity that is kept free: enough for the connections that arrive within evictAheadTime at the current
	// rate. Closing a connection takes less time.
	evictAheadTime = 10 * time.Millisecond
	// maxEvictAheadShare is the largest fraction of the capacity that is kept free for new connections.
	maxEvictAheadShare = 1.0 / 8
	// maxPools is the number of pools above which the statistics of pools without connections are deleted.
	maxPools = 256
)

// IdlePolicy decides on the idle client connections of one process. It is not safe for concurrent use.
type IdlePolicy struct {
	capacity   int64 // maximum number of open connections
	open       int64 // open connections
	exploring  int64 // connections that are kept to explore
	skipped    int   // waits with an index below the price before MaxIdle, since the last one kept to explore
	pools      map[PoolID]*poolHistory
	arrivals   rate // of new connections
	lastWaitID uint64
}

// poolHistory holds the reuse statistics of a pool's client connections.
type poolHistory struct {
	kinds       [kindCount]kindStats
	connections int
}

// New returns a policy for at most maxConnections open connections. Values below 1 are taken as 1.
func New(maxConnections int64) *IdlePolicy {
	return &IdlePolicy{capacity: max(1, maxConnections), pools: map[PoolID]*poolHistory{}}
}

// Resize changes the maximum number of open connections. Values below 1 are taken as 1.
func (p *IdlePolicy) Resize(maxConnections int64) { p.capacity = max(1, maxConnections) }

// Opened records a new connection.
func (p *IdlePolicy) Opened(now time.Duration) {
	p.open++
	p.arrivals.add(now)
}

// Closed records that a connection was closed.
func (p *IdlePolicy) Closed() { p.open-- }

// Assign records that a connection belongs to a pool. Unassign must follow.
func (p *IdlePolicy) Assign(pool PoolID) { p.historyOf(pool).connections++ }

// Unassign records that a connection no longer belongs to the pool.
func (p *IdlePolicy) Unassign(pool PoolID) {
	h := p.historyOf(pool)
	h.connections--
	if h.connections <= 0 && len(p.pools) > maxPools {
		delete(p.pools, pool)
	}
}

// historyOf returns the statistics of a pool. It creates them if the pool has none.
func (p *IdlePolicy) historyOf(pool PoolID) *poolHistory {
	h := p.pools[pool]
	if h == nil {
		h = &poolHistory{}
		for kind := range h.kinds {
			h.kinds[kind].reset()
		}
		p.pools[pool] = h
	}
	return h
}

// price returns the lowest index at which a connection is kept, in uses per second.
func (p *IdlePolicy) price() float64 {
	return min(1, float64(p.open)/float64(p.capacity)) / MaxIdle.Seconds()
}

// Wait is the decision on how long an idle connection may wait for its next request. The caller passes it back to EndIdle.
type Wait struct {
	Max     time.Duration // 0: the connection is closed with its response
	Explore bool          // the index falls below the price before MaxIdle; the connection is kept to observe whether it is reused
	id      uint64
}

// BeginIdle decides how long a connection that becomes idle may wait. EndIdle must follow, unless Wait.Max is 0.
func (p *IdlePolicy) BeginIdle(now time.Duration, pool PoolID, kind Kind) Wait {
	stats := &p.historyOf(pool).kinds[kind]
	stats.refreshIfDue(now)
	wait := Wait{Max: stats.maxWait(p.price())}
	if wait.Max < MaxIdle {
		switch {
		case p.tryExplore():
			wait = Wait{Max: MaxIdle, Explore: true}
		case kind == NoRequest:
			wait.Max = max(wait.Max, minFirstRequestWait)
		}
	}
	if wait.Max > 0 {
		p.lastWaitID++
		wait.id = p.lastWaitID
		stats.waiting[wait.id] = now
	}
	return wait
}

// tryExplore counts a connection whose index falls below the price before MaxIdle, and reports whether the connection is kept to explore.
func (p *IdlePolicy) tryExplore() bool {
	p.skipped++
	if p.skipped < exploreInterval || float64(p.exploring+1) > max(1, maxExploreShare*float64(p.capacity)) {
		return false
	}
	p.skipped = 0
	p.exploring++
	return true
}

// EndIdle records the end of a wait: its length, and whether a request ended it. A wait that the policy or the client cut short
// counts for the time that it lasted.
func (p *IdlePolicy) EndIdle(pool PoolID, kind Kind, wait Wait, after time.Duration, used bool) {
	if wait.Explore {
		p.exploring--
	}
	stats := &p.historyOf(pool).kinds[kind]
	delete(stats.waiting, wait.id)
	stats.record(after, used)
}

// Expired reports whether the index of a connection that has waited for age is below the price, because the statistics or the price
// have changed since its wait began. It must not be called for connections that are kept to explore.
func (p *IdlePolicy) Expired(pool PoolID, kind Kind, age time.Duration) bool {
	if kind == NoRequest && age < minFirstRequestWait {
		return false
	}
	return p.GittinsIndex(pool, kind, age) < p.price()
}

// GittinsIndex returns the index of a waiting connection, in uses per second. When capacity is needed, the connection with the
// lowest index is closed first.
func (p *IdlePolicy) GittinsIndex(pool PoolID, kind Kind, age time.Duration) float64 {
	return p.historyOf(pool).kinds[kind].index[bucketOf(age)]
}

// ShouldEvictAhead reports whether an idle connection is to be closed before the next connection arrives, so that the new
// connection does not have to wait for another to be closed.
func (p *IdlePolicy) ShouldEvictAhead(now time.Duration) bool {
	free := float64(p.capacity - p.open)
	return free < min(1+p.arrivals.at(now)*evictAheadTime.Seconds(), maxEvictAheadShare*float64(p.capacity))
}

// rateDecayTime is the time constant of rates.
const rateDecayTime = time.Second

// rate is an exponentially decaying average of events per second.
type rate struct {
	perSecond float64
	updatedAt time.Duration
}

// at returns the rate, decayed from its last update until now.
func (r *rate) at(now time.Duration) float64 {
	if now <= r.updatedAt {
		return r.perSecond
	}
	return r.perSecond * math.Exp(-float64(now-r.updatedAt)/float64(rateDecayTime))
}

// add counts an event.
func (r *rate) add(now time.Duration) {
	r.perSecond = r.at(now) + 1/rateDecayTime.Seconds()
	r.updatedAt = max(r.updatedAt, now)
}
