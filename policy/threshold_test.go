package policy

import (
	"slices"
	"testing"
	"time"
)

func TestThresholdMarksAndSpending(t *testing.T) {
	b, rec := start(t, testConfig(), 4)
	b.HandleRequest(0, Request{ID: 1, Class: "safe", Expires: time.Second}, rec)
	var probes []string
	for _, l := range rec.lines {
		if l[:5] == "probe" {
			probes = append(probes, l[6:])
		}
	}
	if len(probes) != sampleSize {
		t.Fatalf("probes = %v, want %d of them", probes, sampleSize)
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
		t.Error("the send did not spend its mark")
	}
}

// TestWarmKeysHaveHomes guards against spreading a key over servers that each have to learn it anew.
func TestWarmKeysHaveHomes(t *testing.T) {
	for _, warm := range []bool{false, true} {
		cfg := testConfig()
		cfg.KeyAffinity = warm
		b, rec := start(t, cfg, 12)
		probed := map[string]bool{}
		for id := range RequestID(20) {
			b.HandleRequest(0, Request{ID: id + 1, Class: "safe", Key: "k", Expires: time.Second}, rec)
			for _, p := range rec.take("probe") {
				probed[p] = true
			}
		}
		if homes := len(probed) == sampleSize; homes != warm {
			t.Errorf("warm keys %v: rounds for one key asked %d servers", warm, len(probed))
		}
	}
}
