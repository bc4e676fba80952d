package downstream

import (
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"sorrelrudder/internal/keepalive"
	"sorrelrudder/internal/process"
)

// teachNeverReused teaches the idle policy that connections of a pool are not used again.
func (r *running) teachNeverReused(o PoolID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for range 2000 {
		for k := keepalive.NoRequest; k <= keepalive.SeveralRequests; k++ {
			w := r.idlePolicy.BeginIdle(r.now(), o, k)
			r.idlePolicy.EndIdle(o, k, w, keepalive.MaxIdle, false)
		}
	}
}

// TestPipelinedBeforeClose guards against closing with its answer a connection on which the next request is there already.
func TestPipelinedBeforeClose(t *testing.T) {
	s := start(t, 256, nil)
	s.teachNeverReused('h')
	c := s.dial(t)
	text := get("h", "a") + get("h", "b") + get("h", "c")
	for i, want := range []string{"a", "b", "c"} {
		resp, body := c.ask(t, text)
		text = ""
		if resp.StatusCode != http.StatusOK || body != want {
			t.Fatalf("%s: got %d %q", want, resp.StatusCode, body)
		}
		if resp.Close && i < 2 {
			t.Fatalf("closed after %s, with more requests there", want)
		}
	}
}

// lateListener gives connections of which a read ends by its deadline just as bytes have come.
type lateListener struct {
	net.Listener
	late *atomic.Bool
}

func (l *lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateConn{c.(*net.TCPConn), l.late}, nil
}

type lateConn struct {
	*net.TCPConn
	late *atomic.Bool
}

func (c *lateConn) Read(p []byte) (int, error) {
	if c.late.Swap(false) {
		for process.NothingToRead(c.TCPConn) {
			time.Sleep(time.Millisecond)
		}
		return 0, os.ErrDeadlineExceeded
	}
	return c.TCPConn.Read(p)
}

// TestRequestAsIdleLimitEnds guards against losing a request that comes exactly as the wait of its connection is over.
func TestRequestAsIdleLimitEnds(t *testing.T) {
	var late atomic.Bool
	s := start(t, 256, func(ln net.Listener) net.Listener { return &lateListener{ln, &late} })
	c := s.dial(t)
	if resp, _ := c.ask(t, get("h", "a")); resp.StatusCode != http.StatusOK {
		t.Fatal("not served")
	}
	late.Store(true)
	// The reader of the server may be in a read already: a request on another connection is then the late one.
	for _, id := range []string{"b", "c"} {
		if resp, body := c.ask(t, get("h", id)); resp.StatusCode != http.StatusOK || body != id {
			t.Fatalf("%s: got %d %q", id, resp.StatusCode, body)
		}
	}
	if late.Load() {
		t.Fatal("no read ended late: nothing was shown")
	}
}
