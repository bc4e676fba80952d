package httpservice

import (
	"encoding/hex"
	"math/rand/v2"
)

// traceparentField is the traceparent header field of W3C Trace Context, in canonical form.
const traceparentField = "Traceparent"

// The layout of a traceparent value of version 00: 00-TRACE-PARENT-FLAGS.
const (
	traceparentBytes = 55
	traceEnd         = 35 // index of the dash after the trace ID
	parentEnd        = 52 // index of the dash after the parent's span ID
	spanBytes        = 8  // length of a span ID before hexadecimal encoding
)

// isTraceparent reports whether text has the syntax of a traceparent value of version 00. IDs of all zeros, which the standard forbids, are
// not rejected.
func isTraceparent(text string) bool {
	if len(text) != traceparentBytes || text[:3] != "00-" || text[traceEnd] != '-' || text[parentEnd] != '-' {
		return false
	}
	for i := 3; i < len(text); i++ {
		c := text[i]
		if i != traceEnd && i != parentEnd && (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

// childSpan returns the traceparent value parent with a new random span ID in place of the parent's.
func childSpan(parent string) string {
	var span [spanBytes]byte
	id := rand.Uint64() | 1 // a span ID of all zeros is invalid
	for i := range span {
		span[i] = byte(id >> (8 * i))
	}
	return parent[:traceEnd+1] + hex.EncodeToString(span[:]) + parent[parentEnd:]
}
