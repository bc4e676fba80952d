package fake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// startTestBackend starts a backend and closes it at the end of the test. QueueLimit defaults to 10.
func startTestBackend(t *testing.T, cfg BackendConfig) *Backend {
	t.Helper()
	if cfg.QueueLimit == 0 {
		cfg.QueueLimit = 10
	}
	b, err := StartBackend(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	return b
}

// sendRequest sends a request to addr on a new connection. Status 0 means that no response could be read.
func sendRequest(t *testing.T, addr, class, id, key string) (status int, header http.Header, body string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return 0, nil, ""
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	keyField := ""
	if key != "" {
		keyField = "Idempotency-Key: " + key + "\r\n"
	}
	fmt.Fprintf(c, "GET /%s HTTP/1.1\r\nHost: h\r\nX-Request-ID: %s\r\n%s\r\n", class, id, keyField)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, nil, ""
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, ""
	}
	return resp.StatusCode, resp.Header, string(b)
}

// TestBackendFaults guards against a backend that does not inject the configured fault, or that executes a request although the
// fault excludes it.
func TestBackendFaults(t *testing.T) {
	recorder := NewEffectRecorder()
	b := startTestBackend(t, BackendConfig{Name: "box", Idempotency: map[string]Idempotency{"book": NonIdempotent}, Recorder: recorder})
	for i, c := range []struct {
		fault   string
		status  int
		effects int
	}{
		{"errors", 500, 0}, {"turns away", 503, 0}, {"resets", 0, 1}, {"spoils", 0, 1}, {"slow 1 20ms", 200, 1}, {"errors 0", 200, 1},
	} {
		f, err := ParseFault(c.fault)
		if err != nil {
			t.Fatal(err)
		}
		b.SetFault(f)
		id := fmt.Sprint("f", i)
		recorder.RecordSent(recorder.BeginOperation(NonIdempotent), id, testTimeout)
		status, header, body := sendRequest(t, b.Addr(), "book", id, "")
		recorder.mu.Lock()
		effects := recorder.attempts[id].effects
		recorder.mu.Unlock()
		if status != c.status || effects != c.effects {
			t.Errorf("fault %s: status %d and %d effects, want status %d and %d effects", c.fault, status, effects, c.status, c.effects)
		}
		if rejected := header.Get("X-Not-Processed") == "1"; rejected != (c.status == 503) {
			t.Errorf("fault %s: X-Not-Processed present is %v, want it only with status 503", c.fault, rejected)
		}
		if status == 200 && (body != ResponseBody("book", id, "") || header.Get("X-Server-Load") == "") {
			t.Errorf("fault %s: body %q and X-Server-Load %q, want the body of the request and a load report", c.fault, body, header.Get("X-Server-Load"))
		}
	}
	b.SetFault(Fault{Kind: FaultUnanswered, Fraction: 1})
	recorder.RecordSent(recorder.BeginOperation(NonIdempotent), "silent", testTimeout)
	c, err := net.Dial("tcp", b.Addr())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "GET /book HTTP/1.1\r\nHost: h\r\nX-Request-ID: silent\r\n\r\n")
	waitFor(t, "the effect of an unanswered request", func() bool {
		recorder.mu.Lock()
		defer recorder.mu.Unlock()
		return recorder.attempts["silent"].effects == 1
	})
	c.Close()
	waitFor(t, "the connection of the unanswered request to end", func() bool { return b.Connections() == 0 })
	b.SetFault(Fault{})
	b.Drain(true)
	recorder.RecordSent(recorder.BeginOperation(NonIdempotent), "draining", testTimeout)
	if status, header, _ := sendRequest(t, b.Addr(), "book", "draining", ""); status != 503 || header.Get("X-Not-Processed") != "1" {
		t.Errorf("draining backend: status %d, want 503 with X-Not-Processed", status)
	}
	for _, text := range []string{"", "breaks", "errors 2", "errors x", "slow 1 soon", "slow 1 1s 3"} {
		if _, err := ParseFault(text); err == nil {
			t.Errorf("ParseFault(%q): got no error", text)
		}
	}
}

// TestBackendQueue guards against a backend that accepts more requests than its cores and queue have room for.
func TestBackendQueue(t *testing.T) {
	b := startTestBackend(t, BackendConfig{Name: "box", Cores: 2, QueueLimit: 3, ServiceTime: 200 * time.Millisecond})
	var requests sync.WaitGroup
	var served, rejected atomic.Int32
	for i := range 20 {
		requests.Go(func() {
			switch status, _, _ := sendRequest(t, b.Addr(), "check", strconv.Itoa(i), ""); status {
			case 200:
				served.Add(1)
			case 503:
				rejected.Add(1)
			}
		})
	}
	requests.Wait()
	if served.Load() < 5 || rejected.Load() == 0 || served.Load()+rejected.Load() != 20 {
		t.Errorf("%d served and %d rejected of 20 concurrent requests, want at least 5 served, at least 1 rejected and 20 in total", served.Load(), rejected.Load())
	}
}
