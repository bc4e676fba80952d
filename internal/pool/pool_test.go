package pool

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"go.uber.org/goleak"

	_ "sorrelrudder/internal/fixedseed"

	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/policy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestAbortRequests guards against requests that get no response when the process ends. A request with an attempt fails, further requests
// are rejected, and nothing more is sent.
func TestAbortRequests(t *testing.T) {
	x := startAttemptScenario(t, idempotentClass, "HTTP/1.1 100 Continue\r\n\r\n") // no final response follows
	sent := x.submitRequest(t, policy.Request{Class: "c"}, time.Minute, nil)
	close(receive(t, "the first attempt", x.dials).proceed)
	receive(t, "the request", x.received)
	q := &httpmsg.Request{Method: "POST", URI: "/c", Host: "h", Header: http.Header{"X-Request-Id": {"s"}}}
	connecting, err := x.Submit(q, ParsedRequest{policyRequest: policy.Request{Class: "c"}, timeout: time.Minute, requestID: "s"}, func() {})
	if err != nil {
		t.Fatal(err)
	}
	d := receive(t, "the attempt of the second request", x.dials)
	x.AbortRequests()
	for name, e := range map[string]*Exchange{"sent": sent, "still connecting": connecting} {
		if response := receive(t, "the response", e.Response()); response.Status != http.StatusBadGateway {
			t.Errorf("request %s: response has status %d, want 502", name, response.Status)
		}
	}
	var rejection httpmsg.RejectionError
	if _, err := x.Submit(q, ParsedRequest{policyRequest: policy.Request{Class: "c"}, timeout: time.Minute, requestID: "u"}, func() {}); !errors.As(err, &rejection) || rejection.Status != http.StatusServiceUnavailable {
		t.Errorf("Submit after AbortRequests returned error %v, want a rejection with status 503", err)
	}
	close(d.proceed)
	x.awaitRequests(t, 1) // the first request's attempt still waits for a final response, and ends when the pool is closed
	if len(x.received) > 0 {
		t.Error("a request was sent after AbortRequests")
	}
}
