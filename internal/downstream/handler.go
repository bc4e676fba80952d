package downstream

import (
	"time"

	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/keepalive"
)

// PoolID identifies the pool that a connection's last request was for. 0: it has brought no request, or one for no pool.
type PoolID = keepalive.PoolID

// Handler decides about requests, and about the quota of connections that each pool has. Its methods are called from many
// goroutines at once. AcquireConnection, ReleaseConnection and ConnectionExcess are called under the server's lock, and
// must not call the server.
type Handler interface {
	// Admit decides on a request by its header. The pool is that of the request also if it is rejected, by a
	// httpmsg.RejectionError.
	Admit(r *httpmsg.Request) (AdmittedRequest, PoolID, error)
	// ReadDelay returns how long a connection is not read after a response. rejections is the number of its last requests in
	// a row that were not admitted.
	ReadDelay(id PoolID, rejections int) time.Duration
	// AcquireConnection takes a connection of a pool's quota, and reports whether there was one. Without it the connection
	// closes with its next response; else ReleaseConnection follows as it passes to another pool or closes.
	AcquireConnection(id PoolID) bool
	// ReleaseConnection returns a connection to a pool's quota.
	ReleaseConnection(id PoolID)
	// ConnectionExcess returns by how much a pool exceeds its reserved connections. The pool with the highest is the first
	// to lose one, and those at or below 0 are the last.
	ConnectionExcess(id PoolID) int64
}

// AdmittedRequest is a request that holds a part of its pool's quota while its body is read. One of the methods must be
// called, once.
type AdmittedRequest interface {
	// Dispatch sends the request on with its body. Of a body that is longer than httpmsg.MaxBufferedBodyBytes the remainder
	// is streamed; else remainder is nil. The error is a httpmsg.RejectionError.
	Dispatch(body []byte, remainder httpmsg.BodyStream) (Exchange, error)
	// Release ends a request whose body never came.
	Release()
}

// Exchange is a request that has been dispatched, and its response.
type Exchange interface {
	// Response returns the channel on which the one final response comes, unless Cancel returns true.
	Response() <-chan httpmsg.Response
	// Cancel ends a request whose client has gone, and reports whether it was still open: if not, its response has come.
	Cancel() bool
}
