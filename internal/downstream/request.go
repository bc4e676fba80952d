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

	"sorrelrudder/internal/httpmsg"
)

// The errors for requests that cannot be read. Their texts are sent to the client.
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

// repeatedField returns the error for a request that repeats a field which must be unique.
func repeatedField(name string) httpmsg.RejectionError {
	return httpmsg.RejectionError{Status: http.StatusBadRequest, Text: "more than one " + name}
}

// clientRequest is an HTTP/1 request whose header has been read.
type clientRequest struct {
	httpmsg.Request
	chunked          bool
	expectsContinue  bool // the client waits for a 100 (Continue) response before it sends the body
	http10           bool
	closesConnection bool // the connection closes after the response
}

// bodySkippable reports whether the body can be read and discarded if the request is rejected without reading it. It returns false if the
// length of the body is unknown, if the client may never send it, or if it is longer than httpmsg.MaxBufferedBodyBytes.
func (r *clientRequest) bodySkippable() bool {
	return !r.chunked && !r.expectsContinue && r.Length <= httpmsg.MaxBufferedBodyBytes
}

// requestReader reads the requests of one connection. It is used by the connection's goroutine, and by that of watchForClose while the
// connection's goroutine does not read.
type requestReader struct {
	buffered     *bufio.Reader
	clientClosed atomic.Bool // set before the channel that watchForClose returns is closed
}

func newRequestReader(r io.Reader) *requestReader {
	return &requestReader{buffered: bufio.NewReaderSize(r, readBufferBytes)}
}

// awaitFirstByte waits for the first byte of a request, within the connection's deadline.
func (r *requestReader) awaitFirstByte() error {
	_, err := r.buffered.Peek(1)
	return err
}

// readRequest reads the header of a request, within the connection's deadline. The error is an httpmsg.RejectionError unless the connection
// failed.
func (r *requestReader) readRequest() (*clientRequest, error) {
	header, err := r.readHeader()
	if err != nil {
		return nil, err
	}
	hasLength, err := checkHeader(header)
	if err != nil {
		return nil, err
	}
	parsed, err := parseHeader(header)
	if err != nil {
		return nil, errMalformedHeader
	}
	return newClientRequest(parsed, hasLength)
}

// headerParsers pools the readers that parseHeader uses.
var headerParsers = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// parseHeader parses a complete header. The Body of the returned request must not be used.
func parseHeader(header []byte) (*http.Request, error) {
	parser := headerParsers.Get().(*bufio.Reader)
	defer headerParsers.Put(parser)
	defer parser.Reset(nil) // drops the reference to header
	parser.Reset(bytes.NewReader(header))
	return http.ReadRequest(parser)
}

// newClientRequest checks a parsed header and returns the request. hasLength tells whether the header has a Content-Length field, which
// http.ReadRequest drops if there is a Transfer-Encoding field too.
func newClientRequest(q *http.Request, hasLength bool) (*clientRequest, error) {
	switch {
	case q.ProtoMajor != 1:
		return nil, errUnsupportedVersion
	case q.Host == "" && q.ProtoAtLeast(1, 1):
		return nil, errMissingHost
	}
	uri := requestURI(q)
	if !strings.HasPrefix(uri, "/") {
		return nil, errInvalidTarget
	}
	chunked := len(q.TransferEncoding) > 0
	switch {
	case hasLength && chunked: // proxies that follow different fields would disagree on the end of the body (request smuggling)
		return nil, errConflictingLengths
	case q.ContentLength > httpmsg.MaxBodyBytes:
		return nil, errBodyTooLong
	}
	http10 := !q.ProtoAtLeast(1, 1)
	r := &clientRequest{
		Request: httpmsg.Request{
			Method: q.Method, URI: uri, Path: q.URL.Path, Host: q.Host, Header: q.Header, Length: q.ContentLength,
		},
		chunked:          chunked,
		http10:           http10,
		closesConnection: q.Close || http10 || chunked, // RFC 9112, section 6.1: bytes after a message with a transfer coding are not trusted
	}
	if chunked {
		r.Length = -1
	}
	r.expectsContinue = r.Length != 0 && strings.EqualFold(q.Header.Get("Expect"), "100-continue")
	return r, nil
}

// requestURI returns the target of a request without scheme and host. http.ReadRequest has stored the host in q.Host (RFC 9112, section
// 3.2.2).
func requestURI(q *http.Request) string {
	if q.URL.Scheme == "http" && q.URL.Host != "" {
		return q.URL.RequestURI()
	}
	return q.RequestURI
}

// readBody reads the body of q, whose header must be the last that was read. If the body is longer than httpmsg.MaxBufferedBodyBytes, it
// returns the first httpmsg.MaxBufferedBodyBytes and a reader of the remainder. Errors are as those of readRequest.
func (r *requestReader) readBody(c net.Conn, q *clientRequest) (body []byte, remainder *bodyReader, err error) {
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
	body, err = readFirst(b)
	switch {
	case err != nil:
		return nil, nil, err
	case len(body) < httpmsg.MaxBufferedBodyBytes || b.ended:
		return body, nil, nil
	}
	return body, b, nil
}

// readFirst reads a body, or the first httpmsg.MaxBufferedBodyBytes of a longer one. Its buffer grows with what arrives, and no further.
func readFirst(b io.Reader) ([]byte, error) {
	body := make([]byte, 0, minBufferBytes)
	for len(body) < httpmsg.MaxBufferedBodyBytes {
		if len(body) == cap(body) {
			larger := make([]byte, len(body), min(2*cap(body), httpmsg.MaxBufferedBodyBytes))
			copy(larger, body)
			body = larger
		}
		n, err := b.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case isEOF(err):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
	return body, nil
}

// skipBody reads and discards the body of q, and reports whether another request may follow.
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

// readError maps the error of a read from a client. It returns errRequestTimeout after a timeout, a wrapped error if the connection failed,
// and malformed in all other cases, in which the client may still be able to receive a response.
func readError(err error, malformed httpmsg.RejectionError) error {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return malformed // the client may have closed its sending side only
	}
	var op *net.OpError
	if errors.As(err, &op) {
		return fmt.Errorf("read from client connection: %w", err)
	}
	return malformed
}
