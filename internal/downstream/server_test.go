package downstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/keepalive"
	"sorrelrudder/internal/process"
)

const patience = 20 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echoHandler answers each request with its id, from the pool that the first letter of its host names.
type echoHandler struct {
	mu    sync.Mutex
	conns map[PoolID]int
}

func (h *echoHandler) Admit(q *httpmsg.Request) (AdmittedRequest, PoolID, error) {
	o := PoolID(q.Host[0])
	if strings.HasPrefix(q.Path, "/full") {
		return nil, o, httpmsg.RejectionError{Status: 429, Text: "full", RetryAfter: 1500 * time.Millisecond}
	}
	return echoAdmission{q}, o, nil
}
func (h *echoHandler) ReadDelay(PoolID, int) time.Duration { return 0 }
func (h *echoHandler) AcquireConnection(o PoolID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if o == 'x' {
		return false
	}
	h.conns[o]++
	return true
}
func (h *echoHandler) ReleaseConnection(o PoolID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.conns[o]--
}
func (h *echoHandler) ConnectionExcess(o PoolID) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return int64(h.conns[o])
}

type echoAdmission struct{ q *httpmsg.Request }

func (a echoAdmission) Dispatch(body []byte, rest httpmsg.BodyStream) (Exchange, error) {
	if rest != nil {
		all, err := io.ReadAll(rest)
		if err != nil {
			return nil, httpmsg.RejectionError{Status: 400, Text: err.Error()}
		}
		body = append(body, all...)
	}
	return echoExchange(a.q.Header.Get("X-Request-Id") + string(body)), nil
}
func (echoAdmission) Release() {}

type echoExchange string

func (e echoExchange) Response() <-chan httpmsg.Response {
	c := make(chan httpmsg.Response, 1)
	c <- httpmsg.Response{Status: 200, Body: []byte(e)}
	return c
}
func (echoExchange) Cancel() bool { return false }

// running is a server on a loopback socket.
type running struct {
	*Server
	handler *echoHandler
	addr    string
}

func start(t *testing.T, descriptors int, wrap func(net.Listener) net.Listener) *running {
	t.Helper()
	h := &echoHandler{conns: map[PoolID]int{}}
	r := startWith(t, h, descriptors, wrap)
	r.handler = h
	return r
}

func startWith(t *testing.T, h Handler, descriptors int, wrap func(net.Listener) net.Listener) *running {
	t.Helper()
	d := process.NewDescriptors(descriptors)
	s := NewServer(h, d, slog.New(slog.DiscardHandler))
	d.SetClientEvictor(s.Evict)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	at := ln
	if wrap != nil {
		at = wrap(ln)
	}
	go func() {
		defer close(ended)
		s.Serve(ctx, at, 2)
	}()
	t.Cleanup(func() {
		cancel()
		ln.Close()
		<-ended
		s.Wait(ctx)
		s.goroutines.Wait()
	})
	return &running{s, nil, ln.Addr().String()}
}

// idleOf counts the idle connections of an owner. The caller holds mu.
func (s *Server) idleOf(o PoolID) (n int) {
	if of := s.idle[o]; of != nil {
		for i := range of {
			n += of[i].Len()
		}
	}
	return n
}

type client struct {
	net.Conn
	r *bufio.Reader
}

func (r *running) dial(t *testing.T) *client {
	t.Helper()
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	return &client{c, bufio.NewReader(c)}
}

func (c *client) ask(t *testing.T, text string) (*http.Response, string) {
	t.Helper()
	io.WriteString(c, text)
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Logf("no answer: %v", err)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal(err)
		}
		return &http.Response{}, ""
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(b)
}

func get(host, id string) string {
	return "GET /check HTTP/1.1\r\nHost: " + host + "\r\nX-Request-ID: " + id + "\r\n\r\n"
}

func waitFor(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}

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
				if resp, body := c.ask(t, get("h", id)); resp.StatusCode != 200 || body != id {
					t.Errorf("%s: got %d %q", id, resp.StatusCode, body)
				}
				hooked.Store(s.Server)
			}
		})
	}
}

// TestSlowHeadsGiveWay guards against clients that begin a request and never end it: while descriptors are wanted they
// must not hold them for as long as a request may take.
func TestSlowHeadsGiveWay(t *testing.T) {
	s := start(t, 64, nil)
	most := int(process.MaxClientDescriptors(64))
	var slow []*client
	begin := func() {
		c := s.dial(t)
		io.WriteString(c, "GET /check HTTP/1.1\r\nHost:")
		slow = append(slow, c)
	}
	for range most {
		begin()
	}
	waitFor(t, "all descriptors of clients to be held by slow heads", func() bool {
		if s.ConnectionCount() < most { // on a busy machine the first of them have made room before the last has come
			begin()
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.waiting[readingConns].Len() >= most-1
	})
	waitFor(t, "an answer beside slow heads", func() bool {
		// A connection that has just come may have to make room before its request is seen; a client then connects anew.
		resp, body := s.dial(t).ask(t, get("h", "quick"))
		return resp.StatusCode == 200 && body == "quick"
	})
	first := slow[0]
	if resp, _ := first.ask(t, ""); resp.StatusCode != 0 && resp.StatusCode != 408 {
		t.Errorf("a slow head was answered %d, want 408 or a close", resp.StatusCode)
	}
}

// TestEvictionGoesByExcess guards against taking the connection of a pool that holds few for one that holds many.
func TestEvictionGoesByExcess(t *testing.T) {
	s := start(t, 256, nil)
	idle := func(o PoolID, n int) { // one after the other: the order in which they come to rest is that of their answers
		t.Helper()
		waitFor(t, "all to be idle", func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.idleOf(o) == n
		})
	}
	meters := s.dial(t)
	meters.ask(t, get("meters", "m"))
	idle('m', 1)
	var orders []*client
	for range 3 {
		c := s.dial(t)
		c.ask(t, get("orders", "o"))
		orders = append(orders, c)
		idle('o', len(orders))
	}
	if !s.Evict() || !s.Evict() {
		t.Fatal("nothing was evicted")
	}
	for _, c := range orders[:2] { // the ones idle longest
		if _, err := c.r.ReadByte(); err != io.EOF {
			t.Errorf("a connection of the pool that holds most brought %v, want its end", err)
		}
	}
	if resp, _ := meters.ask(t, get("meters", "n")); resp.StatusCode != 200 {
		t.Error("the pool with one connection lost it")
	}
	waitFor(t, "the count to go down", func() bool { return s.handler.ConnectionExcess('o') == 1 })
}

// TestRefusedUnread guards against holding memory, or another's answer, for the body of a request that is refused by its
// head: the refusal goes out before the body has come, and the connection can be used again after it.
func TestRefusedUnread(t *testing.T) {
	s := start(t, 256, nil)
	c := s.dial(t)
	resp, _ := c.ask(t, "POST /full HTTP/1.1\r\nHost: o\r\nContent-Length: 5\r\n\r\n")
	if resp.StatusCode != 429 || resp.Header.Get("Retry-After") != "1.5" {
		t.Fatalf("got %d, Retry-After %q, want 429 and 1.5", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	if resp, body := c.ask(t, "abcde"+get("h", "next")); resp.StatusCode != 200 || body != "next" {
		t.Errorf("got %d %q after the refused body", resp.StatusCode, body)
	}
	resp, _ = c.ask(t, "POST /full HTTP/1.1\r\nHost: o\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n")
	if resp.StatusCode != 429 || !resp.Close {
		t.Errorf("got %d, close %v: whether the body comes is not known", resp.StatusCode, resp.Close)
	}
}

// TestCrowdedOut guards against keeping connections of a pool that has all it may: its answers close them, also those that
// refuse a body unread, which must still reach the client.
func TestCrowdedOut(t *testing.T) {
	s := start(t, 256, nil)
	resp, body := s.dial(t).ask(t, get("x", "a"))
	if resp.StatusCode != 200 || body != "a" || !resp.Close {
		t.Errorf("got %d %q, close %v, want an answer that closes", resp.StatusCode, body, resp.Close)
	}
	long := strings.Repeat("b", 60<<10)
	resp, _ = s.dial(t).ask(t, "POST /full HTTP/1.1\r\nHost: x\r\nContent-Length: 61440\r\n\r\n"+long)
	if resp.StatusCode != 429 || !resp.Close {
		t.Errorf("got %d, close %v, want 429 that closes", resp.StatusCode, resp.Close)
	}
	waitFor(t, "the connections to be gone", func() bool { return s.ConnectionCount() == 0 })
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
		s.Serve(context.Background(), ln, 1)
	}()
	other := (&running{s.Server, s.handler, ln.Addr().String()}).dial(t)
	stays := s.dial(t)
	for _, c := range []*client{other, stays} {
		if resp, _ := c.ask(t, get("h", "a")); resp.StatusCode != 200 {
			t.Fatal("not served")
		}
	}
	waitFor(t, "both to be idle", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.idle['h'] != nil && s.idleOf('h') == 2
	})
	ln.Close()
	<-ended
	s.DrainListener(ln)
	if _, err := other.r.ReadByte(); err != io.EOF {
		t.Errorf("got %v, want the end", err)
	}
	if resp, _ := stays.ask(t, get("h", "b")); resp.StatusCode != 200 {
		t.Error("a connection of another listener was closed")
	}
}

// unused teaches the rule that connections of an owner are not used again.
func (r *running) unused(o PoolID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for range 2000 {
		for k := keepalive.NoRequest; k <= keepalive.SeveralRequests; k++ {
			w := r.idlePolicy.BeginIdle(r.now(), o, k)
			r.idlePolicy.EndIdle(o, k, w, keepalive.MaxIdle, false)
		}
	}
}

// TestAskOnce guards against clients that ask once and keep their connection, alone and beside silent ones: theirs must not
// take up all places, here or at the clients.
func TestAskOnce(t *testing.T) {
	for name, silent := range map[string]int{"alone": 0, "beside silent ones": 500} {
		t.Run(name, func(t *testing.T) {
			s := start(t, 384, nil)
			places := int(process.MaxClientDescriptors(384))
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var dialing sync.WaitGroup
			defer dialing.Wait()
			defer cancel()
			if silent > 0 {
				dialing.Go(func() {
					for range silent {
						c, err := net.Dial("tcp", s.addr)
						if err == nil {
							context.AfterFunc(ctx, func() { c.Close() })
						}
						select {
						case <-ctx.Done():
							return
						case <-time.After(2 * time.Millisecond): // some 500 a second
						}
					}
				})
			}
			most := 0
			for i := range 500 {
				for served := false; !served; { // one that makes room before its request is seen connects anew
					resp, body := s.dial(t).ask(t, get("h", "once"))
					served = resp.StatusCode == 200 && body == "once"
				}
				if i >= 250 {
					s.mu.Lock()
					most = max(most, int(s.idleOf('h')))
					s.mu.Unlock()
				}
			}
			if most > places*6/10 { // half of them while no wait has ended yet, and those that explore
				t.Errorf("%d of %d places are held by clients that asked once", most, places)
			}
		})
	}
}

// TestPipelinedBeforeClose guards against closing with its answer a connection on which the next request is there already.
func TestPipelinedBeforeClose(t *testing.T) {
	s := start(t, 256, nil)
	s.unused('h')
	c := s.dial(t)
	text := get("h", "a") + get("h", "b") + get("h", "c")
	for i, want := range []string{"a", "b", "c"} {
		resp, body := c.ask(t, text)
		text = ""
		if resp.StatusCode != 200 || body != want {
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

// TestAskedAsWaitEnds guards against losing a request that comes exactly as the wait of its connection is over.
func TestAskedAsWaitEnds(t *testing.T) {
	var late atomic.Bool
	s := start(t, 256, func(ln net.Listener) net.Listener { return &lateListener{ln, &late} })
	c := s.dial(t)
	if resp, _ := c.ask(t, get("h", "a")); resp.StatusCode != 200 {
		t.Fatal("not served")
	}
	late.Store(true)
	// The reader of the server may be in a read already: a request on another connection is then the late one.
	for _, id := range []string{"b", "c"} {
		if resp, body := c.ask(t, get("h", id)); resp.StatusCode != 200 || body != id {
			t.Fatalf("%s: got %d %q", id, resp.StatusCode, body)
		}
	}
	if late.Load() {
		t.Fatal("no read ended late: nothing was shown")
	}
}

// TestFewerDescriptors guards against keeping more connections than a reload leaves, and against losing requests over it.
func TestFewerDescriptors(t *testing.T) {
	s := start(t, 384, nil)
	var all []*client
	for i := range 80 {
		c := s.dial(t)
		if resp, _ := c.ask(t, get("h", "a")); resp.StatusCode != 200 {
			t.Fatalf("client %d is not served", i)
		}
		all = append(all, c)
	}
	s.descriptors.Resize(96)
	places := int(process.MaxClientDescriptors(96))
	waitFor(t, "connections to go", func() bool { return s.ConnectionCount() <= places })
	for _, c := range all {
		if resp, _ := c.ask(t, get("h", "b")); resp.StatusCode != 200 { // closed: it connects anew
			c = s.dial(t)
			if resp, body := c.ask(t, get("h", "c")); resp.StatusCode != 200 || body != "c" {
				t.Fatalf("got %d %q", resp.StatusCode, body)
			}
		}
	}
}

// heldHandler takes each request and answers none until its client has left.
type heldHandler struct {
	echoHandler
	took chan heldExchange
}

func (h *heldHandler) Admit(q *httpmsg.Request) (AdmittedRequest, PoolID, error) {
	return heldAdmission{h, q}, 'h', nil
}

type heldAdmission struct {
	h *heldHandler
	q *httpmsg.Request
}

func (a heldAdmission) Dispatch([]byte, httpmsg.BodyStream) (Exchange, error) {
	x := heldExchange{a.q, make(chan httpmsg.Response, 1), make(chan struct{}, 1)}
	a.h.took <- x
	return x, nil
}
func (heldAdmission) Release() {}

type heldExchange struct {
	q         *httpmsg.Request
	answer    chan httpmsg.Response
	withdrawn chan struct{}
}

func (x heldExchange) Response() <-chan httpmsg.Response { return x.answer }
func (x heldExchange) Cancel() bool {
	x.withdrawn <- struct{}{}
	return true
}

// TestClientLeavesBehindBytes guards against a client that is never seen to leave, because it has sent more than its request: with
// it, behind it in the same piece, or later.
func TestClientLeavesBehindBytes(t *testing.T) {
	const q = "GET /c HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\n\r\n"
	for name, c := range map[string]struct{ first, then string }{
		"nothing more":               {q, ""},
		"another request with it":    {q + q, ""},
		"another request later":      {q, q},
		"several, piece after piece": {q + q, q + q + q},
		"more than is held, with it": {q + strings.Repeat(q, 2*readBufferBytes/len(q)), ""},
		"more than is held, later":   {q, strings.Repeat(q, 2*readBufferBytes/len(q))},
	} {
		t.Run(name, func(t *testing.T) {
			h := &heldHandler{echoHandler{conns: map[PoolID]int{}}, make(chan heldExchange, 8)}
			r := startWith(t, h, 64, nil)
			client := r.dial(t)
			io.WriteString(client, c.first)
			x := <-h.took
			if x.q.ClientGone() {
				t.Error("has left before it did")
			}
			io.WriteString(client, c.then)
			client.Close()
			select {
			case <-x.withdrawn:
			case <-time.After(patience):
				x.answer <- httpmsg.Response{Status: 200} // or the server would not end
				t.Fatal("it was not seen to leave")
			}
			if !x.q.ClientGone() {
				t.Error("who asks is not told that it has left")
			}
		})
	}
}

// TestLastAnswerAndUnreadBytes guards against a reset in place of the end of a connection that has had its last answer, because
// bytes of its client stood unread: a reset may take the answer with it. What comes behind it is for nobody.
func TestLastAnswerAndUnreadBytes(t *testing.T) {
	for name, c := range map[string]struct{ first, then string }{
		"asked to close":          {"GET /c HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\nConnection: close\r\n\r\n", get("h", "2")},
		"not to be kept":          {get("x", "1"), get("x", "2")},
		"chunked":                 {"POST /c HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", get("h", "2")},
		"not read to its end":     {"POST /full HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
		"malformed":               {"noise\r\n\r\n", "noise"},
		"nothing more is written": {"GET /c HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\nConnection: close\r\n\r\n", ""},
	} {
		t.Run(name, func(t *testing.T) {
			s := start(t, 64, nil)
			client := s.dial(t)
			// More than a reader takes at once, so that some of it stands in the kernel as the connection ends.
			more := strings.Repeat(c.then, (3*readBufferBytes)/max(1, len(c.then)))
			io.WriteString(client, c.first+more)
			resp, _ := client.ask(t, "")
			if resp.StatusCode == 0 {
				t.Fatal("no answer")
			}
			if n, err := io.Copy(io.Discard, client.r); err != nil || n > 0 {
				t.Errorf("behind the answer came %d bytes and %v, want the end alone", n, err)
			}
		})
	}
}

// restHandler answers each request with the first of a long answer, whose rest never ends by itself.
type restHandler struct{ echoHandler }

func (h *restHandler) Admit(*httpmsg.Request) (AdmittedRequest, PoolID, error) {
	return restAdmission{}, 'r', nil
}

type restAdmission struct{}

func (restAdmission) Dispatch([]byte, httpmsg.BodyStream) (Exchange, error) {
	return restExchange{}, nil
}
func (restAdmission) Release() {}

type restExchange struct{}

func (restExchange) Response() <-chan httpmsg.Response {
	c := make(chan httpmsg.Response, 1)
	c <- httpmsg.Response{Status: 200, Body: []byte("first"), Remainder: &endlessRest{closed: make(chan struct{})}}
	return c
}
func (restExchange) Cancel() bool { return false }

// endlessRest brings a byte now and then.
type endlessRest struct{ closed chan struct{} }

func (*endlessRest) Length() int64 { return -1 }
func (r *endlessRest) Read(p []byte) (int, error) {
	time.Sleep(time.Millisecond)
	p[0] = '.'
	return 1, nil
}
func (r *endlessRest) Close(bool) { close(r.closed) }

// TestEndUnderALongAnswer guards against a part of an answer that seems whole, because the server ended under it: to a client that
// knows no chunks, the end of the connection is that of the answer.
func TestEndUnderALongAnswer(t *testing.T) {
	for _, version := range []string{"1.0", "1.1"} {
		t.Run("HTTP/"+version, func(t *testing.T) {
			s := startWith(t, &restHandler{echoHandler{conns: map[PoolID]int{}}}, 64, nil)
			client := s.dial(t)
			io.WriteString(client, "GET /c HTTP/"+version+"\r\nHost: h\r\nX-Request-Id: 1\r\n\r\n")
			resp, err := http.ReadResponse(client.r, nil)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadFull(resp.Body, make([]byte, len("first...."))); err != nil { // some of the rest has come
				t.Fatal(err)
			}
			ended, end := context.WithCancel(context.Background())
			end()
			s.Wait(ended)
			if n, err := io.Copy(io.Discard, resp.Body); err == nil {
				t.Errorf("the answer ends in order %d bytes later", n)
			}
		})
	}
}
