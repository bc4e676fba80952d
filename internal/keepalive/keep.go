// Package keepalive decides how long a client's connection on which nothing is open is kept: not at all, so that its answer says
// `Connection: close`, for a while, or as long as any may stay. It is pure: it knows neither sockets nor clocks, and is told
// what the connections do. Which pool they are for it knows only as a number.
//
// A connection that waits takes a place, here and at its client, which may have a bound of its own. It is worth that place
// by the rate at which such connections are used again: the Gittins index of its kind and age, the most uses for each second
// of waiting that any further wait can bring. The price of a place is one use in MostWait where all places are taken, and in
// proportion less where some are free. A connection is kept while its index is at or above the price: what is never used again
// is closed at once, what is used within MostWait is kept as long as there are places, and in between the wait grows with
// the room. Once all places are taken, the one worth least makes room.
package keepalive

import (
	"math"
	"slices"
	"time"
)

// Kind tells connections apart by what they have brought.
type Kind int

// The kinds.
const (
	NoRequest       Kind = iota // no request yet
	OneRequest                  // one
	SeveralRequests             // several
	kindCount
)

// PoolID is the pool that a connection's last request was for; 0: it has brought none.
type PoolID uint32

const (
	// MaxIdle is how long any connection may wait for a request.
	MaxIdle = 2 * time.Second
	// minFirstRequestWait is how long a new connection may always wait for its first request while there is room: the client has just
	// asked for it.
	minFirstRequestWait = 100 * time.Millisecond
	// ageBuckets is how many steps of age there are: the first of 1 ms, each further one twice as long, the last up to MostWait.
	ageBuckets = 12
	// priorWeight is how many connections' worth of waiting is assumed at the start, used at a rate of priorRate a second: little
	// enough that what is seen soon counts for more.
	priorWeight = 1
	priorRate   = 0.25
	// historySize is how many waits through a step of age are remembered there, in the sense of an exponential average, and
	// memoryShare times those that go on, if that is more: these count as well, and would else outweigh the ended ones, so
	// that thousands that are all used again seem to be used rarely.
	historySize       = 200
	historyPerWaiting = 8
	// exploreEvery: of the connections that are not worth a place, each so-manieth is kept all the same, as nothing would
	// tell otherwise when clients begin to use theirs again.
	exploreEvery = 16
	// maxExploreShare is the part of all places that those may have.
	maxExploreShare = 1.0 / 16
	// rateDecayTime is the time over which rates are averaged.
	rateDecayTime = time.Second
	// refreshInterval is after how many waits the indices are worked out anew.
	refreshInterval = 8
	// evictAheadTime times the rate of new connections is how many places are freed ahead of them; closing one takes less.
	evictAheadTime = 10 * time.Millisecond
	// maxEvictAheadShare is the most part of the places that are.
	maxEvictAheadShare = 1.0 / 8
	// maxPools bounds the pools whose habits are remembered while they have no connection.
	maxPools = 256
)

// IdlePolicy decides for one process. It is not safe for concurrent use.
type IdlePolicy struct {
	capacity   int64 // that clients may have
	open       int64
	exploring  int64
	skipped    int // connections not worth a place since one was explored
	pools      map[PoolID]*poolHistory
	arrivals   rate // of new connections
	lastWaitID uint64
}

// poolHistory is what a pool's clients do with their connections.
type poolHistory struct {
	kinds       [kindCount]kindStats
	connections int
}

// New returns a rule for so many places.
func New(places int64) *IdlePolicy {
	return &IdlePolicy{capacity: max(1, places), pools: map[PoolID]*poolHistory{}}
}

// Resize changes the number of places.
func (r *IdlePolicy) Resize(places int64) { r.capacity = max(1, places) }

// Opened notes a new connection.
func (r *IdlePolicy) Opened(now time.Duration) {
	r.open++
	r.arrivals.add(now)
}

// Closed notes the end of one.
func (r *IdlePolicy) Closed() { r.open-- }

// Assign notes that a connection belongs to o from now on, and Disown that it does no more.
func (r *IdlePolicy) Assign(o PoolID) { r.historyOf(o).connections++ }

// Unassign ends an Own.
func (r *IdlePolicy) Unassign(o PoolID) {
	h := r.historyOf(o)
	h.connections--
	if h.connections <= 0 && len(r.pools) > maxPools {
		delete(r.pools, o)
	}
}

func (r *IdlePolicy) historyOf(o PoolID) *poolHistory {
	h := r.pools[o]
	if h == nil {
		h = &poolHistory{}
		for k := range h.kinds {
			h.kinds[k].reset()
		}
		r.pools[o] = h
	}
	return h
}

// price is the rate of use, a second, at or above which a connection is worth its place.
func (r *IdlePolicy) price() float64 {
	return min(1, float64(r.open)/float64(r.capacity)) / MaxIdle.Seconds()
}

// Wait is how long a connection may wait.
type Wait struct {
	Max     time.Duration // 0: it is closed with its answer
	Explore bool          // it is not worth its place, and kept to see whether it is used; told again to Rested
	id      uint64        // of it among those that wait
}

// BeginIdle decides how long a connection of o that begins to wait may do so. Rested must follow, unless it is closed with its
// answer.
func (r *IdlePolicy) BeginIdle(now time.Duration, o PoolID, k Kind) Wait {
	t := &r.historyOf(o).kinds[k]
	t.refreshIfDue(now)
	w := Wait{Max: t.maxWait(r.price())}
	if w.Max < MaxIdle {
		if r.skipped++; r.skipped >= exploreEvery && float64(r.exploring+1) <= max(1, maxExploreShare*float64(r.capacity)) {
			r.skipped = 0
			r.exploring++
			w = Wait{Max: MaxIdle, Explore: true}
		} else if k == NoRequest {
			w.Max = max(w.Max, minFirstRequestWait)
		}
	}
	if w.Max > 0 {
		r.lastWaitID++
		w.id = r.lastWaitID
		t.waiting[w.id] = now
	}
	return w
}

// EndIdle notes how a wait ended: after so long, with a request or not. One that was cut short by the rule, or by the client,
// counts for the time that it took.
func (r *IdlePolicy) EndIdle(o PoolID, k Kind, w Wait, after time.Duration, used bool) {
	if w.Explore {
		r.exploring--
	}
	t := &r.historyOf(o).kinds[k]
	delete(t.waiting, w.id)
	t.record(after, used)
}

// Expired reports whether a connection that was let wait, and has waited for so long, is not worth its place any more, by what has
// been learnt since. It does not hold for those that explore.
func (r *IdlePolicy) Expired(o PoolID, k Kind, age time.Duration) bool {
	return (k != NoRequest || age >= minFirstRequestWait) && r.GittinsIndex(o, k, age) < r.price()
}

// GittinsIndex orders connections that wait by who makes room first: the least does. It is the index of the kind at that age.
func (r *IdlePolicy) GittinsIndex(o PoolID, k Kind, age time.Duration) float64 {
	return r.historyOf(o).kinds[k].index[bucketOf(age)]
}

// ShouldEvictAhead reports whether a place should be freed before the next connection asks for it: one that comes then need not wait
// for another to be closed.
func (r *IdlePolicy) ShouldEvictAhead(now time.Duration) bool {
	free := float64(r.capacity - r.open)
	return free < min(1+r.arrivals.at(now)*evictAheadTime.Seconds(), maxEvictAheadShare*float64(r.capacity))
}

// History is what a rule knows of the habits of clients, for the process that takes this one's place: until it has learnt them
// itself, it would keep what is never used again.
type History map[PoolID][]KindHistory

// KindHistory is that of one kind of connection, by step of age: the seconds waited there and the uses that ended a wait.
type KindHistory struct {
	Waited []float64 `json:"Waited"`
	Used   []float64 `json:"Used"`
}

// History returns what has been learnt so far.
func (r *IdlePolicy) History() History {
	l := History{}
	for o, h := range r.pools {
		for k := range h.kinds {
			t := &h.kinds[k]
			l[o] = append(l[o], KindHistory{slices.Clone(t.waited[:]), slices.Clone(t.used[:])})
		}
	}
	return l
}

// Restore takes over what another rule has learnt, as far as it is what a rule could have.
func (r *IdlePolicy) Restore(l History) {
	for o, all := range l {
		if len(all) != int(kindCount) || len(r.pools) >= maxPools {
			continue
		}
		h := r.historyOf(o)
		for k, a := range all {
			t := &h.kinds[k]
			if len(a.Waited) != ageBuckets || len(a.Used) != ageBuckets {
				continue
			}
			for i := range ageBuckets {
				if w, u := a.Waited[i], a.Used[i]; w > 0 && u >= 0 && w < maxRestored && u < maxRestored {
					t.waited[i], t.used[i] = w, u
				}
			}
			t.refreshIndex(0)
		}
	}
}

// maxRestored is beyond what a rule can have seen in a step of age, in seconds as in uses.
const maxRestored = 1e9

// rate is a smoothed rate a second.
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

// kindStats is what is known of the waits of one kind: by step of age, the time waited there, and how often it was ended by a
// request. Waits that end early count for what they were, so that closing some does not make the rest look better.
type kindStats struct {
	waited, used [ageBuckets]float64      // seconds, and times
	index        [ageBuckets]float64      // uses a second, from the start of the step on
	changes      int                      // begins and ends of waits since index was worked out
	waiting      map[uint64]time.Duration // since when, of those that wait now
}

// bucketStart and end are the ages at which step i begins and ends.
func bucketStart(i int) time.Duration {
	if i == 0 {
		return 0
	}
	return time.Millisecond << (i - 1)
}

func bucketEnd(i int) time.Duration {
	if i == ageBuckets-1 {
		return MaxIdle
	}
	return time.Millisecond << i
}

// bucketOf is the step in which an age lies.
func bucketOf(age time.Duration) int {
	i := 0
	for i < ageBuckets-1 && age >= bucketEnd(i) {
		i++
	}
	return i
}

func (t *kindStats) reset() {
	for i := range ageBuckets {
		t.waited[i] = priorWeight * (bucketEnd(i) - bucketStart(i)).Seconds()
		t.used[i] = priorRate * t.waited[i]
	}
	t.waiting = map[uint64]time.Duration{}
	t.refreshIndex(0)
}

func (t *kindStats) record(after time.Duration, used bool) {
	after = max(0, after)
	most := float64(max(historySize, historyPerWaiting*len(t.waiting)))
	for i := 0; i < ageBuckets; i++ {
		if after <= bucketStart(i) && i > 0 {
			break
		}
		// A step forgets only by what is seen there: the later ones are seen more rarely.
		t.waited[i] -= t.waited[i] / most
		t.used[i] -= t.used[i] / most
		t.waited[i] += (min(after, bucketEnd(i)) - bucketStart(i)).Seconds()
	}
	if used {
		t.used[bucketOf(after)]++
	}
	t.changes++
}

// refreshIfDue renews after some waits, the more the more there are, so that each costs little.
func (t *kindStats) refreshIfDue(now time.Duration) {
	if t.changes++; t.changes >= refreshInterval && t.changes >= len(t.waiting)/refreshInterval {
		t.refreshIndex(now)
	}
}

// refreshIndex works out the index of each step: over all ends of the further wait, the greatest chance of a use for each second that
// it is expected to take. Waits that go on count for their time so far: when clients cease to use their connections again, the
// first to tell are those that are not used now.
func (t *kindStats) refreshIndex(now time.Duration) {
	t.changes = 0
	waited := t.waited
	for _, since := range t.waiting {
		for i := 0; i < ageBuckets && now-since > bucketStart(i); i++ {
			waited[i] += (min(now-since, bucketEnd(i)) - bucketStart(i)).Seconds()
		}
	}
	var hazard, lasts [ageBuckets]float64
	for i := range ageBuckets {
		width := (bucketEnd(i) - bucketStart(i)).Seconds()
		hazard[i] = t.used[i] / max(waited[i], 1e-9)
		lasts[i] = math.Exp(-hazard[i] * width)
	}
	for i := range ageBuckets {
		survives, time, best := 1.0, 0.0, 0.0
		for j := i; j < ageBuckets; j++ {
			width := (bucketEnd(j) - bucketStart(j)).Seconds()
			if x := hazard[j] * width; x > 1e-9 {
				width *= (1 - lasts[j]) / x // expected of those that begin the step
			}
			time += survives * width
			survives *= lasts[j]
			best = max(best, (1-survives)/time)
		}
		t.index[i] = best
	}
}

// maxWait is the age from which a connection is not worth the price.
func (t *kindStats) maxWait(price float64) time.Duration {
	for i, worth := range t.index {
		if worth < price {
			return bucketStart(i)
		}
	}
	return MaxIdle
}
