package fake

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
)

// StreamingBackend is a fake server for long responses and request bodies. It answers GET /CLASS/SIZE/ID with SIZE bytes of the
// pattern of the X-Request-ID. It expects the same bytes as the body of POST /CLASS/SIZE/ID.
type StreamingBackend struct {
	pace      Pace
	readLimit int64
	seed      uint64
	server    *http.Server
	addr      string
	serveDone chan struct{}
	completed sync.Map     // *atomic.Int64 by request ID: bodies that were complete and matched the pattern
	corrupt   atomic.Int64 // bodies that differed from the pattern
}

// StartStreamingBackend starts a StreamingBackend. If readLimit is above 0, the backend stops reading a request body after
// readLimit bytes and never answers.
func StartStreamingBackend(pace Pace, readLimit int64, seed uint64) (*StreamingBackend, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &StreamingBackend{
		pace: pace, readLimit: readLimit, seed: seed, addr: listener.Addr().String(), serveDone: make(chan struct{}),
	}
	b.server = &http.Server{Handler: b}
	go func() {
		defer close(b.serveDone)
		b.server.Serve(listener)
	}()
	return b, nil
}

// Addr returns the address where the backend listens.
func (b *StreamingBackend) Addr() string { return b.addr }

// CorruptBodies returns how many request bodies differed from the pattern of their request.
func (b *StreamingBackend) CorruptBodies() int64 { return b.corrupt.Load() }

// CompletedBodies returns how many times the complete body of a request arrived.
func (b *StreamingBackend) CompletedBodies(id string) int64 {
	if n, ok := b.completed.Load(id); ok {
		return n.(*atomic.Int64).Load()
	}
	return 0
}

// Close stops the backend and closes its connections.
func (b *StreamingBackend) Close() {
	b.server.Close()
	<-b.serveDone
}

// ServeHTTP answers requests for a load report, downloads and uploads.
func (b *StreamingBackend) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path == loadReportPath {
		io.WriteString(w, "inflight=0, queue=0")
		return
	}
	parts := strings.Split(request.URL.Path, "/")
	size, err := strconv.ParseInt(parts[min(2, len(parts)-1)], 10, 64)
	id := request.Header.Get("X-Request-Id")
	if err != nil || id == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	rng := rand.New(rand.NewPCG(b.seed, uint64(size)))
	if request.Method == http.MethodGet {
		b.serveDownload(w, request, id, size, rng)
		return
	}
	b.serveUpload(w, request, id, size, rng)
}

// serveDownload answers with the pattern of the request. A response of odd size has no Content-Length.
func (b *StreamingBackend) serveDownload(w http.ResponseWriter, request *http.Request, id string, size int64, rng *rand.Rand) {
	if size%2 == 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	}
	_ = copyPaced(request.Context(), flushWriter{w}, pattern(id), size, b.pace, rng) // the client detects an incomplete response
}

// serveUpload reads a request body and compares it with the pattern of the request.
func (b *StreamingBackend) serveUpload(w http.ResponseWriter, request *http.Request, id string, size int64, rng *rand.Rand) {
	checker := &patternChecker{want: pattern(id)}
	limit := size
	if b.readLimit > 0 {
		limit = min(size, b.readLimit)
	}
	if err := copyPaced(request.Context(), checker, request.Body, limit, b.pace, rng); errors.Is(err, errBodyMismatch) {
		b.corrupt.Add(1)
	}
	if b.readLimit > 0 {
		<-request.Context().Done() // until the other side closes the connection
		return
	}
	if extra, _ := io.Copy(io.Discard, request.Body); checker.total != size || extra > 0 {
		return // the body is incomplete, corrupt or too long
	}
	n, _ := b.completed.LoadOrStore(id, new(atomic.Int64))
	n.(*atomic.Int64).Add(1)
	io.WriteString(w, id)
}

// flushWriter flushes each write, so that each chunk is sent at once.
type flushWriter struct{ w http.ResponseWriter }

// Write writes and flushes p.
func (f flushWriter) Write(p []byte) (int, error) {
	n, err := f.w.Write(p)
	f.w.(http.Flusher).Flush()
	return n, err
}
