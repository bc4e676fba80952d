package httpservice

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// maxTimeout bounds what a client may ask for; the bound itself is not allowed.
	maxTimeout = time.Hour
	// maxGRPCTimeoutBytes bounds a grpc-timeout: eight digits and a unit.
	maxGRPCTimeoutBytes = 9
)

// grpcUnits are the units of a grpc-timeout.
var grpcUnits = map[byte]time.Duration{
	'H': time.Hour, 'M': time.Minute, 'S': time.Second, 'm': time.Millisecond, 'u': time.Microsecond, 'n': time.Nanosecond,
}

// clientTimeout returns how long the client waits, by the first of the trusted header fields with a valid time: a grpc-timeout
// has a unit, all others are in milliseconds.
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

// cutGRPCUnit returns the digits of a grpc-timeout and its unit, 0 if there is none.
func cutGRPCUnit(text string) (digits string, unit time.Duration) {
	if text == "" || len(text) > maxGRPCTimeoutBytes {
		return "", 0
	}
	last := len(text) - 1
	return text[:last], grpcUnits[text[last]]
}
