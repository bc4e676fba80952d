package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestRetryAfter guards against clients that retry before the queues have become shorter.
func TestRetryAfter(t *testing.T) {
	cfg := testConfig()
	cfg.RetryAfterHonored, cfg.MaxRetryAfter = true, 300*time.Millisecond
	b, _ := newTestBalancer(t, cfg, 4)
	b.latency.observe(0, float64(100*time.Millisecond))
	b.healthChecks.contention = 0
	r := &request{latencyLimit: 90 * time.Millisecond}
	if got := b.retryAfter(0, r); got != 10*time.Millisecond {
		t.Errorf("retry after %v, want 10ms, the excess of the expected latency over the limit", got)
	}
	r.latencyLimit = -time.Hour
	if got := b.retryAfter(0, r); got != cfg.MaxRetryAfter {
		t.Errorf("retry after %v, want %v, which is MaxRetryAfter", got, cfg.MaxRetryAfter)
	}
}

// TestSlowSampleBeforeExpiry guards against sending a request to the first endpoint that replies to its sampling round although its client gives
// up before a response of that endpoint can be expected. The endpoint responds in 500 ms, but is expected to take about half of that, since
// it may process two attempts at once.
func TestSlowSampleBeforeExpiry(t *testing.T) {
	const short = 180 * time.Millisecond // less than the latency objective of the class
	b, rec := newTestBalancer(t, testConfig(), 2)
	now, id := Time(0), RequestID(1)
	for range 40 {
		respond(b, rec, now, id, "s0", 5*time.Millisecond)
		respond(b, rec, now, id+1, "s1", 500*time.Millisecond)
		now, id = now+500*time.Millisecond, id+2
	}
	for _, client := range []struct {
		timeout time.Duration
		want    EndpointID
	}{{short, "s0"}, {time.Second, "s1"}} { // a client with more time may get a late response
		b.healthChecks.credit = sampleSize
		for _, e := range b.readyEndpoints {
			e.marked, e.hasReport, e.reportedQueue = false, true, 0
		}
		b.HandleRequest(now, Request{ID: id, Class: "safe", Expires: now + client.timeout}, rec)
		rec.take("")
		for _, e := range []EndpointID{"s1", "s0"} { // in this order
			b.HandleHealthCheck(now, HealthCheckResult{Endpoint: e, Load: &LoadReport{}}, rec)
		}
		if got, want := rec.take("send"), fmt.Sprintf("send %d %s", id, client.want); !slices.Equal(got, []string{want}) {
			t.Errorf("client that waits for %v: got %v, want %s", client.timeout, got, want)
		}
		b.HandleAttemptResult(now, AttemptResult{ID: id, Endpoint: client.want, Status: StatusCanceled, RequestEnded: true}, rec)
		id++
	}
}

// TestRequestWaitsForSample guards against three failures: a request is rejected without evidence of a long queue because health checks
// are lost, a request is sent to a queue that is known to be long, and a request still waits after all replies have arrived.
func TestRequestWaitsForSample(t *testing.T) {
	b, rec := newTestBalancer(t, testConfig(), 4)
	b.HandleRequest(0, Request{ID: 1, Class: "safe", Expires: time.Second}, rec)
	if got := rec.take("send"); len(got) != 0 {
		t.Fatalf("sent %v before any load report, want no attempt", got)
	}
	b.HandleTimer(b.requests[1].queuedUntil, timerToken(1), rec)
	if got := rec.take("send"); len(got) != 1 {
		t.Errorf("sent %v after the wait, want one attempt of request 1", got)
	}
	b.HandleRequest(0, Request{ID: 2, Class: "safe", Expires: time.Second}, rec)
	sampled := b.requests[2].sampled[0].ID
	rec.take("")
	b.HandleHealthCheck(0, HealthCheckResult{Endpoint: sampled, Load: &LoadReport{Queue: 1}}, rec)
	if got := rec.take("send"); !slices.Equal(got, []string{"send 2 " + string(sampled)}) {
		t.Errorf("sent %v, want request 2 at %s, the first endpoint to reply", got, sampled)
	}
	b.latency.observe(0, float64(time.Second/10))
	b.healthChecks.credit = sampleSize
	for _, e := range b.readyEndpoints {
		e.reportedQueue, e.hasReport, e.marked = 1000, true, false
	}
	b.HandleRequest(0, Request{ID: 3, Class: "safe", Expires: time.Second}, rec)
	for _, e := range b.requests[3].sampled {
		b.HandleHealthCheck(0, HealthCheckResult{Endpoint: e.ID, Load: &LoadReport{Queue: 1000}}, rec)
	}
	if got := rec.take("reject"); !slices.Equal(got, []string{"reject 3"}) {
		t.Errorf("got %v, want request 3 rejected at the last reply", got)
	}
}

// TestIdleEndpointIsNeverOverLimit guards against rejecting all requests forever. After a period of slow responses only further responses
// show that it is over, and there are none while all requests are rejected.
func TestIdleEndpointIsNeverOverLimit(t *testing.T) {
	cfg := testConfig()
	cfg.HealthCheckCost = 1 // few health checks
	b, rec := newTestBalancer(t, cfg, 4)
	for _, e := range b.readyEndpoints {
		e.hasReport = true // with an empty queue
	}
	b.latency.observe(0, float64(time.Second))
	now, sent := time.Second, 0
	for id := RequestID(1); id <= 50; id++ {
		b.healthChecks.credit = 0
		b.HandleRequest(now, Request{ID: id, Class: "safe", Expires: now + 900*time.Millisecond}, rec)
		for _, line := range rec.take("send") {
			var endpointID EndpointID
			if _, err := fmt.Sscanf(line, "send %d %s", &id, &endpointID); err != nil {
				t.Fatal(err)
			}
			b.HandleAttemptResult(now, AttemptResult{ID: id, Endpoint: endpointID, Status: StatusOK, Latency: time.Second, RequestEnded: true}, rec)
			sent++
		}
		now += 10 * time.Millisecond
	}
	if sent < 50 {
		t.Errorf("sent %d of 50 requests to idle endpoints with empty queues, want all", sent)
	}
}

// TestRetryAfterObjectiveFailsAtOnce guards against spending capacity on a client's retry after the latency objective of the request.
func TestRetryAfterObjectiveFailsAtOnce(t *testing.T) {
	b, rec := newTestBalancer(t, testConfig(), 0)
	b.HandleRequest(0, Request{ID: 1, Class: "safe", ExpectedWork: 7, Expires: 500 * time.Millisecond}, rec)
	b.HandleTimer(b.requests[1].finalDeadline, timerToken(1), rec)
	b.HandleRequest(210*time.Millisecond, Request{ID: 2, Class: "safe", ExpectedWork: 7, Expires: 710 * time.Millisecond}, rec)
	if got := rec.take("fail"); !slices.Equal(got, []string{"fail 1", "fail 2"}) {
		t.Errorf("got %v, want both requests failed", got)
	}
}

// TestTopPriorityTakesTheCapacityLeft guards against rejecting requests of the highest priority while an endpoint has capacity. Under a
// shortage such a request must go to the one endpoint with capacity, and must not be rejected at random below its objective. The test fails
// if only one endpoint is drawn, or if the random rejection band applies to all classes.
func TestTopPriorityTakesTheCapacityLeft(t *testing.T) {
	cfg := testConfig()
	cfg.Classes = []Class{
		{Name: "order", LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 10},
		{Name: "check", LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 2},
	}
	served := map[string]int{}
	const each = 100
	for i := range 2 * each {
		b, rec := newTestBalancer(t, cfg, 5)
		b.healthChecks.credit = -10 // prevents health checks, so that the loads do not change
		b.latency = latencyModel{meanQueue: 5, meanLatency: float64(500 * time.Millisecond), queueVariance: 25, covariance: 25 * float64(90*time.Millisecond)}
		for id, e := range b.endpoints {
			e.hasReport, e.reportedQueue = true, 9 // about 860 ms, and late with the margin
			if id == "s3" {
				e.reportedQueue = 6 // about 590 ms
			}
		}
		b.healthChecks.contention = 1
		for range 100 {
			b.capacity.record(time.Second, false)
		}
		class := []string{"order", "check"}[i%2]
		b.rng = rand.New(rand.NewPCG(uint64(i), 7))
		b.HandleRequest(time.Second, Request{ID: 1, Class: class, Expires: 3 * time.Second}, rec)
		if got := rec.take("send"); slices.Equal(got, []string{"send 1 s3"}) {
			served[class]++
		} else if len(got) > 0 {
			t.Fatalf("class %s: sent %v, want an attempt at s3 or none", class, got)
		}
	}
	if served["order"] != each || served["check"] > 0 {
		t.Errorf("of %d requests per class, served %v, want all of order and none of check", each, served)
	}
}

// TestCapacityShortage checks that a full shortage is assumed without information, that requests with capacity reduce it to 0, and that
// it returns once their counts have decayed.
func TestCapacityShortage(t *testing.T) {
	var c capacityEstimator
	if got := c.shortage(0); got != 1 {
		t.Errorf("shortage %v without requests, want 1", got)
	}
	for range 200 {
		c.record(time.Second, true)
	}
	if got := c.shortage(time.Second); got != 0 || !c.provenSufficient() {
		t.Errorf("shortage %v after 200 requests with capacity, want 0 and proven capacity", got)
	}
	if got := c.shortage(time.Second + 20*capacityDecayTime); got != 1 || c.provenSufficient() {
		t.Errorf("shortage %v after the counts have decayed, want 1 and no proven capacity", got)
	}
}
