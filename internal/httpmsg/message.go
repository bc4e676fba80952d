// Package httpmsg holds what passes between a client's connection and a pool: requests as they were read, and their
// answers. It knows neither sockets nor pools.
package httpmsg

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// MaxBufferedBodyBytes is how much of a body, of a request as of an answer, is held at once: what is no longer is passed on whole, and so
	// can be sent again. It is what the protocol calls long beyond.
	MaxBufferedBodyBytes = 64 << 10
	// MaxBodyBytes is the longest body that is passed on at all.
	MaxBodyBytes = 34 << 20
)

// BodyStream is what is still to come of a long body, of which MostBody at most is held. Read returns what has come, and does not
// wait for more than a byte; io.EOF tells that the body was whole. It is read by one goroutine.
type BodyStream interface {
	io.Reader
	// Length is how many bytes are to come in all, those that have been read included; -1: that is not known.
	Length() int64
}

// ResponseStream is the rest of a long answer. Close must be called once, and tells whether the client has had it whole.
type ResponseStream interface {
	BodyStream
	Close(whole bool)
}

// Request is a client's request.
type Request struct {
	Method     string
	URI        string // as the client wrote it
	Path       string // its path, decoded
	Host       string // as the client wrote it
	Header     http.Header
	Length     int64        // of the body; -1: chunked
	Peer       string       // who sent it, where the listener asks that of its connections
	Secure     bool         // it came by TLS
	RemoteAddr fmt.Stringer // the address that it came from, nil: not known
	Body       []byte
	Remainder  BodyStream // what comes after Body; nil: nothing
	// ClientGone reports whether the client has closed its connection or cancelled the request; nil: nobody can tell. It may be called
	// from any goroutine, also after the request has its answer.
	ClientGone func() bool
}

// Response is the final answer to a request.
type Response struct {
	Status     int
	RetryAfter time.Duration
	Header     http.Header
	Body       []byte
	Remainder  ResponseStream // what comes after Body; nil: nothing
	// Length is, in the answer to HEAD, how long the body would be; -1: not told. Of others it means nothing.
	Length int64
}

// RejectionError is a request that is turned away before any server could have had it, and why. Status is 400 to 599.
type RejectionError struct {
	Status     int
	Text       string
	RetryAfter time.Duration
	Header     http.Header
}

func (b RejectionError) Error() string { return b.Text }

// Response is what the client is told.
func (b RejectionError) Response() Response {
	return Response{Status: b.Status, RetryAfter: b.RetryAfter, Header: b.Header, Body: []byte(b.Text + "\n")}
}

// Retryable reports whether asking again may help.
func (b RejectionError) Retryable() bool {
	return b.Status == http.StatusTooManyRequests || b.Status == http.StatusServiceUnavailable
}

// hopByHopHeaders concern one connection only (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Content-Length", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	// Between two sites (docs/protocol/hop.md): from a client or a server they mean nothing, and none is to see them.
	"Sorrel-Hop", "Sorrel-Hop-Answer", "Sorrel-Hop-Pool",
}

// RemoveHopByHopHeaders takes from h what concerns one connection only.
func RemoveHopByHopHeaders(h http.Header) http.Header {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
	return h
}
