// Package httpmsg defines the messages that pass between a client's connection and a pool: requests as they were read, and
// responses as they are to be written. It knows neither sockets nor pools.
package httpmsg

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// MaxBufferedBodyBytes is how much of a request's or response's body is kept in memory. A request whose body is longer
	// is streamed, and cannot be sent again.
	MaxBufferedBodyBytes = 64 << 10
	// MaxBodyBytes is the longest body that is accepted.
	MaxBodyBytes = 34 << 20
)

// BodyStream is the remainder of a body that is longer than MaxBufferedBodyBytes. Read returns what has come as soon as
// there is a byte, and io.EOF itself, not wrapped, once the body was complete. One goroutine reads it.
type BodyStream interface {
	io.Reader
	// Length returns the length of the whole body in bytes, with what was read before; -1: it is not known.
	Length() int64
}

// ResponseStream is the remainder of a response's body. Close must be called once, and says whether the client has had
// the body complete.
type ResponseStream interface {
	BodyStream
	Close(complete bool)
}

// Request is a client's request.
type Request struct {
	Method     string
	URI        string // as the client sent it
	Path       string // of the URI, decoded
	Host       string // as the client sent it
	Header     http.Header
	Length     int64        // of the body, in bytes; -1: it is not known
	Peer       string       // name of the sender, where the listener asks for it
	Secure     bool         // it came by TLS
	RemoteAddr fmt.Stringer // of the client; nil: not known
	Body       []byte
	Remainder  BodyStream // of the body, after Body; nil: none
	// ClientGone reports whether the client has closed its connection or canceled the request; nil: that is not known. It
	// may be called from any goroutine, also once the request has its response.
	ClientGone func() bool
}

// Response is the final response to a request.
type Response struct {
	Status     int
	RetryAfter time.Duration // 0: none is sent
	Header     http.Header
	Body       []byte
	Remainder  ResponseStream // of the body, after Body; nil: none
	// Length is, in the response to HEAD, the length that the body would have, in bytes; -1: it is not told.
	Length int64
}
