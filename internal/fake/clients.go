package fake

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// ClassLoad is a class of requests that clients send.
type ClassLoad struct {
	Name             string
	Idempotency      Idempotency
	Weight           float64 // of the operations, beside the others'
	LatencyObjective time.Duration
	Deadline         time.Duration // a client's patience over all its tries
	PriorityWeight   float64
	BodyBytes        int // bytes, of a class that is not safe
}

// ClientConfig is what a crowd of clients is made of.
type ClientConfig struct {
	Name               string // of the crowd: its ids begin with it
	Addr               string // where the program listens
	Host               string
	Prefix             string // of all paths, without a slash at its end
	Tenant             string
	Classes            []ClassLoad
	Rate               float64 // operations a second, drawn ahead; they don't wait for answers
	MaxAttempts        int     // of an operation, at the most
	Backoff            time.Duration
	HonorRetryAfter    bool // a refused client waits as long as Retry-After says
	NewConnections     bool // a new connection for each try
	AbandonConnections bool // a new connection for each try, kept open and never used again until the program closes it
	MaxConnections     int  // connections open at once; a try that needs one more is not sent; 0: no bound
	MaxInFlight        int  // operations out at once; one beyond it is not begun and counts as not served
	Recorder           *EffectRecorder
	Seed               uint64
}

// Outcome is how an operation ended for its client.
type Outcome int

// The outcomes.
const (
	OutcomeServed   Outcome = iota
	OutcomeLate             // served after its aim
	OutcomeRejected         // the last try was refused
	OutcomeFailed           // the last try failed
	OutcomeUnsent           // never sent, as too many were out
	outcomeCount
)

func (o Outcome) String() string {
	return [...]string{"served", "late", "refused", "failed", "unsent"}[o]
}

// ClientResults is what became of the operations of clients.
type ClientResults struct {
	mu                 sync.Mutex
	Outcomes           [outcomeCount]int
	Attempts           int
	Connections        int             // that were opened
	Reused             int             // tries that went out on a connection used before
	ClosedBeforeReuse  int             // of them, those that found it closed by the program, and were sent once more
	ConnectionLimited  int             // tries not sent for want of a connection of the clients' own
	Statuses           map[int]int     // of all tries
	Latencies          []time.Duration // of the operations that were served, from their first try on
	RejectionLatencies []time.Duration // from a try to its refusal
	OfferedWeight      float64         // worth of all operations
	ServedWeight       float64         // worth of those answered within their aim
}

// ServedFraction is the part of the worth asked that was answered within its aim.
func (c *ClientResults) ServedFraction() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.OfferedWeight == 0 {
		return 0
	}
	return c.ServedWeight / c.OfferedWeight
}

// Percentile is the latency below which such a part of the served operations lies; 0 if none was served.
func (c *ClientResults) Percentile(p float64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return percentile(c.Latencies, p)
}

// RejectionPercentile is the same of refusals.
func (c *ClientResults) RejectionPercentile(p float64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return percentile(c.RejectionLatencies, p)
}

func percentile(all []time.Duration, p float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(all))
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

// Operations is how many operations there were.
func (c *ClientResults) Operations() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, k := range c.Outcomes {
		n += k
	}
	return n
}

// loadGenerator sends operations.
type loadGenerator struct {
	cfg       ClientConfig
	weightSum float64 // of the classes' shares
	lastID    atomic.Int64
	results   *ClientResults

	mu        sync.Mutex
	idle      []*clientConn
	abandoned map[*clientConn]struct{} // asked once on

	connCount        atomic.Int64   // open
	abandonedReaders sync.WaitGroup // for the end of those that are kept
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
	reused bool
	close  func() // once
}

func (c *clientConn) Close() error {
	err := c.Conn.Close()
	c.close()
	return err
}

// RunClients has clients send operations until ctx ends, and returns once the last has ended.
func RunClients(ctx context.Context, cfg ClientConfig) *ClientResults {
	c := &loadGenerator{cfg: cfg, results: &ClientResults{Statuses: map[int]int{}}, abandoned: map[*clientConn]struct{}{}}
	if c.cfg.MaxAttempts < 1 {
		c.cfg.MaxAttempts = 1
	}
	if c.cfg.MaxInFlight < 1 {
		c.cfg.MaxInFlight = 10000
	}
	for _, k := range cfg.Classes {
		c.weightSum += k.Weight
	}
	rng := rand.New(rand.NewPCG(cfg.Seed, 2))
	var ops sync.WaitGroup
	var out atomic.Int64
	next := time.Now()
	for {
		next = next.Add(time.Duration(rng.ExpFloat64() / cfg.Rate * float64(time.Second)))
		wait := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			wait.Stop()
			ops.Wait()
			for _, conn := range c.idle {
				conn.Close()
			}
			c.mu.Lock()
			for conn := range c.abandoned {
				conn.Close()
			}
			c.mu.Unlock()
			c.abandonedReaders.Wait()
			return c.results
		case <-wait.C:
		}
		class, seed := c.pickClass(rng), rng.Uint64()
		if int(out.Load()) >= c.cfg.MaxInFlight {
			c.results.record(class, OutcomeUnsent, 0)
			continue
		}
		out.Add(1)
		ops.Go(func() {
			defer out.Add(-1)
			c.runOperation(class, rand.New(rand.NewPCG(seed, 3)))
		})
	}
}

func (c *loadGenerator) pickClass(rng *rand.Rand) *ClassLoad {
	at := rng.Float64() * c.weightSum
	for i := range c.cfg.Classes {
		if at -= c.cfg.Classes[i].Weight; at < 0 {
			return &c.cfg.Classes[i]
		}
	}
	return &c.cfg.Classes[len(c.cfg.Classes)-1]
}

func (c *ClientResults) record(class *ClassLoad, how Outcome, after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.OfferedWeight += class.PriorityWeight
	if how == OutcomeServed {
		c.ServedWeight += class.PriorityWeight
	}
	if how == OutcomeServed || how == OutcomeLate {
		c.Latencies = append(c.Latencies, after)
	}
	c.Outcomes[how]++
}

// runOperation carries an operation out: tries, and further tries as a client of its class makes them.
func (c *loadGenerator) runOperation(class *ClassLoad, rng *rand.Rand) {
	began := time.Now()
	op := c.cfg.Recorder.BeginOperation(class.Idempotency)
	key := ""
	if class.Idempotency == IdempotentByKey {
		key = fmt.Sprintf("%s-k%d", c.cfg.Name, c.lastID.Add(1))
	}
	how := OutcomeFailed
	for n := range c.cfg.MaxAttempts {
		left := class.Deadline - time.Since(began)
		if left < 5*time.Millisecond {
			break
		}
		// All tries but the last get half of what is left, so that there is time for another.
		timeout := left
		if n < c.cfg.MaxAttempts-1 {
			timeout = left / 2
		}
		sent := time.Now()
		status, retryAfter := c.attempt(op, class, key, timeout, n > 0)
		switch status {
		case statusUnsent:
			how = OutcomeUnsent
		case http.StatusOK:
			after := time.Since(began)
			how = OutcomeServed
			if after > class.LatencyObjective {
				how = OutcomeLate
			}
			c.results.record(class, how, after)
			return
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			c.results.mu.Lock()
			c.results.RejectionLatencies = append(c.results.RejectionLatencies, time.Since(sent))
			c.results.mu.Unlock()
			how = OutcomeRejected
		default:
			how = OutcomeFailed
			if class.Idempotency == NonIdempotent { // it may have run
				c.results.record(class, OutcomeFailed, 0)
				return
			}
		}
		wait := time.Duration((0.5 + rng.Float64()) * float64(c.cfg.Backoff))
		if c.cfg.HonorRetryAfter {
			wait = max(wait, retryAfter)
		}
		if n < c.cfg.MaxAttempts-1 && wait < class.Deadline-time.Since(began) {
			time.Sleep(wait)
		}
	}
	c.results.record(class, how, 0)
}

// statusUnsent is the status of a try for which the clients had no connection.
const statusUnsent = -1

// errConnectionLimit is what a client finds that may open no further connection.
var errConnectionLimit = errors.New("the clients' own bound on connections")

// attempt sends one request and waits for its answer. Status 0 means that there was none.
func (c *loadGenerator) attempt(op *Operation, class *ClassLoad, key string, timeout time.Duration, retry bool) (status int, retryAfter time.Duration) {
	id := fmt.Sprintf("%s-%d", c.cfg.Name, c.lastID.Add(1))
	conn, err := c.acquireConn(timeout)
	switch {
	case errors.Is(err, errConnectionLimit):
		c.results.mu.Lock()
		c.results.ConnectionLimited++
		c.results.mu.Unlock()
		return statusUnsent, 0
	case err != nil:
		return 0, 0
	}
	var b strings.Builder
	method := "GET"
	if class.Idempotency != Idempotent {
		method = "POST"
	}
	ms := max(1, timeout.Milliseconds())
	fmt.Fprintf(&b, "%s %s/%s/%s HTTP/1.1\r\nHost: %s\r\nX-Request-ID: %s\r\nX-Timeout-Ms: %d\r\n", method, c.cfg.Prefix, class.Name, id, c.cfg.Host, id, ms)
	if c.cfg.Tenant != "" {
		b.WriteString("X-Tenant-Id: " + c.cfg.Tenant + "\r\n")
	}
	if key != "" {
		b.WriteString("Idempotency-Key: " + key + "\r\n")
	}
	if retry {
		b.WriteString("X-Retried: 1\r\n")
	}
	if class.Idempotency != Idempotent {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", class.BodyBytes)
	}
	b.WriteString("\r\n")
	if class.Idempotency != Idempotent {
		b.WriteString(strings.Repeat("b", class.BodyBytes))
	}
	c.cfg.Recorder.RecordSent(op, id, timeout)
	c.results.mu.Lock()
	c.results.Attempts++
	if conn.reused {
		c.results.Reused++
	}
	c.results.mu.Unlock()
	conn.SetDeadline(time.Now().Add(timeout + time.Second)) // what comes after its time is still seen, as late
	resp, body, err := conn.roundTrip(b.String())
	if err != nil && conn.reused && errors.Is(err, errClosedUnanswered) {
		// The program closed a kept connection while this crossed it: nothing of it was read. A client sends it once more.
		conn.Close()
		c.results.mu.Lock()
		c.results.ClosedBeforeReuse++
		c.results.mu.Unlock()
		if conn, err = c.dial(timeout); err == nil {
			conn.SetDeadline(time.Now().Add(timeout + time.Second))
			resp, body, err = conn.roundTrip(b.String())
		}
	}
	if err != nil {
		if conn != nil {
			if errors.Is(err, errClosedUnanswered) && !conn.reused {
				// A new connection that is closed with nothing sent may have made room for another.
				c.cfg.Recorder.RecordUnsent(id)
			}
			conn.Close()
		} else {
			c.cfg.Recorder.RecordUnsent(id)
		}
		return 0, 0
	}
	made := strings.HasPrefix(string(body), ResponseBody(class.Name, id, key))
	c.cfg.Recorder.RecordResponse(id, resp.StatusCode, made)
	c.results.mu.Lock()
	c.results.Statuses[resp.StatusCode]++
	c.results.mu.Unlock()
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		retryAfter = time.Duration(s * float64(time.Second))
	}
	if resp.Close || c.cfg.NewConnections {
		conn.Close()
	} else {
		c.releaseConn(conn)
	}
	return resp.StatusCode, retryAfter
}

// errClosedUnanswered is what a connection that ends before the first byte of an answer brings.
var errClosedUnanswered = errors.New("the connection ended without an answer")

// roundTrip writes a request and reads its answer. What an HTTP/1.1 server may send ahead is passed over.
func (c *clientConn) roundTrip(text string) (*http.Response, []byte, error) {
	_, err := io.WriteString(c, text)
	if _, perr := c.reader.Peek(1); perr != nil { // an answer may be there although not all could be written
		var timeout net.Error
		if errors.As(perr, &timeout) && timeout.Timeout() {
			return nil, nil, perr
		}
		return nil, nil, errors.Join(errClosedUnanswered, perr, err)
	}
	for {
		resp, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			return nil, nil, err
		}
		if resp.StatusCode < 200 {
			continue
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
		return resp, body, err
	}
}

func (c *loadGenerator) dial(timeout time.Duration) (*clientConn, error) {
	if n := c.connCount.Add(1); c.cfg.MaxConnections > 0 && n > int64(c.cfg.MaxConnections) {
		c.connCount.Add(-1)
		return nil, errConnectionLimit
	}
	nc, err := net.DialTimeout("tcp", c.cfg.Addr, timeout)
	if err != nil {
		c.connCount.Add(-1)
		return nil, err
	}
	c.results.mu.Lock()
	c.results.Connections++
	c.results.mu.Unlock()
	return &clientConn{Conn: nc, reader: bufio.NewReader(nc), close: sync.OnceFunc(func() { c.connCount.Add(-1) })}, nil
}

func (c *loadGenerator) acquireConn(timeout time.Duration) (*clientConn, error) {
	c.mu.Lock()
	for len(c.idle) > 0 {
		conn := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		c.mu.Unlock()
		conn.reused = true
		if n := conn.reader.Buffered(); n > 0 {
			b, _ := conn.reader.Peek(min(n, 80))
			c.cfg.Recorder.RecordUnexpected(fmt.Sprintf("bytes behind an answer: %q", b))
			conn.Close()
			c.mu.Lock()
			continue
		}
		return conn, nil
	}
	c.mu.Unlock()
	return c.dial(timeout)
}

func (c *loadGenerator) releaseConn(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cfg.AbandonConnections {
		c.abandoned[conn] = struct{}{}
		conn.SetDeadline(time.Time{})
		c.abandonedReaders.Go(func() {
			if n, _ := io.Copy(io.Discard, conn.reader); n > 0 {
				c.cfg.Recorder.RecordUnexpected(fmt.Sprintf("%d bytes behind an answer", n))
			}
			conn.Close()
			c.mu.Lock()
			defer c.mu.Unlock()
			delete(c.abandoned, conn)
		})
		return
	}
	c.idle = append(c.idle, conn)
}

// OpenSlowRequests opens connections that begin a request and never end it, n at a time and a new one for each that is closed,
// until ctx ends.
func OpenSlowRequests(ctx context.Context, addr, host string, n int) (opened int64) {
	return maintainConnections(ctx, addr, n, func(c net.Conn) {
		for i := 0; ; i++ {
			part := "X-Pad: p\r\n"
			if i == 0 {
				part = "POST /order/slow HTTP/1.1\r\nHost: " + host + "\r\n"
			}
			if _, err := io.WriteString(c, part); err != nil {
				return
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	})
}

// OpenIdleConnections opens connections that say nothing, likewise.
func OpenIdleConnections(ctx context.Context, addr string, n int) (opened int64) {
	return maintainConnections(ctx, addr, n, func(c net.Conn) {
		defer context.AfterFunc(ctx, func() { c.Close() })()
		io.Copy(io.Discard, c)
	})
}

func maintainConnections(ctx context.Context, addr string, n int, use func(net.Conn)) (opened int64) {
	var all sync.WaitGroup
	var count atomic.Int64
	for i := range n {
		all.Go(func() {
			select { // not all in step
			case <-ctx.Done():
			case <-time.After(100 * time.Millisecond * time.Duration(i) / time.Duration(n)):
			}
			for ctx.Err() == nil {
				d := net.Dialer{Timeout: 2 * time.Second}
				c, err := d.DialContext(ctx, "tcp", addr)
				if err == nil {
					count.Add(1)
					use(c)
					c.Close()
				}
				select {
				case <-ctx.Done():
				case <-time.After(20 * time.Millisecond): // bounds the load
				}
			}
		})
	}
	all.Wait()
	return count.Load()
}

// Merge is what became of the operations of two crowds.
func (c *ClientResults) Merge(d *ClientResults) *ClientResults {
	sum := &ClientResults{Statuses: map[int]int{}}
	for _, x := range []*ClientResults{c, d} {
		x.mu.Lock()
		for i, n := range x.Outcomes {
			sum.Outcomes[i] += n
		}
		for status, n := range x.Statuses {
			sum.Statuses[status] += n
		}
		sum.Attempts += x.Attempts
		sum.Connections += x.Connections
		sum.Reused += x.Reused
		sum.ClosedBeforeReuse += x.ClosedBeforeReuse
		sum.ConnectionLimited += x.ConnectionLimited
		sum.Latencies = append(sum.Latencies, x.Latencies...)
		sum.RejectionLatencies = append(sum.RejectionLatencies, x.RejectionLatencies...)
		sum.OfferedWeight += x.OfferedWeight
		sum.ServedWeight += x.ServedWeight
		x.mu.Unlock()
	}
	return sum
}
