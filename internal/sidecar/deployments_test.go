package sidecar

import (
	"net/http"
	"strings"
	"testing"
)

// TestTwoDeployments guards against state that is shared between sidecars with different settings in one process, whether they run at the
// same time or one after the other.
func TestTwoDeployments(t *testing.T) {
	servers := map[string]*upstream{"check": startUpstream(t, echo), "manifest": startUpstream(t, echo)}
	startForClass := func(class string) *running {
		cfg := config(t, "127.0.0.1:1", 256, listOf(t, servers[class]))
		for i := range cfg.Settings.Config.Classes {
			if c := &cfg.Settings.Config.Classes[i]; c.Name == "check" {
				c.Name = class
			}
		}
		return start(t, cfg)
	}
	roundTrip := func(s *running, class, id string) int {
		t.Helper()
		status, _ := s.dial(t).roundTrip(t, strings.Replace(get(id), "/check", "/"+class, 1))
		return status
	}
	assertSeparate := func(s *running, own, other, id string) {
		t.Helper()
		if status := roundTrip(s, own, id); status != http.StatusOK {
			t.Errorf("class %s at its own sidecar: got status %d, want 200", own, status)
		}
		if status := roundTrip(s, other, id+"-other"); status != http.StatusNotFound {
			t.Errorf("class %s at the sidecar of class %s: got status %d, want 404", other, own, status)
		}
		vars := s.Vars()
		if _, is := vars.Results[other]; is || vars.Discovered != 1 {
			t.Errorf("metrics of the sidecar of class %s contain another class or endpoint: %+v", own, vars)
		}
	}
	first, second := startForClass("check"), startForClass("manifest")
	assertSeparate(first, "check", "manifest", "a")
	assertSeparate(second, "manifest", "check", "b")
	first.end()
	<-first.ended
	assertSeparate(second, "manifest", "check", "c")
	assertSeparate(startForClass("check"), "check", "manifest", "d")
	for class, ids := range map[string]string{"check": "ad", "manifest": "bc"} {
		for range ids {
			if id := <-servers[class].seen; !strings.Contains(ids, id) {
				t.Errorf("the server of class %s received request %s of another class", class, id)
			}
		}
	}
}
