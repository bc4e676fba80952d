package gateway

import (
	"errors"
	"net/http"
	"strconv"
	"testing"

	"sorrelrudder/internal/fake"
	"sorrelrudder/internal/httpmsg"
)

// TestRejectionAfterExecution guards against a rejection that the process takes for the proof that its own request was not executed. A pool
// may reject a request whose repeats the endpoints drop, although an attempt may have been executed.
func TestRejectionAfterExecution(t *testing.T) {
	for name, c := range map[string]struct {
		fault           fake.FaultKind
		mayHaveExecuted bool
	}{
		"response lost":       {fake.FaultReset, true},
		"rejected by servers": {fake.FaultReject, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestbed(t)
			b := s.backend("b", nil)
			b.SetFault(fake.Fault{Kind: c.fault, Fraction: 1})
			s.pool("farm", b)
			s.start()
			response, err := s.g.Do(t.Context(), "farm", keyedRequest("slot-1"))
			if err != nil || response.Status != http.StatusServiceUnavailable || response.MayHaveExecuted != c.mayHaveExecuted {
				t.Errorf("response %+v, error %v, want status 503 and MayHaveExecuted %t", response, err, c.mayHaveExecuted)
			}
			b.SetFault(fake.Fault{})
		})
	}
}

// TestInternalRequestOfUnknownPool guards against a request that is taken for executed although no pool could send it.
func TestInternalRequestOfUnknownPool(t *testing.T) {
	s := newTestbed(t)
	s.pool("farm", s.backend("b", nil))
	s.start()
	_, err := s.g.Do(t.Context(), "barn", keyedRequest("slot-1"))
	var rejection httpmsg.RejectionError
	if !errors.As(err, &rejection) {
		t.Errorf("error %v, want a RejectionError", err)
	}
}

// keyedRequest returns a request of the process itself that has an idempotency key.
func keyedRequest(key string) *httpmsg.Request {
	body := "work"
	return &httpmsg.Request{
		Method: http.MethodPost, URI: "/order/" + key, Path: "/order/" + key, Host: "farm", Length: int64(len(body)), Body: []byte(body),
		Header: http.Header{
			"X-Request-Id": {key + "-1"}, "X-Timeout-Ms": {strconv.Itoa(int(testTimeout.Milliseconds()))}, "Idempotency-Key": {key},
		},
	}
}
