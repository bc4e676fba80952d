package fake

import (
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Way is what a link does to what goes one way.
type Way struct {
	Cut       bool          // nothing gets through, and nobody is told
	Still     bool          // it stands still: what comes is held, and passes once it goes on
	Drop      float64       // share of frames that is lost
	Double    float64       // share that comes twice
	Delay     time.Duration // of each frame
	Jitter    time.Duration // a further delay, drawn for each frame: they overtake each other
	Truncates int           // so many frames are passed in half, and their connection is closed
}

// FrameLink is a link between two processes that passes frames: four bytes of length, most significant first, and what they count. It knows
// nothing of what is in them.
type FrameLink struct {
	target string
	ln     net.Listener
	done   sync.WaitGroup

	mu     sync.Mutex
	rng    *rand.Rand
	ways   [2]Way
	moved  *sync.Cond // something about the ways has changed
	conns  map[net.Conn]struct{}
	closed bool
	Frames int64 // that came, under mu
	Bytes  int64
}

// mostLinkFrame bounds a frame, and linkQueue the frames of one connection that are on their way.
const (
	mostLinkFrame = 64 << 20
	linkQueue     = 1024
)

// StartFrameLink starts a link to target.
func StartFrameLink(target string, seed uint64) (*FrameLink, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &FrameLink{target: target, ln: ln, rng: rand.New(rand.NewPCG(seed, 9)), conns: map[net.Conn]struct{}{}}
	l.moved = sync.NewCond(&l.mu)
	l.done.Go(l.accept)
	return l, nil
}

// Addr is where the link begins.
func (l *FrameLink) Addr() string { return l.ln.Addr().String() }

// Change changes what the link does to what goes a way, Forth or Back.
func (l *FrameLink) Change(way int, f func(*Way)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.ways[way])
	l.moved.Broadcast()
}

// Count is how many frames and bytes have come.
func (l *FrameLink) Count() (frames, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Frames, l.Bytes
}

// Close ends the link and all that goes over it.
func (l *FrameLink) Close() {
	l.mu.Lock()
	l.closed = true
	for c := range l.conns {
		c.Close()
	}
	l.moved.Broadcast()
	l.mu.Unlock()
	l.ln.Close()
	l.done.Wait()
}

// Break ends the connections that there are.
func (l *FrameLink) Break() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.Close()
	}
}

func (l *FrameLink) keep(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		c.Close()
		return false
	}
	l.conns[c] = struct{}{}
	return true
}

func (l *FrameLink) accept() {
	for {
		near, err := l.ln.Accept()
		if err != nil {
			return
		}
		l.done.Go(func() { l.pass(near) })
	}
}

func (l *FrameLink) pass(near net.Conn) {
	defer near.Close()
	if !l.keep(near) {
		return
	}
	defer l.forget(near)
	far, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		return
	}
	defer far.Close()
	if !l.keep(far) {
		return
	}
	defer l.forget(far)
	var both sync.WaitGroup
	both.Go(func() { l.copy(far, near, Forth) })
	both.Go(func() { l.copy(near, far, Back) })
	both.Wait()
}

func (l *FrameLink) forget(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// due is a frame and when it is passed on.
type due struct {
	at   time.Time
	data []byte
	half bool
}

func (l *FrameLink) copy(to, from net.Conn, way int) {
	queue := make(chan due, linkQueue)
	var writer sync.WaitGroup
	writer.Go(func() {
		defer to.Close()
		defer from.Close()
		l.write(to, queue, way)
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
		if n > mostLinkFrame {
			return
		}
		data := make([]byte, 4+n)
		copy(data, head[:])
		if _, err := io.ReadFull(from, data[4:]); err != nil {
			return
		}
		for _, d := range l.fate(data, way) {
			queue <- d
		}
	}
}

// fate says what becomes of a frame.
func (l *FrameLink) fate(data []byte, way int) []due {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Frames++
	l.Bytes += int64(len(data))
	w := &l.ways[way]
	if w.Cut || l.rng.Float64() < w.Drop {
		return nil
	}
	at := func() time.Time {
		d := w.Delay
		if w.Jitter > 0 {
			d += time.Duration(l.rng.Int64N(int64(w.Jitter)))
		}
		return time.Now().Add(d)
	}
	all := []due{{at: at(), data: data}}
	if w.Truncates > 0 {
		w.Truncates--
		all[0].half = true
	} else if l.rng.Float64() < w.Double {
		all = append(all, due{at: at(), data: data})
	}
	return all
}

// write passes frames on as they are due.
func (l *FrameLink) write(to net.Conn, queue <-chan due, way int) {
	var waiting []due
	for queue != nil || len(waiting) > 0 {
		next := -1
		for i, d := range waiting {
			if next < 0 || d.at.Before(waiting[next].at) {
				next = i
			}
		}
		var ready <-chan time.Time
		var timer *time.Timer
		if next >= 0 {
			timer = time.NewTimer(time.Until(waiting[next].at))
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
			if !l.clear(way) {
				continue
			}
			if d.half {
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

// clear waits while the way stands still, and reports whether a frame may pass.
func (l *FrameLink) clear(way int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.ways[way].Still && !l.closed {
		l.moved.Wait()
	}
	return !l.ways[way].Cut && !l.closed
}
