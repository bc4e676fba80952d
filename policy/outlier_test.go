package policy

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"
)

// TestFailingEndpointIsEjected guards against an endpoint that fails fast and attracts requests with its short queue.
func TestFailingEndpointIsEjected(t *testing.T) {
	b, rec := newTestBalancer(t, testConfig(), 4)
	e := b.endpoints["s0"]
	e.marked = true
	b.recordFailure(0, e, StatusApplicationError, false)
	if e.marked || slices.Contains(b.activeSubset(0), e) {
		t.Error("a failed endpoint is still marked or in the subset")
	}
	b.outliers.readmitByHealthCheck = false
	if !slices.Contains(b.activeSubset(baseEjectionTime), e) {
		t.Error("the endpoint is still ejected after baseEjectionTime without health checks")
	}
	b.outliers.readmitByHealthCheck = true
	for _, id := range slices.Sorted(maps.Keys(b.endpoints)) {
		b.recordFailure(0, b.endpoints[id], StatusConnectFailed, false)
	}
	if got := b.activeSubset(0); len(got) != b.subsetSize {
		t.Errorf("the subset has %d endpoints while all are ejected, want %d", len(got), b.subsetSize)
	}
	rec.take("")
}

// TestEjectionEndsWithHealthCheck guards against client requests that probe an ejected endpoint where health checks are allowed. A health
// check must find out whether the endpoint has recovered. If time alone ended ejections, requests of each instance would fail at a dead
// endpoint after each ejection.
func TestEjectionEndsWithHealthCheck(t *testing.T) {
	b, rec := newTestBalancer(t, testConfig(), 4)
	now := time.Hour
	e := b.readyEndpoints[0]
	b.recordFailure(now, e, StatusConnectFailed, false)
	b.healthChecks.credit = -1000 // prevents sampling rounds
	id := RequestID(0)
	sendRequest := func() (sent, checks int) {
		id++
		b.HandleRequest(now, Request{ID: id, Class: "safe", Expires: now + time.Second}, rec)
		for _, l := range rec.take("") {
			if l == fmt.Sprintf("send %d %s", id, e.ID) {
				sent++
			}
			if l == fmt.Sprintf("check %s", e.ID) {
				checks++
			}
		}
		return sent, checks
	}
	if sent, checks := sendRequest(); sent+checks > 0 {
		t.Errorf("%d attempts and %d health checks during the ejection time, want none", sent, checks)
	}
	for round := range 3 {
		now = e.ejectedUntil
		asked := 0
		for range 20 {
			sent, checks := sendRequest()
			if asked += checks; sent > 0 {
				t.Fatalf("round %d: a client request was sent to the ejected endpoint", round)
			}
		}
		if asked != 1 {
			t.Fatalf("round %d: %d health checks after the ejection time, want 1", round, asked)
		}
		b.HandleHealthCheck(now, HealthCheckResult{Endpoint: e.ID, Status: StatusTimeout}, rec)
		if want := now + baseEjectionTime<<(round+1); e.ejectedUntil != want {
			t.Errorf("round %d: ejected until %v, want %v", round, e.ejectedUntil, want)
		}
	}
	now = e.ejectedUntil
	sendRequest()
	fails := e.consecutiveFailures
	b.HandleHealthCheck(now, HealthCheckResult{Endpoint: e.ID, Load: &LoadReport{}}, rec)
	if !slices.Contains(b.activeSubset(now), e) || b.EjectedCount(now) != 0 {
		t.Error("still ejected after a successful health check")
	}
	if e.consecutiveFailures != fails {
		t.Error("a health check reset the consecutive failures: an endpoint that fails each request would be tried twice as often")
	}
}

// TestUnresponsiveEndpointIsAvoided guards against sending to a machine that is down without closing its connections. Attempts there end
// only with their timeout, and the endpoint list reports the failure much later.
func TestUnresponsiveEndpointIsAvoided(t *testing.T) {
	b, rec := newTestBalancer(t, testConfig(), 4)
	b.latency.observe(0, float64(10*time.Millisecond))
	e := b.readyEndpoints[0]
	e.hasReport = true
	for id := RequestID(1); id <= 3; id++ {
		r := &request{Request: Request{ID: id, Expires: time.Minute}, class: b.classes["safe"], finalDeadline: time.Second}
		b.requests[id] = r
		b.startOrAwaitEndpoint(0, r, []*endpoint{e}, rec)
	}
	if !slices.Contains(b.activeSubset(20*time.Millisecond), e) {
		t.Error("not in the subset after twice the typical latency without a reply")
	}
	if slices.Contains(b.activeSubset(40*time.Millisecond), e) {
		t.Error("still in the subset after four times the typical latency without a reply")
	}
	b.HandleAttemptResult(50*time.Millisecond, AttemptResult{ID: 1, Endpoint: e.ID, Status: StatusOK, RequestEnded: true}, rec)
	if !slices.Contains(b.activeSubset(60*time.Millisecond), e) {
		t.Error("not in the subset after a response")
	}
	b.HandleAttemptResult(time.Second, AttemptResult{ID: 2, Endpoint: e.ID, Status: StatusTimeout}, rec)
	if e.ejectedUntil <= time.Second {
		t.Error("not ejected by a timeout of the unresponsive endpoint")
	}
}

// TestShortClientTimeoutIsInconclusive guards against treating an endpoint as overloaded, failed or fast because the timeout of a client
// is shorter than the usual latency.
func TestShortClientTimeoutIsInconclusive(t *testing.T) {
	b, rec := newTestBalancer(t, testConfig(), 4)
	b.latency.observe(0, float64(100*time.Millisecond))
	b.healthChecks.contention = 0
	e := b.readyEndpoints[0]
	e.hasReport = true
	sendRequest := func(id RequestID, at Time) {
		r := &request{Request: Request{ID: id, Expires: time.Minute}, class: b.classes["safe"], finalDeadline: time.Minute}
		b.requests[id] = r
		b.startOrAwaitEndpoint(at, r, []*endpoint{e}, rec)
	}
	want, expected := *e, b.expectedLatency(0, e)
	sendRequest(1, 0)
	b.HandleAttemptResult(50*time.Millisecond, AttemptResult{ID: 1, Endpoint: e.ID, Status: StatusTimeout, Latency: 50 * time.Millisecond, RequestEnded: true}, rec)
	if e.reportedQueue != want.reportedQueue || e.consecutiveFailures != 0 || b.healthChecks.contention != 0 || b.expectedLatency(0, e) != expected {
		t.Errorf("after a short timeout: queue %v, %d failures, contention %v, expected latency %v; want no change and an expected latency of %v",
			e.reportedQueue, e.consecutiveFailures, b.healthChecks.contention, b.expectedLatency(0, e), expected)
	}
	sendRequest(2, 0)
	b.HandleAttemptResult(time.Second, AttemptResult{ID: 2, Endpoint: e.ID, Status: StatusTimeout, Latency: time.Second, RequestEnded: true}, rec)
	if e.consecutiveFailures == 0 {
		t.Error("a long timeout counted no failure")
	}
}

// TestUnreachableHint guards against hints that eject healthy endpoints for long. A hint ejects an endpoint until a health check of this
// instance succeeds, and counts no failure. Hints for all endpoints eject at most a third of them. A hint for an endpoint that drains or
// is not on the list has no effect.
func TestUnreachableHint(t *testing.T) {
	b, rec := newTestBalancer(t, testConfig(), 9)
	b.endpoints["s0"].State = Draining
	for _, id := range []EndpointID{"s0", "nobody", "s3"} {
		b.HandleUnreachableHint(time.Second, id)
	}
	if len(b.endpoints) != 9 || b.endpoints["s0"].ejectedUntil != 0 {
		t.Error("a hint for an endpoint that drains or is not on the list had an effect")
	}
	e := b.endpoints["s3"]
	if !b.isEjected(time.Second, e) || e.consecutiveFailures != 0 || e.marked {
		t.Fatalf("after a hint for s3, the endpoint is %+v, want it ejected, without failures and not marked", e)
	}
	if b.HandleHealthCheck(1100*time.Millisecond, HealthCheckResult{Endpoint: "s3", Load: &LoadReport{}}, rec); !b.isEjected(1100*time.Millisecond, e) {
		t.Error("a health check from before the end of the ejection time ended the ejection")
	}
	if !b.isEjected(time.Minute, e) {
		t.Error("time alone ended the ejection")
	}
	if b.HandleHealthCheck(2*time.Second, HealthCheckResult{Endpoint: "s3", Load: &LoadReport{}}, rec); b.isEjected(2*time.Second, e) {
		t.Error("a health check after the ejection time did not end the ejection")
	}
	if b.HandleUnreachableHint(2*time.Second+baseEjectionTime-1, "s3"); b.isEjected(2*time.Second+baseEjectionTime-1, e) {
		t.Error("a hint ejected an endpoint with a recent reply")
	}
	for i := range 9 {
		b.HandleUnreachableHint(3*time.Second, EndpointID(fmt.Sprint("s", i)))
	}
	if n := b.countEjected(3 * time.Second); n != 3 {
		t.Errorf("hints for all endpoints ejected %d of 9, want 3", n)
	}
	cfg := testConfig()
	cfg.HealthChecksAllowed = false // no health check could readmit the endpoint
	b, _ = newTestBalancer(t, cfg, 9)
	if b.HandleUnreachableHint(0, "s3"); b.endpoints["s3"].ejectedUntil != 0 {
		t.Error("a hint ejected an endpoint although health checks are not allowed")
	}
}

// TestEjectionTimeDoubles checks that each further consecutive failure doubles the ejection time, up to maxEjection.
func TestEjectionTimeDoubles(t *testing.T) {
	policy := outlierPolicy{maxEjection: 3 * time.Second}
	for failures, want := range map[int]time.Duration{
		1: baseEjectionTime, 2: 2 * baseEjectionTime, 3: 4 * baseEjectionTime, 4: 3 * time.Second, 1000: 3 * time.Second,
	} {
		if got := policy.ejectionTime(failures); got != want {
			t.Errorf("ejection time after %d failures: %v, want %v", failures, got, want)
		}
	}
}

// TestFailuresThatMayBeOverload guards against ejections because of load. Rejections never eject an endpoint. Timeouts eject it if it was
// unresponsive, or after several consecutive failures without a recent success.
func TestFailuresThatMayBeOverload(t *testing.T) {
	now := time.Minute
	for _, tt := range []struct {
		status       Status
		unresponsive bool
		failures     int
		lastSuccess  Time
		ejected      bool
	}{
		{StatusOverloaded, true, 10, 0, false},
		{StatusConnectFailed, false, 0, now, true},
		{StatusTimeout, true, 0, now, true},
		{StatusTimeout, false, 0, 0, false},
		{StatusTimeout, false, minTimeoutFailures - 1, now - minTimeSinceSuccess, true},
		{StatusTimeout, false, minTimeoutFailures - 1, now - minTimeSinceSuccess + 1, false},
	} {
		e := &endpoint{consecutiveFailures: tt.failures, lastSuccess: tt.lastSuccess}
		outlierPolicy{maxEjection: time.Second}.recordFailure(now, e, tt.status, tt.unresponsive)
		if got := e.ejectedUntil > 0; got != tt.ejected {
			t.Errorf("case %+v: ejected = %v, want the value of the field ejected", tt, got)
		}
	}
}
