package fake

import (
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// FrameFaults is what a link does to what goes one way.
type FrameFaults struct {
	Partitioned       bool          // nothing gets through, and nobody is told
	Stalled           bool          // it stands still: what comes is held, and passes once it goes on
	DropFraction      float64       // share of frames that is lost
	DuplicateFraction float64       // share that comes twice
	Delay             time.Duration // of each frame
	Jitter            time.Duration // a further delay, drawn for each frame: they overtake each other
	TruncateCount     int           // so many frames are passed in half, and their connection is closed
}

// FrameProxy is a link between two processes that passes frames: four bytes of length, most significant first, and what they count. It knows
// nothing of what is in them.
type FrameProxy struct {
	target     string
	listener   net.Listener
	goroutines sync.WaitGroup

	mu            sync.Mutex
	rng           *rand.Rand
	faults        [2]FrameFaults
	faultsChanged *sync.Cond // something about the ways has changed
	conns         map[net.Conn]struct{}
	closed        bool
	frameCount    int64 // that came, under mu
	byteCount     int64
}

// maxFrameBytes bounds a frame, and linkQueue the frames of one connection that are on their way.
const (
	maxFrameBytes    = 64 << 20
	frameQueueLength = 1024
)

// StartFrameProxy starts a link to target.
func StartFrameProxy(target string, seed uint64) (*FrameProxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &FrameProxy{target: target, listener: ln, rng: rand.New(rand.NewPCG(seed, 9)), conns: map[net.Conn]struct{}{}}
	l.faultsChanged = sync.NewCond(&l.mu)
	l.goroutines.Go(l.accept)
	return l, nil
}

// Addr is where the link begins.
func (l *FrameProxy) Addr() string { return l.listener.Addr().String() }

// Configure changes what the link does to what goes a way, Forth or Back.
func (l *FrameProxy) Configure(way int, f func(*FrameFaults)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.faults[way])
	l.faultsChanged.Broadcast()
}

// Traffic is how many frames and bytes have come.
func (l *FrameProxy) Traffic() (frames, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.frameCount, l.byteCount
}

// Close ends the link and all that goes over it.
func (l *FrameProxy) Close() {
	l.mu.Lock()
	l.closed = true
	for c := range l.conns {
		c.Close()
	}
	l.faultsChanged.Broadcast()
	l.mu.Unlock()
	l.listener.Close()
	l.goroutines.Wait()
}

// CloseConnections ends the connections that there are.
func (l *FrameProxy) CloseConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.Close()
	}
}

func (l *FrameProxy) track(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		c.Close()
		return false
	}
	l.conns[c] = struct{}{}
	return true
}

func (l *FrameProxy) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.goroutines.Go(func() { l.forward(near) })
	}
}

func (l *FrameProxy) forward(near net.Conn) {
	defer near.Close()
	if !l.track(near) {
		return
	}
	defer l.untrack(near)
	far, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		return
	}
	defer far.Close()
	if !l.track(far) {
		return
	}
	defer l.untrack(far)
	var both sync.WaitGroup
	both.Go(func() { l.copyDirection(far, near, ToTarget) })
	both.Go(func() { l.copyDirection(near, far, FromTarget) })
	both.Wait()
}

func (l *FrameProxy) untrack(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// scheduledFrame is a frame and when it is passed on.
type scheduledFrame struct {
	deliverAt time.Time
	data      []byte
	truncated bool
}

func (l *FrameProxy) copyDirection(to, from net.Conn, way int) {
	queue := make(chan scheduledFrame, frameQueueLength)
	var writer sync.WaitGroup
	writer.Go(func() {
		defer to.Close()
		defer from.Close()
		l.deliver(to, queue, way)
		from.Close()
		for range queue { // the reader ends soon: its connection is closed
		}
	})
	defer writer.Wait()
	defer close(queue)
	defer from.Close()
	for {
		var head [4]byte
		if _, err := io.ReadFull(from, head[:]); err != nil {
			return
		}
		n := binary.BigEndian.Uint32(head[:])
		if n > maxFrameBytes {
			return
		}
		data := make([]byte, 4+n)
		copy(data, head[:])
		if _, err := io.ReadFull(from, data[4:]); err != nil {
			return
		}
		for _, d := range l.schedule(data, way) {
			queue <- d
		}
	}
}

// schedule says what becomes of a frame.
func (l *FrameProxy) schedule(data []byte, way int) []scheduledFrame {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.frameCount++
	l.byteCount += int64(len(data))
	w := &l.faults[way]
	if w.Partitioned || l.rng.Float64() < w.DropFraction {
		return nil
	}
	at := func() time.Time {
		d := w.Delay
		if w.Jitter > 0 {
			d += time.Duration(l.rng.Int64N(int64(w.Jitter)))
		}
		return time.Now().Add(d)
	}
	all := []scheduledFrame{{deliverAt: at(), data: data}}
	if w.TruncateCount > 0 {
		w.TruncateCount--
		all[0].truncated = true
	} else if l.rng.Float64() < w.DuplicateFraction {
		all = append(all, scheduledFrame{deliverAt: at(), data: data})
	}
	return all
}

// deliver passes frames on as they are due.
func (l *FrameProxy) deliver(to net.Conn, queue <-chan scheduledFrame, way int) {
	var waiting []scheduledFrame
	for queue != nil || len(waiting) > 0 {
		next := -1
		for i, d := range waiting {
			if next < 0 || d.deliverAt.Before(waiting[next].deliverAt) {
				next = i
			}
		}
		var ready <-chan time.Time
		var timer *time.Timer
		if next >= 0 {
			timer = time.NewTimer(time.Until(waiting[next].deliverAt))
			ready = timer.C
		}
		select {
		case d, open := <-queue:
			if !open {
				if timer != nil {
					timer.Stop()
				}
				return // the other side has gone
			}
			waiting = append(waiting, d)
		case <-ready:
			d := waiting[next]
			waiting = append(waiting[:next], waiting[next+1:]...)
			if !l.waitUntilPassable(way) {
				continue
			}
			if d.truncated {
				to.Write(d.data[:len(d.data)/2])
				return
			}
			to.SetWriteDeadline(time.Now().Add(5 * time.Second))
			if _, err := to.Write(d.data); err != nil {
				return
			}
		}
		if timer != nil {
			timer.Stop()
		}
	}
}

// waitUntilPassable waits while the way stands still, and reports whether a frame may pass.
func (l *FrameProxy) waitUntilPassable(way int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.faults[way].Stalled && !l.closed {
		l.faultsChanged.Wait()
	}
	return !l.faults[way].Partitioned && !l.closed
}
