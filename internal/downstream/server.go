// Package downstream serves the connections of clients: it reads their requests (HTTP/1.1 or, by a MultiplexedProtocol,
// HTTP/2), passes each to a Handler, and writes its one final response. It decides which connections stay open while they
// are idle and which are evicted where descriptors are short. It does not know pools, routes or limits: it asks the Handler.
package downstream

import (
	lists "container/list"
	"crypto/tls"
	"log/slog"
	"net"
	"sync"
	"time"

	"sorrelrudder/internal/keepalive"
	"sorrelrudder/internal/process"
)

// Options are how a server differs from one for ordinary clients.
type Options struct {
	// PeerName returns the name of who is at the other end of a connection, once its first request has come; nil: requests
	// have no peer.
	PeerName func(net.Conn) string
	// LongLived makes the server keep idle connections as long as it may: the other side keeps them for a purpose, and cannot
	// tell whether a request was received on one that closes meanwhile.
	LongLived bool
	// Multiplexed serves the connections that carry several requests at once; nil: there are none.
	Multiplexed MultiplexedProtocol
}

// ListenerOptions are what a listener speaks beside HTTP/1.1.
type ListenerOptions struct {
	TLS *tls.Config // nil: no TLS
	H2C bool        // Options.Multiplexed also without TLS, for clients with prior knowledge of it
}

// Server owns the connections of clients. Each has one goroutine, which reads a request, waits for the response and writes
// it. Only that goroutine closes the connection, since no other can tell whether it has just read a request, which would be
// lost: to have a connection closed, see dismiss.
//
// The server parses requests from the sockets itself. net/http's server would hide whether a header had both a length and
// a transfer encoding, and whether a connection has sent nothing.
type Server struct {
	handler     Handler
	descriptors *process.Descriptors
	log         *slog.Logger
	options     Options
	clockStart  time.Time      // of idlePolicy's clock
	goroutines  sync.WaitGroup // of the connections

	// mu guards the fields below, and those of clientConn and serverListener that say so. Handler's methods that are called
	// under it take locks of their own.
	mu                   sync.Mutex
	idlePolicy           *keepalive.IdlePolicy
	draining             bool
	listeners            map[net.Listener]*serverListener
	conns                map[*clientConn]struct{} // all of them
	waiting              [waitingLists]connList
	idle                 map[PoolID]*idleConns // connections between two requests
	multiplexedEvictions int                   // multiplexed connections that are being evicted and are still there
}

// connList is a list of *clientConn, the one that has been in it longest first.
type connList = lists.List

// serverListener is a listener that the server accepts connections from.
type serverListener struct {
	ListenerOptions
	draining bool // guarded by Server.mu
}

// NewServer returns a server for ordinary clients, which has no listeners yet.
func NewServer(h Handler, d *process.Descriptors, log *slog.Logger) *Server {
	return NewServerWithOptions(h, d, log, Options{})
}

// NewServerWithOptions returns a server without listeners.
func NewServerWithOptions(h Handler, d *process.Descriptors, log *slog.Logger, o Options) *Server {
	return &Server{
		handler:     h,
		descriptors: d,
		log:         log,
		options:     o,
		clockStart:  time.Now(),
		idlePolicy:  keepalive.New(d.MaxClients()),
		listeners:   map[net.Listener]*serverListener{},
		conns:       map[*clientConn]struct{}{},
		idle:        map[PoolID]*idleConns{},
	}
}

// now is the time on the clock of idlePolicy.
func (s *Server) now() time.Duration { return time.Since(s.clockStart) }

// ConnectionCount returns the number of connections.
func (s *Server) ConnectionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// ExportLearnedState returns how long clients have left connections idle.
func (s *Server) ExportLearnedState() keepalive.History {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.idlePolicy.History()
}

// ImportLearnedState adds what another process has learned.
func (s *Server) ImportLearnedState(h keepalive.History) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idlePolicy.Restore(h)
}
