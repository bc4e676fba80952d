// Package spillover decides when work crosses to another site, how much of it and of which class, and when it comes back. It is
// pure: events in, decisions out, with the time passed in; no clock, socket or goroutine. It knows nothing of how a
// request crosses, and it never says that one may: whether an attempt at the far site is legal at all is for the decision
// module, which sees the far site as members of its list; this module says how many of them there are.
//
// Local first: a request is offered to the far site only if the local site has just turned down, for want of time, what is
// worth as much. The far site grants room in credits, so that a spill never tips it over; a link that was dead is
// probed before it is loaded again.
package spillover

import (
	"cmp"
	"slices"
	"time"
)

// State is what is thought of the link to the far site.
type State int

// The states of a link.
const (
	// Dead: nothing crosses. A probe is sent now and then.
	Dead State = iota
	// Probing: a probe is out, or too few have come back since the link was dead.
	Probing
	// Open: work may cross, within the credits granted.
	Open
	// Stalled: nothing has come back for too long although something is out. Nothing more crosses; what is out may have run.
	Stalled
	// Draining: the far site or this one drains. Nothing new crosses; what has crossed is waited for.
	Draining
)

func (s State) String() string {
	return [...]string{"dead", "probing", "open", "stalled", "draining"}[s]
}

// Cause says why a link changed its state, for the log.
type Cause string

// Config is what the operator says of a link. All times are above 0.
type Config struct {
	// ProbeEvery is how long after a failed probe the next is sent. It doubles with each in a row, up to MostPause.
	ProbeEvery, MostPause time.Duration
	// ProbesToOpen is how many probes in a row must come back for a link that was dead to open, at least 1.
	ProbesToOpen int
	// StallAfter is how long nothing may come back, while something is out, until the link counts as stalled. It is some
	// times the usual round trip, not the time of a request: the far side acknowledges what it takes.
	StallAfter time.Duration
	// Window is the time over which the shortness of the local site is judged.
	Window time.Duration
	// Start and Stop are the parts of the local offers in a window that were turned down from which spilling starts, and
	// below which it stops: 0 <= Stop < Start <= 1. Between them all stays as it is, so that work does not swing.
	Start, Stop float64
	// MostShare is the part of the local requests that may cross at most, 0 to 1.
	MostShare float64
}

// Class is what the module has to know of a class of requests.
type Class struct {
	Name  string
	Worth float64       // of an answer
	Work  time.Duration // of a request at a box, roughly; above 0
}

// Spill decides for one link. It is not safe for concurrent use.
type Spill struct {
	cfg     Config
	classes map[string]int // place in the order of worth for the work, the worthiest first
	order   []Class

	state   State
	at      time.Duration // of the last event
	probeAt time.Duration // when the next probe is due
	pause   time.Duration
	good    int // probes in a row that came back

	out     int           // requests that crossed and are not back
	heard   time.Duration // when something last came back, or the first of those out crossed
	credits int           // further requests that the far site takes

	spilling bool
	from     time.Duration // of the window
	offered  []int         // in the window, by place in the order
	denied   []int         // of them turned down locally
	crossed  int           // in the window
	cut      int           // classes at a place below it may cross
}

// New returns a link that is dead until a probe has come back.
func New(cfg Config, classes []Class) *Spill {
	s := &Spill{cfg: cfg, classes: map[string]int{}, order: slices.Clone(classes), pause: cfg.ProbeEvery}
	slices.SortStableFunc(s.order, func(a, b Class) int {
		return cmp.Or(-cmp.Compare(a.Worth/a.Work.Seconds(), b.Worth/b.Work.Seconds()), cmp.Compare(a.Name, b.Name))
	})
	for i, c := range s.order {
		s.classes[c.Name] = i
	}
	s.offered, s.denied = make([]int, len(classes)), make([]int, len(classes))
	return s
}

// State is what is thought of the link.
func (s *Spill) State() State { return s.state }

// Spilling reports whether work crosses at present.
func (s *Spill) Spilling() bool { return s.state == Open && s.spilling }

// Out is how many requests have crossed and are not back.
func (s *Spill) Out() int { return s.out }

// Change is a change of a link's state.
type Change struct {
	From, To State
	Cause    Cause
}

func (s *Spill) become(to State, cause Cause) *Change {
	if s.state == to {
		return nil
	}
	c := &Change{s.state, to, cause}
	s.state = to
	if to != Open {
		s.credits = 0 // a grant is of the state in which it was made
	}
	return c
}

// Tick lets time pass. It reports whether a probe is to be sent now, and a change of state if there is one. It is to be
// called at least as often as StallAfter/4 while something is out.
func (s *Spill) Tick(now time.Duration) (probe bool, c *Change) {
	s.advance(now)
	switch s.state {
	case Open:
		if s.out > 0 && now-s.heard > s.cfg.StallAfter {
			s.good, s.pause, s.probeAt = 0, s.cfg.ProbeEvery, now+s.cfg.ProbeEvery
			return false, s.become(Stalled, "nothing came back while requests were out")
		}
	case Dead, Stalled:
		if now >= s.probeAt {
			s.probeAt = now + s.pause
			return true, nil
		}
	case Probing:
		if now >= s.probeAt {
			s.probeAt = now + s.cfg.ProbeEvery
			return true, nil
		}
	}
	return false, nil
}

// Probed takes the result of a probe. room is what the far site grants with it.
func (s *Spill) Probed(now time.Duration, ok bool, room int) *Change {
	s.advance(now)
	if s.state == Draining {
		return nil
	}
	if !ok {
		s.good = 0
		s.pause = min(2*s.pause, max(s.cfg.MostPause, s.cfg.ProbeEvery))
		s.probeAt = now + s.pause
		return s.become(Dead, "a probe did not come back")
	}
	s.heard = now
	if s.state == Open {
		s.credits = max(0, room)
		return nil
	}
	s.good++
	if s.good < s.cfg.ProbesToOpen {
		s.probeAt = now // the next at once: a link that was dead shows itself in a few round trips
		return s.become(Probing, "a probe came back")
	}
	s.pause = s.cfg.ProbeEvery
	c := s.become(Open, "probes came back")
	s.credits = max(0, room)
	return c
}

// Drain notes that either site drains, or no longer does. After it the link must show itself anew.
func (s *Spill) Drain(now time.Duration, on bool) *Change {
	s.advance(now)
	if on {
		return s.become(Draining, "a site drains")
	}
	if s.state != Draining {
		return nil
	}
	s.good, s.pause, s.probeAt = 0, s.cfg.ProbeEvery, now
	return s.become(Dead, "no site drains any more")
}

// Local notes how the local site met a request of a class: denied, if it could not be expected to be served there in time.
func (s *Spill) Local(now time.Duration, class string, denied bool) {
	s.advance(now)
	i, ok := s.classes[class]
	if !ok {
		return
	}
	s.offered[i]++
	if denied {
		s.denied[i]++
	}
}

// Denied notes that a request that was told to Local before, as not denied, has been turned down after all.
func (s *Spill) Denied(now time.Duration, class string) {
	s.advance(now)
	i, ok := s.classes[class]
	if !ok {
		return
	}
	s.denied[i]++
	offered, denied := 0, 0
	for i := range s.offered {
		offered += s.offered[i]
		denied += s.denied[i]
	}
	// A site that has lost its servers is seen to be short before the window is over.
	if !s.spilling && offered >= enoughOffers && float64(denied) >= s.cfg.Start*float64(offered) {
		s.spilling = true
		s.judge(offered)
	}
}

// enoughOffers is how many requests of a window tell that a site is short.
const enoughOffers = 10

// SetStall changes StallAfter, as the round trip is learnt.
func (s *Spill) SetStall(after time.Duration) { s.cfg.StallAfter = after }

// Patience is how long nothing may come back from now on until what is out is given up.
func (s *Spill) Patience(now time.Duration) time.Duration {
	return max(0, s.heard+s.cfg.StallAfter-now)
}

// Told notes that the far side has said something, and grants so much room.
func (s *Spill) Told(now time.Duration, room int) {
	s.advance(now)
	s.heard = max(s.heard, now)
	if s.state == Open {
		s.credits = max(0, room)
	}
}

// advance closes the window once it is over, and judges by it.
func (s *Spill) advance(now time.Duration) {
	s.at = now
	if now-s.from < s.cfg.Window {
		return
	}
	offered, denied := 0, 0
	for i := range s.offered {
		offered += s.offered[i]
		denied += s.denied[i]
	}
	if offered > 0 {
		share := min(1, float64(denied)/float64(offered)) // some were offered in the window before
		switch {
		case share >= s.cfg.Start:
			s.spilling = true
		case share <= s.cfg.Stop:
			s.spilling = false
		}
		s.judge(offered)
	} else if s.out == 0 {
		s.spilling = false // nothing is asked for
	}
	s.from, s.crossed = now, 0
	clear(s.offered)
	clear(s.denied)
}

// judge sets which classes may cross: the worthiest for the work, as many as MostShare of what was offered allows.
func (s *Spill) judge(offered int) {
	room := s.cfg.MostShare * float64(offered)
	s.cut = 0
	for i := range s.order {
		if room <= 0 {
			break
		}
		room -= float64(s.denied[i])
		s.cut = i + 1
	}
}

// Ask decides whether a request of a class, which the local site could not serve in time, crosses. If it does, Back must
// follow.
func (s *Spill) Ask(now time.Duration, class string) bool {
	s.advance(now)
	i, ok := s.classes[class]
	if !ok || !s.Spilling() || s.credits < 1 || i >= s.cut {
		return false
	}
	offered := 0
	for _, n := range s.offered {
		offered += n
	}
	// The worthiest have what is left of the window's share; the first of a window always may.
	if s.crossed > 0 && float64(s.crossed) >= s.cfg.MostShare*float64(offered) {
		return false
	}
	if s.out == 0 {
		s.heard = now
	}
	s.credits--
	s.crossed++
	s.out++
	return true
}

// Back notes that a request that crossed has its answer, or is given up. heard tells whether the far side said so, and room
// is what it grants then.
func (s *Spill) Back(now time.Duration, heard bool, room int) {
	s.advance(now)
	s.out = max(0, s.out-1)
	if !heard {
		return
	}
	s.heard = now
	if s.state == Open {
		s.credits = max(0, room)
	}
}
