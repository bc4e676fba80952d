package policy

import (
	"testing"
	"time"
)

// TestHedgeDelay: a hedged request waits until the last moment that meets the objective, unless hedging wins often.
func TestHedgeDelay(t *testing.T) {
	const ms = time.Millisecond
	var h hedgeBudget
	if got := h.delay(10*ms, 200*ms, ms); got != 200*ms-10*ms-timerLatenessTicks*ms {
		t.Errorf("delay %v where hedging has not won", got)
	}
	for range 20 {
		h.recordOutcome(true)
	}
	if got := h.delay(10*ms, 200*ms, ms); got != slowResponseFactor*10*ms {
		t.Errorf("delay %v where hedging wins", got)
	}
	if got := h.delay(0, 200*ms, ms); got != ms {
		t.Errorf("delay %v where a response is expected at once, want no less than a tick", got)
	}
}

// TestHedgeBudget: requests pay for hedged ones up to a burst, and one that wins pays for another.
func TestHedgeBudget(t *testing.T) {
	var h hedgeBudget
	for range 1000 {
		h.earn()
	}
	if h.credit != maxHedgeCredit {
		t.Errorf("credit %v after many requests, want %v", h.credit, maxHedgeCredit)
	}
	h = hedgeBudget{}
	h.recordOutcome(false)
	if h.credit != 0 {
		t.Errorf("credit %v after a hedged request that lost", h.credit)
	}
	if h.recordOutcome(true); h.credit != 1 {
		t.Errorf("credit %v after one that won, want 1", h.credit)
	}
}
