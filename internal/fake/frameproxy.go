package fake

import (
	"encoding/binary"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	maxFrameBytes         = 64 << 20    // without the length
	frameLengthBytes      = 4           // of the length before each frame
	frameQueueLength      = 1024        // frames of one connection in transit
	frameProxyDialTimeout = time.Second // to the target
)

// errFrameTooLong ends a connection whose next frame exceeds maxFrameBytes.
var errFrameTooLong = errors.New("frame is too long")

// FrameFaults are what a FrameProxy does to the frames of one direction.
type FrameFaults struct {
	Partitioned       bool          // frames are lost without a sign
	Stalled           bool          // frames are held, and pass once this ends
	DropFraction      float64       // of the frames, 0 to 1
	DuplicateFraction float64       // of the frames, 0 to 1
	Delay             time.Duration // of each frame
	Jitter            time.Duration // bound of a further delay, drawn for each frame, so that frames are reordered
	TruncateCount     int           // as many of the next frames are passed in half, and their connection is closed
}

// FrameProxy forwards connections that carry frames, each after its length as four bytes, the most significant first, and injects
// faults into them. It knows nothing of the frames' contents. Its methods may be called concurrently.
type FrameProxy struct {
	target     string
	listener   net.Listener
	goroutines sync.WaitGroup

	mu            sync.Mutex // guards the fields below
	rng           *rand.Rand
	faults        [directions]FrameFaults
	faultsChanged *sync.Cond // also on Close
	conns         map[net.Conn]struct{}
	closed        bool
	frameCount    int64 // received
	byteCount     int64
}

// StartFrameProxy starts a proxy in front of target. The seed is that of its random faults.
func StartFrameProxy(target string, seed uint64) (*FrameProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &FrameProxy{
		target: target, listener: listener, rng: rand.New(rand.NewPCG(seed, 9)), conns: map[net.Conn]struct{}{},
	}
	p.faultsChanged = sync.NewCond(&p.mu)
	p.goroutines.Go(p.accept)
	return p, nil
}

// Addr returns the address where the proxy listens.
func (p *FrameProxy) Addr() string { return p.listener.Addr().String() }

// Configure changes the faults of a direction.
func (p *FrameProxy) Configure(direction Direction, change func(*FrameFaults)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.faults[direction])
	p.faultsChanged.Broadcast()
}

// Traffic returns how many frames and bytes were received, their lengths included.
func (p *FrameProxy) Traffic() (frames, bytes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.frameCount, p.byteCount
}

// Close ends the proxy and its connections.
func (p *FrameProxy) Close() {
	p.mu.Lock()
	p.closed = true
	for c := range p.conns {
		c.Close()
	}
	p.faultsChanged.Broadcast()
	p.mu.Unlock()
	p.listener.Close()
	p.goroutines.Wait()
}

// CloseConnections closes the open connections.
func (p *FrameProxy) CloseConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.Close()
	}
}

// track registers a connection for Close. It closes the connection and returns false if the proxy is closed.
func (p *FrameProxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.Close()
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

func (p *FrameProxy) untrack(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *FrameProxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.goroutines.Go(func() { p.forward(client) })
	}
}

// forward connects a client to the target until one of them ends the connection.
func (p *FrameProxy) forward(client net.Conn) {
	defer client.Close()
	if !p.track(client) {
		return
	}
	defer p.untrack(client)
	server, err := net.DialTimeout("tcp", p.target, frameProxyDialTimeout)
	if err != nil {
		return
	}
	defer server.Close()
	if !p.track(server) {
		return
	}
	defer p.untrack(server)
	var both sync.WaitGroup
	both.Go(func() { p.copyDirection(server, client, ToTarget) })
	both.Go(func() { p.copyDirection(client, server, FromTarget) })
	both.Wait()
}

// scheduledFrame is a frame with its length, and when it is written.
type scheduledFrame struct {
	deliverAt time.Time
	data      []byte
	truncated bool
}

// copyDirection copies the frames of one direction of a connection, with its faults.
func (p *FrameProxy) copyDirection(to, from net.Conn, direction Direction) {
	queue := make(chan scheduledFrame, frameQueueLength)
	var writer sync.WaitGroup
	writer.Go(func() {
		defer to.Close()
		p.deliver(to, queue, direction)
		from.Close() // ends the reading
		for range queue {
		}
	})
	defer writer.Wait()
	defer close(queue)
	defer from.Close()
	for {
		data, err := readFrame(from)
		if err != nil {
			return
		}
		for _, frame := range p.schedule(data, direction) {
			queue <- frame
		}
	}
}

// readFrame reads a frame and returns it with its length.
func readFrame(r io.Reader) ([]byte, error) {
	var length [frameLengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > maxFrameBytes {
		return nil, errFrameTooLong
	}
	data := make([]byte, frameLengthBytes+n)
	copy(data, length[:])
	_, err := io.ReadFull(r, data[frameLengthBytes:])
	return data, err
}

// schedule returns what is to be written of a frame: nothing, the frame, or the frame twice.
func (p *FrameProxy) schedule(data []byte, direction Direction) []scheduledFrame {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frameCount++
	p.byteCount += int64(len(data))
	faults := &p.faults[direction]
	if faults.Partitioned || p.rng.Float64() < faults.DropFraction {
		return nil
	}
	frames := []scheduledFrame{{deliverAt: p.drawDeliveryTime(faults), data: data}}
	switch {
	case faults.TruncateCount > 0:
		faults.TruncateCount--
		frames[0].truncated = true
	case p.rng.Float64() < faults.DuplicateFraction:
		frames = append(frames, scheduledFrame{deliverAt: p.drawDeliveryTime(faults), data: data})
	}
	return frames
}

// drawDeliveryTime draws when a frame that has just been read is written. The caller holds mu.
func (p *FrameProxy) drawDeliveryTime(faults *FrameFaults) time.Time {
	delay := faults.Delay
	if faults.Jitter > 0 {
		delay += time.Duration(p.rng.Int64N(int64(faults.Jitter)))
	}
	return time.Now().Add(delay)
}

// deliver writes frames at their times until the queue is closed or the connection ends.
func (p *FrameProxy) deliver(to net.Conn, queue <-chan scheduledFrame, direction Direction) {
	var waiting []scheduledFrame
	for {
		var timer *time.Timer
		var ready <-chan time.Time
		next := earliest(waiting)
		if next >= 0 {
			timer = time.NewTimer(time.Until(waiting[next].deliverAt))
			ready = timer.C
		}
		select {
		case frame, open := <-queue:
			if timer != nil {
				timer.Stop()
			}
			if !open {
				return
			}
			waiting = append(waiting, frame)
		case <-ready:
			frame := waiting[next]
			waiting = append(waiting[:next], waiting[next+1:]...)
			if p.waitUntilPassable(direction) && !writeFrame(to, frame) {
				return
			}
		}
	}
}

// earliest returns the index of the frame to be written first, -1 if there is none.
func earliest(frames []scheduledFrame) int {
	next := -1
	for i, frame := range frames {
		if next < 0 || frame.deliverAt.Before(frames[next].deliverAt) {
			next = i
		}
	}
	return next
}

// writeFrame writes a frame, and reports whether the connection can go on.
func writeFrame(to net.Conn, frame scheduledFrame) bool {
	if frame.truncated {
		to.Write(frame.data[:len(frame.data)/2])
		return false
	}
	to.SetWriteDeadline(time.Now().Add(proxyWriteTimeout))
	_, err := to.Write(frame.data)
	return err == nil
}

// waitUntilPassable waits while a direction stalls, and reports whether a frame may pass.
func (p *FrameProxy) waitUntilPassable(direction Direction) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.faults[direction].Stalled && !p.closed {
		p.faultsChanged.Wait()
	}
	return !p.faults[direction].Partitioned && !p.closed
}
