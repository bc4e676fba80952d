package fake

import (
	"net"
	"sync"
	"time"
)

// Proxy is a link between two places: it passes TCP connections on to a target, and can be slow, stand still, be cut or
// reset. A link that stands still or is cut says nothing: connections stay open and silent.
type Proxy struct {
	target     string
	listener   net.Listener
	goroutines sync.WaitGroup

	mu           sync.Mutex
	delay        time.Duration
	rate         int               // bytes a second each way of all connections together; 0: no limit
	busyUntil    [2]time.Time      // until when each way is taken
	stalledConns map[net.Conn]bool // near sides that stand still for good
	stalled      [2]chan struct{}  // of each way; not nil: nothing passes that way until it is closed
	conns        map[net.Conn]struct{}
	closed       bool
}

// proxyBufferBytes is how much of each direction of a connection is on the way at once.
const proxyBufferBytes = 32 << 10

// StartProxy starts a link to target.
func StartProxy(target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Proxy{target: target, listener: ln, conns: map[net.Conn]struct{}{}, stalledConns: map[net.Conn]bool{}}
	r.goroutines.Go(r.accept)
	return r, nil
}

// Addr is where the link begins.
func (r *Proxy) Addr() string { return r.listener.Addr().String() }

// SetDelay makes all that passes so much later, each way.
func (r *Proxy) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// SetRate makes the link carry so many bytes a second each way, whatever the connections. 0 is no limit.
func (r *Proxy) SetRate(bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rate = bytes
}

// StallConnection makes one of the connections that there are stand still for good, and reports whether there was one.
func (r *Proxy) StallConnection() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if c.LocalAddr().String() == r.listener.Addr().String() && !r.stalledConns[c] { // a near side
			r.stalledConns[c] = true
			return true
		}
	}
	return false
}

// Connections is how many connections the link carries.
func (r *Proxy) Connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns) / 2
}

// SetStalled makes the link stand still, or go on: then all that was held passes.
func (r *Proxy) SetStalled(on bool) {
	r.SetDirectionStalled(ToTarget, on)
	r.SetDirectionStalled(FromTarget, on)
}

// The ways of a link.
const (
	ToTarget = iota // to the target
	FromTarget
)

// SetDirectionStalled makes one way of the link stand still, or go on.
func (r *Proxy) SetDirectionStalled(way int, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case on && r.stalled[way] == nil:
		r.stalled[way] = make(chan struct{})
	case !on && r.stalled[way] != nil:
		close(r.stalled[way])
		r.stalled[way] = nil
	}
}

// ResetConnections breaks all connections that there are with a reset.
func (r *Proxy) ResetConnections() {
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
func (r *Proxy) Close() {
	r.SetStalled(false)
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.listener.Close()
	r.ResetConnections()
	r.goroutines.Wait()
}

func (r *Proxy) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.goroutines.Go(func() { r.forward(c) })
	}
}

// track notes a connection, so that Reset and Close find it.
func (r *Proxy) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.conns[c] = struct{}{}
	}
	return !r.closed
}

func (r *Proxy) untrack(c net.Conn) {
	c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	delete(r.stalledConns, c)
}

func (r *Proxy) forward(near net.Conn) {
	defer r.untrack(near)
	if !r.track(near) {
		return
	}
	r.waitWhileStalled(ToTarget)
	far, err := net.DialTimeout("tcp", r.target, 5*time.Second)
	if err != nil {
		if tcp, ok := near.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		return
	}
	defer r.untrack(far)
	if !r.track(far) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { r.copyDirection(far, near, near, ToTarget) })
	both.Go(func() { r.copyDirection(near, far, near, FromTarget) })
	both.Wait()
}

// waitWhileStalled returns once a way of the link does not stand still.
func (r *Proxy) waitWhileStalled(way int) {
	for {
		r.mu.Lock()
		still := r.stalled[way]
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

// deliveryTime is when what has just been read comes out at the other end, if it goes that way: after the link's delay, and after what
// went before it.
func (r *Proxy) deliveryTime(n, way int) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.Now()
	if r.rate > 0 {
		if r.busyUntil[way].After(at) {
			at = r.busyUntil[way]
		}
		at = at.Add(time.Duration(n) * time.Second / time.Duration(r.rate))
		r.busyUntil[way] = at
	}
	return at.Add(r.delay)
}

// isStalled reports whether the connection with that near side stands still for good.
func (r *Proxy) isStalled(near net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stalledConns[near]
}

// copyDirection passes what comes from one connection to another, one way of the connection with that near side.
func (r *Proxy) copyDirection(to, from, near net.Conn, way int) {
	defer r.untrack(to)
	parts := make(chan chunk, 16)
	go func() {
		defer close(parts)
		for {
			b := make([]byte, proxyBufferBytes)
			n, err := from.Read(b)
			if n > 0 {
				parts <- chunk{b[:n], r.deliveryTime(n, way)}
			}
			if err != nil {
				return
			}
		}
	}()
	broken := false
	for c := range parts {
		if broken || r.isStalled(near) { // what stands still is lost to its readers, who see an open connection
			continue
		}
		time.Sleep(time.Until(c.due))
		r.waitWhileStalled(way)
		if _, err := to.Write(c.bytes); err != nil {
			broken = true
			r.untrack(from) // ends the reading
		}
	}
}
