package sidecar

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/keepalive"
)

// longBody is a body of n bytes of which no two parts are alike.
func longBody(n int) []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%d,", i)
	}
	return b.Bytes()[:n]
}

// chunked is body in chunks of so many bytes.
func chunked(body []byte, size int) string {
	var b strings.Builder
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	b.WriteString("0\r\n\r\n")
	return b.String()
}

// TestLongAnswers guards against long answers that come otherwise than they were made, or after which a connection is of no
// use.
func TestLongAnswers(t *testing.T) {
	long := longBody(3<<20 + 17)
	full, beyond := long[:httpmsg.MaxBufferedBodyBytes], long[:httpmsg.MaxBufferedBodyBytes+1]
	withLength := func(body []byte) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	inChunks := func(body []byte, size int) string {
		return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(body, size)
	}
	for name, c := range map[string]struct {
		text string
		want []byte
	}{
		"length":     {withLength(long), long},
		"chunks":     {inChunks(long, 100_000), long},
		"one chunk":  {inChunks(long, len(long)), long},
		"just long":  {withLength(beyond), beyond},
		"just short": {withLength(full), full},
		"just full":  {inChunks(full, 1000), full},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := startUpstream(t, func(*http.Request, []byte) string { return c.text })
			s := start(t, config(t, "127.0.0.1:1", 256, listOf(t, u)))
			answered := askInTurn(t, s, string(c.want))
			waitFor(t, "the figures", func() bool {
				return s.Vars().Results["check"].Succeeded == answered && s.Vars().Outstanding == 0
			})
			// HTTP/1.0 knows no chunks: the end of the connection is that of the answer.
			old := s.dial(t)
			if status, body := old.ask(t, strings.Replace(get("old"), "HTTP/1.1", "HTTP/1.0", 1)); status != 200 || body != string(c.want) {
				t.Errorf("to HTTP/1.0: %d and %d bytes, want %d", status, len(body), len(c.want))
			}
		})
	}
}

// askInTurn asks until three requests in a row were answered with want on one connection, and returns how many were answered in all.
func askInTurn(t *testing.T, s *running, want string) (answered int64) {
	t.Helper()
	const most = 3
	asked := 0
	for inTurn, until := 0, time.Now().Add(patience); inTurn < most; {
		c := s.dial(t)
		sent := time.Now()
		for inTurn = 0; inTurn < most; inTurn++ { //nolint:intrange // inTurn is read behind the loop
			before := sent
			sent = time.Now()
			asked++
			status, body := c.ask(t, get(strconv.Itoa(asked)))
			if status == 0 && inTurn > 0 && time.Since(before) >= keepalive.MaxIdle && time.Now().Before(until) {
				t.Logf("answer %d: this machine stood still, and the connection was idle for longer than any may be", inTurn)
				break
			}
			if status != 200 || body != want {
				t.Fatalf("answer %d: %d and %d bytes, want %d", inTurn, status, len(body), len(want))
			}
			answered++
		}
	}
	return answered
}

// TestLongAnswerAsItComes guards against holding back what of a long answer has come, until more does.
func TestLongAnswerAsItComes(t *testing.T) {
	long := longBody(300_000)
	for _, head := range []string{"Content-Length: 300000", "Transfer-Encoding: chunked"} {
		t.Run(head, func(t *testing.T) {
			t.Parallel()
			more := make(chan struct{})
			u := startWriter(t, func(c net.Conn, _ *http.Request, _ []byte) {
				send(c, "HTTP/1.1 200 OK\r\n"+head+"\r\n\r\n")
				if strings.HasPrefix(head, "T") {
					fmt.Fprintf(c, "%x\r\n", len(long)) // one chunk, which comes in two pieces
				}
				send(c, long[:100_000])
				<-more
				send(c, long[100_000:])
				if strings.HasPrefix(head, "T") {
					send(c, "\r\n0\r\n\r\n")
				}
			})
			s := start(t, config(t, "127.0.0.1:1", 256, listOf(t, u)))
			c := s.dial(t)
			send(c, get("a"))
			resp, err := http.ReadResponse(c.r, nil)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			first := make([]byte, 100_000)
			for n := 0; n < len(first); { // one byte at a time of what a chunk may still hold back in this reader
				k, err := resp.Body.Read(first[n : n+1])
				if err != nil {
					t.Fatalf("after %d bytes: %v", n, err)
				}
				n += k
			}
			if n := s.Vars().Outstanding; n != 1 {
				t.Errorf("%d requests are outstanding, want 1", n)
			}
			close(more)
			rest, err := io.ReadAll(resp.Body)
			if err != nil || !bytes.Equal(append(first, rest...), long) {
				t.Errorf("%v, %d bytes", err, len(first)+len(rest))
			}
		})
	}
}

// TestLongAnswerBreaksOff guards against passing on a part of a long answer so that it seems whole.
func TestLongAnswerBreaksOff(t *testing.T) {
	for name, head := range map[string]string{"length": "Content-Length: 300000", "chunks": "Transfer-Encoding: chunked"} {
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(name+" to "+version, func(t *testing.T) {
				t.Parallel()
				part := string(longBody(200_000)) // made beforehand: a pause behind the head would break the attempt off before any of it is passed on
				if name == "chunks" {
					part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
				}
				u := startWriter(t, func(c net.Conn, _ *http.Request, _ []byte) {
					send(c, "HTTP/1.1 200 OK\r\n"+head+"\r\n\r\n")
					send(c, part)
					c.Close()
				})
				s := start(t, config(t, "127.0.0.1:1", 256, listOf(t, u)))
				if err := s.askUntilServed(t, version); err == nil {
					t.Error("a part of an answer seems whole")
				}
				waitFor(t, "the figures", func() bool {
					f := s.Vars()
					return f.Results["check"].Failed == 1 && f.Results["check"].Succeeded == 0 && f.Outstanding == 0
				})
			})
		}
	}
}

// askUntilServed asks until an answer is no refusal, and returns what broke that off; nil: it seems whole. On a busy machine a request
// may be refused first, and comes again anew.
func (r *running) askUntilServed(t *testing.T, version string) error {
	t.Helper()
	for i, until := 0, time.Now().Add(patience); ; i++ {
		c := r.dial(t)
		send(c, strings.Replace(get("a"+strconv.Itoa(i)), "HTTP/1.1", version, 1))
		resp, err := http.ReadResponse(c.r, nil)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if err != nil || resp.StatusCode == http.StatusOK || !time.Now().Before(until) {
			return err
		}
	}
}

// TestClientLeavesLongAnswer guards against a server that goes on writing to nobody.
func TestClientLeavesLongAnswer(t *testing.T) {
	ended := make(chan error, 1)
	much := longBody(30_000_000)
	u := startWriter(t, func(c net.Conn, _ *http.Request, _ []byte) {
		send(c, "HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n")
		_, err := c.Write(much)
		ended <- err
	})
	s := start(t, config(t, "127.0.0.1:1", 256, listOf(t, u)))
	c := s.dial(t)
	send(c, get("a"))
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Fatal(err)
	}
	c.Close()
	resp.Body.Close()
	if err := <-ended; err == nil {
		t.Error("the server could write it all")
	}
	waitFor(t, "the end of the request", func() bool { return s.Vars().Outstanding == 0 })
}

// TestLongBodies guards against long bodies that reach a server otherwise than they were sent.
func TestLongBodies(t *testing.T) {
	long := longBody(2<<20 + 5)
	for name, text := range map[string]string{
		"length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(long), long),
		"chunks": "Transfer-Encoding: chunked\r\n\r\n" + chunked(long, 70_001),
		"asked":  fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d\r\n\r\n%s", len(long), long),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var got []byte
			u := startUpstream(t, func(q *http.Request, body []byte) string {
				got = body
				return echo(q, body)
			})
			s := start(t, config(t, "127.0.0.1:1", 256, listOf(t, u)))
			c := s.dial(t)
			if name == "asked" {
				go send(c, post("book", "a", text))
				resp, err := http.ReadResponse(c.r, nil)
				if err != nil || resp.StatusCode != http.StatusContinue {
					t.Fatalf("%v, %+v", err, resp)
				}
				resp.Body.Close() // it has none
				text = ""
			} else {
				text = post("book", "a", text)
			}
			if status, body := c.ask(t, text); status != 200 || body != "a" || !bytes.Equal(got, long) {
				t.Errorf("%d %.20q, the server had %d bytes of %d", status, body, len(got), len(long))
			}
			if f := s.Vars(); f.Forwards != 1 || f.Results["book"].Succeeded != 1 {
				t.Errorf("%+v", f)
			}
			if name == "length" { // its connection goes on
				if status, body := c.ask(t, get("b")); status != 200 || body != "b" {
					t.Errorf("then %d %q", status, body)
				}
			}
		})
	}
}

// TestLongBodyBreaksOff guards against a request whose body broke off and that runs all the same, seems to have run, or leaves
// something behind.
func TestLongBodyBreaksOff(t *testing.T) {
	u := startUpstream(t, echo)
	s := start(t, config(t, "127.0.0.1:1", 256, listOf(t, u)))
	half := post("book", "a", fmt.Sprintf("Content-Length: 1000000\r\n\r\n%s", longBody(400_000)))
	leaves := s.dial(t)
	send(leaves, half)
	waitFor(t, "the request", func() bool { return s.Vars().Outstanding == 1 })
	leaves.Close()
	waitFor(t, "its end", func() bool { return s.Vars().Outstanding == 0 })
	stalls := s.dial(t)
	if status, _ := stalls.ask(t, strings.Replace(half, "ID: a", "ID: b", 1)); status != http.StatusRequestTimeout {
		t.Errorf("a body that stands still: %d, want %d", status, http.StatusRequestTimeout)
	}
	spoilt := s.dial(t)
	if status, _ := spoilt.ask(t, post("book", "c", "Transfer-Encoding: chunked\r\n\r\n"+strings.TrimSuffix(chunked(longBody(400_000), 9999), "0\r\n\r\n")+"zz\r\n")); status != 400 {
		t.Errorf("a spoilt body: %d, want 400", status)
	}
	if n := u.runs.Load(); n != 0 {
		t.Errorf("%d requests ran", n)
	}
	if f := s.Vars(); f.Forwards != 0 || f.Results["book"].Failed != 3 {
		t.Errorf("%+v", f)
	}
	if status, body := s.dial(t).ask(t, get("d")); status != 200 || body != "d" {
		t.Errorf("then %d %q", status, body)
	}
}

// TestServerEndsLongBody guards against a refusal that is not true, and against waiting for a server that has said its say or
// does not read on: what was not sent whole has not run, and may be asked again.
func TestServerEndsLongBody(t *testing.T) {
	for name, f := range map[string]func(c net.Conn){
		"turned away": func(c net.Conn) {
			send(c, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
		},
		"error":  func(c net.Conn) { send(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n") },
		"closes": func(c net.Conn) { c.Close() },
		"stands": func(net.Conn) {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := startUpstream(t, nil)
			u.heads = func(c net.Conn, _ *http.Request) { f(c) }
			s := start(t, config(t, "127.0.0.1:1", 256, listOf(t, u)))
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			c := s.dial(t)
			go func() { // a client that writes on until it is told
				send(c, post("book", "a", "Content-Length: 30000000\r\n\r\n"))
				for piece := longBody(100_000); ctx.Err() == nil; time.Sleep(time.Millisecond) {
					if _, err := c.Write(piece); err != nil {
						return
					}
				}
			}()
			resp, err := http.ReadResponse(c.r, nil)
			if err != nil {
				t.Fatalf("%v, want a refusal", err)
			}
			defer resp.Body.Close()
			if resp.StatusCode != http.StatusServiceUnavailable {
				t.Errorf("%+v, want a refusal", resp)
			}
		})
	}
}
