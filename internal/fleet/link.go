package fleet

import (
	"context"
	mrand "math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	linkQueueLength = 512 // queued frames; further frames are dropped
	minDialBackoff  = 20 * time.Millisecond
	maxDialBackoff  = time.Second
	pingInterval    = time.Second
	pongTimeout     = 3 * time.Second
)

// frame is a message on a link.
type frame struct {
	kind    byte
	payload []byte
}

// link carries frames to one member. It dials when there is a frame to send and no connection. After a failed dial, it drops frames for a
// backoff before the next dial. Frames that cannot be sent are dropped: a caller that needs a response repeats its request.
type link struct {
	address string
	secret  []byte
	traffic *traffic
	queue   chan frame
	local   func() hello // returns the hello of this process

	// Called from the link's goroutines. onFrame may be called concurrently with onError. Functions that several links share must be safe for
	// concurrent use.
	onHello func(hello)
	onFrame func(c *conn, kind byte, payload []byte)
	onError func(error) // the connection could not be established, or a write failed
}

// newLink returns a link. It sends nothing before run is called.
func newLink(address string, secret []byte, local func() hello, onFrame func(*conn, byte, []byte), onError func(error)) *link {
	return &link{
		address: address,
		secret:  secret,
		queue:   make(chan frame, linkQueueLength),
		local:   local,
		onHello: func(hello) {},
		onFrame: onFrame,
		onError: onError,
	}
}

// send queues a frame and reports whether there was room.
func (l *link) send(kind byte, payload []byte) bool {
	select {
	case l.queue <- frame{kind, payload}:
		return true
	default:
		return false
	}
}

// run sends frames until ctx ends.
func (l *link) run(ctx context.Context) {
	backoff := time.Duration(0)
	for {
		var first frame
		select {
		case <-ctx.Done():
			return
		case first = <-l.queue:
		}
		c, err := dial(ctx, l.address, l.secret, l.local())
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			l.onError(err)
			backoff = min(max(2*backoff, minDialBackoff), maxDialBackoff)
			if !l.drainFor(ctx, jitter(backoff)) {
				return
			}
			continue
		}
		backoff = 0
		c.traffic = l.traffic
		l.onHello(c.peer)
		l.serve(ctx, c, first)
	}
}

// drainFor drops queued frames for the duration d, since they would be stale once there is a connection again. It reports false if ctx
// ended.
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

// serve sends and receives on a connection until it breaks or ctx ends.
func (l *link) serve(ctx context.Context, c *conn, first frame) {
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	broken := make(chan struct{})
	var received atomic.Int64 // frames
	go func() {
		defer close(broken)
		defer c.Close()
		l.receive(c, &received)
	}()
	defer func() { <-broken }()
	defer c.Close()
	if err := c.write(first.kind, first.payload); err != nil {
		l.onError(err)
		return
	}
	l.sendQueued(c, broken, &received)
}

// receive handles frames until the connection breaks.
func (l *link) receive(c *conn, received *atomic.Int64) {
	for {
		c.SetReadDeadline(time.Now().Add(idleTimeout))
		kind, payload, err := c.read(maxFrameBytes)
		if err != nil {
			return
		}
		received.Add(1)
		l.onFrame(c, kind, payload)
	}
}

// sendQueued writes queued frames until the connection breaks, and a ping after each pingInterval in which a frame was sent. The peer has
// to answer a ping with any frame within pongTimeout. Responses to the frames of a link may arrive on other connections, so that without
// pings a peer that has vanished would not be noticed.
func (l *link) sendQueued(c *conn, broken <-chan struct{}, received *atomic.Int64) {
	ping := time.NewTicker(pingInterval)
	defer ping.Stop()
	sentSincePing := true
	awaitingPong, receivedAtPing := false, int64(0)
	for {
		var next frame
		select {
		case <-broken:
			return
		case next = <-l.queue:
			sentSincePing = true
		case <-ping.C:
			if !sentSincePing || !c.peer.Pong {
				continue
			}
			sentSincePing, next = false, frame{kind: kindPing}
			if n := received.Load(); !awaitingPong || n != receivedAtPing { // a further ping must not extend the deadline of the first
				awaitingPong, receivedAtPing = true, n
				c.SetReadDeadline(time.Now().Add(pongTimeout))
			}
		}
		if err := c.write(next.kind, next.payload); err != nil {
			l.onError(err)
			return
		}
	}
}

// jitter returns a random duration between 0.5 and 1.5 times d, so that processes that lost the same peer at once do not reconnect at once.
func jitter(d time.Duration) time.Duration { return d/2 + mrand.N(d) }
