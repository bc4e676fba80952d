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

// trainNeverReused trains the idle policy with connections of a pool that are never reused.
func (r *testServer) trainNeverReused(id PoolID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for range 2000 {
		for k := keepalive.NoRequest; k <= keepalive.SeveralRequests; k++ {
			w := r.idlePolicy.BeginIdle(r.now(), id, k)
			r.idlePolicy.EndIdle(id, k, w, keepalive.MaxIdle, false)
		}
	}
}

// TestPipelinedBeforeClose guards against closing a connection after a response although the next request has already arrived.
func TestPipelinedBeforeClose(t *testing.T) {
	s := start(t, 256, nil)
	s.trainNeverReused('h')
	c := s.dial(t)
	text := get("h", "a") + get("h", "b") + get("h", "c")
	for i, want := range []string{"a", "b", "c"} {
		resp, body := c.roundTrip(t, text)
		text = ""
		if resp.StatusCode != http.StatusOK || body != want {
			t.Fatalf("request %s: got status %d, body %q", want, resp.StatusCode, body)
		}
		if resp.Close && i < 2 {
			t.Fatalf("the connection closed after response %s, although more requests had arrived", want)
		}
	}
}

// lateListener accepts connections on which the next read, once late is set, returns a timeout error just when bytes have arrived.
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

// TestRequestAsIdleLimitEnds guards against losing a request that arrives exactly when the idle timeout of its connection expires.
func TestRequestAsIdleLimitEnds(t *testing.T) {
	var late atomic.Bool
	s := start(t, 256, func(ln net.Listener) net.Listener { return &lateListener{ln, &late} })
	c := s.dial(t)
	if resp, _ := c.roundTrip(t, get("h", "a")); resp.StatusCode != http.StatusOK {
		t.Fatal("request was not served")
	}
	late.Store(true)
	// The server may already be blocked in a read when late is set. Then the read of the second request is the late one.
	for _, id := range []string{"b", "c"} {
		if resp, body := c.roundTrip(t, get("h", id)); resp.StatusCode != http.StatusOK || body != id {
			t.Fatalf("request %s: got status %d, body %q", id, resp.StatusCode, body)
		}
	}
	if late.Load() {
		t.Fatal("no read timed out late, so the test did not exercise the case")
	}
}
