package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"go.uber.org/goleak"

	"sorrelrudder/policy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// noDescriptors is a Descriptors with no descriptor available.
type noDescriptors struct{}

func (noDescriptors) Acquire(ctx context.Context) (func(), error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (noDescriptors) Scarce() bool { return true }

// TestIdleTimeoutByCosts guards against an idle connection that is kept although a new handshake would cost less, or until the endpoint
// closes it. Without a connection cost only the endpoints' idle limit counts.
func TestIdleTimeoutByCosts(t *testing.T) {
	classes := []policy.Class{{LatencyObjective: time.Second}, {LatencyObjective: 200 * time.Millisecond}}
	for name, c := range map[string]struct {
		connection, handshake float64
		want                  time.Duration
	}{
		"free":                  {0, 0.05, 3 * time.Second},
		"expensive handshakes":  {0.05, 5, 3 * time.Second},
		"expensive connections": {5, 0.05, 200 * time.Millisecond},
		"free handshakes":       {5, 0, 0},
	} {
		got := New(policy.Config{ConnIdle: 5 * time.Second, Classes: classes, ConnectionCost: c.connection, HandshakeCost: c.handshake}, noDescriptors{}).idleTimeout
		if got != c.want {
			t.Errorf("%s: idle timeout is %v, want %v", name, got, c.want)
		}
	}
}

// TestDescriptorShortageIsNoConnectFailure guards against ejecting endpoints because this process has no file descriptor left.
func TestDescriptorShortageIsNoConnectFailure(t *testing.T) {
	up := New(policy.Config{DialTimeout: time.Second}, noDescriptors{})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := up.Connect(ctx, NewPeer("127.0.0.1:1", 0), ForHealthCheck, time.Now().Add(time.Minute))
	var want NoDescriptorError
	if !errors.As(err, &want) {
		t.Errorf("Connect without a descriptor returned %v, want a NoDescriptorError", err)
	}
}

// TestRequestText guards against a request that an endpoint would parse differently than intended, and against forwarding the client's
// Content-Length in place of the actual length.
func TestRequestText(t *testing.T) {
	for name, c := range map[string]struct {
		q    Request
		want string
	}{
		"get": {Request{Method: "GET", Target: "/a?b=%2f", Host: "h"}, "GET /a?b=%2f HTTP/1.1\r\nHost: h\r\n\r\n"},
		"body": {Request{Method: "POST", Target: "/a", Host: "h", Body: []byte("hello"), TimeoutMs: 300,
			Header: http.Header{"Content-Length": {"7"}, "X-Timeout-Ms": {"999"}, "X-Request-Id": {"i"}, "Host": {"other"}}},
			"POST /a HTTP/1.1\r\nHost: h\r\nX-Request-Id: i\r\nX-Timeout-Ms: 300\r\nContent-Length: 5\r\n\r\nhello"},
		"no body": {Request{Method: "POST", Target: "/a", Host: "h"}, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"},
		"several": {Request{Method: "GET", Target: "/a", Host: "h", Header: http.Header{"X": {"1", "2"}}}, "GET /a HTTP/1.1\r\nHost: h\r\nX: 1\r\nX: 2\r\n\r\n"},
	} {
		var b bytes.Buffer
		w := bufio.NewWriterSize(&b, 16) // small, so that the request is written in parts
		if err := c.q.write(w); err != nil || b.String() != c.want {
			t.Errorf("%s: error %v, wrote %q, want %q", name, err, b.String(), c.want)
		}
	}
}

// failingWriter accepts a number of bytes and fails beyond them.
type failingWriter struct{ remaining int }

func (w *failingWriter) Write(p []byte) (int, error) {
	if w.remaining -= len(p); w.remaining < 0 {
		return 0, io.ErrClosedPipe
	}
	return len(p), nil
}

// TestRequestNotWritten guards against treating a request as sent when a part of it was not written.
func TestRequestNotWritten(t *testing.T) {
	q := Request{Method: "POST", Target: "/a", Host: "h", Body: bytes.Repeat([]byte("b"), 10000)}
	for _, limit := range []int{0, 20, 5000, 10000} {
		if err := q.write(bufio.NewWriterSize(&failingWriter{limit}, 64)); err == nil {
			t.Errorf("write returned no error although the writer fails after %d bytes", limit)
		}
	}
}
