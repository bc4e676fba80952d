package fleet

import (
	"context"
	mrand "math/rand/v2"
	"sync/atomic"
	"time"
)

// frame is what a link sends.
type frame struct {
	kind    byte
	payload []byte
}

// link is the way to one member: a connection that is made when there is something to send, and made again after a while when it
// breaks. What can't be sent is dropped: whoever wants an answer asks again.
type link struct {
	address string
	secret  []byte
	local   func() hello
	queue   chan frame
	onFrame func(*conn, byte, []byte)
	onError func(error) // of a connection that could not be made or broke
	onHello func(hello) // what the other end said of itself
	traffic *traffic
}

func newLink(address string, secret []byte, me func() hello, take func(*conn, byte, []byte), told func(error)) *link {
	return &link{address: address, secret: secret, local: me, queue: make(chan frame, linkQueueLength), onFrame: take, onError: told, onHello: func(hello) {}}
}

// send queues a frame, and reports whether there was room.
func (l *link) send(kind byte, payload []byte) bool {
	select {
	case l.queue <- frame{kind, payload}:
		return true
	default:
		return false
	}
}

// run carries frames until ctx ends.
func (l *link) run(ctx context.Context) {
	pause := time.Duration(0)
	for {
		var f frame
		select {
		case <-ctx.Done():
			return
		case f = <-l.queue:
		}
		c, err := dial(ctx, l.address, l.secret, l.local())
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			l.onError(err)
			pause = min(max(2*pause, 20*time.Millisecond), time.Second)
			if !l.drainFor(ctx, jitter(pause)) {
				return
			}
			continue
		}
		pause = 0
		c.traffic = l.traffic
		l.onHello(c.peer)
		l.serve(ctx, c, f)
	}
}

// drainFor drops what is to be sent for a while: it would be old when there is a connection again.
func (l *link) drainFor(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-t.C:
			return true
		case <-l.queue:
		}
	}
}

// serve uses a connection until it breaks.
func (l *link) serve(ctx context.Context, c *conn, first frame) {
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	broken := make(chan struct{})
	var heard atomic.Int64
	go func() {
		defer close(broken)
		defer c.Close()
		for {
			c.SetReadDeadline(time.Now().Add(idleTimeout))
			kind, payload, err := c.read(maxFrameBytes)
			if err != nil {
				return
			}
			heard.Add(1)
			l.onFrame(c, kind, payload)
		}
	}()
	defer func() { <-broken }()
	defer c.Close()
	ping := time.NewTicker(pingInterval)
	defer ping.Stop()
	sent := true                  // something, since the last ping
	waits, had := false, int64(0) // for a word, since when so much was heard
	if err := c.write(first.kind, first.payload); err != nil {
		l.onError(err)
		return
	}
	for {
		var f frame
		select {
		case <-broken:
			return
		case f = <-l.queue:
			sent = true
		case <-ping.C:
			if !sent || !c.peer.Pong {
				continue
			}
			sent, f = false, frame{kind: kindPing}
			if n := heard.Load(); !waits || n != had { // a further ping must not put off the end of the first
				waits, had = true, n
				c.SetReadDeadline(time.Now().Add(pongTimeout))
			}
		}
		if err := c.write(f.kind, f.payload); err != nil {
			l.onError(err)
			return
		}
	}
}

// jitter keeps processes that lost each other at one moment from all coming back at one moment.
func jitter(d time.Duration) time.Duration { return d/2 + mrand.N(d) }
