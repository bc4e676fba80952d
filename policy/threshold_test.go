package policy

import (
	"slices"
	"testing"
	"time"
)

// TestThresholdMarksAndMarkSpending checks that the threshold is the shortest queue of a round, and that an attempt clears the mark of its
// endpoint.
func TestThresholdMarksAndMarkSpending(t *testing.T) {
	b, rec := newTestBalancer(t, testConfig(), 4)
	b.HandleRequest(0, Request{ID: 1, Class: "safe", Expires: time.Second}, rec)
	var checks []string
	for _, l := range rec.lines {
		if l[:5] == "check" {
			checks = append(checks, l[6:])
		}
	}
	if len(checks) != sampleSize {
		t.Fatalf("health checks = %v, want %d of them", checks, sampleSize)
	}
	b.endpoints["s0"].marked, b.endpoints["s0"].reportedQueue = true, 9
	rec.take("")
	b.queued = nil
	b.HandleHealthCheck(0, HealthCheckResult{Endpoint: "s1", Load: &LoadReport{Queue: 5}}, rec)
	b.HandleHealthCheck(0, HealthCheckResult{Endpoint: "s2", Load: &LoadReport{Queue: 3}}, rec)
	if b.jbt.threshold != 3 {
		t.Errorf("threshold = %v, want 3, the shortest queue of the round", b.jbt.threshold)
	}
	for id, want := range map[EndpointID]bool{"s0": false, "s1": false, "s2": true, "s3": false} {
		if got := b.endpoints[id].marked; got != want {
			t.Errorf("%s marked = %v, want %v", id, got, want)
		}
	}
	b.healthChecks.credit = -10 // prevents a further round
	b.HandleRequest(0, Request{ID: 2, Class: "safe", Expires: time.Second}, rec)
	if got := rec.take("send"); !slices.Equal(got, []string{"send 2 s2"}) {
		t.Errorf("sent %v, want request 2 at the marked endpoint s2", got)
	}
	if b.endpoints["s2"].marked {
		t.Error("the attempt did not clear the mark of s2")
	}
}

// TestKeyAffinitySamplesTheKeysEndpoints guards against spreading the requests of a key over many endpoints, each of which must do the extra
// work for a new key.
func TestKeyAffinitySamplesTheKeysEndpoints(t *testing.T) {
	for _, affinity := range []bool{false, true} {
		cfg := testConfig()
		cfg.KeyAffinity = affinity
		b, rec := newTestBalancer(t, cfg, 12)
		checked := map[string]bool{}
		for id := range RequestID(20) {
			b.HandleRequest(0, Request{ID: id + 1, Class: "safe", Key: "k", Expires: time.Second}, rec)
			for _, p := range rec.take("check") {
				checked[p] = true
			}
		}
		if same := len(checked) == sampleSize; same != affinity {
			t.Errorf("key affinity %v: rounds for one key sampled %d endpoints; want sampleSize with affinity, more without", affinity, len(checked))
		}
	}
}
