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

// TestAbortRequests guards against requests without an answer at the end of the process: what an attempt was begun for
// has failed, and nothing more is taken or sent.
func TestAbortRequests(t *testing.T) {
	x := startAttemptScenario(t, safeClass, "HTTP/1.1 100 Continue\r\n\r\n") // and nothing more
	ran := x.take(t, policy.Request{Class: "c"}, time.Minute, nil)
	close(wait(t, "the first attempt", x.dials).up)
	wait(t, "the request", x.sent)
	q := &httpmsg.Request{Method: "POST", URI: "/c", Host: "h", Header: http.Header{"X-Request-Id": {"s"}}}
	connects, err := x.Submit(q, ParsedRequest{policyRequest: policy.Request{Class: "c"}, timeout: time.Minute, requestID: "s"}, func() {})
	if err != nil {
		t.Fatal(err)
	}
	d := wait(t, "another request's attempt", x.dials)
	x.AbortRequests()
	for name, e := range map[string]*Exchange{"sent": ran, "that connects": connects} {
		if a := wait(t, "the answer", e.Response()); a.Status != http.StatusBadGateway {
			t.Errorf("the one %s was answered %d", name, a.Status)
		}
	}
	var bad httpmsg.RejectionError
	if _, err := x.Submit(q, ParsedRequest{policyRequest: policy.Request{Class: "c"}, timeout: time.Minute, requestID: "u"}, func() {}); !errors.As(err, &bad) || bad.Status != http.StatusServiceUnavailable {
		t.Errorf("a further one was taken, or turned away with %v", err)
	}
	close(d.up)
	x.awaitRequests(t, 1) // the attempt of the first still waits for an answer, and ends with the pool
	if len(x.sent) > 0 {
		t.Error("one was sent after it was given up")
	}
}
