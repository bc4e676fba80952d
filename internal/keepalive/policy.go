// Package keepalive decides how long an idle connection of a client is kept: not at all, so that its response says
// `Connection: close`, for a while, or for MaxIdle. It is pure: it knows neither sockets nor clocks. It
// knows the pool that a connection was used for by an ID only.
//
// An idle connection takes a place, here and at its client, which may have a limit of its own. Its value is the rate at which such
// connections are used again: the Gittins index of its kind and age, the most uses for each second of waiting that any further
// wait can bring. The price of a place is one use in MaxIdle if all places are taken, and in proportion less if some are free. A
// connection is kept while its index is at or above the price: one that is never used again is closed at once, one that is used
// within MaxIdle is kept as long as there are places, and in between the wait grows with the free places. Once all places are
// taken, the connection of the lowest index makes room.
package keepalive

import (
	"math"
	"time"
)

// Kind tells connections apart by how often they have been used.
type Kind int

// The kinds.
const (
	NoRequest Kind = iota
	OneRequest
	SeveralRequests
	kindCount
)

// PoolID is the pool that a connection's last request was for; 0: it has had none.
type PoolID uint32

const (
	// MaxIdle is how long any connection may wait for a request.
	MaxIdle = 2 * time.Second
	// minFirstRequestWait is how long a new connection may always wait for its first request: the client has just asked for it.
	minFirstRequestWait = 100 * time.Millisecond
	// exploreInterval: one in so many of the connections whose index is below the price is kept all the same, as nothing else
	// would show that clients begin to use theirs again.
	exploreInterval = 16
	// maxExploreShare is the fraction of all places that those may take.
	maxExploreShare = 1.0 / 16
	// evictAheadTime times the rate of new connections is how many places are freed ahead of them; closing one takes less.
	evictAheadTime = 10 * time.Millisecond
	// maxEvictAheadShare is the largest fraction of the places that are.
	maxEvictAheadShare = 1.0 / 8
	// maxPools bounds the pools whose history is kept while they have no connection.
	maxPools = 256
)

// IdlePolicy decides for one process. It is not safe for concurrent use.
type IdlePolicy struct {
	capacity   int64 // places
	open       int64 // connections
	exploring  int64 // connections that are kept to explore
	skipped    int   // connections below the price since the last that explores
	pools      map[PoolID]*poolHistory
	arrivals   rate // of new connections
	lastWaitID uint64
}

// poolHistory is what the clients of a pool do with their connections.
type poolHistory struct {
	kinds       [kindCount]kindStats
	connections int
}

// New returns a policy for so many places.
func New(places int64) *IdlePolicy {
	return &IdlePolicy{capacity: max(1, places), pools: map[PoolID]*poolHistory{}}
}

// Resize changes the number of places.
func (p *IdlePolicy) Resize(places int64) { p.capacity = max(1, places) }

// Opened notes a new connection.
func (p *IdlePolicy) Opened(now time.Duration) {
	p.open++
	p.arrivals.add(now)
}

// Closed notes the end of one.
func (p *IdlePolicy) Closed() { p.open-- }

// Assign notes that a connection is a pool's from now on, until Unassign.
func (p *IdlePolicy) Assign(pool PoolID) { p.historyOf(pool).connections++ }

// Unassign notes that a connection is not the pool's any more.
func (p *IdlePolicy) Unassign(pool PoolID) {
	h := p.historyOf(pool)
	h.connections--
	if h.connections <= 0 && len(p.pools) > maxPools {
		delete(p.pools, pool)
	}
}

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

// price is the index, in uses a second, from which a connection is kept.
func (p *IdlePolicy) price() float64 {
	return min(1, float64(p.open)/float64(p.capacity)) / MaxIdle.Seconds()
}

// Wait is how long an idle connection may wait. It is passed back to EndIdle.
type Wait struct {
	Max     time.Duration // 0: the connection is closed with its response
	Explore bool          // its index is below the price, and it is kept to see whether it is used
	id      uint64
}

// BeginIdle decides how long a connection that becomes idle may wait. EndIdle must follow, unless it is closed with its response.
func (p *IdlePolicy) BeginIdle(now time.Duration, pool PoolID, kind Kind) Wait {
	stats := &p.historyOf(pool).kinds[kind]
	stats.refreshIfDue(now)
	wait := Wait{Max: stats.maxWait(p.price())}
	if wait.Max < MaxIdle {
		switch {
		case p.mayExplore():
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

// mayExplore counts a connection whose index is below the price, and reports whether it is kept to explore.
func (p *IdlePolicy) mayExplore() bool {
	p.skipped++
	if p.skipped < exploreInterval || float64(p.exploring+1) > max(1, maxExploreShare*float64(p.capacity)) {
		return false
	}
	p.skipped = 0
	p.exploring++
	return true
}

// EndIdle notes that a wait ended, after how long, and whether with a request. One that was cut short by the policy or the client
// counts for the time that it took.
func (p *IdlePolicy) EndIdle(pool PoolID, kind Kind, wait Wait, after time.Duration, used bool) {
	if wait.Explore {
		p.exploring--
	}
	stats := &p.historyOf(pool).kinds[kind]
	delete(stats.waiting, wait.id)
	stats.record(after, used)
}

// Expired reports whether the index of a connection that waits, and has for so long, has fallen below the price by what was
// learned since it began. Connections that explore are not to be asked about.
func (p *IdlePolicy) Expired(pool PoolID, kind Kind, age time.Duration) bool {
	if kind == NoRequest && age < minFirstRequestWait {
		return false
	}
	return p.GittinsIndex(pool, kind, age) < p.price()
}

// GittinsIndex orders connections that wait, in uses a second: the lowest makes room first.
func (p *IdlePolicy) GittinsIndex(pool PoolID, kind Kind, age time.Duration) float64 {
	return p.historyOf(pool).kinds[kind].index[bucketOf(age)]
}

// ShouldEvictAhead reports whether a place is to be freed before the next connection comes, so that it need not wait for another
// to be closed.
func (p *IdlePolicy) ShouldEvictAhead(now time.Duration) bool {
	free := float64(p.capacity - p.open)
	return free < min(1+p.arrivals.at(now)*evictAheadTime.Seconds(), maxEvictAheadShare*float64(p.capacity))
}

// rateDecayTime is the time constant of rates.
const rateDecayTime = time.Second

// rate is an exponentially decaying rate of events a second.
type rate struct {
	perSecond float64
	updatedAt time.Duration
}

func (r *rate) at(now time.Duration) float64 {
	if now <= r.updatedAt {
		return r.perSecond
	}
	return r.perSecond * math.Exp(-float64(now-r.updatedAt)/float64(rateDecayTime))
}

func (r *rate) add(now time.Duration) {
	r.perSecond = r.at(now) + 1/rateDecayTime.Seconds()
	r.updatedAt = max(r.updatedAt, now)
}
