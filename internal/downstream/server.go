// Package downstream holds the connections of clients: it reads requests from them (HTTP/1.1), asks a Handler what becomes of
// each, and writes its one final answer. Which pool a request is for, whether it is admitted and what it is answered is
// not for this package to know.
package downstream

import (
	"bytes"
	"cmp"
	lists "container/list"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/keepalive"
	"sorrelrudder/internal/process"
)

const (
	// headerTimeout is how long a head may take from its first byte to its last: slow clients need 2 s. With keepalive.MaxIdle it
	// bounds the life of a connection that never brings a whole head; of bodies bodyPause and leastRate do.
	headerTimeout = 2400 * time.Millisecond
	// clientWatchDelay is how long a request is open before its client is watched.
	clientWatchDelay = 2 * time.Millisecond
	// writeTimeout is how long a client may take none of its answer, and longWriteTime none of a long one: those who read slowly
	// pause between pieces.
	writeTimeout       = 2 * time.Second
	streamWriteTimeout = 10 * time.Second
	// copyBufferBytes is how much of a long answer is passed on at a time.
	copyBufferBytes = 32 << 10
	// lingerTimeout and lingerBytes bound how much is still read behind a last answer, so that the client finds it rather than a
	// reset.
	lingerTimeout  = 200 * time.Millisecond
	maxLingerBytes = 256 << 10
	// newConnGrace is the age under which a connection makes room for another only if no older one can: its first
	// request is about to come.
	newConnGrace = 100 * time.Millisecond
	// stalledReadAge is the age from which a request that is still coming makes room for others, if its client sends nothing.
	stalledReadAge = 400 * time.Millisecond
	// maxMultiplexedEvictions bounds the connections for several requests at once that make room at a time: each takes a moment to tell its
	// client, and those who wait for room would end one after the other meanwhile.
	maxMultiplexedEvictions = 8
	// maxStalledScan bounds the requests that are looked at for one that does not come on.
	maxStalledScan = 256
	// drainFirstRequestTimeout is how long a connection that has brought no request is still waited for while the server drains.
	drainFirstRequestTimeout = 300 * time.Millisecond
	// minMalformedDelay and mostPause bound how long a connection on which a request was turned away as malformed is not
	// read. The pause doubles with each such request in a row: clients that send the same again at full speed must
	// not take the processor from others.
	minMalformedDelay = 5 * time.Millisecond
	maxMalformedDelay = 320 * time.Millisecond
	// acceptRetryDelay is the wait after a failed accept that may pass, such as a want of descriptors.
	acceptRetryDelay = 10 * time.Millisecond
)

// PoolID names the pool that a connection's last request was for. 0: it has brought none.
type PoolID = keepalive.PoolID

// Handler says what becomes of requests. It is called from many goroutines at once.
type Handler interface {
	// Admit decides on a request by its head. The owner counts also if it is turned away, with a httpmsg.RejectionError.
	Admit(q *httpmsg.Request) (AdmittedRequest, PoolID, error)
	// ReadDelay is how long a connection is not read after an answer: refused counts the requests on it in a row that were not
	// admitted.
	ReadDelay(o PoolID, refused int) time.Duration
	// AcquireConnection counts a connection for an owner, and reports whether it may stay beyond its present request. If so, Drop
	// follows once it belongs to another or is closed.
	AcquireConnection(o PoolID) bool
	// ReleaseConnection ends that.
	ReleaseConnection(o PoolID)
	// ConnectionExcess orders the owners by who gives up a connection first: the highest does, and one at or below 0 last of all.
	ConnectionExcess(o PoolID) int64
}

// AdmittedRequest is a request that is admitted and whose body is still to come. One of its methods must be called.
type AdmittedRequest interface {
	// Dispatch hands over the request with its body, or with the first of a long one and the rest, which is nil otherwise. The
	// error is a httpmsg.RejectionError.
	Dispatch(body []byte, rest httpmsg.BodyStream) (Exchange, error)
	// Release tells that the body never came.
	Release()
}

// Exchange is a request that a pool has taken.
type Exchange interface {
	// Response is where the one final answer comes.
	Response() <-chan httpmsg.Response
	// Cancel tells that the client has left, and reports whether the request was still open: else its answer is there.
	Cancel() bool
}

// Options say how a server differs from that of usual clients.
type Options struct {
	// PeerName names who is at the other end of a connection, once its first request has come; nil: nobody asks.
	PeerName func(net.Conn) string
	// LongLived connections are kept as long as any may be: who uses them keeps them for a purpose, and one that is closed as it
	// is used leaves the other side in doubt.
	LongLived bool
	// Multiplexed serves the connections that carry several requests at once; nil: none may.
	Multiplexed MultiplexedProtocol
}

// ListenerOptions says what is spoken at a listener.
type ListenerOptions struct {
	TLS *tls.Config // nil: none
	H2C bool        // Options.Streams without TLS too, for clients that begin with it
}

// Server owns the connections of clients. Each has one goroutine, which reads a request, waits for its final answer
// and writes it. It alone closes the connection: no one else can tell whether it has just read a request, which would
// be lost. Who wants a connection closed makes its read end instead (see dismiss). The server reads from sockets itself,
// rather than through net/http's, because that hides what the rules need: whether a head had both a length and a transfer
// encoding, and whether a connection has sent nothing.
type Server struct {
	handler     Handler
	descriptors *process.Descriptors
	log         *slog.Logger
	options     Options
	clockStart  time.Time // of the rule's clock

	mu                   sync.Mutex
	idleRule             *keepalive.IdlePolicy
	draining             bool
	listeners            map[net.Listener]*serverListener
	conns                map[*clientConn]struct{}          // all; the descriptors bound it
	waiting              [waitingLists]lists.List          // *clientConn without a whole request, longest first
	idle                 map[PoolID]*[idleLists]lists.List // *clientConn between two requests, longest first
	connGoroutines       sync.WaitGroup                    // of the connections' goroutines
	multiplexedEvictions int                               // connections for several requests at once that make room and are still there
}

// The lists of connections without a whole request, but for those that are idle.
const (
	newConns         = iota // no request has come yet
	readingConns            // one has begun to come
	multiplexedConns        // may carry several requests at once, and carries none
	lingeringConns          // has had its last answer, see linger
	waitingLists
)

// The lists of idle connections of one owner: each is in the order of its age, and so in that of its worth to the rule.
const (
	exploratoryConns = iota // kept only to see whether they are used
	oneRequestConns         // have brought one request
	severalRequestConns
	idleLists
)

// serverListener is where connections come in.
type serverListener struct {
	ListenerOptions
	draining bool // Server.mu
}

// clientConn is a client's connection. What Server.mu guards is touched only under it.
type clientConn struct {
	net.Conn
	listener          *serverListener
	releaseDescriptor func() // of its descriptor
	reader            *requestReader
	watchTimer        *time.Timer // of await
	peerName          string      // of Options.Identify
	endsInOrder       bool        // it has had its last answer whole, and ends in order
	http10            bool        // its last request was of HTTP/1.0, which knows no chunks
	headRequest       bool        // its last request was HEAD, whose answer has no body

	pool        PoolID         // Server.mu
	counted     bool           // Server.mu: counted for owner; if not, it closes with its next answer
	list        *lists.List    // Server.mu: that place is in
	element     *lists.Element // Server.mu: nil while a request is open
	evicting    bool           // Server.mu: makes room, and is counted in Server.ending
	drainSignal chan struct{}  // Server.mu: of a connection that carries several requests; closed to end it
	// closeDelimited is, under Server.mu, that an answer is on its way whose end is that of the connection (RFC 9112, 6.3).
	closeDelimited bool
	listedSince    time.Time      // Server.mu: in that list since then
	responses      int            // Server.mu: answers on it
	idleOutcomeDue bool           // Server.mu: the rule has let it wait and is owed how that ended
	idleLimit      keepalive.Wait // Server.mu: what it said
	lastRead       atomic.Int64   // when something was read last, in nanoseconds since started
}

// processStart is the origin of clientConn.read.
var processStart = time.Now()

// readRecorder is what a connection's requests are read from: it notes when something came.
type readRecorder struct{ conn *clientConn }

func (r readRecorder) Read(p []byte) (int, error) {
	n, err := r.conn.Conn.Read(p)
	if n > 0 {
		r.conn.lastRead.Store(int64(time.Since(processStart)))
	}
	return n, err
}

// clientGone reports whether the client has closed.
func (c *clientConn) clientGone() bool {
	return c.reader.clientClosed.Load() || process.PeerClosed(c.Conn)
}

// sinceLastRead is for how long nothing has come on c.
func (c *clientConn) sinceLastRead() time.Duration {
	return time.Since(processStart) - time.Duration(c.lastRead.Load())
}

func (c *clientConn) Close() error {
	err := c.Conn.Close()
	c.releaseDescriptor()
	return err
}

// NewServer returns a server without listeners.
func NewServer(h Handler, d *process.Descriptors, log *slog.Logger) *Server {
	return NewServerWithOptions(h, d, log, Options{})
}

// NewServerWithOptions returns one with options.
func NewServerWithOptions(h Handler, d *process.Descriptors, log *slog.Logger, o Options) *Server {
	return &Server{
		handler: h, descriptors: d, log: log, options: o, conns: map[*clientConn]struct{}{}, listeners: map[net.Listener]*serverListener{},
		idle: map[PoolID]*[idleLists]lists.List{}, clockStart: time.Now(), idleRule: keepalive.New(d.MaxClients()),
	}
}

// Serve serves the connections that come until the listener is closed or ctx ends. While no descriptor is free they wait
// in the kernel's backlog. The connections live on. So many acceptors take connections side by side: where descriptors
// are scarce each has to wait until some connection has made room, and others would wait behind it.
func (s *Server) Serve(ctx context.Context, ln net.Listener, acceptors int) error {
	return s.ServeWithOptions(ctx, ln, acceptors, ListenerOptions{})
}

// ServeWithOptions is Serve where more is spoken than HTTP/1.1.
func (s *Server) ServeWithOptions(ctx context.Context, ln net.Listener, acceptors int, p ListenerOptions) error {
	at := &serverListener{ListenerOptions: p}
	s.mu.Lock()
	s.listeners[ln] = at
	s.mu.Unlock()
	ended := make(chan error, acceptors)
	for range acceptors {
		go func() { ended <- s.accept(ctx, ln, at) }()
	}
	var err error
	for range acceptors {
		err = <-ended
	}
	return err
}

func (s *Server) accept(ctx context.Context, ln net.Listener, at *serverListener) error {
	for {
		release, err := s.descriptors.AcquireClient(ctx)
		if err != nil {
			return err
		}
		nc, err := ln.Accept()
		if err != nil {
			release()
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			s.log.Warn("accept", "err", err)
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(acceptRetryDelay):
			}
			continue
		}
		c := &clientConn{Conn: nc, listener: at, releaseDescriptor: release}
		c.reader = newRequestReader(readRecorder{c})
		s.mu.Lock()
		s.conns[c] = struct{}{}
		c.counted = s.handler.AcquireConnection(0)
		s.idleRule.Resize(s.descriptors.MaxClients())
		s.idleRule.Opened(s.now())
		s.idleRule.Assign(0)
		if s.idleRule.ShouldEvictAhead(s.now()) { // the next need not wait until one has closed
			s.evictLocked()
		}
		s.allowIdle(c)
		s.startWaiting(c)
		s.connGoroutines.Add(1)
		s.mu.Unlock()
		go s.serveConn(c)
	}
}

// serveConn answers the requests of one connection in turn.
func (s *Server) serveConn(c *clientConn) {
	defer s.closeConn(c)
	if over := s.handshake(c); over || c.listener.H2C && s.serveH2C(c) {
		return
	}
	malformed, refused := 0, 0
	for s.awaitRequest(c) {
		q, err := c.reader.readRequest()
		if err != nil {
			s.rejectUnreadable(c, err)
			return
		}
		c.http10, c.headRequest = q.http10, q.Method == http.MethodHead
		q.RemoteAddr, q.Secure, q.ClientGone = c.RemoteAddr(), c.listener.TLS != nil, c.clientGone
		status, admitted, open := s.handleRequest(c, q)
		if !open {
			return
		}
		pause := time.Duration(0)
		switch {
		case admitted:
			malformed, refused = 0, 0
		case status < http.StatusBadRequest || status == http.StatusTooManyRequests || status >= http.StatusInternalServerError:
			malformed = 0
			refused++
		default:
			pause = min(minMalformedDelay<<min(malformed, 10), maxMalformedDelay)
			malformed++
		}
		if pause = max(pause, s.handler.ReadDelay(c.pool, refused)); pause > 0 {
			time.Sleep(pause)
		}
		if !s.markIdle(c) {
			return
		}
	}
}

// handshake makes c speak TLS where its port does, and reports whether it has been served to its end.
func (s *Server) handshake(c *clientConn) (over bool) {
	if c.listener.TLS == nil {
		return false
	}
	t := tls.Server(c.Conn, c.listener.TLS)
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	c.SetDeadline(time.Now().Add(handshakeTimeout))
	if err := t.HandshakeContext(ctx); err != nil {
		s.log.Debug("TLS", "from", c.RemoteAddr().String(), "err", err)
		return true
	}
	s.mu.Lock()
	c.Conn = t // whoever else touches c holds mu
	s.mu.Unlock()
	if p := s.options.Multiplexed; p != nil && t.ConnectionState().NegotiatedProtocol == p.Name() {
		s.serveMultiplexed(c, p, nil)
		return true
	}
	return false
}

// serveH2C serves c to its end if its client begins with the protocol for several requests at once, and reports whether it
// did.
func (s *Server) serveH2C(c *clientConn) (over bool) {
	if s.options.Multiplexed == nil {
		return false
	}
	for n := 1; n <= len(http2Preface); n++ {
		got, err := c.reader.buffered.Peek(n)
		if err != nil || string(got) != http2Preface[:n] {
			return false // await tells what is wrong, if anything is
		}
	}
	first, _ := c.reader.buffered.Peek(c.reader.buffered.Buffered())
	s.serveMultiplexed(c, s.options.Multiplexed, bytes.Clone(first))
	return true
}

// http2Preface is the beginning of an HTTP/2 connection, which is no request of HTTP/1.1 (RFC 9113, 3.4).
const http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

// now is the clock of the rule.
func (s *Server) now() time.Duration { return time.Since(s.clockStart) }

// idleKind is what the rule takes c for. The caller holds mu.
func (c *clientConn) idleKind() keepalive.Kind {
	return keepalive.Kind(min(c.responses, int(keepalive.SeveralRequests)))
}

// allowIdle asks the rule how long c, on which nothing is open, may wait, and reports whether it may at all. The caller holds mu.
func (s *Server) allowIdle(c *clientConn) bool {
	if s.options.LongLived {
		c.idleLimit = keepalive.Wait{Max: keepalive.MaxIdle}
		return true
	}
	c.idleLimit = s.idleRule.BeginIdle(s.now(), c.pool, c.idleKind())
	c.idleOutcomeDue = c.idleLimit.Max > 0
	return c.idleOutcomeDue
}

// recordIdleOutcome tells the rule how the wait of c ended. The caller holds mu.
func (s *Server) recordIdleOutcome(c *clientConn, after time.Duration, used bool) {
	if c.idleOutcomeDue {
		c.idleOutcomeDue = false
		s.idleRule.EndIdle(c.pool, c.idleKind(), c.idleLimit, after, used)
	}
}

// addToList puts c, which has no place, in a list. The caller holds mu.
func (s *Server) addToList(c *clientConn, l *lists.List) {
	c.list, c.listedSince = l, time.Now()
	c.element = l.PushBack(c)
}

// removeFromList takes c out of its list, if it is in one. The caller holds mu.
func (s *Server) removeFromList(c *clientConn) {
	if c.element == nil {
		return
	}
	c.list.Remove(c.element)
	c.list, c.element = nil, nil
	if of := s.idle[c.pool]; of != nil && of[exploratoryConns].Len()+of[oneRequestConns].Len()+of[severalRequestConns].Len() == 0 {
		delete(s.idle, c.pool)
	}
}

// startWaiting puts c, which has no open request, in its list for as long as the rule lets it wait. The caller holds mu.
func (s *Server) startWaiting(c *clientConn) {
	l := &s.waiting[newConns]
	if c.responses > 0 {
		of := s.idle[c.pool]
		if of == nil {
			of = &[idleLists]lists.List{}
			s.idle[c.pool] = of
		}
		switch {
		case c.idleLimit.Explore:
			l = &of[exploratoryConns]
		case c.responses == 1:
			l = &of[oneRequestConns]
		default:
			l = &of[severalRequestConns]
		}
	}
	s.addToList(c, l)
	wait := c.idleLimit.Max
	if s.closesAfterResponse(c) {
		wait = drainFirstRequestTimeout
	}
	c.SetDeadline(c.listedSince.Add(wait))
}

// closesAfterResponse reports whether c is to close with its next answer. The caller holds mu.
func (s *Server) closesAfterResponse(c *clientConn) bool {
	return s.draining || c.listener.draining || c.pool != 0 && !c.counted
}

// markIdle notes that c waits for its next request, and reports whether there may be one. One that has been read already
// is still answered while the server drains.
func (s *Server) markIdle(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeFromList(c)
	if s.closesAfterResponse(c) && c.reader.buffered.Buffered() == 0 && process.NothingToRead(c.Conn) {
		return false
	}
	s.startWaiting(c)
	s.dismissExpired(c.pool)
	return true
}

// maxDismissalsPerSweep bounds the connections dismissed at one time.
const maxDismissalsPerSweep = 4

// dismissExpired dismisses idle connections of an owner that were let wait and are, by what has been learnt since, not worth their place
// any more. The caller holds mu.
func (s *Server) dismissExpired(o PoolID) {
	of := s.idle[o]
	if of == nil {
		return
	}
	for _, l := range of[oneRequestConns:] {
		for range maxDismissalsPerSweep {
			e := l.Front()
			if e == nil {
				break
			}
			c := e.Value.(*clientConn)
			if !s.idleRule.Expired(o, c.idleKind(), time.Since(c.listedSince)) || !process.NothingToRead(c.Conn) {
				break
			}
			s.dismiss(c)
		}
	}
}

// awaitRequest waits for a request to begin to come on c, and reports whether one has: even one that came at the very end of
// the wait, or after c was dismissed.
func (s *Server) awaitRequest(c *clientConn) bool {
	err := c.reader.awaitFirstByte()
	come := err == nil || errors.Is(err, os.ErrDeadlineExceeded) && !process.NothingToRead(c.Conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeFromList(c)
	now := time.Now()
	s.recordIdleOutcome(c, now.Sub(c.listedSince), come)
	c.SetDeadline(now.Add(headerTimeout))
	if come {
		s.addToList(c, &s.waiting[readingConns])
	}
	return come
}

// markActive notes that c has brought a whole request: from here on it cannot be dismissed. One that was dismissed before has
// another deadline again.
func (s *Server) markActive(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeFromList(c)
	c.SetDeadline(time.Time{})
}

// setPool notes which pool a request on c is for.
func (s *Server) setPool(c *clientConn, o PoolID) {
	if c.pool == o && c.counted { // only the goroutine of c, which is the caller, writes them
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.counted {
		s.handler.ReleaseConnection(c.pool)
	}
	s.idleRule.Unassign(c.pool)
	s.idleRule.Assign(o)
	c.pool, c.counted = o, s.handler.AcquireConnection(o) // c is in no list by its owner: it reads
}

// dismiss makes the goroutine of c, which has no whole request, close it unless one has come. It guards against closing a
// connection of which that goroutine has just read a request, so that nothing of it shows in the kernel any more.
// Until the goroutine runs the descriptor stays taken. The caller holds mu.
func (s *Server) dismiss(c *clientConn) {
	s.removeFromList(c)
	c.SetReadDeadline(time.Unix(1, 0))
}

// closeConn closes c and forgets it.
func (s *Server) closeConn(c *clientConn) {
	if c.endsInOrder {
		s.linger(c)
	}
	c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeFromList(c)
	if c.evicting {
		s.multiplexedEvictions--
	}
	s.recordIdleOutcome(c, 0, false) // it never came to wait
	s.idleRule.Unassign(c.pool)
	s.idleRule.Closed()
	if c.counted {
		s.handler.ReleaseConnection(c.pool)
	}
	delete(s.conns, c)
	s.connGoroutines.Done()
}

// Evict dismisses a connection without a whole request to make room for another, and reports whether there was one. It
// guards against clients that hold descriptors for nothing, whatever their reason. In turn: one that has had its last answer, and
// nothing has come behind it; the oldest that never sent anything; one whose request does not come on; of the one worth least to
// the rule of the pool that has most beyond its part, which would have asked again and then connects anew, and the oldest of those
// that have just come, the one worth less; one of a pool that is within its part.
func (s *Server) Evict() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evictLocked()
}

func (s *Server) evictLocked() bool {
	if s.evictFirst(&s.waiting[lingeringConns], 0) || s.evictFirst(&s.waiting[newConns], newConnGrace) || s.evictStalledRead() || s.multiplexedEvictions < maxMultiplexedEvictions && s.evictMultiplexed() || s.multiplexedEvictions > 0 {
		return true
	}
	beyond, within := s.poolsByExcess()
	if len(beyond) > 0 {
		if e := s.waiting[newConns].Front(); e != nil && s.idleValue(e) < s.lowestIdleValue(s.idle[beyond[0]]) && s.evictFirst(&s.waiting[newConns], 0) {
			return true
		}
	}
	return s.evictFromPools(beyond) || s.evictFirst(&s.waiting[newConns], 0) || s.evictFromPools(within)
}

// poolsByExcess are the owners of idle connections, who has most beyond its part first, and those who have none beyond it.
func (s *Server) poolsByExcess() (beyond, within []PoolID) {
	type candidate struct {
		owner  PoolID
		excess int64
	}
	order := make([]candidate, 0, len(s.idle))
	for o := range s.idle {
		order = append(order, candidate{o, s.handler.ConnectionExcess(o)})
	}
	slices.SortFunc(order, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.excess, a.excess), cmp.Compare(a.owner, b.owner))
	})
	for _, c := range order {
		if c.excess > 0 {
			beyond = append(beyond, c.owner)
		} else {
			within = append(within, c.owner)
		}
	}
	return beyond, within
}

// evictFromPools dismisses an idle connection of the first owner that has one.
func (s *Server) evictFromPools(owners []PoolID) bool {
	return slices.ContainsFunc(owners, func(o PoolID) bool { return s.evictLowestValue(s.idle[o]) })
}

// lowestIdleValue is the least worth of the connections of one owner.
func (s *Server) lowestIdleValue(of *[idleLists]lists.List) float64 {
	least := math.Inf(1)
	for i := range of {
		if e := of[i].Front(); e != nil {
			least = min(least, s.idleValue(e))
		}
	}
	return least
}

// evictLowestValue dismisses the connection of one owner that is worth least to the rule: one that explores, else the first of the
// list whose first is worth less.
func (s *Server) evictLowestValue(of *[idleLists]lists.List) bool {
	first, second := oneRequestConns, severalRequestConns
	if a, b := of[first].Front(), of[second].Front(); a != nil && b != nil && s.idleValue(a) > s.idleValue(b) {
		first, second = second, first
	}
	return s.evictFirst(&of[exploratoryConns], 0) || s.evictFirst(&of[first], 0) || s.evictFirst(&of[second], 0)
}

// idleValue is that of the connection at e to the rule.
func (s *Server) idleValue(e *lists.Element) float64 {
	c := e.Value.(*clientConn)
	return s.idleRule.GittinsIndex(c.pool, c.idleKind(), time.Since(c.listedSince))
}

// evictStalledRead dismisses, of the requests that are coming, the one that has brought nothing for longest, from slowTime on: slow
// clients send on before those who never will. The caller holds mu.
func (s *Server) evictStalledRead() bool {
	var stillest *clientConn
	longest, looked := stalledReadAge, 0
	for e := s.waiting[readingConns].Front(); e != nil && looked < maxStalledScan; e = e.Next() {
		looked++
		if c := e.Value.(*clientConn); c.sinceLastRead() >= longest && process.NothingToRead(c.Conn) {
			stillest, longest = c, c.sinceLastRead()
		}
	}
	if stillest == nil {
		return false
	}
	s.dismiss(stillest)
	return true
}

// evictMultiplexed ends the connection for several requests at once that has carried none for longest. The caller holds mu.
func (s *Server) evictMultiplexed() bool {
	e := s.waiting[multiplexedConns].Front()
	if e == nil {
		return false
	}
	c := e.Value.(*clientConn)
	s.removeFromList(c)
	s.drainMultiplexed(c)
	c.evicting = true
	s.multiplexedEvictions++
	return true
}

// evictFirst dismisses the first of l that has been there for least and of which nothing is about to be read.
func (s *Server) evictFirst(l *lists.List, least time.Duration) bool {
	for e := l.Front(); e != nil; e = e.Next() {
		c := e.Value.(*clientConn)
		if time.Since(c.listedSince) < least {
			return false
		}
		if !process.NothingToRead(c.Conn) { // a request has come, or the end, and its goroutine is about to see it
			continue
		}
		s.dismiss(c)
		return true
	}
	return false
}

// ExportLearnedState is what the server knows of its clients' habits.
func (s *Server) ExportLearnedState() keepalive.History {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.idleRule.History()
}

// ImportLearnedState takes over what another process has learnt of them.
func (s *Server) ImportLearnedState(l keepalive.History) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idleRule.Restore(l)
}

// CloseAfterResponse makes connections close with their next answer, and leaves those alone that are idle. Drain follows.
func (s *Server) CloseAfterResponse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Drain makes connections close with their next answer, and dismisses those that are idle: a request that crosses that
// comes again on a new connection.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	s.dismissIdle(func(*clientConn) bool { return true })
}

// DrainListener does the same for the connections that came in at ln, which the caller closes.
func (s *Server) DrainListener(ln net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.listeners[ln]
	if at == nil {
		return
	}
	delete(s.listeners, ln)
	at.draining = true
	s.dismissIdle(func(c *clientConn) bool { return c.listener == at })
}

// dismissIdle dismisses the idle connections of which it is true, and lets the new ones bring their request soon. The
// caller holds mu.
func (s *Server) dismissIdle(of func(*clientConn) bool) {
	for _, owned := range s.idle {
		for i := range owned {
			for e := owned[i].Front(); e != nil; {
				next := e.Next()
				if c := e.Value.(*clientConn); of(c) {
					s.dismiss(c)
				}
				e = next
			}
		}
	}
	for c := range s.conns {
		if c.drainSignal != nil && of(c) {
			s.removeFromList(c)
			s.drainMultiplexed(c)
		}
	}
	for e := s.waiting[newConns].Front(); e != nil; e = e.Next() {
		if c := e.Value.(*clientConn); of(c) {
			c.SetDeadline(time.Now().Add(drainFirstRequestTimeout))
		}
	}
}

// Wait returns once all connections have ended, or with ctx, when it closes those that are left.
func (s *Server) Wait(ctx context.Context) error {
	ended := make(chan struct{})
	go func() {
		s.connGoroutines.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	for c := range s.conns {
		if c.closeDelimited {
			c.reset()
		} else {
			c.Conn.Close()
		}
	}
	s.mu.Unlock()
	return ctx.Err()
}

// ConnectionCount is how many connections of clients there are.
func (s *Server) ConnectionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// handleRequest carries out q, whose head was read, and writes its one answer. It reports its status, whether q was admitted, and
// whether another request may follow on c.
func (s *Server) handleRequest(c *clientConn, q *clientRequest) (status int, admitted, open bool) {
	if q.Path == "/healthz" && q.Method == http.MethodGet {
		open = s.writeResponse(c, httpmsg.Response{Status: http.StatusOK}, q.closesConnection) && c.reader.skipBody(c, q)
		return http.StatusOK, true, open
	}
	if s.options.PeerName != nil {
		if c.peerName == "" {
			c.peerName = s.options.PeerName(c.Conn)
		}
		q.Peer = c.peerName
	}
	adm, owner, err := s.handler.Admit(&q.Request)
	s.setPool(c, owner)
	if err != nil {
		status, open = s.writeRejection(c, q, err)
		return status, false, open && c.reader.skipBody(c, q)
	}
	body, rest, err := c.reader.readBody(c.Conn, q)
	if err != nil {
		adm.Release()
		s.rejectUnreadable(c, err)
		return 0, true, false
	}
	s.markActive(c)
	if rest != nil {
		return s.handleStreamedRequest(c, q, adm, body, newUpload(rest))
	}
	x, err := adm.Dispatch(body, nil)
	if err != nil {
		status, open = s.writeRejection(c, q, err)
		return status, false, open
	}
	ans, open := c.awaitResponse(x)
	if !open {
		discard(ans)
		return 0, true, false
	}
	return ans.Status, true, s.writeResponse(c, ans, q.closesConnection)
}

// discard lets go of an answer that nobody is to have.
func discard(ans httpmsg.Response) {
	if ans.Remainder != nil {
		ans.Remainder.Close(false)
	}
}

// handleStreamedRequest is the part of answer for a request whose body is passed on as it comes. Whether its client is there shows as
// the body is read, and is watched from its end on.
func (s *Server) handleStreamedRequest(c *clientConn, q *clientRequest, adm AdmittedRequest, body []byte, u *upload) (status int, admitted, open bool) {
	x, err := adm.Dispatch(body, u)
	if err != nil {
		u.stop()
		status, _ = s.writeRejection(c, q, err)
		return status, false, false
	}
	var ans httpmsg.Response
	select {
	case ans = <-x.Response():
	case <-u.done:
		if u.stop() {
			c.SetDeadline(time.Time{})
			if ans, open = c.awaitResponse(x); !open {
				discard(ans)
				return 0, true, false
			}
			return ans.Status, true, s.writeResponse(c, ans, q.closesConnection)
		}
		ans = <-x.Response() // who read the body has told why it broke off
	}
	whole := u.stop()
	return ans.Status, true, s.writeResponse(c, ans, q.closesConnection || !whole)
}

// awaitResponse waits for the answer of x, and reports whether the client is still there. Whether it is is watched once the answer
// is not there at once: the watch takes a goroutine, a read and two turns of the scheduler, as much as a small request.
func (c *clientConn) awaitResponse(x Exchange) (ans httpmsg.Response, open bool) {
	if c.watchTimer == nil {
		c.watchTimer = time.NewTimer(clientWatchDelay)
	} else {
		c.watchTimer.Reset(clientWatchDelay)
	}
	select {
	case ans = <-x.Response():
		c.watchTimer.Stop()
		return ans, true
	case <-c.watchTimer.C:
	}
	over := make(chan struct{})
	gone := c.reader.watchForClose(c.Conn, over)
	select {
	case ans = <-x.Response():
	case <-gone:
		if c.reader.clientClosed.Load() && x.Cancel() {
			return ans, false
		}
		ans = <-x.Response()
	}
	close(over)
	c.SetReadDeadline(time.Unix(1, 0))
	<-gone
	return ans, !c.reader.clientClosed.Load()
}

// writeRejection answers a request that is not taken.
func (s *Server) writeRejection(c *clientConn, q *clientRequest, err error) (status int, open bool) {
	var bad httpmsg.RejectionError
	errors.As(err, &bad)
	return bad.Status, s.writeResponse(c, bad.Response(), q.closesConnection || !q.bodySkippable())
}

// writeResponse writes an answer, and reports whether another request may follow.
func (s *Server) writeResponse(c *clientConn, ans httpmsg.Response, last bool) (open bool) {
	s.mu.Lock()
	c.responses++
	last = last || s.closesAfterResponse(c)
	if !last && !s.allowIdle(c) && c.reader.buffered.Buffered() == 0 && process.NothingToRead(c.Conn) { // else the next request is there already
		last = true
	}
	s.mu.Unlock()
	length := int64(len(ans.Body))
	switch {
	case ans.Remainder != nil:
		length = ans.Remainder.Length()
	case c.headRequest && len(ans.Body) == 0:
		length = ans.Length
	}
	hasBody := !c.headRequest && ans.Status != http.StatusNoContent && ans.Status != http.StatusNotModified
	chunked := hasBody && length < 0 && !c.http10
	last = last || hasBody && length < 0 && c.http10 // its end is that of the connection
	var b bytes.Buffer
	b.Grow(256 + len(ans.Body))
	b.WriteString("HTTP/1.1 ")
	b.WriteString(strconv.Itoa(ans.Status))
	b.WriteByte(' ')
	b.WriteString(http.StatusText(ans.Status))
	b.WriteString("\r\n")
	if ans.Header != nil {
		ans.Header.Write(&b)
	}
	if ans.RetryAfter > 0 {
		b.WriteString("Retry-After: ")
		b.WriteString(strconv.FormatFloat(ans.RetryAfter.Seconds(), 'f', -1, 64))
		b.WriteString("\r\n")
	}
	if last {
		b.WriteString("Connection: close\r\n")
	}
	switch {
	case chunked:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case length >= 0 && (hasBody || c.headRequest):
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.FormatInt(length, 10))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	if chunked && len(ans.Body) > 0 {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(ans.Body), ans.Body)
	} else if hasBody {
		b.Write(ans.Body)
	}
	c.SetDeadline(time.Now().Add(writeTimeout))
	_, err := c.Write(b.Bytes())
	if ans.Remainder != nil {
		b = bytes.Buffer{} // it may take long
		if err == nil {
			s.setCloseDelimited(c, length < 0 && !chunked)
			err = c.writeRemainder(ans.Remainder, chunked)
			s.setCloseDelimited(c, false)
		}
		ans.Remainder.Close(err == nil)
		if err != nil && length < 0 {
			c.reset() // where the end of the connection is that of the answer, a client must be able to tell
		}
	}
	c.endsInOrder = err == nil && last
	return err == nil && !last
}

// setCloseDelimited notes whether an end of c would seem to be that of its answer. It guards against a server that ends while one is on its
// way, and whose client takes a part for the whole.
func (s *Server) setCloseDelimited(c *clientConn, is bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.closeDelimited = is
}

// reset makes the end of c a reset.
func (c *clientConn) reset() {
	raw := c.Conn
	if t, ok := raw.(*tls.Conn); ok {
		raw = t.NetConn()
	}
	if tcp, ok := raw.(*net.TCPConn); ok {
		tcp.SetLinger(0)
		tcp.Close()
	}
}

// copyBuffers are of copyBuffer bytes.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// writeRemainder passes on the rest of a long answer as it comes.
func (c *clientConn) writeRemainder(rest httpmsg.ResponseStream, chunked bool) error {
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := rest.Read(buffer[:])
		if n > 0 {
			c.SetWriteDeadline(time.Now().Add(streamWriteTimeout))
			if werr := c.writeChunk(buffer[:n], chunked); werr != nil {
				return werr
			}
		}
		switch {
		case err == io.EOF && chunked:
			_, err = io.WriteString(c.Conn, "0\r\n\r\n")
			return err
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

func (c *clientConn) writeChunk(p []byte, chunked bool) error {
	if !chunked {
		_, err := c.Write(p)
		return err
	}
	piece := net.Buffers{[]byte(strconv.FormatInt(int64(len(p)), 16) + "\r\n"), p, []byte("\r\n")}
	_, err := piece.WriteTo(c.Conn)
	return err
}

// rejectUnreadable answers a request that could not be read.
func (s *Server) rejectUnreadable(c *clientConn, err error) {
	var bad httpmsg.RejectionError
	if !errors.As(err, &bad) {
		return // the client has gone
	}
	s.writeResponse(c, bad.Response(), true)
}

// linger is how a connection ends in order: the sending first, and what still comes is read for a moment, and is for nobody. A
// close with bytes unread would reset the connection, and the client might not find what it was sent. It makes room for others
// before any other does.
func (s *Server) linger(c *clientConn) {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	s.mu.Lock()
	s.removeFromList(c)
	c.SetDeadline(time.Now().Add(lingerTimeout))
	s.addToList(c, &s.waiting[lingeringConns])
	s.mu.Unlock()
	io.CopyN(io.Discard, c.Conn, maxLingerBytes)
}
