package fake

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestDiscovery guards against a discovery fake that deviates from the platform's protocol. A watch starts with the full list.
// Then it sends changes, including endpoints that have left. With a delay set, it sends changes only after the delay.
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
				t.Errorf("message %s does not contain %s", lines.Text(), w)
			}
		}
	}
	next(`"whole":true`, `"host":"a"`, `"host":"b"`)
	d.SetEndpoints(Endpoint{Host: "b", Address: "y", Health: "leaving"})
	next(`"whole":false`, `"health":"left"`, `"health":"leaving"`)
	d.SetDelay(50 * time.Millisecond)
	start := time.Now()
	d.SetEndpoints(Endpoint{Host: "c", Address: "z", Health: "active"})
	next(`"host":"c"`, `"host":"b"`)
	if elapsed := time.Since(start); elapsed < 50*time.Millisecond {
		t.Errorf("change sent after %v, want at least 50ms", elapsed)
	}
	fullList, err := http.Get("http://" + d.Addr() + "/v1/servers")
	if err != nil {
		t.Fatal(err)
	}
	text, _ := io.ReadAll(fullList.Body)
	fullList.Body.Close()
	if strings.Contains(string(text), `"left"`) || !strings.Contains(string(text), `"c"`) {
		t.Errorf("endpoint list is %s, want it to contain c and no endpoint that has left", text)
	}
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	if recorder.backends["a"].drainingSince.IsZero() || !recorder.backends["c"].drainingSince.IsZero() {
		t.Error("recorder differs from the notifications, want endpoint a draining and endpoint c active")
	}
	http.DefaultClient.CloseIdleConnections()
}
