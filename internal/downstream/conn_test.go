package downstream

import (
	"net/http"
	"testing"
	"time"
)

// TestReadBackoff checks the delay after consecutive malformed requests, and which requests reset it. It guards against clients that use up
// the CPU with malformed requests.
func TestReadBackoff(t *testing.T) {
	var b readBackoff
	malformed := requestOutcome{status: http.StatusBadRequest, keepOpen: true}
	for i, want := range []time.Duration{5, 10, 20, 40, 80, 160, 320, 320} {
		if got := b.record(malformed); got != want*time.Millisecond {
			t.Errorf("malformed request %d: delay %v, want %v", i, got, want*time.Millisecond)
		}
	}
	for _, status := range []int{http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		if got := b.record(requestOutcome{status: status}); got != 0 || b.malformed != 0 {
			t.Errorf("status %d: delay %v, %d malformed requests counted, want none", status, got, b.malformed)
		}
	}
	if b.rejected != 2 {
		t.Errorf("%d rejected requests counted, want 2", b.rejected)
	}
	if got := b.record(requestOutcome{status: http.StatusOK, admitted: true}); got != 0 || b != (readBackoff{}) {
		t.Errorf("after an admitted request: delay %v, counts %+v, want zero", got, b)
	}
}
