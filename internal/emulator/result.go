package emulator

import "time"

// Result is the outcome of a run.
type Result struct {
	Seconds        []Counts // by second since the start; later events count in the last one
	Total          Counts
	Violations     []string // of the observer's rules, at most maxViolationTexts
	ViolationCount int
	ZoneDecisions  []ZoneDecision // in order

	// MaxWarmingRequests is the highest load of a backend that warms up: the requests that it received within CollapseWindow, over two
	// thirds of their work from instances that had been notified of its start, as a multiple of what chance explains. Of a budget of
	// N requests of mean work chance explains N + 2*sqrt(N) + 2. Above 1 the instances overload it.
	MaxWarmingRequests float64
	// MaxWarmingWork is the same of the requests' work, which scatters more.
	MaxWarmingWork float64
}

// Sum adds up the seconds from one, inclusive, to another, exclusive.
func (r *Result) Sum(from, to int) Counts {
	var sum Counts
	for _, second := range r.Seconds[from:min(to, len(r.Seconds))] {
		sum.Add(second)
	}
	return sum
}

// ZoneDecision is a change of a zone's state.
type ZoneDecision struct {
	At     time.Duration // since the start
	Zone   string
	Step   int // of the recovery ramp
	Reason string
}

// Counts counts what happened within some time. Its JSON names are part of the command's output.
type Counts struct {
	// Clients' requests, by the second in which each was first sent.
	Requests        int `json:"Requests"`
	WithinObjective int `json:"InAim"` // answered within the latency objective
	Late            int `json:"Late"`  // answered later
	Unserved        int `json:"Unserved"`

	// Clients' attempts at an instance, by the second in which they happened, as all that follows.
	ClientAttempts int `json:"Tries"`
	Rejected       int `json:"Refused"`
	Failed         int `json:"Failed"`

	// Priority weight times work in seconds, of the clients' requests and of those that were answered. These two are by the second in
	// which the request was first sent.
	RequestedWeight float64 `json:"Worth"`
	ServedWeight    float64 `json:"Served"`

	// Attempts of instances at backends, and how they ended.
	Attempts          int `json:"Sends"`
	WarmingAttempts   int `json:"Cold"`
	Retries           int `json:"Again"` // hedged requests included
	CrossZoneAttempts int `json:"Crossed"`
	ConnectFailures   int `json:"Unreached"`
	Timeouts          int `json:"TimedOut"`
	ApplicationErrors int `json:"Erred"`
	Overloaded        int `json:"Full"`

	HealthChecks          int `json:"Probes"`
	Dials                 int `json:"Dials"`
	WatchRequests         int `json:"Calls"` // of the endpoint list
	WatchRequestsRejected int `json:"CallsLost"`
}

// Add adds other to c.
func (c *Counts) Add(other Counts) {
	c.Requests += other.Requests
	c.WithinObjective += other.WithinObjective
	c.Late += other.Late
	c.Unserved += other.Unserved

	c.ClientAttempts += other.ClientAttempts
	c.Rejected += other.Rejected
	c.Failed += other.Failed

	c.RequestedWeight += other.RequestedWeight
	c.ServedWeight += other.ServedWeight

	c.Attempts += other.Attempts
	c.WarmingAttempts += other.WarmingAttempts
	c.Retries += other.Retries
	c.CrossZoneAttempts += other.CrossZoneAttempts
	c.ConnectFailures += other.ConnectFailures
	c.Timeouts += other.Timeouts
	c.ApplicationErrors += other.ApplicationErrors
	c.Overloaded += other.Overloaded

	c.HealthChecks += other.HealthChecks
	c.Dials += other.Dials
	c.WatchRequests += other.WatchRequests
	c.WatchRequestsRejected += other.WatchRequestsRejected
}

// ServedFraction returns the weight of the answered requests as a fraction of the weight of all.
func (c Counts) ServedFraction() float64 { return c.ServedWeight / max(c.RequestedWeight, 1e-9) }
