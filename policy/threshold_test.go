package policy

import (
	"slices"
	"testing"
	"time"
)

// TestThresholdMarksAndMarkSpending: the shortest queue of a round is the threshold, and an attempt takes the mark that it went by.
func TestThresholdMarksAndMarkSpending(t *testing.T) {
	b, rec := start(t, testConfig(), 4)
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
		t.Errorf("threshold = %v, want 3, the shortest of the round", b.jbt.threshold)
	}
	for id, want := range map[EndpointID]bool{"s0": false, "s1": false, "s2": true, "s3": false} {
		if got := b.endpoints[id].marked; got != want {
			t.Errorf("%s marked = %v, want %v", id, got, want)
		}
	}
	b.healthChecks.credit = -10 // no further round
	b.HandleRequest(0, Request{ID: 2, Class: "safe", Expires: time.Second}, rec)
	if got := rec.take("send"); !slices.Equal(got, []string{"send 2 s2"}) {
		t.Errorf("sent %v, want the marked s2", got)
	}
	if b.endpoints["s2"].marked {
		t.Error("the attempt did not take its mark")
	}
}

// TestKeyAffinitySamplesTheKeysEndpoints guards against spreading a key over endpoints that each have to learn it anew.
func TestKeyAffinitySamplesTheKeysEndpoints(t *testing.T) {
	for _, affinity := range []bool{false, true} {
		cfg := testConfig()
		cfg.KeyAffinity = affinity
		b, rec := start(t, cfg, 12)
		checked := map[string]bool{}
		for id := range RequestID(20) {
			b.HandleRequest(0, Request{ID: id + 1, Class: "safe", Key: "k", Expires: time.Second}, rec)
			for _, p := range rec.take("check") {
				checked[p] = true
			}
		}
		if same := len(checked) == sampleSize; same != affinity {
			t.Errorf("key affinity %v: rounds for one key sampled %d endpoints", affinity, len(checked))
		}
	}
}
