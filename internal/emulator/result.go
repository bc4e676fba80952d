package emulator

import "time"

// Result is the outcome of a run.
type Result struct {
	Seconds        []Counts // by second since the start; events after the end count in the last one
	Total          Counts
	Violations     []string // descriptions of rule violations, at most maxViolationTexts
	ViolationCount int
	ZoneDecisions  []ZoneDecision // in order

	// MaxWarmingRequests is the highest load of a backend that is warming up. The load is the number of requests that the backend received
	// within CollapseWindow, relative to the number that random variation explains: N + 2*sqrt(N) + 2 for a budget of N requests of mean
	// work. A load counts only if over two thirds of the work came from instances that had been notified of the backend's start. Above 1,
	// the instances overload the backend.
	MaxWarmingRequests float64
	// MaxWarmingWork is the same maximum for the work of the requests, which varies more than their number.
	MaxWarmingWork float64
}

// Sum returns the sum of the counts of the seconds in the half-open range [from, to).
func (r *Result) Sum(from, to int) Counts {
	var sum Counts
	for _, second := range r.Seconds[from:min(to, len(r.Seconds))] {
		sum.Add(second)
	}
	return sum
}

// ZoneDecision is a change of a zone's failover state.
type ZoneDecision struct {
	At     time.Duration // since the start
	Zone   string
	Step   int // of the recovery ramp
	Reason string
}

// Counts holds the event counts of a period of time. The JSON names are part of the output of the emulate command.
type Counts struct {
	// Clients' requests, by the second in which each was first sent.
	Requests        int `json:"Requests"`
	WithinObjective int `json:"InAim"` // served within the latency objective
	Late            int `json:"Late"`  // served later
	Unserved        int `json:"Unserved"`

	// Clients' attempts at an instance. These counts and all counts below are by the second of the event, unless stated otherwise.
	ClientAttempts int `json:"Tries"`
	Rejected       int `json:"Refused"`
	Failed         int `json:"Failed"`

	// Priority weight times work in seconds, of all clients' requests and of the served ones. Both are by the second in which the request
	// was first sent.
	RequestedWeight float64 `json:"Worth"`
	ServedWeight    float64 `json:"Served"`

	// Attempts of instances at backends, and their results.
	Attempts          int `json:"Sends"`
	WarmingAttempts   int `json:"Cold"`
	Retries           int `json:"Again"` // includes hedged requests
	CrossZoneAttempts int `json:"Crossed"`
	ConnectFailures   int `json:"Unreached"`
	Timeouts          int `json:"TimedOut"`
	ApplicationErrors int `json:"Erred"`
	Overloaded        int `json:"Full"`

	HealthChecks          int `json:"Probes"`
	Dials                 int `json:"Dials"`
	WatchRequests         int `json:"Calls"` // requests to watch the endpoint list
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

// ServedFraction returns the weight of the served requests as a fraction of the weight of all requests.
func (c Counts) ServedFraction() float64 { return c.ServedWeight / max(c.RequestedWeight, 1e-9) }
