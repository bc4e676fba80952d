package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestFleetCountsOverLogs guards against statistics of several processes that are not added up by interval, and against logs that fail as a
// whole because of a line that has no statistics or is cut off.
func TestFleetCountsOverLogs(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{
		"a.log": "x time=2026-01-02T03:04:05.0Z level=INFO msg=figures pool=p taken=3 aim=2 refused=1 listed=60 warming=30 avoided=1 open=0 usual=100ms short=0.50\n" +
			"time=2026-01-02T03:04:06.2Z level=INFO msg=figures pool=q taken=9 listed=60 warming=0 avoided=0 open=0 usual=100ms short=0.00\n",
		"b.log": "not a line\ntime=2026-01-02T03:04:05.9Z level=INFO msg=figures pool=p taken=1 dials=4 listed=60 warming=0 avoided=0 open=0 usual=300ms short=0.10\ntime=2026-01-02T03:04:06.5Z level=INFO msg=fig",
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	code, out, errs := runCLI("fleet", "--json", "--pool", "p", dir)
	want := `{"at_s":0,"processes":2,"counts":{"again":0,"aim":2,`
	if code != 0 || !strings.HasPrefix(out, want) || strings.Count(out, "\n") != 1 || !strings.Contains(out, `"taken":4,`) ||
		!strings.Contains(out, `"usual_ms":150,`) || !strings.Contains(out, `"warming_each":15,`) || !strings.Contains(out, `"dials":4,`) {
		t.Errorf("exit %d\n%s%s", code, out, errs)
	}
	if code, out, errs = runCLI("fleet", dir); code != 0 || !strings.Contains(out, "all") || !strings.Contains(out, "13") {
		t.Errorf("exit %d\n%s%s", code, out, errs)
	}
	if code, _, errs = runCLI("fleet", "--pool", "none", dir); code != 1 || !strings.Contains(errs, "figures_every") {
		t.Errorf("exit %d: %s", code, errs)
	}
	if code, _, errs = runCLI("fleet", dir+"/none"); code != 2 {
		t.Errorf("exit %d: %s", code, errs)
	}
}

// TestFleetCountsSharedState guards against wrong totals of shared state: what was sent is added up over all processes, and of the other
// fields the worst value of all processes counts.
func TestFleetCountsSharedState(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{
		"a.log": "time=2026-01-02T03:04:05.0Z level=INFO msg=\"shared state\" tier=a frames=5 bytes=700 in_step_ms=100 decided_ms=50 alive=3 suspect=0 gone=0 dead=2 orders=1 hinted=0 differ=0\n",
		"b.log": "time=2026-01-02T03:04:05.5Z level=INFO msg=\"shared state\" tier=b frames=6 bytes=300 in_step_ms=900 decided_ms=-1 alive=2 suspect=1 gone=0 dead=4 orders=1 hinted=0 differ=1\n",
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	code, out, errs := runCLI("fleet", "--json", dir)
	want := `"shared":{"frames":11,"bytes":1000,"most_in_step_ms":900,"most_decided_ms":-1,"fewest_alive":2,"most_dead":4,"differ":1}`
	if code != 0 || !strings.Contains(out, want) {
		t.Errorf("exit %d\n%s%s", code, out, errs)
	}
	if code, out, _ := runCLI("fleet", dir); code != 0 || !strings.Contains(out, "1000") {
		t.Errorf("exit %d\n%s", code, out)
	}
}
