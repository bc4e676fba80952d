package sidecar

import (
	"net/http"
	"strings"
	"testing"
)

// TestTwoDeployments guards against anything of one deployment that shows in another: two sidecars of different settings in one
// process side by side, and one after the other.
func TestTwoDeployments(t *testing.T) {
	servers := map[string]*upstream{"check": startUpstream(t, echo), "manifest": startUpstream(t, echo)}
	begin := func(class string) *running {
		cfg := config(t, "127.0.0.1:1", 256, listOf(t, servers[class]))
		for i := range cfg.Settings.Config.Classes {
			if c := &cfg.Settings.Config.Classes[i]; c.Name == "check" {
				c.Name = class
			}
		}
		return start(t, cfg)
	}
	ask := func(s *running, class, id string) int {
		t.Helper()
		status, _ := s.dial(t).ask(t, strings.Replace(get(id), "/check", "/"+class, 1))
		return status
	}
	only := func(s *running, own, other, id string) {
		t.Helper()
		if status := ask(s, own, id); status != http.StatusOK {
			t.Errorf("%s at its own sidecar: %d", own, status)
		}
		if status := ask(s, other, id+"-other"); status != http.StatusNotFound {
			t.Errorf("%s at the sidecar of %s: %d, want none such", other, own, status)
		}
		f := s.Vars()
		if _, is := f.Results[other]; is || f.Discovered != 1 {
			t.Errorf("the figures of %s: %+v", own, f)
		}
	}
	first, second := begin("check"), begin("manifest")
	only(first, "check", "manifest", "a")
	only(second, "manifest", "check", "b")
	first.end()
	<-first.ended
	only(second, "manifest", "check", "c")
	only(begin("check"), "check", "manifest", "d")
	for class, ids := range map[string]string{"check": "ad", "manifest": "bc"} {
		for range ids {
			if id := <-servers[class].seen; !strings.Contains(ids, id) {
				t.Errorf("the server of %s was sent %s", class, id)
			}
		}
	}
}
