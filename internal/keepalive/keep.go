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
	Fresh Kind = iota // no request yet
	Once              // one
	Again             // several
	kinds
)

// Owner is the pool that a connection's last request was for; 0: it has brought none.
type Owner uint32

const (
	// MostWait is how long any connection may wait for a request.
	MostWait = 2 * time.Second
	// leastFresh is how long a new connection may always wait for its first request while there is room: the client has just
	// asked for it.
	leastFresh = 100 * time.Millisecond
	// steps is how many steps of age there are: the first of 1 ms, each further one twice as long, the last up to MostWait.
	steps = 12
	// prior is how many connections' worth of waiting is assumed at the start, used at a rate of priorRate a second: little
	// enough that what is seen soon counts for more.
	prior     = 1
	priorRate = 0.25
	// memory is how many waits through a step of age are remembered there, in the sense of an exponential average, and
	// memoryShare times those that go on, if that is more: these count as well, and would else outweigh the ended ones, so
	// that thousands that are all used again seem to be used rarely.
	memory      = 200
	memoryShare = 8
	// exploreEvery: of the connections that are not worth a place, each so-manieth is kept all the same, as nothing would
	// tell otherwise when clients begin to use theirs again.
	exploreEvery = 16
	// exploreShare is the part of all places that those may have.
	exploreShare = 1.0 / 16
	// rateMemory is the time over which rates are averaged.
	rateMemory = time.Second
	// renewEvery is after how many waits the indices are worked out anew.
	renewEvery = 8
	// aheadTime times the rate of new connections is how many places are freed ahead of them; closing one takes less.
	aheadTime = 10 * time.Millisecond
	// aheadShare is the most part of the places that are.
	aheadShare = 1.0 / 8
	// mostOwners bounds the pools whose habits are remembered while they have no connection.
	mostOwners = 256
)

// Rule decides for one process. It is not safe for concurrent use.
type Rule struct {
	places    int64 // that clients may have
	inUse     int64
	exploring int64
	skipped   int // connections not worth a place since one was explored
	owners    map[Owner]*habits
	come      rate // of new connections
	lastID    uint64
}

// habits is what a pool's clients do with their connections.
type habits struct {
	kinds [kinds]table
	conns int
}

// New returns a rule for so many places.
func New(places int64) *Rule {
	return &Rule{places: max(1, places), owners: map[Owner]*habits{}}
}

// Resize changes the number of places.
func (r *Rule) Resize(places int64) { r.places = max(1, places) }

// Opened notes a new connection.
func (r *Rule) Opened(now time.Duration) {
	r.inUse++
	r.come.add(now)
}

// Closed notes the end of one.
func (r *Rule) Closed() { r.inUse-- }

// Own notes that a connection belongs to o from now on, and Disown that it does no more.
func (r *Rule) Own(o Owner) { r.of(o).conns++ }

// Disown ends an Own.
func (r *Rule) Disown(o Owner) {
	h := r.of(o)
	h.conns--
	if h.conns <= 0 && len(r.owners) > mostOwners {
		delete(r.owners, o)
	}
}

func (r *Rule) of(o Owner) *habits {
	h := r.owners[o]
	if h == nil {
		h = &habits{}
		for k := range h.kinds {
			h.kinds[k].reset()
		}
		r.owners[o] = h
	}
	return h
}

// price is the rate of use, a second, at or above which a connection is worth its place.
func (r *Rule) price() float64 {
	return min(1, float64(r.inUse)/float64(r.places)) / MostWait.Seconds()
}

// Wait is how long a connection may wait.
type Wait struct {
	Most     time.Duration // 0: it is closed with its answer
	Explores bool          // it is not worth its place, and kept to see whether it is used; told again to Rested
	id       uint64        // of it among those that wait
}

// Rest decides how long a connection of o that begins to wait may do so. Rested must follow, unless it is closed with its
// answer.
func (r *Rule) Rest(now time.Duration, o Owner, k Kind) Wait {
	t := &r.of(o).kinds[k]
	t.renewIfDue(now)
	w := Wait{Most: t.stop(r.price())}
	if w.Most < MostWait {
		if r.skipped++; r.skipped >= exploreEvery && float64(r.exploring+1) <= max(1, exploreShare*float64(r.places)) {
			r.skipped = 0
			r.exploring++
			w = Wait{Most: MostWait, Explores: true}
		} else if k == Fresh {
			w.Most = max(w.Most, leastFresh)
		}
	}
	if w.Most > 0 {
		r.lastID++
		w.id = r.lastID
		t.waiting[w.id] = now
	}
	return w
}

// Rested notes how a wait ended: after so long, with a request or not. One that was cut short by the rule, or by the client,
// counts for the time that it took.
func (r *Rule) Rested(o Owner, k Kind, w Wait, after time.Duration, used bool) {
	if w.Explores {
		r.exploring--
	}
	t := &r.of(o).kinds[k]
	delete(t.waiting, w.id)
	t.learn(after, used)
}

// Spent reports whether a connection that was let wait, and has waited for so long, is not worth its place any more, by what has
// been learnt since. It does not hold for those that explore.
func (r *Rule) Spent(o Owner, k Kind, age time.Duration) bool {
	return (k != Fresh || age >= leastFresh) && r.Worth(o, k, age) < r.price()
}

// Worth orders connections that wait by who makes room first: the least does. It is the index of the kind at that age.
func (r *Rule) Worth(o Owner, k Kind, age time.Duration) float64 {
	return r.of(o).kinds[k].index[step(age)]
}

// Ahead reports whether a place should be freed before the next connection asks for it: one that comes then need not wait
// for another to be closed.
func (r *Rule) Ahead(now time.Duration) bool {
	free := float64(r.places - r.inUse)
	return free < min(1+r.come.at(now)*aheadTime.Seconds(), aheadShare*float64(r.places))
}

// Learnt is what a rule knows of the habits of clients, for the process that takes this one's place: until it has learnt them
// itself, it would keep what is never used again.
type Learnt map[Owner][]Habit

// Habit is that of one kind of connection, by step of age: the seconds waited there and the uses that ended a wait.
type Habit struct {
	Waited []float64 `json:"Waited"`
	Used   []float64 `json:"Used"`
}

// Learnt returns what has been learnt so far.
func (r *Rule) Learnt() Learnt {
	l := Learnt{}
	for o, h := range r.owners {
		for k := range h.kinds {
			t := &h.kinds[k]
			l[o] = append(l[o], Habit{slices.Clone(t.waited[:]), slices.Clone(t.used[:])})
		}
	}
	return l
}

// Adopt takes over what another rule has learnt, as far as it is what a rule could have.
func (r *Rule) Adopt(l Learnt) {
	for o, all := range l {
		if len(all) != int(kinds) || len(r.owners) >= mostOwners {
			continue
		}
		h := r.of(o)
		for k, a := range all {
			t := &h.kinds[k]
			if len(a.Waited) != steps || len(a.Used) != steps {
				continue
			}
			for i := range steps {
				if w, u := a.Waited[i], a.Used[i]; w > 0 && u >= 0 && w < mostLearnt && u < mostLearnt {
					t.waited[i], t.used[i] = w, u
				}
			}
			t.renew(0)
		}
	}
}

// mostLearnt is beyond what a rule can have seen in a step of age, in seconds as in uses.
const mostLearnt = 1e9

// rate is a smoothed rate a second.
type rate struct {
	perSecond float64
	seen      time.Duration
}

func (r *rate) at(now time.Duration) float64 {
	if now <= r.seen {
		return r.perSecond
	}
	return r.perSecond * math.Exp(-float64(now-r.seen)/float64(rateMemory))
}

func (r *rate) add(now time.Duration) {
	r.perSecond = r.at(now) + 1/rateMemory.Seconds()
	r.seen = max(r.seen, now)
}

// table is what is known of the waits of one kind: by step of age, the time waited there, and how often it was ended by a
// request. Waits that end early count for what they were, so that closing some does not make the rest look better.
type table struct {
	waited, used [steps]float64           // seconds, and times
	index        [steps]float64           // uses a second, from the start of the step on
	fresh        int                      // begins and ends of waits since index was worked out
	waiting      map[uint64]time.Duration // since when, of those that wait now
}

// begin and end are the ages at which step i begins and ends.
func begin(i int) time.Duration {
	if i == 0 {
		return 0
	}
	return time.Millisecond << (i - 1)
}

func end(i int) time.Duration {
	if i == steps-1 {
		return MostWait
	}
	return time.Millisecond << i
}

// step is the step in which an age lies.
func step(age time.Duration) int {
	i := 0
	for i < steps-1 && age >= end(i) {
		i++
	}
	return i
}

func (t *table) reset() {
	for i := range steps {
		t.waited[i] = prior * (end(i) - begin(i)).Seconds()
		t.used[i] = priorRate * t.waited[i]
	}
	t.waiting = map[uint64]time.Duration{}
	t.renew(0)
}

func (t *table) learn(after time.Duration, used bool) {
	after = max(0, after)
	most := float64(max(memory, memoryShare*len(t.waiting)))
	for i := 0; i < steps; i++ {
		if after <= begin(i) && i > 0 {
			break
		}
		// A step forgets only by what is seen there: the later ones are seen more rarely.
		t.waited[i] -= t.waited[i] / most
		t.used[i] -= t.used[i] / most
		t.waited[i] += (min(after, end(i)) - begin(i)).Seconds()
	}
	if used {
		t.used[step(after)]++
	}
	t.fresh++
}

// renewIfDue renews after some waits, the more the more there are, so that each costs little.
func (t *table) renewIfDue(now time.Duration) {
	if t.fresh++; t.fresh >= renewEvery && t.fresh >= len(t.waiting)/renewEvery {
		t.renew(now)
	}
}

// renew works out the index of each step: over all ends of the further wait, the greatest chance of a use for each second that
// it is expected to take. Waits that go on count for their time so far: when clients cease to use their connections again, the
// first to tell are those that are not used now.
func (t *table) renew(now time.Duration) {
	t.fresh = 0
	waited := t.waited
	for _, since := range t.waiting {
		for i := 0; i < steps && now-since > begin(i); i++ {
			waited[i] += (min(now-since, end(i)) - begin(i)).Seconds()
		}
	}
	var hazard, lasts [steps]float64
	for i := range steps {
		width := (end(i) - begin(i)).Seconds()
		hazard[i] = t.used[i] / max(waited[i], 1e-9)
		lasts[i] = math.Exp(-hazard[i] * width)
	}
	for i := range steps {
		survives, time, best := 1.0, 0.0, 0.0
		for j := i; j < steps; j++ {
			width := (end(j) - begin(j)).Seconds()
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

// stop is the age from which a connection is not worth the price.
func (t *table) stop(price float64) time.Duration {
	for i, worth := range t.index {
		if worth < price {
			return begin(i)
		}
	}
	return MostWait
}
