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

// Count names one of a Row's counts.
type Count int

// The counts of what happened in a spell.
const (
	Taken       Count = iota // requests taken
	InAim                    // served within the aim of their class
	Late                     // served after it
	Refused                  // refused: asking again is harmless
	Failed                   // failed
	Left                     // their client has left
	Sends                    // attempts
	Cold                     // of them, to servers that are not warm yet
	Again                    // of them, those after a request's first
	Unreached                // attempts that never reached their server
	TimedOut                 // attempts that were given up
	Erred                    // attempts answered with an error
	TurnedAway               // attempts that the server had no room for
	Broken                   // attempts whose connection broke
	Probes                   // probes
	ProbesLost               // probes that told nothing
	Dials                    // connections opened, or tried
	Calls                    // calls for the list
	CallsFailed              // calls and watches that failed
	counts
)

var names = [counts]string{
	"taken", "aim", "late", "refused", "failed", "left", "sends", "cold", "again", "unreached", "timedout", "erred", "turnedaway", "broken",
	"probes", "probeslost", "dials", "calls", "callsfailed",
}

func (c Count) String() string { return names[c] }

// Counts lists all counts, in the order in which they are told.
func Counts() []Count {
	all := make([]Count, counts)
	for i := range all {
		all[i] = Count(i)
	}
	return all
}

// Row is what one pool saw and did in one spell.
type Row struct {
	N [counts]int

	// As things stood at its end.
	Listed, Warming, Avoided int           // servers that are ready; those of them that are not warm; those left out after failures
	Open                     int           // requests not yet ended
	Usual                    time.Duration // the usual delay of answers
	Short                    float64       // how short of room its servers are, 0 to 1
}

// Add counts n more of c.
func (r *Row) Add(c Count, n int) { r.N[c] += n }

// Empty reports whether nothing happened.
func (r *Row) Empty() bool { return r.N == [counts]int{} }

// Merge adds another Row: counts and servers are summed, the rest averaged by what was taken.
func (r *Row) Merge(o Row) {
	a, b := float64(r.N[Taken]), float64(o.N[Taken])
	if a+b > 0 {
		r.Usual = time.Duration((float64(r.Usual)*a + float64(o.Usual)*b) / (a + b))
		r.Short = (r.Short*a + o.Short*b) / (a + b)
	}
	for i := range r.N {
		r.N[i] += o.N[i]
	}
	r.Listed, r.Warming, r.Avoided, r.Open = r.Listed+o.Listed, r.Warming+o.Warming, r.Avoided+o.Avoided, r.Open+o.Open
}

// Attrs are the attributes of a log line that tells r. Counts of nothing are left out.
func (r *Row) Attrs() []any {
	a := make([]any, 0, 2*(int(counts)+6))
	for i, n := range r.N {
		if n != 0 {
			a = append(a, names[i], n)
		}
	}
	return append(a, "listed", r.Listed, "warming", r.Warming, "avoided", r.Avoided, "open", r.Open,
		"usual", r.Usual.Round(time.Millisecond).String(), "short", strconv.FormatFloat(r.Short, 'f', 2, 64))
}

// Parse reads a log line in slog's text form. It reports whether the line tells a Row, and when it was written; pool is whose.
// A field that it does not know is passed over, so that older readers take newer lines; a figure that cannot be read makes the
// line none.
func Parse(line string) (at time.Time, pool string, r Row, ok bool) {
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
			r.Listed, err = strconv.Atoi(value)
		case "warming":
			r.Warming, err = strconv.Atoi(value)
		case "avoided":
			r.Avoided, err = strconv.Atoi(value)
		case "open":
			r.Open, err = strconv.Atoi(value)
		case "usual":
			r.Usual, err = time.ParseDuration(value)
		case "short":
			r.Short, err = strconv.ParseFloat(value, 64)
		default:
			for i, n := range names {
				if key == n {
					r.N[i], err = strconv.Atoi(value)
				}
			}
		}
		if err != nil {
			return time.Time{}, "", Row{}, false
		}
	}
	return at, pool, r, told && !at.IsZero()
}
