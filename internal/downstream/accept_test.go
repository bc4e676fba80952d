package downstream

import (
	"testing"
	"time"
)

// TestAcceptRate guards against connections of ordinary clients that count as a burst, and against a burst that does not end.
func TestAcceptRate(t *testing.T) {
	var r acceptRate
	now := time.Duration(0)
	for range 10 * maxAcceptsWithoutBurst {
		now += acceptRateInterval / maxAcceptsWithoutBurst
		if r.record(now) {
			t.Fatal("connections at the highest ordinary rate are a burst")
		}
	}
	now += acceptRateInterval
	for i := range 2 * maxAcceptsWithoutBurst {
		if burst := r.record(now); burst != (i >= maxAcceptsWithoutBurst) {
			t.Fatalf("connection %d at once: burst %v", i+1, burst)
		}
	}
	if r.record(now + acceptRateInterval) {
		t.Fatal("a burst goes on after it")
	}
}
