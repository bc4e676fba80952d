// Package downstream serves the connections of clients. It reads HTTP/1.1 requests, and HTTP/2 requests by a MultiplexedProtocol. It passes
// each request to a Handler and writes the single final response. It decides which connections stay open while they are idle, and which are
// evicted when file descriptors run short. It has no knowledge of pools, routes and limits; the Handler applies them.
package downstream

import (
	lists "container/list"
	"crypto/tls"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"sorrelrudder/internal/keepalive"
	"sorrelrudder/internal/limitedlog"
	"sorrelrudder/internal/process"
)

// Options are the optional settings of a server. The zero value is for a server for ordinary clients.
type Options struct {
	// PeerName returns the name of the peer at the other end of a connection. It is called once the first request of the connection has
	// been received. If it is nil, requests have no peer name.
	PeerName func(net.Conn) string
	// LongLived makes the server keep idle connections as long as possible, instead of asking the idle policy. It is for peers that keep
	// connections open on purpose. Such a peer cannot tell whether a request that it sent while the connection closed was received.
	LongLived bool
	// Multiplexed serves connections that carry several requests at once. If it is nil, no multiplexed protocol is supported.
	Multiplexed MultiplexedProtocol
	// BufferMemory is the memory for long bodies. If it is nil, each body has what it needs to make progress, and no more.
	BufferMemory *process.BufferMemory
}

// ListenerOptions are the protocols of a listener in addition to HTTP/1.1.
type ListenerOptions struct {
	TLS *tls.Config // nil: no TLS
	H2C bool        // accept Options.Multiplexed without TLS too, from clients with prior knowledge
}

// Server owns the connections of clients. Each connection has one goroutine, which reads a request, waits for the response and writes it.
// Only that goroutine closes the connection: another goroutine cannot tell whether it has just read a request, which a close would lose.
// Other goroutines call requestClose instead.
//
// The server parses requests from the sockets itself. The server of net/http would hide whether a header had both a Content-Length and a
// Transfer-Encoding field, and whether a connection has sent no bytes yet.
type Server struct {
	handler     Handler
	descriptors *process.Descriptors
	log         *slog.Logger
	events      *limitedlog.Logger // what happens on single connections
	options     Options
	clockStart  time.Time    // zero time of the clock of idlePolicy, localWork and accepts
	localWork   workThrottle // requests that need no endpoint
	transfers   *transferThrottle
	frameWork   workThrottle // frames that serve no request
	accepts     acceptRate
	pausedConns atomic.Int64   // connections that pause for localWork
	goroutines  sync.WaitGroup // goroutines of the connections

	// mu guards the fields below, and the fields of clientConn and serverListener whose comments say so. The Handler methods that are
	// called with mu held acquire locks of their own.
	mu                   sync.Mutex
	idlePolicy           *keepalive.IdlePolicy
	draining             bool
	listeners            map[net.Listener]*serverListener
	conns                map[*clientConn]struct{} // all open connections
	waiting              [waitingLists]connList
	idle                 map[PoolID]*idleConns // connections that are idle between two requests
	multiplexedEvictions int                   // number of multiplexed connections that are being evicted and have not closed yet
}

// connList is a list of *clientConn in the order in which they were added, oldest first.
type connList = lists.List

// serverListener is the state of a listener from which the server accepts connections.
type serverListener struct {
	ListenerOptions
	draining bool // guarded by Server.mu
}

// NewServer returns a server for ordinary clients, without listeners. Serve adds one.
func NewServer(h Handler, d *process.Descriptors, log *slog.Logger) *Server {
	return NewServerWithOptions(h, d, log, Options{})
}

// NewServerWithOptions returns a server without listeners. Serve and ServeWithOptions add one.
func NewServerWithOptions(h Handler, d *process.Descriptors, log *slog.Logger, o Options) *Server {
	if o.BufferMemory == nil {
		o.BufferMemory = &process.BufferMemory{}
	}
	return &Server{
		handler:     h,
		descriptors: d,
		log:         log,
		events:      limitedlog.New(log),
		options:     o,
		clockStart:  time.Now(),
		localWork:   workThrottle{share: localWorkShare, burst: localWorkBurst, maxPause: maxLocalWorkPause},
		transfers:   newTransferThrottle(),
		frameWork:   workThrottle{share: frameWorkShare, burst: frameWorkBurst, maxPause: maxFrameWorkPause},
		idlePolicy:  keepalive.New(d.MaxClients()),
		listeners:   map[net.Listener]*serverListener{},
		conns:       map[*clientConn]struct{}{},
		idle:        map[PoolID]*idleConns{},
	}
}

// now returns the current time on the clock of idlePolicy, localWork and accepts.
func (s *Server) now() time.Duration { return time.Since(s.clockStart) }

// ConnectionCount returns the number of open connections.
func (s *Server) ConnectionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// ExportLearnedState returns the idle times of connections that the server has learned.
func (s *Server) ExportLearnedState() keepalive.History {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.idlePolicy.History()
}

// ImportLearnedState adds the idle times that another process has learned.
func (s *Server) ImportLearnedState(h keepalive.History) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idlePolicy.Restore(h)
}
