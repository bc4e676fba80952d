package downstream

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"sorrelrudder/internal/httpmsg"
)

// TestRejectedUnread guards against holding memory, or another's answer, for the body of a request that is rejected by its
// header: the rejection goes out before the body has come, and the connection can be used again after it.
func TestRejectedUnread(t *testing.T) {
	s := start(t, 256, nil)
	c := s.dial(t)
	resp, _ := c.ask(t, "POST /full HTTP/1.1\r\nHost: o\r\nContent-Length: 5\r\n\r\n")
	if resp.StatusCode != http.StatusTooManyRequests || resp.Header.Get("Retry-After") != "1.5" {
		t.Fatalf("got %d, Retry-After %q, want 429 and 1.5", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	if resp, body := c.ask(t, "abcde"+get("h", "next")); resp.StatusCode != http.StatusOK || body != "next" {
		t.Errorf("got %d %q after the rejected body", resp.StatusCode, body)
	}
	resp, _ = c.ask(t, "POST /full HTTP/1.1\r\nHost: o\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n")
	if resp.StatusCode != http.StatusTooManyRequests || !resp.Close {
		t.Errorf("got %d, close %v: whether the body comes is not known", resp.StatusCode, resp.Close)
	}
}

// TestPoolWithoutQuota guards against keeping connections of a pool that has all it may: its answers close them, also those that
// reject a body unread, which must still reach the client.
func TestPoolWithoutQuota(t *testing.T) {
	s := start(t, 256, nil)
	resp, body := s.dial(t).ask(t, get("x", "a"))
	if resp.StatusCode != http.StatusOK || body != "a" || !resp.Close {
		t.Errorf("got %d %q, close %v, want an answer that closes", resp.StatusCode, body, resp.Close)
	}
	long := strings.Repeat("b", 60<<10)
	resp, _ = s.dial(t).ask(t, "POST /full HTTP/1.1\r\nHost: x\r\nContent-Length: 61440\r\n\r\n"+long)
	if resp.StatusCode != http.StatusTooManyRequests || !resp.Close {
		t.Errorf("got %d, close %v, want 429 that closes", resp.StatusCode, resp.Close)
	}
	waitFor(t, "the connections to be gone", func() bool { return s.ConnectionCount() == 0 })
}

// pendingHandler takes each request and answers none until its client has left.
type pendingHandler struct {
	echoHandler
	took chan pendingExchange
}

func (h *pendingHandler) Admit(q *httpmsg.Request) (AdmittedRequest, PoolID, error) {
	return pendingRequest{h, q}, 'h', nil
}

type pendingRequest struct {
	h *pendingHandler
	q *httpmsg.Request
}

func (a pendingRequest) Dispatch([]byte, httpmsg.BodyStream) (Exchange, error) {
	x := pendingExchange{a.q, make(chan httpmsg.Response, 1), make(chan struct{}, 1)}
	a.h.took <- x
	return x, nil
}

func (pendingRequest) Release() {}

type pendingExchange struct {
	q        *httpmsg.Request
	answer   chan httpmsg.Response
	canceled chan struct{}
}

func (x pendingExchange) Response() <-chan httpmsg.Response { return x.answer }

func (x pendingExchange) Cancel() bool {
	x.canceled <- struct{}{}
	return true
}

// TestClientGoneBehindBytes guards against a client that is never seen to leave, because it has sent more than its request: with
// it, behind it in the same piece, or later.
func TestClientGoneBehindBytes(t *testing.T) {
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
			h := &pendingHandler{echoHandler{conns: map[PoolID]int{}}, make(chan pendingExchange, 8)}
			r := startWith(t, h, 64, nil)
			client := r.dial(t)
			client.write(c.first)
			x := <-h.took
			if x.q.ClientGone() {
				t.Error("has left before it did")
			}
			client.write(c.then)
			client.Close()
			select {
			case <-x.canceled:
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

// TestLastResponseAndUnreadBytes guards against a reset in place of the end of a connection that has had its last answer, because
// bytes of its client stood unread: a reset may take the answer with it. What comes behind it is for nobody.
func TestLastResponseAndUnreadBytes(t *testing.T) {
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
			client.write(c.first + more)
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
