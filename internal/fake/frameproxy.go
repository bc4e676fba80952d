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
	maxFrameBytes         = 64 << 20    // without the length prefix
	frameLengthBytes      = 4           // size of the length prefix
	frameQueueLength      = 1024        // frames in transit in one direction of a connection
	frameProxyDialTimeout = time.Second // to the target
)

// errFrameTooLong reports a frame that exceeds maxFrameBytes. It ends the connection.
var errFrameTooLong = errors.New("frame length exceeds the limit of 64 MiB")

// FrameFaults are the faults that a FrameProxy injects into one direction.
type FrameFaults struct {
	Partitioned       bool          // frames are lost silently
	Stalled           bool          // frames are held back until the stall ends
	DropFraction      float64       // fraction of frames that are lost, 0 to 1
	DuplicateFraction float64       // fraction of frames that are sent twice, 0 to 1
	Delay             time.Duration // of each frame
	Jitter            time.Duration // upper bound of an additional random delay of each frame, which reorders frames
	TruncateCount     int           // number of next frames of which only half is sent before their connection is closed
}

// FrameProxy forwards connections that carry frames and injects faults. Each frame follows its length, which is four bytes in
// big-endian order. The proxy does not interpret the contents of frames. Its methods may be called concurrently.
type FrameProxy struct {
	target     string
	listener   net.Listener
	goroutines sync.WaitGroup

	mu            sync.Mutex // guards the fields below
	rng           *rand.Rand
	faults        [directions]FrameFaults
	faultsChanged *sync.Cond // also signaled by Close
	conns         map[net.Conn]struct{}
	closed        bool
	frameCount    int64 // received in both directions
	byteCount     int64 // received in both directions, length prefixes included
}

// StartFrameProxy starts a proxy in front of target. seed initializes the random faults.
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

// Configure calls change to modify the faults of a direction. change must not call methods of the proxy.
func (p *FrameProxy) Configure(direction Direction, change func(*FrameFaults)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.faults[direction])
	p.faultsChanged.Broadcast()
}

// Traffic returns how many frames and bytes the proxy has received. The bytes include the length prefixes.
func (p *FrameProxy) Traffic() (frames, bytes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.frameCount, p.byteCount
}

// Close stops the proxy and closes its connections.
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

// track registers a connection for Close. If the proxy is closed, it closes the connection and returns false.
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

// untrack removes a connection from the open connections.
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

// forward forwards a client connection to the target until either side ends its connection.
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

// scheduledFrame is a frame, including its length prefix, and the time at which to write it.
type scheduledFrame struct {
	deliverAt time.Time
	data      []byte
	truncated bool // write only half of data, then close the connection
}

// copyDirection forwards the frames of one direction of a connection and applies the faults of the direction.
func (p *FrameProxy) copyDirection(to, from net.Conn, direction Direction) {
	queue := make(chan scheduledFrame, frameQueueLength)
	var writer sync.WaitGroup
	writer.Go(func() {
		defer to.Close()
		p.deliver(to, queue, direction)
		from.Close() // unblocks the reader
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

// readFrame reads a frame. The result includes the length prefix.
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

// schedule returns the frames to write for a received frame: none if the frame is lost, two if it is duplicated, otherwise one.
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

// drawDeliveryTime returns the time at which to write a frame that has just been read: now plus Delay and a random part of
// Jitter. The caller holds mu.
func (p *FrameProxy) drawDeliveryTime(faults *FrameFaults) time.Time {
	delay := faults.Delay
	if faults.Jitter > 0 {
		delay += time.Duration(p.rng.Int64N(int64(faults.Jitter)))
	}
	return time.Now().Add(delay)
}

// deliver writes each frame at its delivery time, until the queue is closed or a write ends the connection.
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

// earliest returns the index of the frame with the earliest delivery time. It returns -1 if there are no frames.
func earliest(frames []scheduledFrame) int {
	next := -1
	for i, frame := range frames {
		if next < 0 || frame.deliverAt.Before(frames[next].deliverAt) {
			next = i
		}
	}
	return next
}

// writeFrame writes a frame. It returns false if the connection must be closed.
func writeFrame(to net.Conn, frame scheduledFrame) bool {
	if frame.truncated {
		to.Write(frame.data[:len(frame.data)/2])
		return false
	}
	to.SetWriteDeadline(time.Now().Add(proxyWriteTimeout))
	_, err := to.Write(frame.data)
	return err == nil
}

// waitUntilPassable waits while a direction is stalled, and reports whether a frame may pass. It returns false if the direction
// is partitioned or the proxy is closed.
func (p *FrameProxy) waitUntilPassable(direction Direction) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.faults[direction].Stalled && !p.closed {
		p.faultsChanged.Wait()
	}
	return !p.faults[direction].Partitioned && !p.closed
}
