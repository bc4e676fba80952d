package httpservice

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// maxTimeout is the exclusive upper bound of timeouts that clients may set.
	maxTimeout = time.Hour
	// maxGRPCTimeoutBytes is the maximum length of a grpc-timeout value: eight digits and a unit.
	maxGRPCTimeoutBytes = 9
)

// grpcUnits are the units of a grpc-timeout value.
var grpcUnits = map[byte]time.Duration{
	'H': time.Hour, 'M': time.Minute, 'S': time.Second, 'm': time.Millisecond, 'u': time.Microsecond, 'n': time.Nanosecond,
}

// clientTimeout returns the client's timeout from the first trusted header field with a valid value, and whether there is one. A
// grpc-timeout value has a unit; values of all other fields are in milliseconds.
func (d *Dialect) clientTimeout(header http.Header) (time.Duration, bool) {
	for _, field := range d.cfg.TimeoutFields {
		digits, unit := header.Get(field), time.Millisecond
		if strings.EqualFold(field, "grpc-timeout") {
			digits, unit = cutGRPCUnit(digits)
		}
		if digits == "" || unit == 0 {
			continue
		}
		n, err := strconv.ParseUint(digits, 10, 40)
		if err == nil && n > 0 && n < uint64(maxTimeout/unit) {
			return time.Duration(n) * unit, true
		}
	}
	return 0, false
}

// cutGRPCUnit splits a grpc-timeout value into its digits and its unit. The unit is 0 if the value has no valid unit.
func cutGRPCUnit(text string) (digits string, unit time.Duration) {
	if text == "" || len(text) > maxGRPCTimeoutBytes {
		return "", 0
	}
	last := len(text) - 1
	return text[:last], grpcUnits[text[last]]
}
