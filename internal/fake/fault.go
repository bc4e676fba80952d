package fake

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// FaultKind is a kind of failure that a backend injects into a request.
type FaultKind int

// The kinds of faults. FaultError, FaultReject, FaultClose and FaultUnreachable leave the request without effect. Only FaultReject
// tells the sender so. After any other fault, the sender must assume that the request may have had its effect.
const (
	FaultNone        FaultKind = iota // no fault
	FaultError                        // status 500 after Fault.Delay, without execution
	FaultReject                       // status 503 with X-Not-Processed, without execution
	FaultDelay                        // executed, then answered after Fault.Delay
	FaultUnanswered                   // executed, but never answered
	FaultReset                        // executed, then the connection is reset
	FaultMalformed                    // executed, then answered with an invalid response
	FaultClose                        // connection closed without execution; no other party can tell that the request was not executed
	FaultUnreachable                  // nothing is executed or answered, including health checks, as if the machine had vanished
)

// faultKinds maps the names that ParseFault accepts. No name is a prefix of another.
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

// Fault is a fault that affects a fraction of the requests of a backend.
type Fault struct {
	Kind     FaultKind
	Fraction float64       // 0 to 1; FaultUnreachable ignores it
	Delay    time.Duration // after execution for FaultDelay, before the response for FaultError
}

// ParseFault parses "KIND [FRACTION [DELAY]]", such as "silent", "errors 0.5" or "slow 1 200ms". FRACTION defaults to 1.
func ParseFault(text string) (Fault, error) {
	for name, kind := range faultKinds {
		if rest, ok := strings.CutPrefix(text, name); ok {
			fault, ok := parseFaultParameters(kind, strings.Fields(rest))
			if !ok {
				return Fault{}, fmt.Errorf("parse fault %q: want KIND [FRACTION [DELAY]] with FRACTION from 0 to 1 and DELAY a duration of at least 0", text)
			}
			return fault, nil
		}
	}
	return Fault{}, fmt.Errorf("parse fault %q: unknown kind, want errors, turns away, slow, silent, resets, spoils, closes or dead", text)
}

// parseFaultParameters parses FRACTION and DELAY. ok is false if there are too many parameters, or if one is invalid or out of
// range.
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
