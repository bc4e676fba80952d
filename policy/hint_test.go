package policy

import (
	"fmt"
	"testing"
	"time"
)

// TestHint: hearsay leaves a server out until a probe of the sidecar's own is answered, and counts as no failure; what names all servers takes
// a third of them at most; one that the list does not name, or that drains, is not touched.
func TestHint(t *testing.T) {
	b, rec := start(t, testConfig(), 9)
	b.endpoints["s0"].State = Draining
	for _, id := range []EndpointID{"s0", "nobody", "s3"} {
		b.HandleUnreachableHint(time.Second, id)
	}
	if len(b.endpoints) != 9 || b.endpoints["s0"].ejectedUntil != 0 {
		t.Error("a server that is not on the list, or drains, was touched")
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
		t.Error("an answered probe does not end it")
	}
	if b.HandleUnreachableHint(2*time.Second+baseEjectionTime-1, "s3"); b.isEjected(2*time.Second+baseEjectionTime-1, s) {
		t.Error("hearsay is believed against an answer of late")
	}
	for i := range 9 {
		b.HandleUnreachableHint(3*time.Second, EndpointID(fmt.Sprint("s", i)))
	}
	if n := b.countEjected(3 * time.Second); n != 3 {
		t.Errorf("a liar takes %d of 9 servers", n)
	}
	cfg := testConfig()
	cfg.HealthChecksAllowed = false // nothing would find out that it is not so
	b, _ = start(t, cfg, 9)
	if b.HandleUnreachableHint(0, "s3"); b.endpoints["s3"].ejectedUntil != 0 {
		t.Error("hearsay is believed where no probe can prove it wrong")
	}
}
