package sidecar

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"heathstack/policy"
)

const (
	// mostBody is the longest body that a request may have.
	mostBody = 32 << 20
	// smallBody is the longest body that need not queue for room with the long ones.
	smallBody = 64 << 10
	// headTime is how long a client may take to write a head, or to write anything on a new connection.
	headTime = 10 * time.Second
	// idleTime is how long a client's connection may stand idle.
	idleTime = 2 * time.Minute
	// bodyTime and bodyRate bound how long a client may take to write a body. They guard against clients that
	// hold room and a descriptor for ever.
	bodyTime = 10 * time.Second
	bodyRate = 32 << 10 // bytes a second
	// writeTime is how long a client may take none of its answer.
	writeTime = 10 * time.Second
	// mostClientHead bounds a request's head.
	mostClientHead = 32 << 10
	// mostWait bounds a client's wait where the settings name no class.
	mostWait = time.Minute
)

// room is the memory for the bodies of requests. A body's whole length is reserved before it is read.
// Small bodies have a part of their own, so that they never queue behind long ones.
type room struct{ small, long *semaphore.Weighted }

func newRoom(memoryMB int) *room {
	bytes := int64(memoryMB) << 20
	return &room{semaphore.NewWeighted(bytes / 16), semaphore.NewWeighted(max(bytes/4, mostBody))}
}

// reserve waits for room for n bytes, and returns the function that gives it back.
func (m *room) reserve(ctx context.Context, n int64) (free func(), err error) {
	part := m.long
	switch {
	case n == 0:
		return func() {}, nil
	case n <= smallBody:
		part = m.small
	}
	if err := part.Acquire(ctx, n); err != nil {
		return nil, err
	}
	return func() { part.Release(n) }, nil
}

// clients is the handler of the client's requests.
type clients struct {
	host *host
	room *room
}

// ServeHTTP answers one request. Paths go on byte for byte, which a ServeMux would not let them.
func (s *clients) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/healthz" && q.Method == http.MethodGet {
		w.WriteHeader(http.StatusOK)
		return
	}
	r, event, timeout, err := s.legal(q)
	if err != nil {
		w.Header().Set("Connection", "close") // what is left of the request is not read
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.readBody(w, q, r) {
		return
	}
	s.host.take(r, event, s.host.now(), timeout)
	var ans answer
	select {
	case ans = <-r.answer:
	case <-q.Context().Done():
		if s.host.withdraw(r) {
			return
		}
		ans = <-r.answer
	}
	s.write(w, ans)
}

// legal reads what a request says of itself.
func (s *clients) legal(q *http.Request) (*request, policy.Request, time.Duration, error) {
	var event policy.Request
	if q.Header.Get("X-Request-Id") == "" {
		return nil, event, 0, errors.New("no X-Request-ID")
	}
	path := strings.Split(strings.TrimPrefix(q.URL.Path, "/"), "/")
	event.Class = path[0]
	if len(path) > 1 {
		event.Key = path[len(path)-1]
	}
	event.Tenant = q.Header.Get("X-Tenant-Id")
	event.Retry = q.Header.Get("X-Retried") == "1"
	if us, err := strconv.ParseInt(q.Header.Get("X-Cost"), 10, 64); err == nil && us > 0 && us < int64(time.Hour/time.Microsecond) {
		event.Cost = time.Duration(us) * time.Microsecond
	}
	class, known := s.host.deadline[event.Class]
	timeout := class
	if ms, err := strconv.ParseInt(q.Header.Get("X-Timeout-Ms"), 10, 64); err == nil && ms > 0 {
		// A client that would wait longer than any class allows must not make timers last for ever.
		timeout = time.Duration(min(ms, s.host.longest.Milliseconds())) * time.Millisecond
	} else if !known {
		return nil, event, 0, errors.New("no usable X-Timeout-Ms")
	}
	if s.host.effects[event.Class] == policy.Keyed && known && q.Header.Get("Idempotency-Key") == "" {
		// Upstreams could not tell a repeat, so that it would run twice.
		return nil, event, 0, errors.New("no Idempotency-Key")
	}
	r := &request{method: q.Method, uri: q.RequestURI, host: q.Host, answer: make(chan answer, 1)}
	r.header = forwarded(q.Header)
	return r, event, timeout, nil
}

// readBody reads the body once there is room for it: until then it is left unread, and the client's time has
// not begun. If it returns false the request has been dealt with.
func (s *clients) readBody(w http.ResponseWriter, q *http.Request, r *request) bool {
	n := q.ContentLength
	if n > mostBody {
		w.Header().Set("Connection", "close")
		http.Error(w, "the body is over 32 MB", http.StatusRequestEntityTooLarge)
		return false
	}
	if n < 0 {
		n = mostBody // chunked: its length shows at its end
	}
	var err error
	if r.free, err = s.room.reserve(q.Context(), n); err != nil {
		return false // the client has gone
	}
	if n == 0 {
		return true
	}
	rc := http.NewResponseController(w)
	rc.SetReadDeadline(time.Now().Add(bodyTime + time.Duration(n)*time.Second/bodyRate))
	if q.ContentLength >= 0 {
		r.body = make([]byte, n)
		_, err = io.ReadFull(q.Body, r.body)
	} else {
		r.body, err = io.ReadAll(http.MaxBytesReader(w, q.Body, mostBody))
	}
	if err == nil {
		rc.SetReadDeadline(time.Time{})
		return true
	}
	r.free()
	w.Header().Set("Connection", "close")
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		http.Error(w, "the body is over 32 MB", http.StatusRequestEntityTooLarge)
	} else {
		http.Error(w, "the body did not come whole", http.StatusBadRequest)
	}
	return false
}

// write writes the final answer.
func (s *clients) write(w http.ResponseWriter, ans answer) {
	h := w.Header()
	maps.Copy(h, ans.header)
	switch {
	case ans.stream != nil:
		s.stream(w, ans)
		return
	case ans.status != http.StatusOK:
		if ans.retryAfter > 0 {
			h.Set("Retry-After", strconv.FormatFloat(ans.retryAfter.Seconds(), 'f', -1, 64))
		}
		h["Content-Length"] = []string{"0"}
		w.WriteHeader(ans.status)
		return
	}
	h["Content-Length"] = []string{strconv.Itoa(len(ans.body))}
	if _, typed := h["Content-Type"]; !typed {
		h["Content-Type"] = nil // none came, and none is guessed
	}
	if len(ans.body) > streamChunk { // it may not fit into the socket's buffer
		rc := http.NewResponseController(w)
		rc.SetWriteDeadline(time.Now().Add(writeTime))
		defer rc.SetWriteDeadline(time.Time{})
	}
	w.WriteHeader(ans.status)
	w.Write(ans.body)
}

// stream passes a long answer on as it comes. If it breaks, the client's connection is cut, so that the client
// can tell that the answer is not whole.
func (s *clients) stream(w http.ResponseWriter, ans answer) {
	if ans.stream.length >= 0 {
		w.Header()["Content-Length"] = []string{strconv.FormatInt(ans.stream.length, 10)}
	}
	if _, typed := w.Header()["Content-Type"]; !typed {
		w.Header()["Content-Type"] = nil
	}
	rc := http.NewResponseController(w)
	w.WriteHeader(ans.status)
	part, buf := ans.body, make([]byte, streamChunk)
	var err error
	for {
		rc.SetWriteDeadline(time.Now().Add(writeTime))
		_, werr := w.Write(part)
		if werr == nil {
			werr = rc.Flush()
		}
		if werr != nil { // the client has gone, or takes nothing
			ans.stream.end(policy.Canceled)
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			break
		}
		var n int
		n, err = ans.stream.read(buf)
		part = buf[:n]
	}
	if err != io.EOF {
		ans.stream.end(policy.Reset)
		panic(http.ErrAbortHandler)
	}
	rc.SetWriteDeadline(time.Time{})
	ans.stream.end(policy.OK)
}

// idleClients holds the client connections that stand idle, in the order in which they became so.
type idleClients struct {
	mu   sync.Mutex
	last int64
	idle map[net.Conn]int64
}

// state is a http.Server's ConnState hook.
func (i *idleClients) state(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if s == http.StateIdle {
		i.last++
		i.idle[c] = i.last
	} else {
		delete(i.idle, c)
	}
}

// evict closes the connection that has been idle longest. A request that crosses the close has not been
// read, and the client sends it anew.
func (i *idleClients) evict() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	var oldest net.Conn
	for c, n := range i.idle {
		if oldest == nil || n < i.idle[oldest] {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	delete(i.idle, oldest)
	oldest.Close()
	return true
}

// listener counts the descriptors of the connections that it accepts. While there is none free, connections
// wait in the kernel's backlog.
type listener struct {
	net.Listener
	ctx     context.Context
	sockets *sockets
}

func (l *listener) Accept() (net.Conn, error) {
	release, err := l.sockets.acquireClient(l.ctx)
	if err != nil {
		return nil, err
	}
	c, err := l.Listener.Accept()
	if err != nil {
		release()
		return nil, err
	}
	return &clientConn{c, release}, nil
}

type clientConn struct {
	net.Conn
	release func()
}

func (c *clientConn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}

func newServer(handler http.Handler, idle *idleClients, log *slog.Logger) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headTime, IdleTimeout: idleTime, MaxHeaderBytes: mostClientHead,
		ConnState: idle.state, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		DisableGeneralOptionsHandler: true,
	}
}
