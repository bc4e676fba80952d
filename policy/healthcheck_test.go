package policy

import (
	"strings"
	"testing"
	"time"
)

// TestHealthChecksFollowContention guards against the cost of many health checks while all endpoints are idle, and against too few health
// checks after a failure.
func TestHealthChecksFollowContention(t *testing.T) {
	cfg := testConfig()
	cfg.HealthCheckCost = healthCheckBudgetPoints // at most one health check per request
	b, rec := newTestBalancer(t, cfg, 4)
	id := RequestID(0)
	checks := func(queue float64) (n int) {
		for range 100 {
			id++
			b.HandleRequest(0, Request{ID: id, Class: "safe", Expires: time.Second}, rec)
			for _, l := range rec.take("") {
				if endpointID, ok := strings.CutPrefix(l, "check "); ok {
					n++
					b.HandleHealthCheck(0, HealthCheckResult{Endpoint: EndpointID(endpointID), Load: &LoadReport{Queue: queue}}, rec)
				}
			}
		}
		return n
	}
	withQueues := checks(1)
	checks(0)
	withoutQueues := checks(0)
	if withoutQueues*4 > withQueues || withoutQueues == 0 {
		t.Errorf("%d health checks with queues, %d with idle endpoints; want some with idle endpoints, but at most a quarter", withQueues, withoutQueues)
	}
	b.HandleAttemptResult(0, AttemptResult{ID: 999, Endpoint: "s0", Status: StatusApplicationError}, rec)
	if b.healthChecks.contention != 1 {
		t.Errorf("contention %v after a failure, want 1", b.healthChecks.contention)
	}
}

// TestFewerHealthChecksWithMuchTraffic guards against needless health checks under heavy traffic. The instance's own responses then
// describe its subset, and it must send fewer health checks per request. The test fails if the budget does not depend on the traffic.
func TestFewerHealthChecksWithMuchTraffic(t *testing.T) {
	checksEach := func(gap time.Duration) float64 {
		cfg := testConfig()
		cfg.HealthCheckCost = 0.05
		b, rec := newTestBalancer(t, cfg, 10)
		const requests = 400
		checks := 0
		now := time.Hour
		for i := range requests {
			now += gap
			id := RequestID(i + 1)
			b.HandleRequest(now, Request{ID: id, Class: "safe", Expires: now + time.Second}, rec)
			for _, l := range rec.lines {
				if endpointID, ok := strings.CutPrefix(l, "check "); ok { // each endpoint has a queue, so that the full credit is earned
					checks++
					b.HandleHealthCheck(now, HealthCheckResult{Endpoint: EndpointID(endpointID), Load: &LoadReport{Queue: 1}}, rec)
				}
			}
			for _, l := range rec.take("send") {
				endpointID := EndpointID(l[strings.LastIndexByte(l, ' ')+1:])
				b.HandleAttemptResult(now+10*time.Millisecond, AttemptResult{ID: id, Endpoint: endpointID, Latency: 10 * time.Millisecond, RequestEnded: true}, rec)
			}
		}
		return float64(checks) / requests
	}
	highTraffic, lowTraffic := checksEach(20*time.Millisecond), checksEach(2*time.Second)
	if lowTraffic < 0.8 || highTraffic > 0.6*lowTraffic {
		t.Errorf("health checks per request: %.2f with heavy traffic, %.2f with light; want light >= 0.8 and heavy <= 0.6*light", highTraffic, lowTraffic)
	}
	if highTraffic < 0.1 {
		t.Errorf("%.2f health checks per request with heavy traffic, want at least 0.1, because marks and thresholds would be outdated", highTraffic)
	}
}
