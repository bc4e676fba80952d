package policy

import (
	"testing"
	"time"
)

// TestHedgeDelay checks that a hedged request is delayed to the last moment at which it can meet the objective, unless hedged requests
// win often.
func TestHedgeDelay(t *testing.T) {
	const ms = time.Millisecond
	var h hedgeBudget
	if got := h.delay(10*ms, 200*ms, ms); got != 200*ms-10*ms-timerLatenessTicks*ms {
		t.Errorf("delay %v without a won hedged request, want the last moment for the objective", got)
	}
	for range 20 {
		h.recordOutcome(true)
	}
	if got := h.delay(10*ms, 200*ms, ms); got != slowResponseFactor*10*ms {
		t.Errorf("delay %v after won hedged requests, want slowResponseFactor times the expected latency", got)
	}
	if got := h.delay(0, 200*ms, ms); got != ms {
		t.Errorf("delay %v with an expected latency of 0, want one tick", got)
	}
}

// TestHedgeBudget checks that requests earn credit for hedged requests up to maxHedgeCredit, and that a won hedged request earns the
// credit of one.
func TestHedgeBudget(t *testing.T) {
	var h hedgeBudget
	for range 1000 {
		h.earn()
	}
	if h.credit != maxHedgeCredit {
		t.Errorf("credit %v after 1000 requests, want %v", h.credit, maxHedgeCredit)
	}
	h = hedgeBudget{}
	h.recordOutcome(false)
	if h.credit != 0 {
		t.Errorf("credit %v after a lost hedged request, want 0", h.credit)
	}
	if h.recordOutcome(true); h.credit != 1 {
		t.Errorf("credit %v after a won hedged request, want 1", h.credit)
	}
}
