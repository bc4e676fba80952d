package downstream

import (
	"net/http"
	"testing"
	"time"
)

// TestReadBackoff holds how long a connection is not read after malformed requests, and what ends a row of them.
func TestReadBackoff(t *testing.T) {
	var b readBackoff
	malformed := requestOutcome{status: http.StatusBadRequest, keepOpen: true}
	for i, want := range []time.Duration{5, 10, 20, 40, 80, 160, 320, 320} {
		if got := b.record(malformed); got != want*time.Millisecond {
			t.Errorf("malformed request %d: %v, want %v", i, got, want*time.Millisecond)
		}
	}
	for _, status := range []int{http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		if got := b.record(requestOutcome{status: status}); got != 0 || b.malformed != 0 {
			t.Errorf("%d: %v, %d malformed", status, got, b.malformed)
		}
	}
	if b.rejected != 2 {
		t.Errorf("%d rejected, want 2", b.rejected)
	}
	if got := b.record(requestOutcome{status: http.StatusOK, admitted: true}); got != 0 || b != (readBackoff{}) {
		t.Errorf("after an admitted request: %v, %+v", got, b)
	}
}
