package policy

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"
)

// TestFailingEndpointIsEjected guards against an endpoint that fails at once and so keeps a short queue.
func TestFailingEndpointIsEjected(t *testing.T) {
	b, rec := start(t, testConfig(), 4)
	s := b.endpoints["s0"]
	s.marked = true
	b.recordFailure(0, s, StatusApplicationError, false)
	if s.marked || slices.Contains(b.activeSubset(0), s) {
		t.Error("an endpoint that failed is still marked or in the subset")
	}
	b.outliers.readmitByHealthCheck = false
	if !slices.Contains(b.activeSubset(baseEjectionTime), s) {
		t.Error("the ejection does not end")
	}
	b.outliers.readmitByHealthCheck = true
	for _, id := range slices.Sorted(maps.Keys(b.endpoints)) {
		b.recordFailure(0, b.endpoints[id], StatusConnectFailed, false)
	}
	if got := b.activeSubset(0); len(got) != b.subsetSize {
		t.Errorf("with all ejected the subset has %d endpoints, want %d", len(got), b.subsetSize)
	}
	rec.take("")
}

// TestEjectionEndsWithHealthCheck: where health checks are allowed, one of them finds out whether an endpoint is back, and no client's
// request does. Seen to fail where time alone ended ejections: each instance's requests found a dead endpoint out again and again.
func TestEjectionEndsWithHealthCheck(t *testing.T) {
	b, rec := start(t, testConfig(), 4)
	now := time.Hour
	s := b.readyEndpoints[0]
	b.recordFailure(now, s, StatusConnectFailed, false)
	b.healthChecks.credit = -1000 // no rounds
	id := RequestID(0)
	sendRequest := func() (sent, checks int) {
		id++
		b.HandleRequest(now, Request{ID: id, Class: "safe", Expires: now + time.Second}, rec)
		for _, l := range rec.take("") {
			if l == fmt.Sprintf("send %d %s", id, s.ID) {
				sent++
			}
			if l == fmt.Sprintf("check %s", s.ID) {
				checks++
			}
		}
		return sent, checks
	}
	if sent, checks := sendRequest(); sent+checks > 0 {
		t.Errorf("%d attempts and %d health checks before the time is over", sent, checks)
	}
	for round := range 3 {
		now = s.ejectedUntil
		asked := 0
		for range 20 {
			sent, checks := sendRequest()
			if asked += checks; sent > 0 {
				t.Fatalf("round %d: a client's request finds out whether the endpoint is back", round)
			}
		}
		if asked != 1 {
			t.Fatalf("round %d: %d health checks instead of one", round, asked)
		}
		b.HandleHealthCheck(now, HealthCheckResult{Endpoint: s.ID, Status: StatusTimeout}, rec)
		if want := now + baseEjectionTime<<(round+1); s.ejectedUntil != want {
			t.Errorf("round %d: ejected until %v, want %v", round, s.ejectedUntil, want)
		}
	}
	now = s.ejectedUntil
	sendRequest()
	fails := s.consecutiveFailures
	b.HandleHealthCheck(now, HealthCheckResult{Endpoint: s.ID, Load: &LoadReport{}}, rec)
	if !slices.Contains(b.activeSubset(now), s) || b.EjectedCount(now) != 0 {
		t.Error("ejected although a health check has succeeded")
	}
	if s.consecutiveFailures != fails {
		t.Error("a health check alone resets the failures: an endpoint that fails each request would be tried twice as often")
	}
}

// TestUnresponsiveEndpointIsAvoided guards against sending to a machine that has vanished: nothing ends the attempts there until their
// time is up, and the list tells of it much later.
func TestUnresponsiveEndpointIsAvoided(t *testing.T) {
	b, rec := start(t, testConfig(), 4)
	b.latency.observe(0, float64(10*time.Millisecond))
	s := b.readyEndpoints[0]
	s.hasReport = true
	for id := RequestID(1); id <= 3; id++ {
		r := &request{Request: Request{ID: id, Expires: time.Minute}, class: b.classes["safe"], finalDeadline: time.Second}
		b.requests[id] = r
		b.startOrAwaitEndpoint(0, r, []*endpoint{s}, rec)
	}
	if !slices.Contains(b.activeSubset(20*time.Millisecond), s) {
		t.Error("avoided although no more than the usual time has passed")
	}
	if slices.Contains(b.activeSubset(40*time.Millisecond), s) {
		t.Error("still in the subset after a long silence")
	}
	b.HandleAttemptResult(50*time.Millisecond, AttemptResult{ID: 1, Endpoint: s.ID, Status: StatusOK, RequestEnded: true}, rec)
	if !slices.Contains(b.activeSubset(60*time.Millisecond), s) {
		t.Error("avoided although it has answered")
	}
	b.HandleAttemptResult(time.Second, AttemptResult{ID: 2, Endpoint: s.ID, Status: StatusTimeout}, rec)
	if s.ejectedUntil <= time.Second {
		t.Error("a time-out after a long silence is no reason to eject it")
	}
}

// TestShortClientTimeoutIsInconclusive guards against taking an endpoint for overloaded, failing or fast because a
// client waited less than a response takes.
func TestShortClientTimeoutIsInconclusive(t *testing.T) {
	b, rec := start(t, testConfig(), 4)
	b.latency.observe(0, float64(100*time.Millisecond))
	b.healthChecks.contention = 0
	s := b.readyEndpoints[0]
	s.hasReport = true
	sendRequest := func(id RequestID, at Time) {
		r := &request{Request: Request{ID: id, Expires: time.Minute}, class: b.classes["safe"], finalDeadline: time.Minute}
		b.requests[id] = r
		b.startOrAwaitEndpoint(at, r, []*endpoint{s}, rec)
	}
	want, expected := *s, b.expectedLatency(0, s)
	sendRequest(1, 0)
	b.HandleAttemptResult(50*time.Millisecond, AttemptResult{ID: 1, Endpoint: s.ID, Status: StatusTimeout, Latency: 50 * time.Millisecond, RequestEnded: true}, rec)
	if s.reportedQueue != want.reportedQueue || s.consecutiveFailures != 0 || b.healthChecks.contention != 0 || b.expectedLatency(0, s) != expected {
		t.Errorf("a short time-out left queue %v, %d failures, contention %v and an expected latency of %v; want nothing but a latency of %v",
			s.reportedQueue, s.consecutiveFailures, b.healthChecks.contention, b.expectedLatency(0, s), expected)
	}
	sendRequest(2, 0)
	b.HandleAttemptResult(time.Second, AttemptResult{ID: 2, Endpoint: s.ID, Status: StatusTimeout, Latency: time.Second, RequestEnded: true}, rec)
	if s.consecutiveFailures == 0 {
		t.Error("a long time-out left no trace")
	}
}

// TestUnreachableHint: a hint ejects an endpoint until a health check of this instance succeeds, and counts as no failure; hints of all
// endpoints eject a third of them at most; one that is not on the list, or drains, is not touched.
func TestUnreachableHint(t *testing.T) {
	b, rec := start(t, testConfig(), 9)
	b.endpoints["s0"].State = Draining
	for _, id := range []EndpointID{"s0", "nobody", "s3"} {
		b.HandleUnreachableHint(time.Second, id)
	}
	if len(b.endpoints) != 9 || b.endpoints["s0"].ejectedUntil != 0 {
		t.Error("an endpoint that is not on the list, or drains, was touched")
	}
	s := b.endpoints["s3"]
	if !b.isEjected(time.Second, s) || s.consecutiveFailures != 0 || s.marked {
		t.Fatalf("%+v", s)
	}
	if b.HandleHealthCheck(1100*time.Millisecond, HealthCheckResult{Endpoint: "s3", Load: &LoadReport{}}, rec); !b.isEjected(1100*time.Millisecond, s) {
		t.Error("what was on its way before the hint ends it")
	}
	if !b.isEjected(time.Minute, s) {
		t.Error("time alone ends it")
	}
	if b.HandleHealthCheck(2*time.Second, HealthCheckResult{Endpoint: "s3", Load: &LoadReport{}}, rec); b.isEjected(2*time.Second, s) {
		t.Error("a health check does not end it")
	}
	if b.HandleUnreachableHint(2*time.Second+baseEjectionTime-1, "s3"); b.isEjected(2*time.Second+baseEjectionTime-1, s) {
		t.Error("a hint is believed against a response of late")
	}
	for i := range 9 {
		b.HandleUnreachableHint(3*time.Second, EndpointID(fmt.Sprint("s", i)))
	}
	if n := b.countEjected(3 * time.Second); n != 3 {
		t.Errorf("false hints eject %d of 9 endpoints", n)
	}
	cfg := testConfig()
	cfg.HealthChecksAllowed = false // nothing would find out that it is not so
	b, _ = start(t, cfg, 9)
	if b.HandleUnreachableHint(0, "s3"); b.endpoints["s3"].ejectedUntil != 0 {
		t.Error("a hint is believed where no health check can prove it wrong")
	}
}

// TestEjectionTimeDoubles: each further failure in a row doubles the ejection, up to the policy's longest.
func TestEjectionTimeDoubles(t *testing.T) {
	policy := outlierPolicy{maxEjection: 3 * time.Second}
	for failures, want := range map[int]time.Duration{
		1: baseEjectionTime, 2: 2 * baseEjectionTime, 3: 4 * baseEjectionTime, 4: 3 * time.Second, 1000: 3 * time.Second,
	} {
		if got := policy.ejectionTime(failures); got != want {
			t.Errorf("after %d failures: %v, want %v", failures, got, want)
		}
	}
}

// TestFailuresThatMayBeOverload: rejections never eject an endpoint; time-outs do if it was unresponsive, or fails several times in a row with
// no success of late.
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
			t.Errorf("%+v: ejected %v", tt, got)
		}
	}
}
