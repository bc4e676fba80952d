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
	b.servers["s0"].State = Draining
	for _, id := range []EndpointID{"s0", "nobody", "s3"} {
		b.HandleUnreachableHint(time.Second, id)
	}
	if len(b.servers) != 9 || b.servers["s0"].ejected != 0 {
		t.Error("a server that is not on the list, or drains, was touched")
	}
	s := b.servers["s3"]
	if !b.leftOut(time.Second, s) || s.fails != 0 || s.marked {
		t.Fatalf("%+v", s)
	}
	if b.HandleHealthCheck(1100*time.Millisecond, HealthCheckResult{Endpoint: "s3", Load: &LoadReport{}}, rec); !b.leftOut(1100*time.Millisecond, s) {
		t.Error("what was on its way before the hint ends it")
	}
	if !b.leftOut(time.Minute, s) {
		t.Error("time alone ends it")
	}
	if b.HandleHealthCheck(2*time.Second, HealthCheckResult{Endpoint: "s3", Load: &LoadReport{}}, rec); b.leftOut(2*time.Second, s) {
		t.Error("an answered probe does not end it")
	}
	if b.HandleUnreachableHint(2*time.Second+firstEject-1, "s3"); b.leftOut(2*time.Second+firstEject-1, s) {
		t.Error("hearsay is believed against an answer of late")
	}
	for i := range 9 {
		b.HandleUnreachableHint(3*time.Second, EndpointID(fmt.Sprint("s", i)))
	}
	if n := b.countLeftOut(3 * time.Second); n != 3 {
		t.Errorf("a liar takes %d of 9 servers", n)
	}
	cfg := testConfig()
	cfg.HealthChecksAllowed = false // nothing would find out that it is not so
	b, _ = start(t, cfg, 9)
	if b.HandleUnreachableHint(0, "s3"); b.servers["s3"].ejected != 0 {
		t.Error("hearsay is believed where no probe can prove it wrong")
	}
}
