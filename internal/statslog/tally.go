// Package statslog counts what a pool sees and does in one spell, writes it as the attributes of one log line, and reads such lines
// back, so that the lines of a whole fleet can be counted together. It knows neither sockets nor clocks.
package statslog

import (
	"strconv"
	"strings"
	"time"
)

// Message is that of a log line that holds a Row.
const Message = "figures"

// Counter names one of a Row's counts.
type Counter int

// The counts of what happened in a spell.
const (
	Requests               Counter = iota // requests taken
	WithinObjective                       // served within the aim of their class
	BeyondObjective                       // served after it
	Rejected                              // refused: asking again is harmless
	Failed                                // failed
	ClientGone                            // their client has left
	Attempts                              // attempts
	SlowStartAttempts                     // of them, to servers that are not warm yet
	FurtherAttempts                       // of them, those after a request's first
	ConnectFailures                       // attempts that never reached their server
	Timeouts                              // attempts that were given up
	ErrorResponses                        // attempts answered with an error
	OverloadRejections                    // attempts that the server had no room for
	ConnectionResets                      // attempts whose connection broke
	HealthChecks                          // probes
	HealthChecksUnanswered                // probes that told nothing
	Dials                                 // connections opened, or tried
	DiscoveryCalls                        // calls for the list
	DiscoveryFailures                     // calls and watches that failed
	counterCount
)

var counterNames = [counterCount]string{
	"taken", "aim", "late", "refused", "failed", "left", "sends", "cold", "again", "unreached", "timedout", "erred", "turnedaway", "broken",
	"probes", "probeslost", "dials", "calls", "callsfailed",
}

func (c Counter) String() string { return counterNames[c] }

// Counters lists all counts, in the order in which they are told.
func Counters() []Counter {
	all := make([]Counter, counterCount)
	for i := range all {
		all[i] = Counter(i)
	}
	return all
}

// IntervalStats is what one pool saw and did in one spell.
type IntervalStats struct {
	Counters [counterCount]int

	// As things stood at its end.
	ReadyEndpoints, WarmingEndpoints, EjectedEndpoints int           // servers that are ready; those of them that are not warm; those left out after failures
	OpenRequests                                       int           // requests not yet ended
	TypicalDelay                                       time.Duration // the usual delay of answers
	CapacityShortage                                   float64       // how short of room its servers are, 0 to 1
}

// Add counts n more of c.
func (r *IntervalStats) Add(c Counter, n int) { r.Counters[c] += n }

// Empty reports whether nothing happened.
func (r *IntervalStats) Empty() bool { return r.Counters == [counterCount]int{} }

// Merge adds another Row: counts and servers are summed, the rest averaged by what was taken.
func (r *IntervalStats) Merge(o IntervalStats) {
	a, b := float64(r.Counters[Requests]), float64(o.Counters[Requests])
	if a+b > 0 {
		r.TypicalDelay = time.Duration((float64(r.TypicalDelay)*a + float64(o.TypicalDelay)*b) / (a + b))
		r.CapacityShortage = (r.CapacityShortage*a + o.CapacityShortage*b) / (a + b)
	}
	for i := range r.Counters {
		r.Counters[i] += o.Counters[i]
	}
	r.ReadyEndpoints, r.WarmingEndpoints, r.EjectedEndpoints, r.OpenRequests = r.ReadyEndpoints+o.ReadyEndpoints, r.WarmingEndpoints+o.WarmingEndpoints, r.EjectedEndpoints+o.EjectedEndpoints, r.OpenRequests+o.OpenRequests
}

// Attrs are the attributes of a log line that tells r. Counts of nothing are left out.
func (r *IntervalStats) Attrs() []any {
	a := make([]any, 0, 2*(int(counterCount)+6))
	for i, n := range r.Counters {
		if n != 0 {
			a = append(a, counterNames[i], n)
		}
	}
	return append(a, "listed", r.ReadyEndpoints, "warming", r.WarmingEndpoints, "avoided", r.EjectedEndpoints, "open", r.OpenRequests,
		"usual", r.TypicalDelay.Round(time.Millisecond).String(), "short", strconv.FormatFloat(r.CapacityShortage, 'f', 2, 64))
}

// Parse reads a log line in slog's text form. It reports whether the line tells a Row, and when it was written; pool is whose.
// A field that it does not know is passed over, so that older readers take newer lines; a figure that cannot be read makes the
// line none.
func Parse(line string) (at time.Time, pool string, r IntervalStats, ok bool) {
	told := false
	for _, f := range strings.Fields(line) {
		key, value, found := strings.Cut(f, "=")
		if !found {
			continue
		}
		var err error
		switch key {
		case "time":
			at, err = time.Parse(time.RFC3339Nano, value)
		case "msg":
			told = value == Message
		case "pool":
			pool = strings.Trim(value, `"`)
		case "listed":
			r.ReadyEndpoints, err = strconv.Atoi(value)
		case "warming":
			r.WarmingEndpoints, err = strconv.Atoi(value)
		case "avoided":
			r.EjectedEndpoints, err = strconv.Atoi(value)
		case "open":
			r.OpenRequests, err = strconv.Atoi(value)
		case "usual":
			r.TypicalDelay, err = time.ParseDuration(value)
		case "short":
			r.CapacityShortage, err = strconv.ParseFloat(value, 64)
		default:
			for i, n := range counterNames {
				if key == n {
					r.Counters[i], err = strconv.Atoi(value)
				}
			}
		}
		if err != nil {
			return time.Time{}, "", IntervalStats{}, false
		}
	}
	return at, pool, r, told && !at.IsZero()
}
