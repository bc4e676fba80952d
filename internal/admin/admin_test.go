package admin

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"sorrelrudder/internal/metrics"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// process is a fake Process.
type process struct{ unready atomic.Bool }

func (p *process) Ready() error {
	if p.unready.Load() {
		return errors.New("no list of servers yet")
	}
	return nil
}

func (p *process) Vars() Vars {
	return Vars{Results: map[string]metrics.ClassCounts{"order": {Succeeded: 812}}, Forwards: 820, Outstanding: 14, Discovered: 3, Ejected: 1}
}

// open starts an admin server for a process, and returns the process and the server's address.
func open(t *testing.T) (*process, string) {
	t.Helper()
	p := &process{}
	d, err := Listen("127.0.0.1:0", p, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		d.Close(ctx)
	})
	return p, d.Addr().String()
}

// call sends a request on a connection of its own and returns the status and body of the response.
func call(t *testing.T, addr, method, path string) (int, string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(c, method+" "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(c)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("read after the response: got %v, want EOF", err)
	}
	return resp.StatusCode, string(body)
}

// TestCalls guards against wrong status codes and bodies of the paths, and against a connection that stays open after its response.
func TestCalls(t *testing.T) {
	p, addr := open(t)
	if status, _ := call(t, addr, "GET", "/_ready"); status != 200 {
		t.Errorf("/_ready of a ready process: got status %d, want 200", status)
	}
	p.unready.Store(true)
	if status, body := call(t, addr, "GET", "/_ready"); status != 503 || !strings.Contains(body, "no list") {
		t.Errorf("/_ready of a process that is not ready: got status %d, body %q, want 503 and the reason", status, body)
	}
	status, body := call(t, addr, "GET", "/_vars")
	const want = `{"results":{"order":{"succeeded":812,"declined":0,"aborted":0}},"forwards":820,"outstanding":14,"discovered":3,"ejected":1}`
	if status != 200 || strings.TrimSpace(body) != want {
		t.Errorf("/_vars: got status %d, body %s, want 200 and the metrics", status, body)
	}
	if status, _ := call(t, addr, "GET", "/other"); status != 404 {
		t.Errorf("unknown path: got status %d, want 404", status)
	}
	if status, _ := call(t, addr, "POST", "/_vars"); status != 405 {
		t.Errorf("wrong method: got status %d, want 405", status)
	}
}

// TestSilentClients guards against clients that never complete a request and thereby block other clients.
func TestSilentClients(t *testing.T) {
	_, addr := open(t)
	for i := range 4 * MaxConnections {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			_, _ = io.WriteString(c, "GET /_va") // the connection may have been closed in favor of a later one
		}
	}
	if status, _ := call(t, addr, "GET", "/_ready"); status != 200 {
		t.Errorf("/_ready beside silent clients: got status %d, want 200", status)
	}
}
