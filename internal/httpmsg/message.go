// Package httpmsg defines the messages between a client's connection and a pool: requests as they were read, and responses as they are to
// be written. It is independent of sockets and pools.
package httpmsg

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// MaxBufferedBodyBytes is the number of bytes of a request or response body that are kept in memory. The body of a longer request is
	// streamed, and the request cannot be retried.
	MaxBufferedBodyBytes = 64 << 10
	// MaxBodyBytes is the maximum length of a body that is accepted.
	MaxBodyBytes = 34 << 20
)

// BodyStream is the remainder of a body that is longer than MaxBufferedBodyBytes. Read returns as soon as at least one byte is available.
// At the end of a complete body it returns io.EOF itself, not a wrapped error. A BodyStream is read by one goroutine at a time.
type BodyStream interface {
	io.Reader
	// Length returns the length of the whole body in bytes, including the bytes that were buffered before the stream. It is -1 if the
	// length is not known.
	Length() int64
}

// RequestStream is the remainder of a request's body. It is received from the client ahead of its use, as far as memory allows. It is used by
// one goroutine at a time.
type RequestStream interface {
	// Length returns the length of the whole body, as for a BodyStream.
	Length() int64
	// Next returns the next part of the body, which is valid until the next call. It returns as soon as there is one. At the end of a complete
	// body it returns io.EOF itself, not a wrapped error.
	Next() ([]byte, error)
	// OnEnd arranges for f to be called as receiving ends: with nil when the last byte has come from the client, and with the error that Next
	// returns if the body cannot be read completely; the latter may follow the former. It calls f at once if that has happened before. There
	// is one f at a time; f must not block.
	OnEnd(f func(at time.Time, err error))
}

// ResponseStream is the remainder of a response's body.
type ResponseStream interface {
	BodyStream
	// Close must be called exactly once. complete tells whether the client has received the complete body.
	Close(complete bool)
}

// Request is a client's request.
type Request struct {
	Method     string
	URI        string // request target as the client sent it
	Path       string // decoded path of URI
	Host       string // as the client sent it
	Header     http.Header
	Length     int64        // length of the body in bytes; -1: not known
	Peer       string       // name of the sender, if the server determines peer names
	Secure     bool         // the request was received over TLS
	RemoteAddr fmt.Stringer // address of the client; nil: not known
	Body       []byte
	Remainder  RequestStream // rest of the body after Body; nil: Body is complete
	// ClientGone reports whether the client has closed its connection or canceled the request. It is safe for concurrent use, and may be
	// called after the response too. It is nil if this cannot be determined.
	ClientGone func() bool
	// ClientMayBeGone reports whether so much input of the client is unread that ClientGone may not see its end. It is nil if ClientGone always
	// sees that.
	ClientMayBeGone func() bool
}

// Response is the final response to a request.
type Response struct {
	Status     int
	RetryAfter time.Duration // 0: no Retry-After field is sent
	Header     http.Header
	Body       []byte
	Remainder  ResponseStream // rest of the body after Body; nil: Body is complete
	// Length is used in the response to a HEAD request only. It is the length in bytes that the body would have for a GET request, or -1 if
	// it is not known.
	Length int64
}

// InternalResponse is the final response to a request of the process itself.
type InternalResponse struct {
	Response
	// MayHaveExecuted is set if an endpoint may have executed the request. The response can be a rejection all the same, if endpoints drop
	// repeats of the request.
	MayHaveExecuted bool
}
