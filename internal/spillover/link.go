// Package spillover decides when requests are forwarded to another site, how many and of which class, and how many of other sites'
// requests this one takes. It is pure: events in, decisions out, with the time passed in; no clock, socket or goroutine. It does
// not know how a request is forwarded, and it never allows an attempt by itself: whether one at the remote site may begin is for
// the decision module, which sees the remote site as endpoints; this package says how many of them there are.
//
// Local first: a request is offered to the remote site only if the local one has just rejected, for want of capacity, what has as
// much priority. The remote site grants credits, so that forwarded requests never overload it, and a link that was dead is checked
// before it carries load again.
package spillover

import (
	"cmp"
	"slices"
	"time"
)

// State is the state of the link to the remote site.
type State int

// The states of a link.
const (
	// Dead: nothing is forwarded. Health checks are sent with a backoff.
	Dead State = iota
	// Checking: too few health checks in a row have passed since the link was dead.
	Checking
	// Open: requests may be forwarded, within the credits granted.
	Open
	// Stalled: nothing was heard for too long while requests are in flight. Nothing is forwarded; what is in flight may have run.
	Stalled
	// Draining: one of the two sites drains. Nothing new is forwarded; what is in flight is waited for.
	Draining
)

func (s State) String() string {
	return [...]string{"dead", "probing", "open", "stalled", "draining"}[s]
}

// Cause says why a link changed its state, for the log.
type Cause string

// The causes.
const (
	causeStalled         Cause = "nothing came back while requests were out"
	causeCheckFailed     Cause = "a probe did not come back"
	causeCheckPassed     Cause = "a probe came back"
	causeThresholdPassed Cause = "probes came back"
	causeDraining        Cause = "a site drains"
	causeDrained         Cause = "no site drains any more"
)

// Config are the parameters of a link. All times are above 0.
type Config struct {
	// HealthCheckInterval is the time from a failed health check to the next. It doubles with each in a row, up to
	// MaxHealthCheckInterval.
	HealthCheckInterval, MaxHealthCheckInterval time.Duration
	// HealthyThreshold is how many health checks in a row must pass for a link that was dead to open, at least 1.
	HealthyThreshold int
	// StallTimeout is how long nothing may be heard, while requests are in flight, until the link is stalled. It is a few round
	// trips, not the time of a request: the remote site acknowledges what it takes.
	StallTimeout time.Duration
	// Window is the time over which the capacity of the local site is judged.
	Window time.Duration
	// StartRatio and StopRatio are the fractions of the local requests in a window that were rejected from which spillover
	// starts, and to which it stops: 0 <= StopRatio < StartRatio <= 1. Between them it goes on as it is.
	StartRatio, StopRatio float64
	// MaxForwardedRatio is the fraction of the local requests in a window that may be forwarded, 0 to 1.
	MaxForwardedRatio float64
}

// Class is a class of requests.
type Class struct {
	Name           string
	PriorityWeight float64       // of a response
	ServiceTime    time.Duration // of a request at a server, roughly; above 0
}

// valueOfWork is the priority weight for each second of work.
func (c Class) valueOfWork() float64 { return c.PriorityWeight / c.ServiceTime.Seconds() }

// Link decides for the link to one remote site. It is not safe for concurrent use.
type Link struct {
	cfg        Config
	classes    map[string]int // index in classOrder, by name
	classOrder []Class        // by value of work, the highest first

	state         State
	nextCheckAt   time.Duration
	checkBackoff  time.Duration
	healthyChecks int // that passed in a row

	inFlight  int           // requests that were forwarded and have not returned
	lastHeard time.Duration // of the remote site, or when the first of those in flight was forwarded
	credits   int           // requests that the remote site takes beside those in flight

	spilling        bool
	windowStart     time.Duration
	offered         []int // local requests in the window, by index in classOrder
	rejected        []int // of them those that the local site rejected
	forwarded       int   // requests in the window
	eligibleClasses int   // classes of a lower index may be forwarded
}

// Transition is a change of a link's state.
type Transition struct {
	From, To State
	Cause    Cause
}

// New returns a link that is dead until health checks have passed.
func New(cfg Config, classes []Class) *Link {
	l := &Link{
		cfg:          cfg,
		classes:      map[string]int{},
		classOrder:   slices.Clone(classes),
		checkBackoff: cfg.HealthCheckInterval,
		offered:      make([]int, len(classes)),
		rejected:     make([]int, len(classes)),
	}
	slices.SortStableFunc(l.classOrder, func(a, b Class) int {
		return cmp.Or(-cmp.Compare(a.valueOfWork(), b.valueOfWork()), cmp.Compare(a.Name, b.Name))
	})
	for i, class := range l.classOrder {
		l.classes[class.Name] = i
	}
	return l
}

// State is the state of the link.
func (l *Link) State() State { return l.state }

// Spilling reports whether requests are forwarded at present.
func (l *Link) Spilling() bool { return l.state == Open && l.spilling }

// InFlight is how many requests were forwarded and have not returned.
func (l *Link) InFlight() int { return l.inFlight }

// SetStallTimeout changes the StallTimeout, as the round trip is learned.
func (l *Link) SetStallTimeout(timeout time.Duration) { l.cfg.StallTimeout = timeout }

// TimeToStall is how long from now on nothing may be heard until the link is stalled.
func (l *Link) TimeToStall(now time.Duration) time.Duration {
	return max(0, l.lastHeard+l.cfg.StallTimeout-now)
}

// setState returns the transition, nil if the state is the same. Credits are of the open state in which they were granted.
func (l *Link) setState(to State, cause Cause) *Transition {
	if l.state == to {
		return nil
	}
	transition := &Transition{l.state, to, cause}
	l.state = to
	if to != Open {
		l.credits = 0
	}
	return transition
}

// Tick lets time pass. It reports whether a health check is to be sent now, and a change of state, nil if there is none. It is to
// be called at least every StallTimeout/4 while requests are in flight.
func (l *Link) Tick(now time.Duration) (sendCheck bool, transition *Transition) {
	l.advanceWindow(now)
	switch l.state {
	case Open:
		if l.inFlight > 0 && now-l.lastHeard > l.cfg.StallTimeout {
			l.restartChecks(now + l.cfg.HealthCheckInterval)
			return false, l.setState(Stalled, causeStalled)
		}
	case Dead, Stalled:
		if now >= l.nextCheckAt {
			l.nextCheckAt = now + l.checkBackoff
			return true, nil
		}
	case Checking:
		if now >= l.nextCheckAt {
			l.nextCheckAt = now + l.cfg.HealthCheckInterval
			return true, nil
		}
	}
	return false, nil
}

// restartChecks makes the next health check due at a time, the first in a row and without a backoff.
func (l *Link) restartChecks(at time.Duration) {
	l.healthyChecks, l.checkBackoff, l.nextCheckAt = 0, l.cfg.HealthCheckInterval, at
}

// RecordHealthCheck notes the result of a health check, and the credits that the remote site grants with it. It returns the
// change of state, nil if there is none.
func (l *Link) RecordHealthCheck(now time.Duration, passed bool, credits int) *Transition {
	l.advanceWindow(now)
	if l.state == Draining {
		return nil
	}
	if !passed {
		l.healthyChecks = 0
		l.checkBackoff = min(2*l.checkBackoff, max(l.cfg.MaxHealthCheckInterval, l.cfg.HealthCheckInterval))
		l.nextCheckAt = now + l.checkBackoff
		return l.setState(Dead, causeCheckFailed)
	}
	l.lastHeard = now
	if l.state == Open {
		l.credits = max(0, credits)
		return nil
	}
	l.healthyChecks++
	if l.healthyChecks < l.cfg.HealthyThreshold {
		l.nextCheckAt = now // the rest at once: the link opens after a few round trips
		return l.setState(Checking, causeCheckPassed)
	}
	l.checkBackoff = l.cfg.HealthCheckInterval
	transition := l.setState(Open, causeThresholdPassed)
	l.credits = max(0, credits)
	return transition
}

// Drain says that one of the sites drains, or that none does any more: then the link is dead until health checks have passed. It
// returns the change of state, nil if there is none.
func (l *Link) Drain(now time.Duration, draining bool) *Transition {
	l.advanceWindow(now)
	if draining {
		return l.setState(Draining, causeDraining)
	}
	if l.state != Draining {
		return nil
	}
	l.restartChecks(now)
	return l.setState(Dead, causeDrained)
}

// RecordGrant notes that the remote site was heard, and the credits that it grants.
func (l *Link) RecordGrant(now time.Duration, credits int) {
	l.advanceWindow(now)
	l.lastHeard = max(l.lastHeard, now)
	l.setCredits(credits)
}

// setCredits takes credits only while the link is open.
func (l *Link) setCredits(credits int) {
	if l.state == Open {
		l.credits = max(0, credits)
	}
}

// TryForward decides whether a request of a class, which the local site could not serve in time, is forwarded. If it is,
// RecordReturn must follow.
func (l *Link) TryForward(now time.Duration, class string) bool {
	l.advanceWindow(now)
	i, known := l.classes[class]
	if !known || !l.Spilling() || l.credits < 1 || i >= l.eligibleClasses {
		return false
	}
	// The classes of most value have what is left of the window's ratio; the first request of a window is always allowed.
	if l.forwarded > 0 && float64(l.forwarded) >= l.cfg.MaxForwardedRatio*float64(sum(l.offered)) {
		return false
	}
	if l.inFlight == 0 {
		l.lastHeard = now
	}
	l.credits--
	l.forwarded++
	l.inFlight++
	return true
}

// RecordReturn notes that a forwarded request has its response, or is given up. heard says whether the remote site responded, and
// credits are what it grants then.
func (l *Link) RecordReturn(now time.Duration, heard bool, credits int) {
	l.advanceWindow(now)
	l.inFlight = max(0, l.inFlight-1)
	if heard {
		l.lastHeard = now
		l.setCredits(credits)
	}
}
