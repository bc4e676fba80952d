package sidecar

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/semaphore"

	"heathstack/policy"
)

const (
	// mostBody is the longest body that the protocol allows, of a request as of an answer.
	mostBody = 64 << 10
	// mostClientHead bounds a request's head, and mostTrailer what follows a chunked body.
	mostClientHead = 16 << 10
	mostTrailer    = 1 << 10
	// clientBuffer is the size of a client connection's buffer: most requests fit.
	clientBuffer = 2 << 10
	// mostID bounds what a client may name a request: ids are kept while the request is open, and a little longer.
	mostID = 128
	// mostWait bounds a client's wait where the settings name no class.
	mostWait = time.Minute
)

// badRequest is a request that is turned away, and why.
type badRequest struct {
	status int
	text   string
}

func (b badRequest) Error() string { return b.text }

var (
	errHead     = badRequest{http.StatusBadRequest, "the head cannot be read"}
	errHeadLong = badRequest{http.StatusRequestHeaderFieldsTooLarge, "the head is too long"}
	errBodyLong = badRequest{http.StatusRequestEntityTooLarge, "the body is over 64 KiB"}
	errBody     = badRequest{http.StatusBadRequest, "the body cannot be read"}
	errSlow     = badRequest{http.StatusRequestTimeout, "the request did not come whole in time"}
	errLengths  = badRequest{http.StatusBadRequest, "both Content-Length and Transfer-Encoding"}
	errRoom     = badRequest{http.StatusServiceUnavailable, "no room for the body"}
	errIDInUse  = badRequest{http.StatusConflict, "a request with this X-Request-ID is open"}
)

// room is the memory for the bodies of requests. A body's whole length is reserved before it is read.
type room struct{ *semaphore.Weighted }

// newRoom gives bodies an eighth of the memory: they are held as long as an attempt may need them, beside answers of
// the same size, buffers and what is not collected yet.
func newRoom(memoryMB int) *room { return &room{semaphore.NewWeighted(int64(memoryMB) << 20 / 8)} }

// clientRequest is a request as it was read.
type clientRequest struct {
	method, uri, path, host string
	header                  http.Header
	body                    []byte
	free                    func() // gives the room of body back
	last                    bool   // no other may follow on its connection
}

// requestReader reads the requests of one client's connection.
type requestReader struct {
	r    *bufio.Reader
	left bool // the client has closed: set before the channel of watch is
}

func newRequestReader(r io.Reader) *requestReader {
	return &requestReader{r: bufio.NewReaderSize(r, clientBuffer)}
}

// await waits for the first byte of a request, within the connection's deadline.
func (r *requestReader) await() error {
	_, err := r.r.Peek(1)
	return err
}

// read reads a request within the connection's deadline. An error that is no badRequest means that the client left.
func (r *requestReader) read(c net.Conn, m *room) (*clientRequest, error) {
	head, err := r.head()
	if err != nil {
		return nil, err
	}
	lengths, err := checkHead(head)
	if err != nil {
		return nil, err
	}
	q, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	switch {
	case err != nil:
		return nil, errHead
	case q.ProtoMajor != 1:
		return nil, badRequest{http.StatusHTTPVersionNotSupported, "not HTTP/1.1"}
	case q.Host == "" && q.ProtoAtLeast(1, 1):
		return nil, badRequest{http.StatusBadRequest, "no Host"}
	case !strings.HasPrefix(q.RequestURI, "/"):
		return nil, badRequest{http.StatusBadRequest, "the target is no path"}
	}
	chunked := len(q.TransferEncoding) > 0
	if lengths && chunked {
		// Guards against a request hidden in the body of another: whoever stood before this sidecar may have gone
		// by the other of the two. http.ReadRequest drops the length without a word, so checkHead looks for it.
		return nil, errLengths
	}
	n := q.ContentLength
	if n > mostBody {
		return nil, errBodyLong
	}
	if chunked {
		n = mostBody
	}
	if !m.TryAcquire(n) {
		return nil, errRoom // nothing has been sent on: trying again is harmless
	}
	cq := &clientRequest{
		method: q.Method, uri: q.RequestURI, path: q.URL.Path, host: q.Host, header: q.Header,
		free: func() { m.Release(n) },
		last: q.Close || !q.ProtoAtLeast(1, 1) || chunked, // RFC 9112, 6.1: no message after an encoded one is trusted
	}
	if n > 0 && strings.EqualFold(q.Header.Get("Expect"), "100-continue") {
		if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			cq.free()
			return nil, err
		}
	}
	if cq.body, err = r.body(q.ContentLength, chunked); err != nil {
		cq.free()
		return nil, err
	}
	return cq, nil
}

// head reads the bytes of a head. Empty lines before it are passed over (RFC 9112, 2.2).
func (r *requestReader) head() ([]byte, error) {
	var head []byte
	for total := 0; ; {
		part, err := r.r.ReadSlice('\n')
		if total += len(part); total > mostClientHead {
			return nil, errHeadLong
		}
		head = append(head, part...)
		switch {
		case err == bufio.ErrBufferFull:
		case err != nil:
			return nil, readError(err, errHead)
		case endsHead(head):
			return head, nil
		case len(bytes.TrimRight(head, "\r\n")) == 0:
			head = head[:0]
		}
	}
}

// endsHead reports whether the last line of head is empty.
func endsHead(head []byte) bool {
	return bytes.HasSuffix(head, []byte("\n\r\n")) || bytes.HasSuffix(head, []byte("\n\n"))
}

// readError is what a failed read means: bad, if the client is still there to be told.
func readError(err error, bad badRequest) error {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errSlow
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return bad // half a request and an end: the other direction may still be open
	}
	var op *net.OpError
	if errors.As(err, &op) {
		return fmt.Errorf("client: %w", err)
	}
	return bad
}

// checkHead looks at the lines of a head as they came, for what http.ReadRequest lets pass or hides: names that are no
// tokens, folded lines, bytes that upstreams would not read, and a second name for one thing. It reports whether there
// is a Content-Length.
func checkHead(head []byte) (lengths bool, err error) {
	once := map[string]bool{}
	first := true
	for line := range bytes.Lines(head) {
		line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
		for _, b := range line {
			if b < ' ' && b != '\t' || b == 0x7f {
				return false, errHead
			}
		}
		if first || len(line) == 0 {
			first = false
			continue
		}
		name, _, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isToken(name) {
			return false, errHead
		}
		switch key := http.CanonicalHeaderKey(string(name)); key {
		case "Content-Length", "Transfer-Encoding", "Host", "X-Request-Id", "X-Timeout-Ms", "Idempotency-Key":
			if once[key] {
				return false, badRequest{http.StatusBadRequest, "more than one " + key}
			}
			once[key] = true
		}
	}
	return once["Content-Length"], nil
}

// isToken reports whether name is a token of RFC 9110.
func isToken(name []byte) bool {
	for _, b := range name {
		switch {
		case '0' <= b && b <= '9', 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0:
		default:
			return false
		}
	}
	return len(name) > 0
}

// body reads a body of n bytes, or a chunked one to its end.
func (r *requestReader) body(n int64, chunked bool) ([]byte, error) {
	if !chunked {
		if n <= 0 {
			return nil, nil
		}
		body := make([]byte, n)
		if _, err := io.ReadFull(r.r, body); err != nil {
			return nil, readError(err, errBody)
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(httputil.NewChunkedReader(r.r), mostBody+1))
	if err != nil {
		return nil, readError(err, errBody)
	}
	if len(body) > mostBody {
		return nil, errBodyLong
	}
	for left := mostTrailer; ; {
		line, err := r.r.ReadSlice('\n')
		if left -= len(line); err != nil || left < 0 {
			return nil, readError(err, errBody)
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return body, nil
		}
	}
}

// watch waits for the client to close, or to write on, while its request is open. It returns a channel that is closed
// when either has happened, or nil if the next request is there already.
func (r *requestReader) watch() <-chan struct{} {
	if r.r.Buffered() > 0 {
		return nil
	}
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		_, err := r.r.Peek(1)
		r.left = err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	}()
	return gone
}

// unwatch ends the wait of watch, and reports whether the client is still there.
func (r *requestReader) unwatch(c net.Conn, gone <-chan struct{}) bool {
	if gone == nil {
		return true
	}
	c.SetReadDeadline(time.Unix(1, 0))
	<-gone
	return !r.left
}

// legal reads what a request says of itself. What does not have the protocol's form is turned away here, as upstreams
// would turn it away, or read something else in it.
func (h *host) legal(q *clientRequest) (*request, policy.Request, time.Duration, error) {
	var event policy.Request
	bad := func(status int, text string) (*request, policy.Request, time.Duration, error) {
		return nil, event, 0, badRequest{status, text}
	}
	id := q.header.Get("X-Request-Id")
	if id == "" || len(id) > mostID {
		return bad(http.StatusBadRequest, "no usable X-Request-ID")
	}
	path := strings.Split(strings.TrimPrefix(q.path, "/"), "/")
	event.Class = path[0]
	if len(path) > 1 {
		event.Key = path[len(path)-1]
	}
	event.Tenant = q.header.Get("X-Tenant-Id")
	event.Retry = q.header.Get("X-Retried") == "1"
	if us, err := strconv.ParseInt(q.header.Get("X-Cost"), 10, 64); err == nil && us > 0 && us < int64(time.Hour/time.Microsecond) {
		event.Cost = time.Duration(us) * time.Microsecond
	}
	effect, known := h.effects[event.Class]
	key := q.header.Get("Idempotency-Key") != ""
	switch {
	case len(h.effects) == 0: // the settings name no class: any will do
	case !known:
		return bad(http.StatusNotFound, "no such class")
	case (effect == policy.Safe) != (q.method == http.MethodGet), effect != policy.Safe && q.method != http.MethodPost:
		return bad(http.StatusMethodNotAllowed, "the class has another method")
	case effect == policy.Safe && len(q.body) > 0:
		return bad(http.StatusBadRequest, "a body where the class has none")
	case effect == policy.Keyed && !key: // upstreams could not tell a repeat, so that it would run twice
		return bad(http.StatusBadRequest, "no Idempotency-Key")
	}
	ms, err := strconv.ParseUint(q.header.Get("X-Timeout-Ms"), 10, 63)
	if err != nil || ms == 0 {
		return bad(http.StatusBadRequest, "no usable X-Timeout-Ms")
	}
	// A client that would wait longer than any class allows must not make timers last for ever.
	timeout := time.Duration(min(ms, uint64(h.longest.Milliseconds()))) * time.Millisecond
	r := &request{
		name: id, method: q.method, uri: q.uri, host: q.host, header: forwarded(q.header), body: q.body, free: q.free,
		answer: make(chan answer, 1),
	}
	return r, event, timeout, nil
}
