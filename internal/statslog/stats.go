// Package statslog holds the statistics of one pool over one interval: it counts, writes them as the attributes of a log
// line, and reads such lines back, so that those of a whole fleet can be added up. It knows neither sockets nor clocks.
package statslog

import "time"

// Counter names one of the counters of an interval.
type Counter int

// The counters.
const (
	Requests               Counter = iota // taken over by the pool; what is rejected before is not counted here
	WithinObjective                       // succeeded within the latency objective of their class
	BeyondObjective                       // succeeded after it
	Rejected                              // a retry is harmless
	Failed                                // requests
	ClientGone                            // the client had gone
	Attempts                              // begun
	SlowStartAttempts                     // of them, to servers that are still warming up
	FurtherAttempts                       // of them, those after a request's first
	ConnectFailures                       // attempts that did not reach their server
	Timeouts                              // attempts
	ErrorResponses                        // attempts answered with an error
	OverloadRejections                    // attempts that the server rejected
	ConnectionResets                      // attempts whose connection broke
	HealthChecks                          // sent
	HealthChecksUnanswered                // of them, those that told nothing
	Dials                                 // connections to servers that were opened, or tried
	DiscoveryCalls                        // for the endpoint list
	DiscoveryFailures                     // calls and watches that failed
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

// counterByName is counterNames the other way round.
var counterByName = func() map[string]Counter {
	m := make(map[string]Counter, counterCount)
	for i, name := range counterNames {
		m[name] = Counter(i)
	}
	return m
}()

// String returns the counter's name in log lines.
func (c Counter) String() string { return counterNames[c] }

// Counters returns all counters, in the order in which log lines have them.
func Counters() []Counter {
	all := make([]Counter, counterCount)
	for i := range all {
		all[i] = Counter(i)
	}
	return all
}

// IntervalStats is what one pool saw and did in one interval. It is not safe for concurrent use.
type IntervalStats struct {
	Counters [counterCount]int

	// At the end of the interval.
	ReadyEndpoints   int           // named ready by the list
	WarmingEndpoints int           // of them, those that are still warming up
	EjectedEndpoints int           // of them, those that are ejected; 0 while more than half would be: ejections are ignored then
	OpenRequests     int           // not ended
	TypicalDelay     time.Duration // of responses
	CapacityShortage float64       // of the servers, 0 to 1
}

// Add adds n to a counter.
func (s *IntervalStats) Add(c Counter, n int) { s.Counters[c] += n }

// Empty reports whether nothing was counted.
func (s *IntervalStats) Empty() bool { return s.Counters == [counterCount]int{} }

// Merge adds the statistics of another pool or interval: counters, endpoints and requests are summed, delay and shortage
// averaged by the number of requests.
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
