package downstream

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// workThrottle bounds the share of the time that all connections of a server together spend on one kind of work that never waits. Such work
// keeps goroutines runnable, and the runtime polls the network only when none is: without the bound, other connections would wait. It is a
// leaky bucket, and safe for concurrent use.
type workThrottle struct {
	share    float64       // of the time
	burst    time.Duration // contents of the bucket that cause no pauses
	maxPause time.Duration

	mu      sync.Mutex
	emptyAt time.Duration // when the bucket will be empty, on the clock of the caller
}

// record adds work that took spent and ended at now. It returns how long its connection must pause before it does more of it.
func (t *workThrottle) record(now, spent time.Duration) (pause time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.emptyAt = max(t.emptyAt, now) + time.Duration(float64(spent)/t.share)
	t.emptyAt = min(t.emptyAt, now+t.burst+t.maxPause)
	return max(0, t.emptyAt-now-t.burst)
}

// recordLocalWork records the work since begin on a request from a client that needed no endpoint. It returns how long the connection must
// pause before its next request.
func (s *Server) recordLocalWork(c *clientConn, begin time.Time) (pause time.Duration) {
	pause = s.localWork.record(s.now(), min(time.Since(begin), maxLocalWork))
	if pause >= minLoggedPause {
		s.events.Info("client throttled", "from", c.RemoteAddr().String(), "pause_ms", pause.Milliseconds())
	}
	return pause
}

// throttle calls recordLocalWork and pauses, unless few sound requests in a row were refused: further ones that have already arrived are owed
// an answer in time. It reports whether c may stay open. Its client may have left. A connection without a request for a pool, such as one of
// health checks, closes if too many pause or descriptors run short.
func (s *Server) throttle(c *clientConn, begin time.Time, refused int) (keepOpen bool) {
	pause := s.recordLocalWork(c, begin)
	if pause == 0 || 0 < refused && refused <= maxUnpausedRefusals {
		return true
	}
	paused := s.pausedConns.Add(1)
	defer s.pausedConns.Add(-1)
	tooMany := paused > max(1, s.descriptors.MaxClients()/maxPausedDivisor)
	if c.clientGone() || c.pool == 0 && (tooMany || s.descriptorsShort()) {
		return false
	}
	time.Sleep(pause)
	return true
}

// transferThrottle bounds the time for the parts of long bodies that need not be waited for. It is safe for concurrent use.
type transferThrottle struct{ work workThrottle }

func newTransferThrottle() *transferThrottle {
	return &transferThrottle{workThrottle{share: transferShare, burst: transferBurst, maxPause: maxTransferPause}}
}

// pause records a part of a body whose transfer began at begin, and pauses if all long bodies together take too much of the time.
func (t *transferThrottle) pause(begin time.Time) {
	spent := time.Since(begin)
	if spent > maxTransferStep {
		return
	}
	if pause := t.work.record(time.Since(processStart), spent); pause > 0 {
		time.Sleep(pause)
	}
}

// throttledConn is a connection that carries several requests at once. Its reader pauses if frames that serve no request, such as pings, canceled
// requests and rejected ones, take too much of the time. Frames of requests that are served, and a few in each freeReadInterval, are not counted.
type throttledConn struct {
	net.Conn
	work   *workThrottle
	earned atomic.Int64 // reads that are not counted

	// Only Read uses the fields below.
	readAt     time.Time // end of the last Read
	refilledAt time.Time // when a read was last earned by time
}

// Read implements io.Reader.
func (c *throttledConn) Read(p []byte) (int, error) {
	if pause := c.recordFrame(); pause > 0 {
		time.Sleep(pause)
	}
	n, err := c.Conn.Read(p)
	c.readAt = time.Now()
	return n, err
}

// recordFrame records the work since the last read, unless that read was earned. It returns how long to pause.
func (c *throttledConn) recordFrame() (pause time.Duration) {
	if c.readAt.IsZero() {
		return 0
	}
	if time.Since(c.refilledAt) >= freeReadInterval {
		c.refilledAt = time.Now()
		c.earn()
	}
	if c.earned.Add(-1) >= 0 {
		return 0
	}
	c.earned.Store(0)
	return c.work.record(time.Since(processStart), min(time.Since(c.readAt), maxFrameWork))
}

// earn makes the reads of a part of a served request free.
func (c *throttledConn) earn() {
	if c.earned.Load() < maxEarnedReads {
		c.earned.Add(readsPerPart)
	}
}
