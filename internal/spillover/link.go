// Package spillover decides when requests are forwarded to another site, how many and of which class, and how many requests of other
// sites the local site accepts. The package is pure: events in, decisions out, with the time passed in. It uses no clock, socket or
// goroutine, and it does not depend on how a request is forwarded. It never allows an attempt on its own: the decision module, which
// sees the remote site as endpoints, decides whether an attempt at the remote site may begin. This package determines how many of
// these endpoints there are.
//
// Requests are served locally first: a request is forwarded only if the local site has rejected it, and only while the local site rejects
// many of its requests because of a capacity shortage. Classes with a high value density are forwarded first. The remote site grants
// credits, so that forwarded requests never overload it. A dead link must pass health checks before requests are forwarded on it again.
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
	// Dead means that no requests are forwarded. Health checks are sent with a backoff.
	Dead State = iota
	// Checking means that too few health checks in a row have passed since the link was dead. No requests are forwarded.
	Checking
	// Open means that requests may be forwarded within the credits granted.
	Open
	// Stalled means that no message of the remote site arrived within StallTimeout while requests were in flight. No requests are
	// forwarded. Those in flight may have run.
	Stalled
	// Draining means that one of the two sites is draining. No new requests are forwarded. The link waits for those in flight.
	Draining
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"dead", "probing", "open", "stalled", "draining"}[s]
}

// Cause is the reason for a change of a link's state, for the log.
type Cause string

// The causes of a change of state.
const (
	causeStalled         Cause = "nothing came back while requests were out"
	causeCheckFailed     Cause = "a probe did not come back"
	causeCheckPassed     Cause = "a probe came back"
	causeThresholdPassed Cause = "probes came back"
	causeDraining        Cause = "a site drains"
	causeDrained         Cause = "no site drains any more"
)

// Config holds the parameters of a link. All times are above 0.
type Config struct {
	// HealthCheckInterval is the time from a stall to the first health check. The time from a failed health check to the next one is
	// twice as long, and doubles with each further failure in a row, up to MaxHealthCheckInterval.
	HealthCheckInterval, MaxHealthCheckInterval time.Duration
	// HealthyThreshold is the number of health checks in a row that must pass before a dead link opens, at least 1.
	HealthyThreshold int
	// StallTimeout is the time without a message of the remote site, while requests are in flight, after which the link is stalled.
	// It covers a few round trips, not the time of a request, because the remote site acknowledges the requests that it accepts.
	StallTimeout time.Duration
	// Window is the time over which the capacity of the local site is measured.
	Window time.Duration
	// StartRatio and StopRatio are fractions of rejected requests among the local requests of a window. Spillover starts at
	// StartRatio or above, stops at StopRatio or below, and stays as it is in between: 0 <= StopRatio < StartRatio <= 1.
	StartRatio, StopRatio float64
	// MaxForwardedRatio is the largest fraction of the local requests in a window that may be forwarded, 0 to 1.
	MaxForwardedRatio float64
}

// Class is a class of requests.
type Class struct {
	Name           string
	PriorityWeight float64       // of one response
	ServiceTime    time.Duration // approximate time of a request at a server, above 0
}

// valueDensity returns the priority weight per second of service time.
func (c Class) valueDensity() float64 { return c.PriorityWeight / c.ServiceTime.Seconds() }

// Link decides which requests are forwarded over the link to one remote site. It is not safe for concurrent use.
type Link struct {
	cfg        Config
	classes    map[string]int // index in classOrder, by name
	classOrder []Class        // by descending value density

	state         State
	nextCheckAt   time.Duration
	checkBackoff  time.Duration
	healthyChecks int // health checks passed in a row

	inFlight    int           // requests that were forwarded and have not returned
	lastContact time.Duration // the last message of the remote site, or the time at which the first request in flight was forwarded
	credits     int           // requests that the remote site accepts in addition to those in flight

	spilling        bool
	windowStart     time.Duration
	offered         []int // local requests in the window, by index in classOrder
	rejected        []int // local requests that the local site rejected in the window, by index in classOrder
	forwarded       int   // requests forwarded in the window
	eligibleClasses int   // classes with a lower index in classOrder may be forwarded
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
		return cmp.Or(-cmp.Compare(a.valueDensity(), b.valueDensity()), cmp.Compare(a.Name, b.Name))
	})
	for i, class := range l.classOrder {
		l.classes[class.Name] = i
	}
	return l
}

// State returns the state of the link.
func (l *Link) State() State { return l.state }

// Spilling reports whether requests may be forwarded: the link is open and the local site is short of capacity.
func (l *Link) Spilling() bool { return l.state == Open && l.spilling }

// InFlight returns the number of requests that were forwarded and have not returned.
func (l *Link) InFlight() int { return l.inFlight }

// SetStallTimeout changes Config.StallTimeout, for example when the measured round trip changes.
func (l *Link) SetStallTimeout(timeout time.Duration) { l.cfg.StallTimeout = timeout }

// TimeToStall returns the time from now until a link with requests in flight stalls if no message of the remote site arrives.
func (l *Link) TimeToStall(now time.Duration) time.Duration {
	return max(0, l.lastContact+l.cfg.StallTimeout-now)
}

// setState changes the state and returns the transition, or nil if the state stays the same. Credits are valid only for the open
// state in which they were granted.
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

// Tick evaluates all timers at now. It reports whether the caller must send a health check, and returns the change of state, or nil if
// there is none. It must be called at least every StallTimeout/4 while requests are in flight.
func (l *Link) Tick(now time.Duration) (sendCheck bool, transition *Transition) {
	l.advanceWindow(now)
	switch l.state {
	case Open:
		if l.inFlight > 0 && now-l.lastContact > l.cfg.StallTimeout {
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

// restartChecks resets the count of passed health checks and the backoff, and schedules the next health check.
func (l *Link) restartChecks(at time.Duration) {
	l.healthyChecks, l.checkBackoff, l.nextCheckAt = 0, l.cfg.HealthCheckInterval, at
}

// RecordHealthCheck records the result of a health check and the credits that the remote site grants with it. It returns the change of
// state, or nil if there is none.
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
	l.lastContact = now
	if l.state == Open {
		l.credits = max(0, credits)
		return nil
	}
	l.healthyChecks++
	if l.healthyChecks < l.cfg.HealthyThreshold {
		l.nextCheckAt = now // the remaining checks follow at once, so that the link opens after a few round trips
		return l.setState(Checking, causeCheckPassed)
	}
	l.checkBackoff = l.cfg.HealthCheckInterval
	transition := l.setState(Open, causeThresholdPassed)
	l.credits = max(0, credits)
	return transition
}

// Drain records whether one of the two sites is draining. After a drain the link is dead until health checks have passed. Drain
// returns the change of state, or nil if there is none.
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

// RecordGrant records a message of the remote site and the credits that it grants.
func (l *Link) RecordGrant(now time.Duration, credits int) {
	l.advanceWindow(now)
	l.lastContact = max(l.lastContact, now)
	l.setCredits(credits)
}

// setCredits sets the credits of an open link. In any other state it has no effect.
func (l *Link) setCredits(credits int) {
	if l.state == Open {
		l.credits = max(0, credits)
	}
}

// TryForward decides whether to forward a request that the local site could not serve in time. If the result is true, RecordReturn
// must follow.
func (l *Link) TryForward(now time.Duration, class string) bool {
	l.advanceWindow(now)
	i, known := l.classes[class]
	if !known || !l.Spilling() || l.credits < 1 || i >= l.eligibleClasses {
		return false
	}
	// The eligible classes share what is left of MaxForwardedRatio in the window. The first request of a window is always allowed.
	if l.forwarded > 0 && float64(l.forwarded) >= l.cfg.MaxForwardedRatio*float64(sum(l.offered)) {
		return false
	}
	if l.inFlight == 0 {
		l.lastContact = now
	}
	l.credits--
	l.forwarded++
	l.inFlight++
	return true
}

// RecordReturn records that a forwarded request got its response or was abandoned. responded reports whether the remote site
// responded, and credits are those granted with the response.
func (l *Link) RecordReturn(now time.Duration, responded bool, credits int) {
	l.advanceWindow(now)
	l.inFlight = max(0, l.inFlight-1)
	if responded {
		l.lastContact = now
		l.setCredits(credits)
	}
}
