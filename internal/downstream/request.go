package downstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/process"
)

const (
	// maxHeaderBytes bounds a request's head, and mostTrailer what follows a chunked body.
	maxHeaderBytes = 16 << 10
	// readBufferBytes is the size of a client connection's buffer: most requests fit.
	readBufferBytes = 2 << 10
	// closePollInterval is how often it is looked whether a client has left that has written on for more than that.
	closePollInterval = 20 * time.Millisecond
)

var (
	errMalformedHeader    = httpmsg.RejectionError{Status: http.StatusBadRequest, Text: "the head cannot be read"}
	errHeaderTooLong      = httpmsg.RejectionError{Status: http.StatusRequestHeaderFieldsTooLarge, Text: "the head is too long"}
	errBodyTooLong        = httpmsg.RejectionError{Status: http.StatusRequestEntityTooLarge, Text: "the body is too long"}
	errMalformedBody      = httpmsg.RejectionError{Status: http.StatusBadRequest, Text: "the body cannot be read"}
	errRequestTimeout     = httpmsg.RejectionError{Status: http.StatusRequestTimeout, Text: "the request did not come whole in time"}
	errConflictingLengths = httpmsg.RejectionError{Status: http.StatusBadRequest, Text: "both Content-Length and Transfer-Encoding"}
	errUnsupportedVersion = httpmsg.RejectionError{Status: http.StatusHTTPVersionNotSupported, Text: "not HTTP/1.1"}
	errMissingHost        = httpmsg.RejectionError{Status: http.StatusBadRequest, Text: "no Host"}
	errInvalidTarget      = httpmsg.RejectionError{Status: http.StatusBadRequest, Text: "the target is no path"}
)

// clientRequest is a request whose head was read.
type clientRequest struct {
	httpmsg.Request
	chunked          bool
	expectsContinue  bool // the client waits for a 100 before it sends the body
	http10           bool // of HTTP/1.0
	closesConnection bool // no other may follow on its connection
}

// requestReader reads the requests of one client's connection.
type requestReader struct {
	buffered     *bufio.Reader
	clientClosed atomic.Bool // the client has closed: set before the channel of watch is
}

func newRequestReader(r io.Reader) *requestReader {
	return &requestReader{buffered: bufio.NewReaderSize(r, readBufferBytes)}
}

// awaitFirstByte waits for the first byte of a request, within the connection's deadline.
func (r *requestReader) awaitFirstByte() error {
	_, err := r.buffered.Peek(1)
	return err
}

// headerParsers are readers for heads that have been read whole.
var headerParsers = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// readRequest reads the head of a request within the connection's deadline. An error that is no httpmsg.RejectionError means that the client
// left.
func (r *requestReader) readRequest() (*clientRequest, error) {
	head, err := r.readHeader()
	if err != nil {
		return nil, err
	}
	lengths, err := checkHeader(head)
	if err != nil {
		return nil, err
	}
	parser := headerParsers.Get().(*bufio.Reader)
	parser.Reset(bytes.NewReader(head))
	q, err := http.ReadRequest(parser)
	parser.Reset(nil) // lets go of head; the body is read elsewhere
	headerParsers.Put(parser)
	switch {
	case err != nil:
		return nil, errMalformedHeader
	case q.ProtoMajor != 1:
		return nil, errUnsupportedVersion
	case q.Host == "" && q.ProtoAtLeast(1, 1):
		return nil, errMissingHost
	}
	uri := q.RequestURI
	if q.URL.Scheme == "http" && q.URL.Host != "" { // RFC 9112, 3.2.2: the host of an absolute target is the one that counts
		uri = q.URL.RequestURI()
	}
	if !strings.HasPrefix(uri, "/") {
		return nil, errInvalidTarget
	}
	chunked := len(q.TransferEncoding) > 0
	if lengths && chunked {
		// Guards against a request hidden in the body of another: whoever stood before this one may have gone
		// by the other of the two. http.ReadRequest drops the length without a word, so checkHead looks for it.
		return nil, errConflictingLengths
	}
	if q.ContentLength > httpmsg.MaxBodyBytes {
		return nil, errBodyTooLong
	}
	cq := &clientRequest{
		Request: httpmsg.Request{
			Method: q.Method, URI: uri, Path: q.URL.Path, Host: q.Host, Header: q.Header, Length: q.ContentLength,
		},
		chunked: chunked, http10: !q.ProtoAtLeast(1, 1),
		closesConnection: q.Close || !q.ProtoAtLeast(1, 1) || chunked, // RFC 9112, 6.1: no message after an encoded one is trusted
	}
	if chunked {
		cq.Length = -1
	}
	cq.expectsContinue = cq.Length != 0 && strings.EqualFold(q.Header.Get("Expect"), "100-continue")
	return cq, nil
}

// readBody reads the body of q, whose head was read last, or the first of a long one; rest is then what follows.
func (r *requestReader) readBody(c net.Conn, q *clientRequest) (body []byte, rest *bodyReader, err error) {
	if q.expectsContinue {
		if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil, err
		}
	}
	if q.Length == 0 {
		return nil, nil, nil
	}
	b := newBodyReader(r, c, q)
	if 0 < q.Length && q.Length <= httpmsg.MaxBufferedBodyBytes {
		body = make([]byte, q.Length)
		_, err = io.ReadFull(b, body)
		return body, nil, err
	}
	var first bytes.Buffer
	_, err = first.ReadFrom(io.LimitReader(b, httpmsg.MaxBufferedBodyBytes))
	if err != nil {
		return nil, nil, err
	}
	if first.Len() < httpmsg.MaxBufferedBodyBytes || b.ended {
		return first.Bytes(), nil, nil
	}
	return first.Bytes(), b, nil
}

// skipBody reads over the body of q, which was answered unread, and reports whether another request may follow.
func (r *requestReader) skipBody(c net.Conn, q *clientRequest) bool {
	if !q.bodySkippable() {
		return false
	}
	if q.Length == 0 {
		return true
	}
	_, err := io.CopyN(io.Discard, newBodyReader(r, c, q), q.Length)
	return err == nil
}

// bodySkippable reports whether the body of q is read over where it is answered unread. It is not where its end is not known, or
// whether it comes at all, nor where it is long.
func (q *clientRequest) bodySkippable() bool {
	return !q.chunked && !q.expectsContinue && q.Length <= httpmsg.MaxBufferedBodyBytes
}

// readHeader reads the bytes of a head. Empty lines before it are passed over (RFC 9112, 2.2).
func (r *requestReader) readHeader() ([]byte, error) {
	var head []byte
	for total := 0; ; {
		part, err := r.buffered.ReadSlice('\n')
		if total += len(part); total > maxHeaderBytes {
			return nil, errHeaderTooLong
		}
		head = append(head, part...)
		switch {
		case err == bufio.ErrBufferFull:
		case err != nil:
			return nil, readError(err, errMalformedHeader)
		case endsHeader(head):
			return head, nil
		case len(bytes.TrimRight(head, "\r\n")) == 0:
			head = head[:0]
		}
	}
}

// endsHeader reports whether the last line of head is empty.
func endsHeader(head []byte) bool {
	return bytes.HasSuffix(head, []byte("\n\r\n")) || bytes.HasSuffix(head, []byte("\n\n"))
}

// readError is what a failed read means: bad, if the client is still there to be told.
func readError(err error, bad httpmsg.RejectionError) error {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return bad // half a request and an end: the other direction may still be open
	}
	var op *net.OpError
	if errors.As(err, &op) {
		return fmt.Errorf("client: %w", err)
	}
	return bad
}

// checkHeader looks at the lines of a head as they came, for what http.ReadRequest lets pass or hides: names that are no
// tokens, folded lines, bytes that upstreams would not read, and a second name for one thing. It reports whether there
// is a Content-Length.
func checkHeader(head []byte) (lengths bool, err error) {
	once := map[string]bool{}
	first := true
	for line := range bytes.Lines(head) {
		line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
		for _, b := range line {
			if b < ' ' && b != '\t' || b == 0x7f {
				return false, errMalformedHeader
			}
		}
		if first || len(line) == 0 {
			first = false
			continue
		}
		name, _, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isToken(name) {
			return false, errMalformedHeader
		}
		switch key := http.CanonicalHeaderKey(string(name)); key {
		case "Content-Length", "Transfer-Encoding", "Host", "X-Request-Id", "X-Timeout-Ms", "Idempotency-Key":
			if once[key] {
				return false, httpmsg.RejectionError{Status: http.StatusBadRequest, Text: "more than one " + key}
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

// watchForClose waits for the client to close while its request is open, whatever it writes on meanwhile: as far as that has room it is read
// ahead, and beyond it the socket is looked at. It returns a channel that is closed when the client has closed, or once over is.
func (r *requestReader) watchForClose(c net.Conn, over <-chan struct{}) <-chan struct{} {
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		err := error(nil)
		for err == nil {
			_, err = r.buffered.Peek(r.buffered.Buffered() + 1)
		}
		switch {
		case err == bufio.ErrBufferFull:
			r.clientClosed.Store(pollForClose(c, over))
		case !errors.Is(err, os.ErrDeadlineExceeded):
			r.clientClosed.Store(true)
		}
	}()
	return gone
}

// pollForClose looks at c until its other side has ended, which it reports, or over is closed.
func pollForClose(c net.Conn, over <-chan struct{}) (ended bool) {
	tick := time.NewTicker(closePollInterval)
	defer tick.Stop()
	for {
		if process.PeerClosed(c) {
			return true
		}
		select {
		case <-over:
			return false
		case <-tick.C:
		}
	}
}
