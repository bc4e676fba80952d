// Package statslog collects the statistics of one pool over one interval. It formats them as the attributes of a log line and parses such
// lines, so that the statistics of a whole fleet can be summed. It uses neither sockets nor clocks.
package statslog

import "time"

// Counter identifies one of the counters of an interval.
type Counter int

// The counters.
const (
	Requests               Counter = iota // requests that the pool accepted; earlier rejections are not counted here
	WithinObjective                       // requests that succeeded within the latency objective of their class
	BeyondObjective                       // requests that succeeded after the latency objective
	Rejected                              // requests that were rejected; a retry is harmless
	Failed                                // requests that failed
	ClientGone                            // requests whose client disconnected
	Attempts                              // attempts that were started
	SlowStartAttempts                     // attempts to endpoints that were warming up
	FurtherAttempts                       // attempts after the first one of a request
	ConnectFailures                       // attempts that could not connect to their endpoint
	Timeouts                              // attempts that timed out
	ErrorResponses                        // attempts with an error response
	OverloadRejections                    // attempts that the endpoint rejected because of overload
	ConnectionResets                      // attempts whose connection was reset or closed
	HealthChecks                          // health checks that were sent
	HealthChecksUnanswered                // health checks without a usable response
	Dials                                 // connection attempts to endpoints
	DiscoveryCalls                        // calls of discovery for the endpoint list
	DiscoveryFailures                     // calls and watches of discovery that failed
	counterCount
)

// counterNames are the names of the counters in log lines.
var counterNames = [counterCount]string{
	Requests: "taken", WithinObjective: "aim", BeyondObjective: "late", Rejected: "refused", Failed: "failed", ClientGone: "left",
	Attempts: "sends", SlowStartAttempts: "cold", FurtherAttempts: "again", ConnectFailures: "unreached", Timeouts: "timedout",
	ErrorResponses: "erred", OverloadRejections: "turnedaway", ConnectionResets: "broken",
	HealthChecks: "probes", HealthChecksUnanswered: "probeslost",
	Dials: "dials", DiscoveryCalls: "calls", DiscoveryFailures: "callsfailed",
}

// counterByName is the inverse of counterNames.
var counterByName = func() map[string]Counter {
	m := make(map[string]Counter, counterCount)
	for i, name := range counterNames {
		m[name] = Counter(i)
	}
	return m
}()

// String returns the counter's name in log lines.
func (c Counter) String() string { return counterNames[c] }

// Counters returns all counters in the order in which they appear in log lines.
func Counters() []Counter {
	all := make([]Counter, counterCount)
	for i := range all {
		all[i] = Counter(i)
	}
	return all
}

// IntervalStats holds the statistics of one pool over one interval. It is not safe for concurrent use.
type IntervalStats struct {
	Counters [counterCount]int

	// Values at the end of the interval.
	ReadyEndpoints   int           // endpoints that the endpoint list reports as ready
	WarmingEndpoints int           // ready endpoints that are warming up
	EjectedEndpoints int           // ready endpoints that are ejected; 0 while more than half would be, because ejections are ignored then
	OpenRequests     int           // requests in progress
	TypicalDelay     time.Duration // typical delay of a response
	CapacityShortage float64       // capacity shortage of the endpoints, 0 to 1
}

// Add adds n to a counter.
func (s *IntervalStats) Add(c Counter, n int) { s.Counters[c] += n }

// Empty reports whether all counters are 0.
func (s *IntervalStats) Empty() bool { return s.Counters == [counterCount]int{} }

// Merge adds the statistics of another pool or interval. It sums counters, endpoints and requests. Delay and shortage become averages that
// are weighted by the number of requests.
func (s *IntervalStats) Merge(o IntervalStats) {
	own, other := float64(s.Counters[Requests]), float64(o.Counters[Requests])
	if own+other > 0 {
		s.TypicalDelay = time.Duration((float64(s.TypicalDelay)*own + float64(o.TypicalDelay)*other) / (own + other))
		s.CapacityShortage = (s.CapacityShortage*own + o.CapacityShortage*other) / (own + other)
	}
	for i := range s.Counters {
		s.Counters[i] += o.Counters[i]
	}
	s.ReadyEndpoints += o.ReadyEndpoints
	s.WarmingEndpoints += o.WarmingEndpoints
	s.EjectedEndpoints += o.EjectedEndpoints
	s.OpenRequests += o.OpenRequests
}
