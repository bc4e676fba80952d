package fake

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestDiscovery guards against a discovery that does not speak the platform's protocol: whole list first, then changes, those
// that left among them, later if it is late.
func TestDiscovery(t *testing.T) {
	recorder := NewEffectRecorder()
	d, err := StartDiscovery(recorder, Endpoint{Host: "a", Address: "x", Health: "active"}, Endpoint{Host: "b", Address: "y", Health: "active"})
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	resp, err := http.Get("http://" + d.Addr() + "/v1/servers?follow=1&since=0")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	next := func(want ...string) {
		t.Helper()
		for lines.Scan() && len(lines.Text()) == 0 {
		}
		for _, w := range want {
			if !strings.Contains(lines.Text(), w) {
				t.Errorf("%s lacks %s", lines.Text(), w)
			}
		}
	}
	next(`"whole":true`, `"host":"a"`, `"host":"b"`)
	d.SetEndpoints(Endpoint{Host: "b", Address: "y", Health: "leaving"})
	next(`"whole":false`, `"health":"left"`, `"health":"leaving"`)
	d.SetDelay(50 * time.Millisecond)
	began := time.Now()
	d.SetEndpoints(Endpoint{Host: "c", Address: "z", Health: "active"})
	next(`"host":"c"`, `"host":"b"`)
	if spent := time.Since(began); spent < 50*time.Millisecond {
		t.Errorf("told after %v, want it 50ms late", spent)
	}
	whole, err := http.Get("http://" + d.Addr() + "/v1/servers")
	if err != nil {
		t.Fatal(err)
	}
	text, _ := io.ReadAll(whole.Body)
	whole.Body.Close()
	if strings.Contains(string(text), `"left"`) || !strings.Contains(string(text), `"c"`) {
		t.Errorf("the whole list is %s", text)
	}
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	if recorder.backends["a"].drainingSince.IsZero() || !recorder.backends["c"].drainingSince.IsZero() {
		t.Error("the recorder does not have what discovery notified of")
	}
	http.DefaultClient.CloseIdleConnections()
}
