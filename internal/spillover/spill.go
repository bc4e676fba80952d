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
	Checking
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
	// HealthCheckInterval is how long after a failed probe the next is sent. It doubles with each in a row, up to MostPause.
	HealthCheckInterval, MaxHealthCheckInterval time.Duration
	// HealthyThreshold is how many probes in a row must come back for a link that was dead to open, at least 1.
	HealthyThreshold int
	// StallTimeout is how long nothing may come back, while something is out, until the link counts as stalled. It is some
	// times the usual round trip, not the time of a request: the far side acknowledges what it takes.
	StallTimeout time.Duration
	// Window is the time over which the shortness of the local site is judged.
	Window time.Duration
	// StartRatio and Stop are the parts of the local offers in a window that were turned down from which spilling starts, and
	// below which it stops: 0 <= Stop < Start <= 1. Between them all stays as it is, so that work does not swing.
	StartRatio, StopRatio float64
	// MaxForwardedRatio is the part of the local requests that may cross at most, 0 to 1.
	MaxForwardedRatio float64
}

// Class is what the module has to know of a class of requests.
type Class struct {
	Name           string
	PriorityWeight float64       // of an answer
	ServiceTime    time.Duration // of a request at a box, roughly; above 0
}

// Link decides for one link. It is not safe for concurrent use.
type Link struct {
	cfg        Config
	classes    map[string]int // place in the order of worth for the work, the worthiest first
	classOrder []Class

	state         State
	lastEvent     time.Duration // of the last event
	nextCheckAt   time.Duration // when the next probe is due
	checkBackoff  time.Duration
	healthyChecks int // probes in a row that came back

	inFlight  int           // requests that crossed and are not back
	lastHeard time.Duration // when something last came back, or the first of those out crossed
	credits   int           // further requests that the far site takes

	spilling        bool
	windowStart     time.Duration // of the window
	offered         []int         // in the window, by place in the order
	rejected        []int         // of them turned down locally
	forwarded       int           // in the window
	eligibleClasses int           // classes at a place below it may cross
}

// New returns a link that is dead until a probe has come back.
func New(cfg Config, classes []Class) *Link {
	s := &Link{cfg: cfg, classes: map[string]int{}, classOrder: slices.Clone(classes), checkBackoff: cfg.HealthCheckInterval}
	slices.SortStableFunc(s.classOrder, func(a, b Class) int {
		return cmp.Or(-cmp.Compare(a.PriorityWeight/a.ServiceTime.Seconds(), b.PriorityWeight/b.ServiceTime.Seconds()), cmp.Compare(a.Name, b.Name))
	})
	for i, c := range s.classOrder {
		s.classes[c.Name] = i
	}
	s.offered, s.rejected = make([]int, len(classes)), make([]int, len(classes))
	return s
}

// State is what is thought of the link.
func (s *Link) State() State { return s.state }

// Spilling reports whether work crosses at present.
func (s *Link) Spilling() bool { return s.state == Open && s.spilling }

// InFlight is how many requests have crossed and are not back.
func (s *Link) InFlight() int { return s.inFlight }

// Transition is a change of a link's state.
type Transition struct {
	From, To State
	Cause    Cause
}

func (s *Link) setState(to State, cause Cause) *Transition {
	if s.state == to {
		return nil
	}
	c := &Transition{s.state, to, cause}
	s.state = to
	if to != Open {
		s.credits = 0 // a grant is of the state in which it was made
	}
	return c
}

// Tick lets time pass. It reports whether a probe is to be sent now, and a change of state if there is one. It is to be
// called at least as often as StallAfter/4 while something is out.
func (s *Link) Tick(now time.Duration) (probe bool, c *Transition) {
	s.advance(now)
	switch s.state {
	case Open:
		if s.inFlight > 0 && now-s.lastHeard > s.cfg.StallTimeout {
			s.healthyChecks, s.checkBackoff, s.nextCheckAt = 0, s.cfg.HealthCheckInterval, now+s.cfg.HealthCheckInterval
			return false, s.setState(Stalled, "nothing came back while requests were out")
		}
	case Dead, Stalled:
		if now >= s.nextCheckAt {
			s.nextCheckAt = now + s.checkBackoff
			return true, nil
		}
	case Checking:
		if now >= s.nextCheckAt {
			s.nextCheckAt = now + s.cfg.HealthCheckInterval
			return true, nil
		}
	}
	return false, nil
}

// RecordHealthCheck takes the result of a probe. room is what the far site grants with it.
func (s *Link) RecordHealthCheck(now time.Duration, ok bool, room int) *Transition {
	s.advance(now)
	if s.state == Draining {
		return nil
	}
	if !ok {
		s.healthyChecks = 0
		s.checkBackoff = min(2*s.checkBackoff, max(s.cfg.MaxHealthCheckInterval, s.cfg.HealthCheckInterval))
		s.nextCheckAt = now + s.checkBackoff
		return s.setState(Dead, "a probe did not come back")
	}
	s.lastHeard = now
	if s.state == Open {
		s.credits = max(0, room)
		return nil
	}
	s.healthyChecks++
	if s.healthyChecks < s.cfg.HealthyThreshold {
		s.nextCheckAt = now // the next at once: a link that was dead shows itself in a few round trips
		return s.setState(Checking, "a probe came back")
	}
	s.checkBackoff = s.cfg.HealthCheckInterval
	c := s.setState(Open, "probes came back")
	s.credits = max(0, room)
	return c
}

// Drain notes that either site drains, or no longer does. After it the link must show itself anew.
func (s *Link) Drain(now time.Duration, on bool) *Transition {
	s.advance(now)
	if on {
		return s.setState(Draining, "a site drains")
	}
	if s.state != Draining {
		return nil
	}
	s.healthyChecks, s.checkBackoff, s.nextCheckAt = 0, s.cfg.HealthCheckInterval, now
	return s.setState(Dead, "no site drains any more")
}

// RecordLocal notes how the local site met a request of a class: denied, if it could not be expected to be served there in time.
func (s *Link) RecordLocal(now time.Duration, class string, denied bool) {
	s.advance(now)
	i, ok := s.classes[class]
	if !ok {
		return
	}
	s.offered[i]++
	if denied {
		s.rejected[i]++
	}
}

// RecordRejected notes that a request that was told to Local before, as not denied, has been turned down after all.
func (s *Link) RecordRejected(now time.Duration, class string) {
	s.advance(now)
	i, ok := s.classes[class]
	if !ok {
		return
	}
	s.rejected[i]++
	offered, denied := 0, 0
	for i := range s.offered {
		offered += s.offered[i]
		denied += s.rejected[i]
	}
	// A site that has lost its servers is seen to be short before the window is over.
	if !s.spilling && offered >= minOffered && float64(denied) >= s.cfg.StartRatio*float64(offered) {
		s.spilling = true
		s.selectClasses(offered)
	}
}

// minOffered is how many requests of a window tell that a site is short.
const minOffered = 10

// SetStallTimeout changes StallAfter, as the round trip is learnt.
func (s *Link) SetStallTimeout(after time.Duration) { s.cfg.StallTimeout = after }

// TimeToStall is how long nothing may come back from now on until what is out is given up.
func (s *Link) TimeToStall(now time.Duration) time.Duration {
	return max(0, s.lastHeard+s.cfg.StallTimeout-now)
}

// RecordGrant notes that the far side has said something, and grants so much room.
func (s *Link) RecordGrant(now time.Duration, room int) {
	s.advance(now)
	s.lastHeard = max(s.lastHeard, now)
	if s.state == Open {
		s.credits = max(0, room)
	}
}

// advance closes the window once it is over, and judges by it.
func (s *Link) advance(now time.Duration) {
	s.lastEvent = now
	if now-s.windowStart < s.cfg.Window {
		return
	}
	offered, denied := 0, 0
	for i := range s.offered {
		offered += s.offered[i]
		denied += s.rejected[i]
	}
	if offered > 0 {
		share := min(1, float64(denied)/float64(offered)) // some were offered in the window before
		switch {
		case share >= s.cfg.StartRatio:
			s.spilling = true
		case share <= s.cfg.StopRatio:
			s.spilling = false
		}
		s.selectClasses(offered)
	} else if s.inFlight == 0 {
		s.spilling = false // nothing is asked for
	}
	s.windowStart, s.forwarded = now, 0
	clear(s.offered)
	clear(s.rejected)
}

// selectClasses sets which classes may cross: the worthiest for the work, as many as MostShare of what was offered allows.
func (s *Link) selectClasses(offered int) {
	room := s.cfg.MaxForwardedRatio * float64(offered)
	s.eligibleClasses = 0
	for i := range s.classOrder {
		if room <= 0 {
			break
		}
		room -= float64(s.rejected[i])
		s.eligibleClasses = i + 1
	}
}

// TryForward decides whether a request of a class, which the local site could not serve in time, crosses. If it does, Back must
// follow.
func (s *Link) TryForward(now time.Duration, class string) bool {
	s.advance(now)
	i, ok := s.classes[class]
	if !ok || !s.Spilling() || s.credits < 1 || i >= s.eligibleClasses {
		return false
	}
	offered := 0
	for _, n := range s.offered {
		offered += n
	}
	// The worthiest have what is left of the window's share; the first of a window always may.
	if s.forwarded > 0 && float64(s.forwarded) >= s.cfg.MaxForwardedRatio*float64(offered) {
		return false
	}
	if s.inFlight == 0 {
		s.lastHeard = now
	}
	s.credits--
	s.forwarded++
	s.inFlight++
	return true
}

// RecordReturn notes that a request that crossed has its answer, or is given up. heard tells whether the far side said so, and room
// is what it grants then.
func (s *Link) RecordReturn(now time.Duration, heard bool, room int) {
	s.advance(now)
	s.inFlight = max(0, s.inFlight-1)
	if !heard {
		return
	}
	s.lastHeard = now
	if s.state == Open {
		s.credits = max(0, room)
	}
}
