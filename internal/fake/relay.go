package fake

import (
	"net"
	"sync"
	"time"
)

// Relay is a link between two places: it passes TCP connections on to a target, and can be slow, stand still, be cut or
// reset. A link that stands still or is cut says nothing: connections stay open and silent.
type Relay struct {
	target string
	ln     net.Listener
	done   sync.WaitGroup

	mu     sync.Mutex
	delay  time.Duration
	rate   int               // bytes a second each way of all connections together; 0: no limit
	busy   [2]time.Time      // until when each way is taken
	stuck  map[net.Conn]bool // near sides that stand still for good
	still  [2]chan struct{}  // of each way; not nil: nothing passes that way until it is closed
	conns  map[net.Conn]struct{}
	closed bool
}

// relayBuffer is how much of each direction of a connection is on the way at once.
const relayBuffer = 32 << 10

// StartRelay starts a link to target.
func StartRelay(target string) (*Relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{target: target, ln: ln, conns: map[net.Conn]struct{}{}, stuck: map[net.Conn]bool{}}
	r.done.Go(r.accept)
	return r, nil
}

// Addr is where the link begins.
func (r *Relay) Addr() string { return r.ln.Addr().String() }

// Delay makes all that passes so much later, each way.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Rate makes the link carry so many bytes a second each way, whatever the connections. 0 is no limit.
func (r *Relay) Rate(bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rate = bytes
}

// StallOne makes one of the connections that there are stand still for good, and reports whether there was one.
func (r *Relay) StallOne() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if c.LocalAddr().String() == r.ln.Addr().String() && !r.stuck[c] { // a near side
			r.stuck[c] = true
			return true
		}
	}
	return false
}

// Conns is how many connections the link carries.
func (r *Relay) Conns() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns) / 2
}

// Stall makes the link stand still, or go on: then all that was held passes.
func (r *Relay) Stall(on bool) {
	r.StallWay(Forth, on)
	r.StallWay(Back, on)
}

// The ways of a link.
const (
	Forth = iota // to the target
	Back
)

// StallWay makes one way of the link stand still, or go on.
func (r *Relay) StallWay(way int, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case on && r.still[way] == nil:
		r.still[way] = make(chan struct{})
	case !on && r.still[way] != nil:
		close(r.still[way])
		r.still[way] = nil
	}
}

// Reset breaks all connections that there are with a reset.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		c.Close()
	}
}

// Close ends the link.
func (r *Relay) Close() {
	r.Stall(false)
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.ln.Close()
	r.Reset()
	r.done.Wait()
}

func (r *Relay) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.done.Go(func() { r.pass(c) })
	}
}

// keep notes a connection, so that Reset and Close find it.
func (r *Relay) keep(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.conns[c] = struct{}{}
	}
	return !r.closed
}

func (r *Relay) drop(c net.Conn) {
	c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	delete(r.stuck, c)
}

func (r *Relay) pass(near net.Conn) {
	defer r.drop(near)
	if !r.keep(near) {
		return
	}
	r.wait(Forth)
	far, err := net.DialTimeout("tcp", r.target, 5*time.Second)
	if err != nil {
		if tcp, ok := near.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		return
	}
	defer r.drop(far)
	if !r.keep(far) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { r.copy(far, near, near, Forth) })
	both.Go(func() { r.copy(near, far, near, Back) })
	both.Wait()
}

// wait returns once a way of the link does not stand still.
func (r *Relay) wait(way int) {
	for {
		r.mu.Lock()
		still := r.still[way]
		r.mu.Unlock()
		if still == nil {
			return
		}
		<-still
	}
}

// chunk is what was read of a connection at once.
type chunk struct {
	bytes []byte
	due   time.Time
}

// due is when what has just been read comes out at the other end, if it goes that way: after the link's delay, and after what
// went before it.
func (r *Relay) due(n, way int) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.Now()
	if r.rate > 0 {
		if r.busy[way].After(at) {
			at = r.busy[way]
		}
		at = at.Add(time.Duration(n) * time.Second / time.Duration(r.rate))
		r.busy[way] = at
	}
	return at.Add(r.delay)
}

// held reports whether the connection with that near side stands still for good.
func (r *Relay) held(near net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stuck[near]
}

// copy passes what comes from one connection to another, one way of the connection with that near side.
func (r *Relay) copy(to, from, near net.Conn, way int) {
	defer r.drop(to)
	parts := make(chan chunk, 16)
	go func() {
		defer close(parts)
		for {
			b := make([]byte, relayBuffer)
			n, err := from.Read(b)
			if n > 0 {
				parts <- chunk{b[:n], r.due(n, way)}
			}
			if err != nil {
				return
			}
		}
	}()
	broken := false
	for c := range parts {
		if broken || r.held(near) { // what stands still is lost to its readers, who see an open connection
			continue
		}
		time.Sleep(time.Until(c.due))
		r.wait(way)
		if _, err := to.Write(c.bytes); err != nil {
			broken = true
			r.drop(from) // ends the reading
		}
	}
}
