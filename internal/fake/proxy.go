package fake

import (
	"net"
	"sync"
	"time"
)

// Direction is a direction of the traffic through a proxy.
type Direction int

// The directions.
const (
	ToTarget Direction = iota
	FromTarget
	directions
)

const (
	proxyBufferBytes  = 32 << 10        // read of a connection at once
	proxyQueueLength  = 16              // such reads in transit
	proxyDialTimeout  = 5 * time.Second // to the target
	proxyWriteTimeout = 5 * time.Second // of a frame
)

// Proxy forwards TCP connections to a target and injects faults: it can delay, limit, stall or reset them. A stalled connection
// stays open and silent. Its methods may be called concurrently.
type Proxy struct {
	target     string
	listener   net.Listener
	goroutines sync.WaitGroup

	mu             sync.Mutex // guards the fields below
	delay          time.Duration
	bytesPerSecond int                       // each direction of all connections together; 0: no limit
	busyUntil      [directions]time.Time     // when what was sent has passed the limit
	stalledConns   map[net.Conn]bool         // clients' connections that stall for good
	resumed        [directions]chan struct{} // not nil while a direction stalls; closed as it goes on
	conns          map[net.Conn]struct{}     // to clients and to the target
	closed         bool
}

// StartProxy starts a proxy in front of target.
func StartProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: listener, conns: map[net.Conn]struct{}{}, stalledConns: map[net.Conn]bool{}}
	p.goroutines.Go(p.accept)
	return p, nil
}

// Addr returns the address where the proxy listens.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// SetDelay delays all bytes, in each direction.
func (p *Proxy) SetDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// SetRate limits the bytes a second in each direction, of all connections together. 0 is no limit.
func (p *Proxy) SetRate(bytesPerSecond int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bytesPerSecond = bytesPerSecond
}

// StallConnection stalls one of the open connections for good, and reports whether there was one.
func (p *Proxy) StallConnection() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		isClients := c.LocalAddr().String() == p.listener.Addr().String()
		if isClients && !p.stalledConns[c] {
			p.stalledConns[c] = true
			return true
		}
	}
	return false
}

// Connections returns how many connections are forwarded.
func (p *Proxy) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns) / 2
}

// SetStalled makes both directions stall, or go on; what was held passes then.
func (p *Proxy) SetStalled(on bool) {
	p.SetDirectionStalled(ToTarget, on)
	p.SetDirectionStalled(FromTarget, on)
}

// SetDirectionStalled makes one direction stall, or go on.
func (p *Proxy) SetDirectionStalled(direction Direction, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case on && p.resumed[direction] == nil:
		p.resumed[direction] = make(chan struct{})
	case !on && p.resumed[direction] != nil:
		close(p.resumed[direction])
		p.resumed[direction] = nil
	}
}

// ResetConnections closes all connections with a TCP reset.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.SetStalled(false)
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.listener.Close()
	p.ResetConnections()
	p.goroutines.Wait()
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.goroutines.Go(func() { p.forward(c) })
	}
}

// track registers a connection for ResetConnections and Close. It returns false if the proxy is closed.
func (p *Proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.conns[c] = struct{}{}
	}
	return !p.closed
}

// untrack closes a connection and forgets it.
func (p *Proxy) untrack(c net.Conn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	delete(p.stalledConns, c)
}

// forward connects a client to the target until one of them ends the connection.
func (p *Proxy) forward(client net.Conn) {
	defer p.untrack(client)
	if !p.track(client) {
		return
	}
	p.waitWhileStalled(ToTarget)
	server, err := net.DialTimeout("tcp", p.target, proxyDialTimeout)
	if err != nil {
		resetOnClose(client)
		return
	}
	defer p.untrack(server)
	if !p.track(server) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.copyDirection(server, client, client, ToTarget) })
	both.Go(func() { p.copyDirection(client, server, client, FromTarget) })
	both.Wait()
}

// waitWhileStalled returns once a direction does not stall.
func (p *Proxy) waitWhileStalled(direction Direction) {
	for {
		p.mu.Lock()
		resumed := p.resumed[direction]
		p.mu.Unlock()
		if resumed == nil {
			return
		}
		<-resumed
	}
}

// chunk is what was read of a connection at once, and when it is to be written.
type chunk struct {
	bytes     []byte
	deliverAt time.Time
}

// deliveryTime is when n bytes that have just been read are to be written: after the delay, and after what was read before them at
// the limited rate.
func (p *Proxy) deliveryTime(n int, direction Direction) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := time.Now()
	if p.bytesPerSecond > 0 {
		if p.busyUntil[direction].After(at) {
			at = p.busyUntil[direction]
		}
		at = at.Add(time.Duration(n) * time.Second / time.Duration(p.bytesPerSecond))
		p.busyUntil[direction] = at
	}
	return at.Add(p.delay)
}

// isStalled reports whether a client's connection stalls for good.
func (p *Proxy) isStalled(client net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stalledConns[client]
}

// copyDirection copies one direction of a client's connection.
func (p *Proxy) copyDirection(to, from, client net.Conn, direction Direction) {
	defer p.untrack(to)
	chunks := make(chan chunk, proxyQueueLength)
	go func() {
		defer close(chunks)
		p.readChunks(from, direction, chunks)
	}()
	broken := false
	for c := range chunks {
		if broken || p.isStalled(client) { // bytes of a connection that stalls for good are dropped
			continue
		}
		time.Sleep(time.Until(c.deliverAt))
		p.waitWhileStalled(direction)
		if _, err := to.Write(c.bytes); err != nil {
			broken = true
			p.untrack(from) // ends the reading
		}
	}
}

// readChunks reads a connection until it ends.
func (p *Proxy) readChunks(from net.Conn, direction Direction, chunks chan<- chunk) {
	for {
		buffer := make([]byte, proxyBufferBytes)
		n, err := from.Read(buffer)
		if n > 0 {
			chunks <- chunk{buffer[:n], p.deliveryTime(n, direction)}
		}
		if err != nil {
			return
		}
	}
}
