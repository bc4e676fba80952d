package downstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sorrelrudder/internal/httpmsg"
)

// streamWriter is the http.ResponseWriter of a request on a multiplexed connection. A deadline in the past ends the body, as with HTTP/2.
type streamWriter struct {
	*httptest.ResponseRecorder
	body     *io.PipeReader
	returned atomic.Bool // the handler has returned
	usedLate atomic.Bool // the writer was used after that, where that of HTTP/2 panics
}

func (w *streamWriter) SetReadDeadline(deadline time.Time) error {
	if w.returned.Load() {
		w.usedLate.Store(true)
	}
	if deadline.Before(time.Now()) {
		w.body.CloseWithError(errors.New("read deadline exceeded"))
	}
	return nil
}

func (w *streamWriter) SetWriteDeadline(time.Time) error { return nil }

// uploadHandler admits one request, and passes the remainder of its body to the test. The request ends with the given response, or as its
// client cancels it.
type uploadHandler struct {
	echoHandler
	remainder chan httpmsg.RequestStream
	responses chan httpmsg.Response
}

func (h *uploadHandler) Admit(*httpmsg.Request) (AdmittedRequest, PoolID, error) { return h, 'u', nil }

func (h *uploadHandler) Dispatch(_ []byte, remainder httpmsg.RequestStream) (Exchange, error) {
	h.remainder <- remainder
	return h, nil
}

func (h *uploadHandler) Release() {}

func (h *uploadHandler) Response() <-chan httpmsg.Response { return h.responses }

func (h *uploadHandler) Cancel() bool { return true }

// TestMultiplexedUploadEndsWithHandler guards against reading the rest of an upload after the handler of its request has returned, which
// crashed the process with HTTP/2: a client canceled the request while its body was forwarded, or the endpoint responded early.
func TestMultiplexedUploadEndsWithHandler(t *testing.T) {
	for name, end := range map[string]func(h *uploadHandler, cancel func()){
		"client canceled": func(_ *uploadHandler, cancel func()) { cancel() },
		"early response":  func(h *uploadHandler, _ func()) { h.responses <- httpmsg.Response{Status: http.StatusOK} },
	} {
		for _, reading := range []bool{false, true} {
			readName := map[bool]string{false: ", not reading", true: ", reading"}[reading]
			t.Run(name+readName, func(t *testing.T) { playEndedUpload(t, end, reading) })
		}
	}
}

// readTimeout bounds the wait for a read that must have ended.
const readTimeout = time.Second

// playEndedUpload ends a request by the given function while a part of its body is missing. With reading set, a read waits for that part.
func playEndedUpload(t *testing.T, end func(*uploadHandler, func()), reading bool) {
	t.Helper()
	h := &uploadHandler{
		echoHandler: echoHandler{conns: map[PoolID]int{}}, remainder: make(chan httpmsg.RequestStream, 1), responses: make(chan httpmsg.Response, 1),
	}
	s := startWith(t, h, 16, nil)
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	received, sent := io.Pipe()
	defer sent.Close()
	go sent.Write(make([]byte, httpmsg.MaxBufferedBodyBytes))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/upload", io.NopCloser(received))
	r.ContentLength = 4 * httpmsg.MaxBufferedBodyBytes
	w := &streamWriter{ResponseRecorder: httptest.NewRecorder(), body: received}
	var handler sync.WaitGroup
	handler.Go(func() {
		conn := &clientConn{Conn: near, listener: &serverListener{}}
		m := newMultiplexedConn(s.Server, conn)
		m.poolKnown = true
		m.ServeHTTP(w, r)
		w.returned.Store(true)
	})
	remainder := <-h.remainder
	result := make(chan error, 1)
	read := func() {
		_, err := readAll(remainder)
		result <- err
	}
	if reading {
		go read()
	}
	end(h, cancel)
	handler.Wait()
	if !reading {
		go read()
	}
	select {
	case err := <-result:
		if err == nil {
			t.Error("the incomplete body was read without an error")
		}
	case <-time.After(readTimeout):
		t.Error("the body was still read after the handler had returned")
	}
	if w.usedLate.Load() {
		t.Error("the http.ResponseWriter was used after the handler had returned")
	}
}
