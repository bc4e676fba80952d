package policy

import (
	"fmt"
	"testing"
	"time"
)

// discard is an Actions that only stores the endpoint of the latest attempt.
type discard struct{ endpoint EndpointID }

func (d *discard) StartAttempt(_ RequestID, id EndpointID, _ time.Duration) { d.endpoint = id }
func (d *discard) Reject(RequestID, time.Duration)                          {}
func (d *discard) Fail(RequestID)                                           {}
func (d *discard) CancelAttempt(RequestID, int)                             {}
func (d *discard) SetTimer(time.Duration, string)                           {}
func (d *discard) CheckHealth(EndpointID)                                   {}
func (d *discard) WatchEndpoints(bool)                                      {}
func (d *discard) Log(string)                                               {}

// BenchmarkRequest measures the two events of a request that is admitted at once and has a response: its arrival and the attempt result.
func BenchmarkRequest(b *testing.B) {
	cfg := testConfig()
	cfg.HealthChecksAllowed = false
	balancer, err := New(cfg, 1)
	if err != nil {
		b.Fatal(err)
	}
	var list []Endpoint
	for i := range 8 {
		list = append(list, Endpoint{ID: EndpointID(fmt.Sprint("s", i)), Zone: "a"})
	}
	actions := &discard{}
	balancer.UpdateEndpoints(0, UpdateFull, list, actions)
	load := &LoadReport{Queue: 0, InFlight: 1, Latency: 20, ErrorRate: 0}
	now := time.Minute
	id := RequestID(0)
	b.ReportAllocs()
	for b.Loop() {
		id++
		now += time.Millisecond
		balancer.HandleRequest(now, Request{ID: id, Class: "safe", Key: "k", Expires: now + time.Second}, actions)
		balancer.HandleAttemptResult(now, AttemptResult{
			ID: id, Endpoint: actions.endpoint, Status: StatusOK, Latency: 20 * time.Millisecond, RequestEnded: true, Load: load,
		}, actions)
	}
}
