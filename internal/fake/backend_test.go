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

// sendRequest sends a request to addr on a connection of its own. Status 0 means that no answer could be read.
func sendRequest(t *testing.T, addr, class, id, key string) (status int, header http.Header, body string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return 0, nil, ""
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	more := ""
	if key != "" {
		more = "Idempotency-Key: " + key + "\r\n"
	}
	fmt.Fprintf(c, "GET /%s HTTP/1.1\r\nHost: h\r\nX-Request-ID: %s\r\n%s\r\n", class, id, more)
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
			t.Errorf("%s: %d and %d effects, want %d and %d", c.fault, status, effects, c.status, c.effects)
		}
		if turned := header.Get("X-Not-Processed") == "1"; turned != (c.status == 503) {
			t.Errorf("%s: X-Not-Processed is %v", c.fault, turned)
		}
		if status == 200 && (body != ResponseBody("book", id, "") || header.Get("X-Server-Load") == "") {
			t.Errorf("%s: %q, load %q", c.fault, body, header.Get("X-Server-Load"))
		}
	}
	b.SetFault(Fault{Kind: FaultUnanswered, Fraction: 1})
	recorder.RecordSent(recorder.BeginOperation(NonIdempotent), "silent", testTimeout)
	c, err := net.Dial("tcp", b.Addr())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "GET /book HTTP/1.1\r\nHost: h\r\nX-Request-ID: silent\r\n\r\n")
	waitFor(t, "the effect of a request that is not answered", func() bool {
		recorder.mu.Lock()
		defer recorder.mu.Unlock()
		return recorder.attempts["silent"].effects == 1
	})
	c.Close()
	waitFor(t, "its connection to end", func() bool { return b.Connections() == 0 })
	b.SetFault(Fault{})
	b.Drain(true)
	recorder.RecordSent(recorder.BeginOperation(NonIdempotent), "draining", testTimeout)
	if status, header, _ := sendRequest(t, b.Addr(), "book", "draining", ""); status != 503 || header.Get("X-Not-Processed") != "1" {
		t.Errorf("a draining backend answers %d", status)
	}
	for _, text := range []string{"", "breaks", "errors 2", "errors x", "slow 1 soon", "slow 1 1s 3"} {
		if _, err := ParseFault(text); err == nil {
			t.Errorf("%q is no fault", text)
		}
	}
}

// TestBackendQueue guards against a backend that takes more than it has cores and room to wait for.
func TestBackendQueue(t *testing.T) {
	b := startTestBackend(t, BackendConfig{Name: "box", Cores: 2, QueueLimit: 3, ServiceTime: 200 * time.Millisecond})
	var all sync.WaitGroup
	var served, turned atomic.Int32
	for i := range 20 {
		all.Go(func() {
			switch status, _, _ := sendRequest(t, b.Addr(), "check", strconv.Itoa(i), ""); status {
			case 200:
				served.Add(1)
			case 503:
				turned.Add(1)
			}
		})
	}
	all.Wait()
	if served.Load() < 5 || turned.Load() == 0 || served.Load()+turned.Load() != 20 {
		t.Errorf("%d served and %d turned away of 20 at once, want at least 5 and some", served.Load(), turned.Load())
	}
}
