package fake

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// FaultKind is what goes wrong with a request at a backend.
type FaultKind int

// The faults. The request may have had its effect with all but FaultReject, FaultClose and FaultUnreachable.
const (
	FaultNone        FaultKind = iota
	FaultError                 // 500, at once
	FaultReject                // 503 with X-Not-Processed: the request had no effect
	FaultDelay                 // answered after a further delay
	FaultUnanswered            // executed and never answered
	FaultReset                 // executed, then the connection is reset
	FaultMalformed             // executed, then the response cannot be parsed
	FaultClose                 // the connection is closed on the request, which is not executed; no other party can tell
	FaultUnreachable           // nothing is executed or answered, health checks neither, as of a machine that has vanished
)

// faultKinds are the words of ParseFault. None is the beginning of another.
var faultKinds = map[string]FaultKind{
	"errors":     FaultError,
	"turns away": FaultReject,
	"slow":       FaultDelay,
	"silent":     FaultUnanswered,
	"resets":     FaultReset,
	"spoils":     FaultMalformed,
	"closes":     FaultClose,
	"dead":       FaultUnreachable,
}

// Fault strikes a fraction of the requests of a backend.
type Fault struct {
	Kind     FaultKind
	Fraction float64       // 0 to 1
	Delay    time.Duration // for FaultDelay, and before FaultError
}

// ParseFault reads "KIND [FRACTION [DELAY]]", such as "silent", "errors 0.5" or "slow 1 200ms". The fraction is 1 if it is left out.
func ParseFault(text string) (Fault, error) {
	for word, kind := range faultKinds {
		if rest, ok := strings.CutPrefix(text, word); ok {
			fault, ok := parseFaultParameters(kind, strings.Fields(rest))
			if !ok {
				return Fault{}, fmt.Errorf("fault %q: want KIND [SHARE [DELAY]]", text)
			}
			return fault, nil
		}
	}
	return Fault{}, fmt.Errorf("fault %q: no such kind", text)
}

func parseFaultParameters(kind FaultKind, parameters []string) (fault Fault, ok bool) {
	fault = Fault{Kind: kind, Fraction: 1}
	var err error
	if len(parameters) > 0 {
		if fault.Fraction, err = strconv.ParseFloat(parameters[0], 64); err != nil {
			return Fault{}, false
		}
	}
	if len(parameters) > 1 {
		if fault.Delay, err = time.ParseDuration(parameters[1]); err != nil {
			return Fault{}, false
		}
	}
	inRange := fault.Fraction >= 0 && fault.Fraction <= 1 // false for NaN
	return fault, len(parameters) <= 2 && inRange && fault.Delay >= 0
}
