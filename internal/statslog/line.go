package statslog

import (
	"strconv"
	"strings"
	"time"
)

// Message is the message of a log line of statistics.
const Message = "figures"

// Keys of the attributes other than the counters.
const (
	keyReady    = "listed"
	keyWarming  = "warming"
	keyEjected  = "avoided"
	keyOpen     = "open"
	keyDelay    = "usual"
	keyShortage = "short"
)

// Attrs returns the attributes of the log line of s, as key and value in turn. It omits counters that are 0.
func (s *IntervalStats) Attrs() []any {
	attrs := make([]any, 0, 2*(int(counterCount)+6))
	for i, n := range s.Counters {
		if n != 0 {
			attrs = append(attrs, counterNames[i], n)
		}
	}
	return append(attrs,
		keyReady, s.ReadyEndpoints, keyWarming, s.WarmingEndpoints, keyEjected, s.EjectedEndpoints, keyOpen, s.OpenRequests,
		keyDelay, s.TypicalDelay.Round(time.Millisecond).String(),
		keyShortage, strconv.FormatFloat(s.CapacityShortage, 'f', 2, 64))
}

// Parse parses a log line in slog's text format. It returns the time of the line, the pool and the statistics, and reports whether the line
// is a valid log line of statistics. Unknown attributes are ignored, so that lines of later versions can be read. A malformed value makes
// the line invalid.
func Parse(line string) (at time.Time, pool string, s IntervalStats, ok bool) {
	isStats := false
	for _, field := range strings.Fields(line) {
		key, value, found := strings.Cut(field, "=")
		if !found {
			continue
		}
		var err error
		switch key {
		case "time":
			at, err = time.Parse(time.RFC3339Nano, value)
		case "msg":
			isStats = value == Message
		case "pool":
			pool = strings.Trim(value, `"`)
		default:
			err = s.parseAttr(key, value)
		}
		if err != nil {
			return time.Time{}, "", IntervalStats{}, false
		}
	}
	return at, pool, s, isStats && !at.IsZero()
}

// parseAttr parses one attribute of Attrs. It ignores an unknown attribute.
func (s *IntervalStats) parseAttr(key, value string) (err error) {
	switch key {
	case keyReady:
		s.ReadyEndpoints, err = strconv.Atoi(value)
	case keyWarming:
		s.WarmingEndpoints, err = strconv.Atoi(value)
	case keyEjected:
		s.EjectedEndpoints, err = strconv.Atoi(value)
	case keyOpen:
		s.OpenRequests, err = strconv.Atoi(value)
	case keyDelay:
		s.TypicalDelay, err = time.ParseDuration(value)
	case keyShortage:
		s.CapacityShortage, err = strconv.ParseFloat(value, 64)
	default:
		if c, known := counterByName[key]; known {
			s.Counters[c], err = strconv.Atoi(value)
		}
	}
	return err
}
