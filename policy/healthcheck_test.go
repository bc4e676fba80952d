package policy

import (
	"strings"
	"testing"
	"time"
)

// TestProbesFollowNeed guards against paying for probes while every server is idle, and against
// going without them once servers fail.
func TestProbesFollowNeed(t *testing.T) {
	cfg := testConfig()
	cfg.HealthCheckCost = healthCheckBudgetPoints // one probe a request, at most
	b, rec := start(t, cfg, 4)
	id := RequestID(0)
	probes := func(queue float64) (n int) {
		for range 100 {
			id++
			b.HandleRequest(0, Request{ID: id, Class: "safe", Expires: time.Second}, rec)
			for _, l := range rec.take("") {
				if server, ok := strings.CutPrefix(l, "probe "); ok {
					n++
					b.HandleHealthCheck(0, HealthCheckResult{Endpoint: EndpointID(server), Load: &LoadReport{Queue: queue}}, rec)
				}
			}
		}
		return n
	}
	waiting := probes(1)
	probes(0)
	calm := probes(0)
	if calm*4 > waiting || calm == 0 {
		t.Errorf("%d probes in wait, %d with all idle: want some, a quarter at most", waiting, calm)
	}
	b.HandleAttemptResult(0, AttemptResult{ID: 999, Endpoint: "s0", Status: StatusApplicationError}, rec)
	if b.healthChecks.contention != 1 {
		t.Errorf("busy %v after a failure, want 1", b.healthChecks.contention)
	}
}

// A sidecar whose own traffic tells of its set spends less on probes than one that sends little. Seen to fail with one price
// for all: some eighty sidecars together then paid four points for what their answers told them anyway.
func TestProbesSpendLessWhereTrafficTells(t *testing.T) {
	probesEach := func(gap time.Duration) float64 {
		cfg := testConfig()
		cfg.HealthCheckCost = 0.05
		b, rec := start(t, cfg, 10)
		const requests = 400
		probes := 0
		now := time.Hour
		for i := range requests {
			now += gap
			id := RequestID(i + 1)
			b.HandleRequest(now, Request{ID: id, Class: "safe", Expires: now + time.Second}, rec)
			for _, l := range rec.lines {
				if s, ok := strings.CutPrefix(l, "probe "); ok { // all are busy, so that probing pays
					probes++
					b.HandleHealthCheck(now, HealthCheckResult{Endpoint: EndpointID(s), Load: &LoadReport{Queue: 1}}, rec)
				}
			}
			for _, l := range rec.take("send") {
				s := EndpointID(l[strings.LastIndexByte(l, ' ')+1:])
				b.HandleAttemptResult(now+10*time.Millisecond, AttemptResult{ID: id, Endpoint: s, Delay: 10 * time.Millisecond, RequestEnded: true}, rec)
			}
		}
		return float64(probes) / requests
	}
	much, little := probesEach(20*time.Millisecond), probesEach(2*time.Second)
	if little < 0.8 || much > 0.6*little {
		t.Errorf("%.2f probes a request with much traffic, %.2f with little", much, little)
	}
	if much < 0.1 {
		t.Errorf("%.2f probes a request with much traffic: marks and thresholds are left to chance", much)
	}
}
