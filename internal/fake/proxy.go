package fake

import (
	"net"
	"sync"
	"time"
)

// Direction is a direction of traffic through a proxy.
type Direction int

// The directions.
const (
	ToTarget   Direction = iota // from clients to the target
	FromTarget                  // from the target to clients
	directions                  // number of directions
)

const (
	proxyBufferBytes  = 32 << 10        // largest read of a connection
	proxyQueueLength  = 16              // chunks in transit in one direction of a connection
	proxyDialTimeout  = 5 * time.Second // to the target
	proxyWriteTimeout = 5 * time.Second // of a frame
)

// Proxy forwards TCP connections to a target and injects faults: it can delay, rate-limit, stall or reset connections. A
// stalled connection stays open but transfers no bytes. The methods may be called concurrently.
type Proxy struct {
	target     string
	listener   net.Listener
	goroutines sync.WaitGroup

	mu             sync.Mutex // guards the fields below
	delay          time.Duration
	bytesPerSecond int                       // per direction, across all connections; 0: no limit
	busyUntil      [directions]time.Time     // when the bytes read so far have passed the rate limit
	stalledConns   map[net.Conn]bool         // client connections that are stalled permanently
	resumed        [directions]chan struct{} // nil unless the direction is stalled; closed when the stall ends
	conns          map[net.Conn]struct{}     // client connections and connections to the target
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

// SetDelay sets the delay of all bytes in each direction.
func (p *Proxy) SetDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// SetRate limits the bytes per second in each direction, across all connections. 0 means no limit.
func (p *Proxy) SetRate(bytesPerSecond int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bytesPerSecond = bytesPerSecond
}

// StallConnection stalls one open connection permanently. It returns false if there is no connection to stall.
func (p *Proxy) StallConnection() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		isClientConn := c.LocalAddr().String() == p.listener.Addr().String()
		if isClientConn && !p.stalledConns[c] {
			p.stalledConns[c] = true
			return true
		}
	}
	return false
}

// Connections returns the number of forwarded connections.
func (p *Proxy) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns) / 2
}

// SetStalled stalls or resumes both directions. Bytes that were held back are forwarded when the stall ends.
func (p *Proxy) SetStalled(on bool) {
	p.SetDirectionStalled(ToTarget, on)
	p.SetDirectionStalled(FromTarget, on)
}

// SetDirectionStalled stalls or resumes one direction.
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

// Close stops the proxy and resets its connections.
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

// untrack closes a connection and removes it from the open connections.
func (p *Proxy) untrack(c net.Conn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	delete(p.stalledConns, c)
}

// forward forwards a client connection to the target until either side ends its connection.
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

// waitWhileStalled blocks while a direction is stalled.
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

// chunk contains the bytes of one read and the time at which to write them.
type chunk struct {
	bytes     []byte
	deliverAt time.Time
}

// deliveryTime returns the time at which to write n bytes that have just been read. With a rate limit, the bytes follow those
// read before them at the limited rate. The delay is added to that time.
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

// isStalled reports whether a client connection is stalled permanently.
func (p *Proxy) isStalled(client net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stalledConns[client]
}

// copyDirection forwards one direction of a client connection and applies the faults.
func (p *Proxy) copyDirection(to, from, client net.Conn, direction Direction) {
	defer p.untrack(to)
	chunks := make(chan chunk, proxyQueueLength)
	go func() {
		defer close(chunks)
		p.readChunks(from, direction, chunks)
	}()
	writeFailed := false
	for c := range chunks {
		if writeFailed || p.isStalled(client) { // drop the bytes of a permanently stalled connection
			continue
		}
		time.Sleep(time.Until(c.deliverAt))
		p.waitWhileStalled(direction)
		if _, err := to.Write(c.bytes); err != nil {
			writeFailed = true
			p.untrack(from) // unblocks the reader
		}
	}
}

// readChunks reads a connection into chunks until the connection ends.
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
