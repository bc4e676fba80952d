package httpservice

import (
	"encoding/hex"
	"math/rand/v2"
)

// traceparentField is the header field of W3C Trace Context.
const traceparentField = "Traceparent"

// The parts of a traceparent of version 00: 00-TRACE-PARENT-FLAGS.
const (
	traceparentBytes = 55
	traceEnd         = 35 // the dash after the trace
	parentEnd        = 52 // the dash after the parent's span
	spanBytes        = 8  // before encoding
)

// isTraceparent reports whether text is a traceparent of version 00.
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

// childSpan returns a valid traceparent with a new random span in place of the parent's.
func childSpan(parent string) string {
	var span [spanBytes]byte
	id := rand.Uint64() | 1 // a span of all zeros would mean none
	for i := range span {
		span[i] = byte(id >> (8 * i))
	}
	return parent[:traceEnd+1] + hex.EncodeToString(span[:]) + parent[parentEnd:]
}
