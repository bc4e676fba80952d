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
	// headTime is how long a head may take from its first byte to its last: slow clients need 2 s. With keepalive.MaxIdle it
	// bounds the life of a connection that never brings a whole head; of bodies bodyPause and leastRate do.
	headTime = 2400 * time.Millisecond
	// watchAfter is how long a request is open before its client is watched.
	watchAfter = 2 * time.Millisecond
	// writeTime is how long a client may take none of its answer, and longWriteTime none of a long one: those who read slowly
	// pause between pieces.
	writeTime     = 2 * time.Second
	longWriteTime = 10 * time.Second
	// copyBuffer is how much of a long answer is passed on at a time.
	copyBuffer = 32 << 10
	// lingerTime and lingerBytes bound how much is still read behind a last answer, so that the client finds it rather than a
	// reset.
	lingerTime  = 200 * time.Millisecond
	lingerBytes = 256 << 10
	// freshTime is the age under which a connection makes room for another only if no older one can: its first
	// request is about to come.
	freshTime = 100 * time.Millisecond
	// slowTime is the age from which a request that is still coming makes room for others, if its client sends nothing.
	slowTime = 400 * time.Millisecond
	// mostEnding bounds the connections for several requests at once that make room at a time: each takes a moment to tell its
	// client, and those who wait for room would end one after the other meanwhile.
	mostEnding = 8
	// mostSlowLook bounds the requests that are looked at for one that does not come on.
	mostSlowLook = 256
	// drainQuiet is how long a connection that has brought no request is still waited for while the server drains.
	drainQuiet = 300 * time.Millisecond
	// firstPause and mostPause bound how long a connection on which a request was turned away as malformed is not
	// read. The pause doubles with each such request in a row: clients that send the same again at full speed must
	// not take the processor from others.
	firstPause = 5 * time.Millisecond
	mostPause  = 320 * time.Millisecond
	// acceptPause is the wait after a failed accept that may pass, such as a want of descriptors.
	acceptPause = 10 * time.Millisecond
)

// Owner names the pool that a connection's last request was for. 0: it has brought none.
type Owner = keepalive.PoolID

// Handler says what becomes of requests. It is called from many goroutines at once.
type Handler interface {
	// Admit decides on a request by its head. The owner counts also if it is turned away, with a httpmsg.Bad.
	Admit(q *httpmsg.Request) (Admission, Owner, error)
	// Pause is how long a connection is not read after an answer: refused counts the requests on it in a row that were not
	// admitted.
	Pause(o Owner, refused int) time.Duration
	// Hold counts a connection for an owner, and reports whether it may stay beyond its present request. If so, Drop
	// follows once it belongs to another or is closed.
	Hold(o Owner) bool
	// Drop ends that.
	Drop(o Owner)
	// Excess orders the owners by who gives up a connection first: the highest does, and one at or below 0 last of all.
	Excess(o Owner) int64
}

// Admission is a request that is admitted and whose body is still to come. One of its methods must be called.
type Admission interface {
	// Take hands over the request with its body, or with the first of a long one and the rest, which is nil otherwise. The
	// error is a httpmsg.Bad.
	Take(body []byte, rest httpmsg.Rest) (Exchange, error)
	// Release tells that the body never came.
	Release()
}

// Exchange is a request that a pool has taken.
type Exchange interface {
	// Answer is where the one final answer comes.
	Answer() <-chan httpmsg.Answer
	// Withdraw tells that the client has left, and reports whether the request was still open: else its answer is there.
	Withdraw() bool
}

// Options say how a server differs from that of usual clients.
type Options struct {
	// Identify names who is at the other end of a connection, once its first request has come; nil: nobody asks.
	Identify func(net.Conn) string
	// Steady connections are kept as long as any may be: who uses them keeps them for a purpose, and one that is closed as it
	// is used leaves the other side in doubt.
	Steady bool
	// Streams serves the connections that carry several requests at once; nil: none may.
	Streams Protocol
}

// Port says what is spoken at a listener.
type Port struct {
	TLS   *tls.Config // nil: none
	Plain bool        // Options.Streams without TLS too, for clients that begin with it
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
	origin      time.Time // of the rule's clock

	mu       sync.Mutex
	rule     *keepalive.IdlePolicy
	draining bool
	ports    map[net.Listener]*port
	conns    map[*clientConn]struct{}         // all; the descriptors bound it
	quiet    [quietKinds]lists.List           // *clientConn without a whole request, longest first
	idle     map[Owner]*[idleKinds]lists.List // *clientConn between two requests, longest first
	done     sync.WaitGroup                   // of the connections' goroutines
	ending   int                              // connections for several requests at once that make room and are still there
}

// The lists of connections without a whole request, but for those that are idle.
const (
	fresh     = iota // no request has come yet
	reading          // one has begun to come
	streams          // may carry several requests at once, and carries none
	lingering        // has had its last answer, see linger
	quietKinds
)

// The lists of idle connections of one owner: each is in the order of its age, and so in that of its worth to the rule.
const (
	explored  = iota // kept only to see whether they are used
	askedOnce        // have brought one request
	askedMore
	idleKinds
)

// port is where connections come in.
type port struct {
	Port
	draining bool // Server.mu
}

// clientConn is a client's connection. What Server.mu guards is touched only under it.
type clientConn struct {
	net.Conn
	port    *port
	release func() // of its descriptor
	reader  *requestReader
	early   *time.Timer // of await
	peer    string      // of Options.Identify
	last    bool        // it has had its last answer whole, and ends in order
	old     bool        // its last request was of HTTP/1.0, which knows no chunks
	bare    bool        // its last request was HEAD, whose answer has no body

	owner  Owner          // Server.mu
	held   bool           // Server.mu: counted for owner; if not, it closes with its next answer
	list   *lists.List    // Server.mu: that place is in
	place  *lists.Element // Server.mu: nil while a request is open
	ending bool           // Server.mu: makes room, and is counted in Server.ending
	drain  chan struct{}  // Server.mu: of a connection that carries several requests; closed to end it
	// closeDelimited is, under Server.mu, that an answer is on its way whose end is that of the connection (RFC 9112, 6.3).
	closeDelimited bool
	since          time.Time      // Server.mu: in that list since then
	uses           int            // Server.mu: answers on it
	rests          bool           // Server.mu: the rule has let it wait and is owed how that ended
	wait           keepalive.Wait // Server.mu: what it said
	read           atomic.Int64   // when something was read last, in nanoseconds since started
}

// started is the origin of clientConn.read.
var started = time.Now()

// noting is what a connection's requests are read from: it notes when something came.
type noting struct{ c *clientConn }

func (r noting) Read(p []byte) (int, error) {
	n, err := r.c.Conn.Read(p)
	if n > 0 {
		r.c.read.Store(int64(time.Since(started)))
	}
	return n, err
}

// left reports whether the client has closed.
func (c *clientConn) left() bool { return c.reader.left.Load() || process.PeerClosed(c.Conn) }

// still is for how long nothing has come on c.
func (c *clientConn) still() time.Duration { return time.Since(started) - time.Duration(c.read.Load()) }

func (c *clientConn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}

// New returns a server without listeners.
func New(h Handler, d *process.Descriptors, log *slog.Logger) *Server {
	return NewWith(h, d, log, Options{})
}

// NewWith returns one with options.
func NewWith(h Handler, d *process.Descriptors, log *slog.Logger, o Options) *Server {
	return &Server{
		handler: h, descriptors: d, log: log, options: o, conns: map[*clientConn]struct{}{}, ports: map[net.Listener]*port{},
		idle: map[Owner]*[idleKinds]lists.List{}, origin: time.Now(), rule: keepalive.New(d.MaxClients()),
	}
}

// Serve serves the connections that come until the listener is closed or ctx ends. While no descriptor is free they wait
// in the kernel's backlog. The connections live on. So many acceptors take connections side by side: where descriptors
// are scarce each has to wait until some connection has made room, and others would wait behind it.
func (s *Server) Serve(ctx context.Context, ln net.Listener, acceptors int) error {
	return s.ServeAt(ctx, ln, acceptors, Port{})
}

// ServeAt is Serve where more is spoken than HTTP/1.1.
func (s *Server) ServeAt(ctx context.Context, ln net.Listener, acceptors int, p Port) error {
	at := &port{Port: p}
	s.mu.Lock()
	s.ports[ln] = at
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

func (s *Server) accept(ctx context.Context, ln net.Listener, at *port) error {
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
			case <-time.After(acceptPause):
			}
			continue
		}
		c := &clientConn{Conn: nc, port: at, release: release}
		c.reader = newRequestReader(noting{c})
		s.mu.Lock()
		s.conns[c] = struct{}{}
		c.held = s.handler.Hold(0)
		s.rule.Resize(s.descriptors.MaxClients())
		s.rule.Opened(s.now())
		s.rule.Assign(0)
		if s.rule.ShouldEvictAhead(s.now()) { // the next need not wait until one has closed
			s.evict()
		}
		s.rest(c)
		s.setQuiet(c)
		s.done.Add(1)
		s.mu.Unlock()
		go s.serve(c)
	}
}

// serve answers the requests of one connection in turn.
func (s *Server) serve(c *clientConn) {
	defer s.drop(c)
	if over := s.secure(c); over || c.port.Plain && s.plainStreams(c) {
		return
	}
	malformed, refused := 0, 0
	for s.await(c) {
		q, err := c.reader.read()
		if err != nil {
			s.reject(c, err)
			return
		}
		c.old, c.bare = q.old, q.Method == http.MethodHead
		q.Remote, q.Secure, q.Left = c.RemoteAddr(), c.port.TLS != nil, c.left
		status, admitted, open := s.answer(c, q)
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
			pause = min(firstPause<<min(malformed, 10), mostPause)
			malformed++
		}
		if pause = max(pause, s.handler.Pause(c.owner, refused)); pause > 0 {
			time.Sleep(pause)
		}
		if !s.setIdle(c) {
			return
		}
	}
}

// secure makes c speak TLS where its port does, and reports whether it has been served to its end.
func (s *Server) secure(c *clientConn) (over bool) {
	if c.port.TLS == nil {
		return false
	}
	t := tls.Server(c.Conn, c.port.TLS)
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTime)
	defer cancel()
	c.SetDeadline(time.Now().Add(handshakeTime))
	if err := t.HandshakeContext(ctx); err != nil {
		s.log.Debug("TLS", "from", c.RemoteAddr().String(), "err", err)
		return true
	}
	s.mu.Lock()
	c.Conn = t // whoever else touches c holds mu
	s.mu.Unlock()
	if p := s.options.Streams; p != nil && t.ConnectionState().NegotiatedProtocol == p.Name() {
		s.serveStreams(c, p, nil)
		return true
	}
	return false
}

// plainStreams serves c to its end if its client begins with the protocol for several requests at once, and reports whether it
// did.
func (s *Server) plainStreams(c *clientConn) (over bool) {
	if s.options.Streams == nil {
		return false
	}
	for n := 1; n <= len(streamsPreface); n++ {
		got, err := c.reader.r.Peek(n)
		if err != nil || string(got) != streamsPreface[:n] {
			return false // await tells what is wrong, if anything is
		}
	}
	first, _ := c.reader.r.Peek(c.reader.r.Buffered())
	s.serveStreams(c, s.options.Streams, bytes.Clone(first))
	return true
}

// streamsPreface is the beginning of an HTTP/2 connection, which is no request of HTTP/1.1 (RFC 9113, 3.4).
const streamsPreface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

// now is the clock of the rule.
func (s *Server) now() time.Duration { return time.Since(s.origin) }

// kind is what the rule takes c for. The caller holds mu.
func (c *clientConn) kind() keepalive.Kind {
	return keepalive.Kind(min(c.uses, int(keepalive.SeveralRequests)))
}

// rest asks the rule how long c, on which nothing is open, may wait, and reports whether it may at all. The caller holds mu.
func (s *Server) rest(c *clientConn) bool {
	if s.options.Steady {
		c.wait = keepalive.Wait{Max: keepalive.MaxIdle}
		return true
	}
	c.wait = s.rule.BeginIdle(s.now(), c.owner, c.kind())
	c.rests = c.wait.Max > 0
	return c.rests
}

// rested tells the rule how the wait of c ended. The caller holds mu.
func (s *Server) rested(c *clientConn, after time.Duration, used bool) {
	if c.rests {
		c.rests = false
		s.rule.EndIdle(c.owner, c.kind(), c.wait, after, used)
	}
}

// setPlace puts c, which has no place, in a list. The caller holds mu.
func (s *Server) setPlace(c *clientConn, l *lists.List) {
	c.list, c.since = l, time.Now()
	c.place = l.PushBack(c)
}

// leave takes c out of its list, if it is in one. The caller holds mu.
func (s *Server) leave(c *clientConn) {
	if c.place == nil {
		return
	}
	c.list.Remove(c.place)
	c.list, c.place = nil, nil
	if of := s.idle[c.owner]; of != nil && of[explored].Len()+of[askedOnce].Len()+of[askedMore].Len() == 0 {
		delete(s.idle, c.owner)
	}
}

// setQuiet puts c, which has no open request, in its list for as long as the rule lets it wait. The caller holds mu.
func (s *Server) setQuiet(c *clientConn) {
	l := &s.quiet[fresh]
	if c.uses > 0 {
		of := s.idle[c.owner]
		if of == nil {
			of = &[idleKinds]lists.List{}
			s.idle[c.owner] = of
		}
		switch {
		case c.wait.Explore:
			l = &of[explored]
		case c.uses == 1:
			l = &of[askedOnce]
		default:
			l = &of[askedMore]
		}
	}
	s.setPlace(c, l)
	wait := c.wait.Max
	if s.closing(c) {
		wait = drainQuiet
	}
	c.SetDeadline(c.since.Add(wait))
}

// closing reports whether c is to close with its next answer. The caller holds mu.
func (s *Server) closing(c *clientConn) bool {
	return s.draining || c.port.draining || c.owner != 0 && !c.held
}

// setIdle notes that c waits for its next request, and reports whether there may be one. One that has been read already
// is still answered while the server drains.
func (s *Server) setIdle(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leave(c)
	if s.closing(c) && c.reader.r.Buffered() == 0 && process.NothingToRead(c.Conn) {
		return false
	}
	s.setQuiet(c)
	s.sweep(c.owner)
	return true
}

// mostSweep bounds the connections dismissed at one time.
const mostSweep = 4

// sweep dismisses idle connections of an owner that were let wait and are, by what has been learnt since, not worth their place
// any more. The caller holds mu.
func (s *Server) sweep(o Owner) {
	of := s.idle[o]
	if of == nil {
		return
	}
	for _, l := range of[askedOnce:] {
		for range mostSweep {
			e := l.Front()
			if e == nil {
				break
			}
			c := e.Value.(*clientConn)
			if !s.rule.Expired(o, c.kind(), time.Since(c.since)) || !process.NothingToRead(c.Conn) {
				break
			}
			s.dismiss(c)
		}
	}
}

// await waits for a request to begin to come on c, and reports whether one has: even one that came at the very end of
// the wait, or after c was dismissed.
func (s *Server) await(c *clientConn) bool {
	err := c.reader.await()
	come := err == nil || errors.Is(err, os.ErrDeadlineExceeded) && !process.NothingToRead(c.Conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leave(c)
	now := time.Now()
	s.rested(c, now.Sub(c.since), come)
	c.SetDeadline(now.Add(headTime))
	if come {
		s.setPlace(c, &s.quiet[reading])
	}
	return come
}

// setBusy notes that c has brought a whole request: from here on it cannot be dismissed. One that was dismissed before has
// another deadline again.
func (s *Server) setBusy(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leave(c)
	c.SetDeadline(time.Time{})
}

// setOwner notes which pool a request on c is for.
func (s *Server) setOwner(c *clientConn, o Owner) {
	if c.owner == o && c.held { // only the goroutine of c, which is the caller, writes them
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.held {
		s.handler.Drop(c.owner)
	}
	s.rule.Unassign(c.owner)
	s.rule.Assign(o)
	c.owner, c.held = o, s.handler.Hold(o) // c is in no list by its owner: it reads
}

// dismiss makes the goroutine of c, which has no whole request, close it unless one has come. It guards against closing a
// connection of which that goroutine has just read a request, so that nothing of it shows in the kernel any more.
// Until the goroutine runs the descriptor stays taken. The caller holds mu.
func (s *Server) dismiss(c *clientConn) {
	s.leave(c)
	c.SetReadDeadline(time.Unix(1, 0))
}

// drop closes c and forgets it.
func (s *Server) drop(c *clientConn) {
	if c.last {
		s.linger(c)
	}
	c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leave(c)
	if c.ending {
		s.ending--
	}
	s.rested(c, 0, false) // it never came to wait
	s.rule.Unassign(c.owner)
	s.rule.Closed()
	if c.held {
		s.handler.Drop(c.owner)
	}
	delete(s.conns, c)
	s.done.Done()
}

// Evict dismisses a connection without a whole request to make room for another, and reports whether there was one. It
// guards against clients that hold descriptors for nothing, whatever their reason. In turn: one that has had its last answer, and
// nothing has come behind it; the oldest that never sent anything; one whose request does not come on; of the one worth least to
// the rule of the pool that has most beyond its part, which would have asked again and then connects anew, and the oldest of those
// that have just come, the one worth less; one of a pool that is within its part.
func (s *Server) Evict() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evict()
}

func (s *Server) evict() bool {
	if s.evictOf(&s.quiet[lingering], 0) || s.evictOf(&s.quiet[fresh], freshTime) || s.evictStill() || s.ending < mostEnding && s.evictStreams() || s.ending > 0 {
		return true
	}
	beyond, within := s.idleOwners()
	if len(beyond) > 0 {
		if e := s.quiet[fresh].Front(); e != nil && s.worth(e) < s.worthOwned(s.idle[beyond[0]]) && s.evictOf(&s.quiet[fresh], 0) {
			return true
		}
	}
	return s.evictIdle(beyond) || s.evictOf(&s.quiet[fresh], 0) || s.evictIdle(within)
}

// idleOwners are the owners of idle connections, who has most beyond its part first, and those who have none beyond it.
func (s *Server) idleOwners() (beyond, within []Owner) {
	type candidate struct {
		owner  Owner
		excess int64
	}
	order := make([]candidate, 0, len(s.idle))
	for o := range s.idle {
		order = append(order, candidate{o, s.handler.Excess(o)})
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

// evictIdle dismisses an idle connection of the first owner that has one.
func (s *Server) evictIdle(owners []Owner) bool {
	return slices.ContainsFunc(owners, func(o Owner) bool { return s.evictOwned(s.idle[o]) })
}

// worthOwned is the least worth of the connections of one owner.
func (s *Server) worthOwned(of *[idleKinds]lists.List) float64 {
	least := math.Inf(1)
	for i := range of {
		if e := of[i].Front(); e != nil {
			least = min(least, s.worth(e))
		}
	}
	return least
}

// evictOwned dismisses the connection of one owner that is worth least to the rule: one that explores, else the first of the
// list whose first is worth less.
func (s *Server) evictOwned(of *[idleKinds]lists.List) bool {
	first, second := askedOnce, askedMore
	if a, b := of[first].Front(), of[second].Front(); a != nil && b != nil && s.worth(a) > s.worth(b) {
		first, second = second, first
	}
	return s.evictOf(&of[explored], 0) || s.evictOf(&of[first], 0) || s.evictOf(&of[second], 0)
}

// worth is that of the connection at e to the rule.
func (s *Server) worth(e *lists.Element) float64 {
	c := e.Value.(*clientConn)
	return s.rule.GittinsIndex(c.owner, c.kind(), time.Since(c.since))
}

// evictStill dismisses, of the requests that are coming, the one that has brought nothing for longest, from slowTime on: slow
// clients send on before those who never will. The caller holds mu.
func (s *Server) evictStill() bool {
	var stillest *clientConn
	longest, looked := slowTime, 0
	for e := s.quiet[reading].Front(); e != nil && looked < mostSlowLook; e = e.Next() {
		looked++
		if c := e.Value.(*clientConn); c.still() >= longest && process.NothingToRead(c.Conn) {
			stillest, longest = c, c.still()
		}
	}
	if stillest == nil {
		return false
	}
	s.dismiss(stillest)
	return true
}

// evictStreams ends the connection for several requests at once that has carried none for longest. The caller holds mu.
func (s *Server) evictStreams() bool {
	e := s.quiet[streams].Front()
	if e == nil {
		return false
	}
	c := e.Value.(*clientConn)
	s.leave(c)
	s.endStreams(c)
	c.ending = true
	s.ending++
	return true
}

// evictOf dismisses the first of l that has been there for least and of which nothing is about to be read.
func (s *Server) evictOf(l *lists.List, least time.Duration) bool {
	for e := l.Front(); e != nil; e = e.Next() {
		c := e.Value.(*clientConn)
		if time.Since(c.since) < least {
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

// Learnt is what the server knows of its clients' habits.
func (s *Server) Learnt() keepalive.History {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rule.History()
}

// Adopt takes over what another process has learnt of them.
func (s *Server) Adopt(l keepalive.History) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rule.Restore(l)
}

// Yield makes connections close with their next answer, and leaves those alone that are idle. Drain follows.
func (s *Server) Yield() {
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
	s.dismissAll(func(*clientConn) bool { return true })
}

// DrainListener does the same for the connections that came in at ln, which the caller closes.
func (s *Server) DrainListener(ln net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.ports[ln]
	if at == nil {
		return
	}
	delete(s.ports, ln)
	at.draining = true
	s.dismissAll(func(c *clientConn) bool { return c.port == at })
}

// dismissAll dismisses the idle connections of which it is true, and lets the new ones bring their request soon. The
// caller holds mu.
func (s *Server) dismissAll(of func(*clientConn) bool) {
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
		if c.drain != nil && of(c) {
			s.leave(c)
			s.endStreams(c)
		}
	}
	for e := s.quiet[fresh].Front(); e != nil; e = e.Next() {
		if c := e.Value.(*clientConn); of(c) {
			c.SetDeadline(time.Now().Add(drainQuiet))
		}
	}
}

// Wait returns once all connections have ended, or with ctx, when it closes those that are left.
func (s *Server) Wait(ctx context.Context) error {
	ended := make(chan struct{})
	go func() {
		s.done.Wait()
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
			c.abort()
		} else {
			c.Conn.Close()
		}
	}
	s.mu.Unlock()
	return ctx.Err()
}

// Connections is how many connections of clients there are.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// answer carries out q, whose head was read, and writes its one answer. It reports its status, whether q was admitted, and
// whether another request may follow on c.
func (s *Server) answer(c *clientConn, q *clientRequest) (status int, admitted, open bool) {
	if q.Path == "/healthz" && q.Method == http.MethodGet {
		open = s.write(c, httpmsg.Answer{Status: http.StatusOK}, q.last) && c.reader.skipBody(c, q)
		return http.StatusOK, true, open
	}
	if s.options.Identify != nil {
		if c.peer == "" {
			c.peer = s.options.Identify(c.Conn)
		}
		q.Peer = c.peer
	}
	adm, owner, err := s.handler.Admit(&q.Request)
	s.setOwner(c, owner)
	if err != nil {
		status, open = s.turnAway(c, q, err)
		return status, false, open && c.reader.skipBody(c, q)
	}
	body, rest, err := c.reader.readBody(c.Conn, q)
	if err != nil {
		adm.Release()
		s.reject(c, err)
		return 0, true, false
	}
	s.setBusy(c)
	if rest != nil {
		return s.answerLong(c, q, adm, body, newUpload(rest))
	}
	x, err := adm.Take(body, nil)
	if err != nil {
		status, open = s.turnAway(c, q, err)
		return status, false, open
	}
	ans, open := c.await(x)
	if !open {
		drop(ans)
		return 0, true, false
	}
	return ans.Status, true, s.write(c, ans, q.last)
}

// drop lets go of an answer that nobody is to have.
func drop(ans httpmsg.Answer) {
	if ans.Rest != nil {
		ans.Rest.Close(false)
	}
}

// answerLong is the part of answer for a request whose body is passed on as it comes. Whether its client is there shows as
// the body is read, and is watched from its end on.
func (s *Server) answerLong(c *clientConn, q *clientRequest, adm Admission, body []byte, u *upload) (status int, admitted, open bool) {
	x, err := adm.Take(body, u)
	if err != nil {
		u.stop()
		status, _ = s.turnAway(c, q, err)
		return status, false, false
	}
	var ans httpmsg.Answer
	select {
	case ans = <-x.Answer():
	case <-u.done:
		if u.stop() {
			c.SetDeadline(time.Time{})
			if ans, open = c.await(x); !open {
				drop(ans)
				return 0, true, false
			}
			return ans.Status, true, s.write(c, ans, q.last)
		}
		ans = <-x.Answer() // who read the body has told why it broke off
	}
	whole := u.stop()
	return ans.Status, true, s.write(c, ans, q.last || !whole)
}

// await waits for the answer of x, and reports whether the client is still there. Whether it is is watched once the answer
// is not there at once: the watch takes a goroutine, a read and two turns of the scheduler, as much as a small request.
func (c *clientConn) await(x Exchange) (ans httpmsg.Answer, open bool) {
	if c.early == nil {
		c.early = time.NewTimer(watchAfter)
	} else {
		c.early.Reset(watchAfter)
	}
	select {
	case ans = <-x.Answer():
		c.early.Stop()
		return ans, true
	case <-c.early.C:
	}
	over := make(chan struct{})
	gone := c.reader.watch(c.Conn, over)
	select {
	case ans = <-x.Answer():
	case <-gone:
		if c.reader.left.Load() && x.Withdraw() {
			return ans, false
		}
		ans = <-x.Answer()
	}
	close(over)
	c.SetReadDeadline(time.Unix(1, 0))
	<-gone
	return ans, !c.reader.left.Load()
}

// turnAway answers a request that is not taken.
func (s *Server) turnAway(c *clientConn, q *clientRequest, err error) (status int, open bool) {
	var bad httpmsg.Bad
	errors.As(err, &bad)
	return bad.Status, s.write(c, bad.Answer(), q.last || !q.skips())
}

// write writes an answer, and reports whether another request may follow.
func (s *Server) write(c *clientConn, ans httpmsg.Answer, last bool) (open bool) {
	s.mu.Lock()
	c.uses++
	last = last || s.closing(c)
	if !last && !s.rest(c) && c.reader.r.Buffered() == 0 && process.NothingToRead(c.Conn) { // else the next request is there already
		last = true
	}
	s.mu.Unlock()
	length := int64(len(ans.Body))
	switch {
	case ans.Rest != nil:
		length = ans.Rest.Length()
	case c.bare && len(ans.Body) == 0:
		length = ans.Length
	}
	hasBody := !c.bare && ans.Status != http.StatusNoContent && ans.Status != http.StatusNotModified
	chunked := hasBody && length < 0 && !c.old
	last = last || hasBody && length < 0 && c.old // its end is that of the connection
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
	case length >= 0 && (hasBody || c.bare):
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
	c.SetDeadline(time.Now().Add(writeTime))
	_, err := c.Write(b.Bytes())
	if ans.Rest != nil {
		b = bytes.Buffer{} // it may take long
		if err == nil {
			s.setCloseDelimited(c, length < 0 && !chunked)
			err = c.writeRest(ans.Rest, chunked)
			s.setCloseDelimited(c, false)
		}
		ans.Rest.Close(err == nil)
		if err != nil && length < 0 {
			c.abort() // where the end of the connection is that of the answer, a client must be able to tell
		}
	}
	c.last = err == nil && last
	return err == nil && !last
}

// setCloseDelimited notes whether an end of c would seem to be that of its answer. It guards against a server that ends while one is on its
// way, and whose client takes a part for the whole.
func (s *Server) setCloseDelimited(c *clientConn, is bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.closeDelimited = is
}

// abort makes the end of c a reset.
func (c *clientConn) abort() {
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
var copyBuffers = sync.Pool{New: func() any { return new([copyBuffer]byte) }}

// writeRest passes on the rest of a long answer as it comes.
func (c *clientConn) writeRest(rest httpmsg.Stream, chunked bool) error {
	buffer := copyBuffers.Get().(*[copyBuffer]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := rest.Read(buffer[:])
		if n > 0 {
			c.SetWriteDeadline(time.Now().Add(longWriteTime))
			if werr := c.writePiece(buffer[:n], chunked); werr != nil {
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

func (c *clientConn) writePiece(p []byte, chunked bool) error {
	if !chunked {
		_, err := c.Write(p)
		return err
	}
	piece := net.Buffers{[]byte(strconv.FormatInt(int64(len(p)), 16) + "\r\n"), p, []byte("\r\n")}
	_, err := piece.WriteTo(c.Conn)
	return err
}

// reject answers a request that could not be read.
func (s *Server) reject(c *clientConn, err error) {
	var bad httpmsg.Bad
	if !errors.As(err, &bad) {
		return // the client has gone
	}
	s.write(c, bad.Answer(), true)
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
	s.leave(c)
	c.SetDeadline(time.Now().Add(lingerTime))
	s.setPlace(c, &s.quiet[lingering])
	s.mu.Unlock()
	io.CopyN(io.Discard, c.Conn, lingerBytes)
}
