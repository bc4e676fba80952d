package downstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"sorrelrudder/internal/httpmsg"
)

// hookListener gives connections that call after once they have read something, before their reader gets it.
type hookListener struct {
	net.Listener
	after func()
}

func (l *hookListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &hookConn{c.(*net.TCPConn), l.after}, nil
}

type hookConn struct {
	*net.TCPConn
	after func()
}

func (c *hookConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.after()
	}
	return n, err
}

// TestRequestReadBeforeClose guards against closing a connection, for want of descriptors or to drain, of which a
// request has just been read: the kernel has nothing more of it, and the client takes it for lost.
func TestRequestReadBeforeClose(t *testing.T) {
	for name, closing := range map[string]func(*Server){
		"evict": func(s *Server) { s.Evict() },
		"drain": func(s *Server) { s.Drain() },
	} {
		t.Run(name, func(t *testing.T) {
			var hooked atomic.Pointer[Server]
			s := start(t, 256, func(ln net.Listener) net.Listener {
				return &hookListener{ln, func() {
					if s := hooked.Load(); s != nil {
						closing(s)
					}
				}}
			})
			c := s.dial(t)
			for _, id := range []string{"first", "next"} {
				if resp, body := c.ask(t, get("h", id)); resp.StatusCode != http.StatusOK || body != id {
					t.Errorf("%s: got %d %q", id, resp.StatusCode, body)
				}
				hooked.Store(s.Server)
			}
		})
	}
}

// TestDrainOneListener guards against closing what came in elsewhere.
func TestDrainOneListener(t *testing.T) {
	s := start(t, 256, nil)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Serve(context.Background(), ln, 1) // it ends with the listener
	}()
	other := (&running{s.Server, s.handler, ln.Addr().String()}).dial(t)
	stays := s.dial(t)
	for _, c := range []*client{other, stays} {
		if resp, _ := c.ask(t, get("h", "a")); resp.StatusCode != http.StatusOK {
			t.Fatal("not served")
		}
	}
	waitFor(t, "both to be idle", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.idle['h'] != nil && s.idleCount('h') == 2
	})
	ln.Close()
	<-ended
	s.DrainListener(ln)
	if _, err := other.r.ReadByte(); err != io.EOF {
		t.Errorf("got %v, want the end", err)
	}
	if resp, _ := stays.ask(t, get("h", "b")); resp.StatusCode != http.StatusOK {
		t.Error("a connection of another listener was closed")
	}
}

// streamHandler answers each request with the first of a long answer, whose rest never ends by itself.
type streamHandler struct{ echoHandler }

func (h *streamHandler) Admit(*httpmsg.Request) (AdmittedRequest, PoolID, error) {
	return streamRequest{}, 'r', nil
}

type streamRequest struct{}

func (streamRequest) Dispatch([]byte, httpmsg.BodyStream) (Exchange, error) {
	return streamExchange{}, nil
}

func (streamRequest) Release() {}

type streamExchange struct{}

func (streamExchange) Response() <-chan httpmsg.Response {
	c := make(chan httpmsg.Response, 1)
	c <- httpmsg.Response{Status: 200, Body: []byte("first"), Remainder: &endlessStream{closed: make(chan struct{})}}
	return c
}

func (streamExchange) Cancel() bool { return false }

// endlessStream brings a byte now and then.
type endlessStream struct{ closed chan struct{} }

func (*endlessStream) Length() int64 { return -1 }

func (r *endlessStream) Read(p []byte) (int, error) {
	time.Sleep(time.Millisecond)
	p[0] = '.'
	return 1, nil
}

func (r *endlessStream) Close(bool) { close(r.closed) }

// TestCloseUnderStreamedResponse guards against a part of an answer that seems whole, because the server ended under it: to a client that
// knows no chunks, the end of the connection is that of the answer.
func TestCloseUnderStreamedResponse(t *testing.T) {
	for _, version := range []string{"1.0", "1.1"} {
		t.Run("HTTP/"+version, func(t *testing.T) {
			s := startWith(t, &streamHandler{echoHandler{conns: map[PoolID]int{}}}, 64, nil)
			client := s.dial(t)
			client.write("GET /c HTTP/" + version + "\r\nHost: h\r\nX-Request-Id: 1\r\n\r\n")
			resp, err := http.ReadResponse(client.r, nil)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if _, err := io.ReadFull(resp.Body, make([]byte, len("first...."))); err != nil { // some of the rest has come
				t.Fatal(err)
			}
			ended, end := context.WithCancel(context.Background())
			end()
			_ = s.Wait(ended) // closes what is left
			if n, err := io.Copy(io.Discard, resp.Body); err == nil {
				t.Errorf("the answer ends in order %d bytes later", n)
			}
		})
	}
}
