package policy

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// recorder is an Actions that records each action as a line of text.
type recorder struct{ lines []string }

func (r *recorder) record(format string, args ...any) {
	r.lines = append(r.lines, fmt.Sprintf(format, args...))
}

func (r *recorder) StartAttempt(id RequestID, endpointID EndpointID, _ time.Duration) {
	r.record("send %d %s", id, endpointID)
}

func (r *recorder) Reject(id RequestID, _ time.Duration) { r.record("reject %d", id) }

func (r *recorder) Fail(id RequestID) { r.record("fail %d", id) }

func (r *recorder) CancelAttempt(id RequestID, attempt int) { r.record("cancel %d %d", id, attempt) }

func (r *recorder) SetTimer(d time.Duration, token string) { r.record("timer %v %s", d, token) }

func (r *recorder) CheckHealth(endpointID EndpointID) { r.record("check %s", endpointID) }

func (r *recorder) WatchEndpoints(on bool) { r.record("watch %v", on) }

func (r *recorder) Log(text string) { r.record("log %s", text) }

// take returns the lines that start with prefix and deletes all lines.
func (r *recorder) take(prefix string) []string {
	got := slices.DeleteFunc(r.lines, func(l string) bool { return !strings.HasPrefix(l, prefix) })
	r.lines = nil
	return got
}

// testConfig returns the Config of most tests: one instance, all features allowed and a class for each rule of idempotency.
func testConfig() Config {
	const s = time.Second
	return Config{
		InstanceCount: 1, Zone: "a", HealthChecksAllowed: true, CancellationAllowed: true, HedgingAllowed: true, MaxAttempts: 3,
		DialTimeout: 100 * time.Millisecond, TimerResolution: 5 * time.Millisecond, PollInterval: 10 * time.Second,
		ResponseGrace: 20 * time.Millisecond, SlowStartMinCapacity: 0.3, SlowStartDuration: 8 * time.Second, HealthCheckCost: 0.01,
		Classes: []Class{
			{Name: "safe", Idempotency: Idempotent, LatencyObjective: 200 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1},
			{Name: "keyed", Idempotency: IdempotentByKey, DedupWindow: s / 3, LatencyObjective: s, Deadline: 2 * s},
			{Name: "zonal", Idempotency: IdempotentByKey, DedupScope: DedupZone, DedupWindow: s / 3, LatencyObjective: s, Deadline: 2 * s},
			{Name: "cellular", Idempotency: IdempotentByKey, DedupScope: DedupCell, DedupWindow: s, LatencyObjective: s, Deadline: 2 * s},
			{Name: "unsafe", Idempotency: NonIdempotent, LatencyObjective: time.Second, Deadline: 2 * time.Second},
		},
	}
}

// newTestBalancer returns a Balancer with n endpoints s0, s1, ... that alternate between zones a and b, with two endpoints per cell. Unlike
// a host, it and its callers may use the instant 0.
func newTestBalancer(t *testing.T, cfg Config, n int) (*Balancer, *recorder) {
	t.Helper()
	b, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	var list []Endpoint
	for i := range n {
		id := EndpointID(fmt.Sprint("s", i))
		list = append(list, Endpoint{ID: id, Zone: string(rune('a' + i%2)), Cell: i / 2})
	}
	rec := &recorder{}
	b.UpdateEndpoints(0, UpdateCached, list, rec)
	rec.take("")
	return b, rec
}

// respond adds a request with an attempt at an endpoint, which responds after delay.
func respond(b *Balancer, rec *recorder, now Time, id RequestID, endpointID EndpointID, delay time.Duration) {
	e := b.endpoints[endpointID]
	r := &request{Request: Request{ID: id, Class: "safe", Expires: now + time.Second}, class: b.classes["safe"], finalDeadline: now + time.Second, objectiveDeadline: now + time.Second}
	r.attempts = []attempt{{endpoint: e, sentAt: now, inFlight: true, queueAtSend: 0, warmingUp: !b.slowStart.isWarm(now, e)}}
	r.inFlight = 1
	e.inFlight++
	b.requests[id] = r
	b.HandleAttemptResult(now+delay, AttemptResult{ID: id, Endpoint: endpointID, Latency: delay, RequestEnded: true}, rec)
}
