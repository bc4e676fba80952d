package downstream

import (
	"time"

	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/keepalive"
)

// PoolID identifies the pool of a connection's last request. It is 0 if the connection has had no request, or if the request matched no
// pool.
type PoolID = keepalive.PoolID

// Handler admits requests and manages the connection quota of each pool. Its methods must be safe for concurrent use. AcquireConnection,
// ReleaseConnection and ConnectionExcess are called with the server's lock held, and must not call the server.
type Handler interface {
	// Admit decides on a request by its header. It returns the request's pool even if it rejects the request. The error is an
	// httpmsg.RejectionError.
	Admit(r *httpmsg.Request) (AdmittedRequest, PoolID, error)
	// ReadDelay returns how long the server waits after a response until it reads the connection again. rejections is the number of requests
	// that were rejected since the last admitted one, without malformed requests.
	ReadDelay(id PoolID, rejections int) time.Duration
	// AcquireConnection counts a connection in a pool's quota, and reports whether the quota allows it. If it returns false, the connection
	// closes with its next response. If it returns true, ReleaseConnection is called when the connection closes or changes to another pool.
	AcquireConnection(id PoolID) bool
	// ReleaseConnection returns a connection to a pool's quota.
	ReleaseConnection(id PoolID)
	// ConnectionExcess returns by how much a pool exceeds its reserved number of connections. Connections of the pool with the largest
	// excess are evicted first, and those of pools with an excess of 0 or less last.
	ConnectionExcess(id PoolID) int64
}

// AdmittedRequest is a request that holds a share of its pool's quota while its body is read. Exactly one of the methods must be called,
// once.
type AdmittedRequest interface {
	// Dispatch submits the request with its body. If the body is longer than httpmsg.MaxBufferedBodyBytes, remainder streams the bytes
	// after body; otherwise it is nil. The error is an httpmsg.RejectionError.
	Dispatch(body []byte, remainder httpmsg.RequestStream) (Exchange, error)
	// Release ends a request whose body could not be read.
	Release()
}

// Exchange is a dispatched request and its response.
type Exchange interface {
	// Response returns the channel that receives the single final response. It receives none if Cancel returns true.
	Response() <-chan httpmsg.Response
	// Cancel ends a request whose client has disconnected, and reports whether the request was still open. If it returns false, the
	// response has been sent to the channel of Response.
	Cancel() bool
}
