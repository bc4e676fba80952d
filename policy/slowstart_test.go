package policy

import (
	"math"
	"slices"
	"testing"
	"time"
)

// TestWarmingEndpointGetsItsShare guards against overloading an endpoint that has just started. The queue of a new endpoint is short, so
// that marks and sampling rounds would select it.
func TestWarmingEndpointGetsItsShare(t *testing.T) {
	cfg := testConfig()
	now := time.Minute
	tests := []struct {
		name       string
		allWarming bool
		want       float64 // share of requests that s0 is sent
	}{
		{"one of two", false, cfg.SlowStartMinCapacity / 2},
		{"both", true, cfg.SlowStartMinCapacity}, // at most; the other requests are rejected or go to the other endpoint
	}
	for _, tc := range tests {
		b, rec := newTestBalancer(t, cfg, 2)
		warming := b.endpoints["s0"]
		warming.Started = now
		if tc.allWarming {
			b.endpoints["s1"].Started = now
		}
		const requests = 4000
		sent := 0
		for i := range requests {
			for _, e := range b.readyEndpoints {
				e.marked, e.markedAt = true, now
			}
			r := &request{
				Request: Request{ID: RequestID(i + 1), Expires: now + time.Second},
				class:   b.classes["safe"], objectiveDeadline: now + time.Second, finalDeadline: now + time.Second,
			}
			b.startOrAwaitEndpoint(now, r, b.activeSubset(now), rec)
			if n := len(r.attempts); n > 0 && r.attempts[0].endpoint == warming {
				sent++
			}
			again := b.startOrAwaitEndpoint(now, r, b.activeSubset(now), rec)
			if n := len(r.attempts); again && n > 1 && r.attempts[n-1].endpoint == warming {
				t.Fatalf("%s: a retry went to a warming endpoint", tc.name)
			}
		}
		if share := float64(sent) / requests; share > tc.want+0.03 || share < tc.want*0.8-0.03 {
			t.Errorf("%s: the warming endpoint got a share of %.3f, want about %.3f", tc.name, share, tc.want)
		}
		if w := b.slowStart.capacityFraction(now+cfg.SlowStartDuration, warming); w != 1 {
			t.Errorf("capacity after slow start = %v, want 1", w)
		}
	}
}

// TestEndpointIsWarmBeforeFullCapacity guards against rejections while most endpoints are replaced. An endpoint must count as warm before
// the end of slow start, but not at its start. Otherwise the few old endpoints have too little capacity for all requests.
func TestEndpointIsWarmBeforeFullCapacity(t *testing.T) {
	cfg := testConfig()
	b, rec := newTestBalancer(t, cfg, 2)
	now := time.Hour
	b.UpdateEndpoints(now, UpdateDelta, []Endpoint{{ID: "new", Started: now}}, rec)
	for at, want := range map[time.Duration]bool{0: false, cfg.SlowStartDuration / 2: false, cfg.SlowStartDuration * 3 / 5: true, cfg.SlowStartDuration: true} {
		if got := slices.Contains(b.activeSubset(now+at), b.endpoints["new"]); got != want {
			t.Errorf("%v after the start of the endpoint: in the subset = %v, want %v", at, got, want)
		}
	}
}

// TestWarmingEndpointsDoNotSkewLatency guards against overestimating the latency of warm endpoints while others warm up. Responses of
// warming endpoints must not change the shared model. Otherwise, with many warming endpoints, warm endpoints are treated as slow.
func TestWarmingEndpointsDoNotSkewLatency(t *testing.T) {
	b, rec := newTestBalancer(t, testConfig(), 4)
	now := time.Hour
	id := RequestID(0)
	for range 50 {
		now += 50 * time.Millisecond
		id++
		respond(b, rec, now, id, "s0", 40*time.Millisecond)
	}
	before := b.expectedLatency(now, b.endpoints["s1"])
	b.UpdateEndpoints(now, UpdateDelta, []Endpoint{{ID: "s9", Started: now}}, rec)
	for range 50 {
		now += 50 * time.Millisecond
		id++
		respond(b, rec, now, id, "s9", 400*time.Millisecond)
	}
	if after := b.expectedLatency(now, b.endpoints["s1"]); after > before*11/10 {
		t.Errorf("expected latency of a warm endpoint %v after responses of a warming one, %v before; want at most 1.1 times as long", after, before)
	}
	if warming := b.expectedLatency(now, b.endpoints["s9"]); warming < 4*before {
		t.Errorf("expected latency of the warming endpoint %v, want at least four times that of a warm one", warming)
	}
}

// TestWarmingShare checks that the share of a warming endpoint is its capacity fraction, raised by the missing capacity of all endpoints up
// to slowStartMaxShare. With too few warm endpoints, the share is the capacity fraction, divided by the slowness of a slow machine type.
func TestWarmingShare(t *testing.T) {
	rule := slowStart{minCapacity: 0.2, duration: 10 * time.Second}
	now := time.Hour
	fleet := func(warm, warming int) (ready []*endpoint, last *endpoint) {
		for range warm {
			ready = append(ready, &endpoint{machineType: &machineType{slowness: 1}})
		}
		for range warming {
			last = &endpoint{Endpoint: Endpoint{Started: now}, machineType: &machineType{slowness: 2}}
			ready = append(ready, last)
		}
		return ready, last
	}
	for _, tt := range []struct {
		warm, warming int
		want          float64
	}{
		{9, 1, 0.2 * 10 / 9.2},
		{3, 7, 0.2 * slowStartMaxShare},
		{minSubsetSize - 1, 1, 0.1},
	} {
		ready, e := fleet(tt.warm, tt.warming)
		if got := rule.warmingShare(now, e, ready); math.Abs(got-tt.want) > 1e-9 {
			t.Errorf("%d warm, %d warming: share %v, want %v", tt.warm, tt.warming, got, tt.want)
		}
	}
}
