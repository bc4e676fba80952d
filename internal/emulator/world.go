// Package emulator plays a fleet in virtual time: many instances of the decision module, driven through its own interface, in front
// of one set of servers that are slow, cold, silent, failing or gone, with clients that lose patience and come again, and a list
// that is late and overbooked. Equal days give equal runs. An observer that shares no code with the module holds the four rules.
package emulator

import (
	"container/heap"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"sorrelrudder/internal/zonefailover"
	"sorrelrudder/policy"
)

// origin keeps the clock far from zero, which the module takes for 'never'.
const origin policy.Time = time.Hour

// MachineType is a kind of machine.
type MachineType struct {
	Name     string
	Fraction float64 // of the servers
	Cores    int
	Speed    float64 // work done by a core in a second, in seconds of work
}

// Class is a class of requests, and how clients ask it.
type Class struct {
	policy.Class
	Fraction      float64       // of the requests
	MeanWork      time.Duration // mean, of one core at speed 1
	WorkVariation float64       // of the work, which is lognormal
}

// Clients is how clients behave.
type Clients struct {
	RequestsPerSecond      float64                                // requests a second, of all; a retry is none
	RateSpread             float64                                // of the instances' rates: a request's instance is drawn by weights 1 to 1+Spread
	InstanceWeight         func(ordinal int, zone string) float64 // the weights, where it is set
	MaxRetries             int                                    // of one request
	RetryDelay             time.Duration                          // before a retry, where nothing is told
	AttemptTimeoutFraction float64                                // of the deadline that clients give a try
	HonorRetryAfter        bool                                   // Retry-After is heeded
}

// Discovery is the service of the list.
type Discovery struct {
	WatchesPerSecond  float64       // that it works through in a second
	MaxQueueDelay     time.Duration // a call that would wait longer is turned away
	NotificationDelay time.Duration // from a change to its being told
}

// ScheduledEvent is something that happens to the world.
type ScheduledEvent struct {
	At    time.Duration
	Apply func(*Emulation)
}

// Scenario is all that a run depends on.
type Scenario struct {
	Seed                          uint64
	Duration                      time.Duration
	InstanceCount                 int
	BackendCount                  int
	MachineTypes                  []MachineType
	Zones                         []string
	SameZoneDelay, CrossZoneDelay time.Duration // one way within a zone, and between two
	MaxQueueLength                int           // requests that may wait at a server
	MaxConnections                int           // that a server holds
	HandshakeDuration             time.Duration // of a new connection, beyond the way there and back
	LoadReportAge                 time.Duration // age of the figures that a probe is told
	SlowStartMinCapacity          float64
	SlowStartDuration             time.Duration
	CollapseFactor                float64 // times what a cold server can do, for TipFor: then it falls over and stays down
	CollapseWindow                time.Duration
	CollapseDisabled              bool // it does not fall: for counting alone
	Classes                       []Class
	Clients                       Clients
	Discovery                     Discovery
	Policy                        policy.Config // Ordinal, GroupSize, Zone, Classes and the cold figures are the day's
	Events                        []ScheduledEvent
	StartupWindow                 time.Duration // over which the instances start
	Sharing                       Sharing
}

// Sharing is what instances know of each other's state, each Lag after one has learnt it: to measure what sharing it would be worth. With a
// Lag of 0 nothing is shared.
type Sharing struct {
	Delay        time.Duration
	Quorum       int  // that have to tell of a server within a second, for others to believe it
	Unreachable  bool // servers that one has found unreachable or silent: others leave them out until a probe of their own is answered
	LoadReports  bool // what one's probes are told: others take the report for one of their own
	LearnedState bool // slowness of servers and the line of delays, for one that starts
	EndpointList bool // the list, for one that starts
	ZoneFailover bool // a zone that fails is left by all by one decision, and returned to step by step
	ZoneRules    zonefailover.Rules
}

// event is due at a time; those of one time come in the order in which they were asked for.
type event struct {
	at  policy.Time
	seq uint64
	run func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

// Emulation is a day as it is played.
type Emulation struct {
	scenario       Scenario
	now            policy.Time
	queue          eventQueue
	seq            uint64
	rng            *rand.Rand // of what happens; each instance has its own
	arrivalsClosed bool       // no more clients
	dropFraction   float64    // share of the answers that never arrive
	resetFraction  float64    // share of the attempts whose connection is reset once they have come

	backends          []*backend
	discovery         *discoveryService
	instances         []*instance
	cumulativeWeights []float64 // of the instances, summed up
	observer          *observer
	failureReporters  map[policy.EndpointID][]failureReporter
	zones             *zoneController               // nil: nothing is decided for all
	onAttemptFinished func(*attempt, policy.Status) // where it is set, told the end of each attempt
	Result            Result
}

// Result is what a day came to.
type Result struct {
	Seconds        []Counts // by second of the day
	Violations     []string // rules, at most mostBroken of them
	ViolationCount int
	Total          Counts

	ZoneDecisions []ZoneDecision // of zones, in order

	// MaxWarmingRequests is the most that any cold server was sent within Day.TipFor, mostly by instances that had been told of its start, over
	// what may be put down to chance there: with N calls of mean work as its budget, N + 2 x root of N + 2. Over 1 the platform's
	// term is broken. ColdWork is the same by the work of the calls, which scatters more.
	MaxWarmingRequests, MaxWarmingWork float64
}

// Counts is what happened within one second.
type Counts struct {
	// By the second in which the request was first asked.
	Requests        int `json:"Requests"`
	WithinObjective int `json:"InAim"`
	Late            int `json:"Late"`
	Unserved        int `json:"Unserved"`
	// By the second in which it happened, as the rest.
	ClientAttempts        int     `json:"Tries"`
	Rejected              int     `json:"Refused"`
	Failed                int     `json:"Failed"`
	RequestedWeight       float64 `json:"Worth"`
	ServedWeight          float64 `json:"Served"`
	Attempts              int     `json:"Sends"`
	WarmingAttempts       int     `json:"Cold"`
	Retries               int     `json:"Again"`
	CrossZoneAttempts     int     `json:"Crossed"` // to another zone
	ConnectFailures       int     `json:"Unreached"`
	Timeouts              int     `json:"TimedOut"`
	ApplicationErrors     int     `json:"Erred"`
	Overloaded            int     `json:"Full"`
	HealthChecks          int     `json:"Probes"`
	Dials                 int     `json:"Dials"`
	WatchRequests         int     `json:"Calls"`
	WatchRequestsRejected int     `json:"CallsLost"`
}

// DefaultPolicy is the module's configuration by which days are played, but for what Day says it is the day's.
func DefaultPolicy() policy.Config {
	return policy.Config{
		HealthChecksAllowed: true, CancellationAllowed: true, HedgingAllowed: true, RetryAfterHonored: true, MaxAttempts: 3, MaxRetryAfter: 1500 * time.Millisecond,
		DialTimeout: 250 * time.Millisecond, ConnIdle: 5 * time.Second, TimerResolution: time.Millisecond, PollInterval: 10 * time.Second,
		ResponseGrace: 5 * time.Millisecond, HealthCheckCost: 0.08, HandshakeCost: 0.08, CrossZoneCost: 0.03,
	}
}

// New makes the world of a day.
func New(day Scenario) (*Emulation, error) {
	switch {
	case day.InstanceCount < 1 || day.BackendCount < 1 || len(day.MachineTypes) == 0 || len(day.Zones) == 0 || len(day.Classes) == 0:
		return nil, errors.New("emulator: a day needs instances, servers, kinds, zones and classes")
	case day.Duration <= 0 || day.Clients.RequestsPerSecond <= 0 || day.Discovery.WatchesPerSecond <= 0:
		return nil, errors.New("emulator: a day needs a length, a rate of clients and calls that discovery can take")
	}
	w := &Emulation{scenario: day, now: origin, rng: rand.New(rand.NewPCG(day.Seed, 1))}
	w.Result.Seconds = make([]Counts, int((day.Duration+time.Second-1)/time.Second)+1)
	w.observer = newObserver(w)
	for i := range day.BackendCount {
		w.backends = append(w.backends, w.newBackend(fmt.Sprintf("s%03d", i), i, 0))
	}
	w.discovery = newDiscoveryService(w)
	if day.Sharing.ZoneFailover {
		w.zones = newZoneController(w)
	}
	weight := 0.0
	for i := range day.InstanceCount {
		in, err := newInstance(w, i)
		if err != nil {
			return nil, err
		}
		w.instances = append(w.instances, in)
		if of := day.Clients.InstanceWeight; of != nil {
			weight += of(i, in.zone)
		} else {
			weight += 1 + day.Clients.RateSpread*float64(i%10)/9
		}
		w.cumulativeWeights = append(w.cumulativeWeights, weight)
	}
	return w, nil
}

// after has do done once d has passed.
func (w *Emulation) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + max(0, d), w.seq, do})
}

// Elapsed is how far the day has come.
func (w *Emulation) Elapsed() time.Duration { return w.now - origin }

// counts is that of now.
func (w *Emulation) counts() *Counts {
	return &w.Result.Seconds[min(int(w.Elapsed()/time.Second), len(w.Result.Seconds)-1)]
}

// Run plays the day, and on until all that was asked is answered.
func (w *Emulation) Run() *Result {
	for _, in := range w.instances {
		w.after(time.Duration(w.rng.Float64()*float64(w.scenario.StartupWindow)), in.start)
	}
	for _, s := range w.scenario.Events {
		w.after(s.At, func() { s.Apply(w) })
	}
	w.after(w.scenario.StartupWindow, w.arrive)
	w.after(w.scenario.Duration, func() { w.arrivalsClosed = true })
	longest := time.Duration(0)
	for _, c := range w.scenario.Classes {
		longest = max(longest, c.Deadline)
	}
	end := origin + w.scenario.Duration + longest + 2*time.Second
	for len(w.queue) > 0 && w.queue[0].at <= end {
		w.step()
	}
	w.observer.finish()
	for _, s := range w.Result.Seconds {
		w.Result.Total.Add(s)
	}
	return &w.Result
}

// step does what is due next.
func (w *Emulation) step() {
	e := heap.Pop(&w.queue).(event)
	w.now = e.at
	e.run()
}

// Add adds another Second.
func (s *Counts) Add(o Counts) {
	s.Requests, s.WithinObjective, s.Late, s.Unserved = s.Requests+o.Requests, s.WithinObjective+o.WithinObjective, s.Late+o.Late, s.Unserved+o.Unserved
	s.ClientAttempts, s.Rejected, s.Failed, s.RequestedWeight, s.ServedWeight = s.ClientAttempts+o.ClientAttempts, s.Rejected+o.Rejected, s.Failed+o.Failed, s.RequestedWeight+o.RequestedWeight, s.ServedWeight+o.ServedWeight
	s.Attempts, s.WarmingAttempts, s.Retries, s.CrossZoneAttempts = s.Attempts+o.Attempts, s.WarmingAttempts+o.WarmingAttempts, s.Retries+o.Retries, s.CrossZoneAttempts+o.CrossZoneAttempts
	s.ConnectFailures, s.Timeouts = s.ConnectFailures+o.ConnectFailures, s.Timeouts+o.Timeouts
	s.ApplicationErrors, s.Overloaded, s.HealthChecks, s.Dials, s.WatchRequests, s.WatchRequestsRejected = s.ApplicationErrors+o.ApplicationErrors, s.Overloaded+o.Overloaded, s.HealthChecks+o.HealthChecks, s.Dials+o.Dials, s.WatchRequests+o.WatchRequests, s.WatchRequestsRejected+o.WatchRequestsRejected
}

// Sum is the sum of the seconds from one to before another.
func (r *Result) Sum(from, to int) Counts {
	var sum Counts
	for _, s := range r.Seconds[from:min(to, len(r.Seconds))] {
		sum.Add(s)
	}
	return sum
}

// ServedFraction is the worth served over that asked.
func (s Counts) ServedFraction() float64 { return s.ServedWeight / max(s.RequestedWeight, 1e-9) }

// arrive lets a client ask, and the next one later.
func (w *Emulation) arrive() {
	if w.arrivalsClosed {
		return
	}
	w.after(time.Duration(w.rng.ExpFloat64()/w.scenario.Clients.RequestsPerSecond*float64(time.Second)), w.arrive)
	x, class := w.rng.Float64(), 0
	for class < len(w.scenario.Classes)-1 && x >= w.scenario.Classes[class].Fraction {
		x -= w.scenario.Classes[class].Fraction
		class++
	}
	c := &w.scenario.Classes[class]
	at, _ := slices.BinarySearch(w.cumulativeWeights, w.rng.Float64()*w.cumulativeWeights[len(w.cumulativeWeights)-1])
	q := &clientRequest{
		class: c, instance: w.instances[min(at, len(w.instances)-1)], startedAt: w.now, retriesLeft: w.scenario.Clients.MaxRetries,
		work: lognormal(w.rng, c.MeanWork, c.WorkVariation), second: int(w.Elapsed() / time.Second),
	}
	s := &w.Result.Seconds[q.second]
	s.Requests++
	s.RequestedWeight += q.weight()
	q.send(w)
}

func lognormal(rng *rand.Rand, mean time.Duration, cv float64) time.Duration {
	sigma := math.Sqrt(math.Log(1 + cv*cv))
	return time.Duration(float64(mean) * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2))
}

// clientRequest is a request of a client with all its tries.
type clientRequest struct {
	class       *Class
	instance    *instance
	startedAt   policy.Time
	retriesLeft int
	work        time.Duration
	second      int
	done        bool
}

// weight counts by work, so that a heavy request is worth more than a light one of its class.
func (q *clientRequest) weight() float64 { return q.class.PriorityWeight * q.work.Seconds() }

// send asks once.
func (q *clientRequest) send(w *Emulation) {
	wait := time.Duration(w.scenario.Clients.AttemptTimeoutFraction * float64(q.class.Deadline))
	if w.scenario.Clients.AttemptTimeoutFraction <= 0 || q.retriesLeft == 0 {
		wait = q.class.Deadline
	}
	wait = min(wait, q.startedAt+q.class.Deadline-w.now)
	w.counts().ClientAttempts++
	q.instance.receive(q, wait)
}

// handleAnswer takes the final answer to a try: 0 served, 1 refused, 2 failed, 3 given up.
func (q *clientRequest) handleAnswer(w *Emulation, how int, retryAfter time.Duration) {
	if q.done {
		return
	}
	s := &w.Result.Seconds[q.second]
	switch {
	case how == answerServed && w.now-q.startedAt <= q.class.LatencyObjective:
		q.done = true
		s.WithinObjective++
		s.ServedWeight += q.weight()
	case how == answerServed:
		q.done = true
		s.Late++
		s.ServedWeight += q.weight() * q.class.LateWeightFraction
	default:
		pause := w.scenario.Clients.RetryDelay
		if w.scenario.Clients.HonorRetryAfter && retryAfter > 0 {
			pause = retryAfter
		}
		if q.retriesLeft == 0 || w.now+pause >= q.startedAt+q.class.Deadline {
			q.done = true
			s.Unserved++
			return
		}
		q.retriesLeft--
		w.after(pause, func() { q.send(w) })
	}
}

const (
	answerServed = iota
	answerRejected
	answerFailed
	answerNone
)
