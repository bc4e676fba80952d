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
	Name     string
	Effect   Effect
	Share    float64 // of the operations, beside the others'
	Aim      time.Duration
	Deadline time.Duration // a client's patience over all its tries
	Worth    float64
	Body     int // bytes, of a class that is not safe
}

// ClientConfig is what a crowd of clients is made of.
type ClientConfig struct {
	Name      string // of the crowd: its ids begin with it
	Addr      string // where the program listens
	Host      string
	Prefix    string // of all paths, without a slash at its end
	Tenant    string
	Classes   []ClassLoad
	Rate      float64 // operations a second, drawn ahead; they don't wait for answers
	Tries     int     // of an operation, at the most
	Backoff   time.Duration
	Honour    bool // a refused client waits as long as Retry-After says
	Fresh     bool // a new connection for each try
	Once      bool // a new connection for each try, kept open and never used again until the program closes it
	MostConns int  // connections open at once; a try that needs one more is not sent; 0: no bound
	MostOut   int  // operations out at once; one beyond it is not begun and counts as not served
	Ledger    *Ledger
	Seed      uint64
}

// Outcome is how an operation ended for its client.
type Outcome int

// The outcomes.
const (
	Served  Outcome = iota
	Late            // served after its aim
	Refused         // the last try was refused
	Failed          // the last try failed
	Unsent          // never sent, as too many were out
	outcomes
)

func (o Outcome) String() string {
	return [...]string{"served", "late", "refused", "failed", "unsent"}[o]
}

// Crowd is what became of the operations of clients.
type Crowd struct {
	mu          sync.Mutex
	Counts      [outcomes]int
	Tries       int
	Connections int             // that were opened
	Reused      int             // tries that went out on a connection used before
	Crossed     int             // of them, those that found it closed by the program, and were sent once more
	Bound       int             // tries not sent for want of a connection of the clients' own
	Status      map[int]int     // of all tries
	Latencies   []time.Duration // of the operations that were served, from their first try on
	Refusals    []time.Duration // from a try to its refusal
	Asked       float64         // worth of all operations
	Won         float64         // worth of those answered within their aim
}

// Share is the part of the worth asked that was answered within its aim.
func (c *Crowd) Share() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Asked == 0 {
		return 0
	}
	return c.Won / c.Asked
}

// Percentile is the latency below which such a part of the served operations lies; 0 if none was served.
func (c *Crowd) Percentile(p float64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return percentile(c.Latencies, p)
}

// RefusalPercentile is the same of refusals.
func (c *Crowd) RefusalPercentile(p float64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return percentile(c.Refusals, p)
}

func percentile(all []time.Duration, p float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(all))
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

// Ops is how many operations there were.
func (c *Crowd) Ops() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, k := range c.Counts {
		n += k
	}
	return n
}

// crowd sends operations.
type crowd struct {
	cfg    ClientConfig
	sum    float64 // of the classes' shares
	lastID atomic.Int64
	out    *Crowd

	mu   sync.Mutex
	idle []*clientConn
	kept map[*clientConn]struct{} // asked once on

	conns    atomic.Int64   // open
	watching sync.WaitGroup // for the end of those that are kept
}

type clientConn struct {
	net.Conn
	r     *bufio.Reader
	used  bool
	close func() // once
}

func (c *clientConn) Close() error {
	err := c.Conn.Close()
	c.close()
	return err
}

// RunClients has clients send operations until ctx ends, and returns once the last has ended.
func RunClients(ctx context.Context, cfg ClientConfig) *Crowd {
	c := &crowd{cfg: cfg, out: &Crowd{Status: map[int]int{}}, kept: map[*clientConn]struct{}{}}
	if c.cfg.Tries < 1 {
		c.cfg.Tries = 1
	}
	if c.cfg.MostOut < 1 {
		c.cfg.MostOut = 10000
	}
	for _, k := range cfg.Classes {
		c.sum += k.Share
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
			for conn := range c.kept {
				conn.Close()
			}
			c.mu.Unlock()
			c.watching.Wait()
			return c.out
		case <-wait.C:
		}
		class, seed := c.pick(rng), rng.Uint64()
		if int(out.Load()) >= c.cfg.MostOut {
			c.out.note(class, Unsent, 0)
			continue
		}
		out.Add(1)
		ops.Go(func() {
			defer out.Add(-1)
			c.operate(class, rand.New(rand.NewPCG(seed, 3)))
		})
	}
}

func (c *crowd) pick(rng *rand.Rand) *ClassLoad {
	at := rng.Float64() * c.sum
	for i := range c.cfg.Classes {
		if at -= c.cfg.Classes[i].Share; at < 0 {
			return &c.cfg.Classes[i]
		}
	}
	return &c.cfg.Classes[len(c.cfg.Classes)-1]
}

func (c *Crowd) note(class *ClassLoad, how Outcome, after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Asked += class.Worth
	if how == Served {
		c.Won += class.Worth
	}
	if how == Served || how == Late {
		c.Latencies = append(c.Latencies, after)
	}
	c.Counts[how]++
}

// operate carries an operation out: tries, and further tries as a client of its class makes them.
func (c *crowd) operate(class *ClassLoad, rng *rand.Rand) {
	began := time.Now()
	op := c.cfg.Ledger.Op(class.Effect)
	key := ""
	if class.Effect == Keyed {
		key = fmt.Sprintf("%s-k%d", c.cfg.Name, c.lastID.Add(1))
	}
	how := Failed
	for n := range c.cfg.Tries {
		left := class.Deadline - time.Since(began)
		if left < 5*time.Millisecond {
			break
		}
		// All tries but the last get half of what is left, so that there is time for another.
		timeout := left
		if n < c.cfg.Tries-1 {
			timeout = left / 2
		}
		sent := time.Now()
		status, retryAfter := c.try(op, class, key, timeout, n > 0)
		switch status {
		case unsent:
			how = Unsent
		case http.StatusOK:
			after := time.Since(began)
			how = Served
			if after > class.Aim {
				how = Late
			}
			c.out.note(class, how, after)
			return
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			c.out.mu.Lock()
			c.out.Refusals = append(c.out.Refusals, time.Since(sent))
			c.out.mu.Unlock()
			how = Refused
		default:
			how = Failed
			if class.Effect == Unsafe { // it may have run
				c.out.note(class, Failed, 0)
				return
			}
		}
		wait := time.Duration((0.5 + rng.Float64()) * float64(c.cfg.Backoff))
		if c.cfg.Honour {
			wait = max(wait, retryAfter)
		}
		if n < c.cfg.Tries-1 && wait < class.Deadline-time.Since(began) {
			time.Sleep(wait)
		}
	}
	c.out.note(class, how, 0)
}

// unsent is the status of a try for which the clients had no connection.
const unsent = -1

// errBound is what a client finds that may open no further connection.
var errBound = errors.New("the clients' own bound on connections")

// try sends one request and waits for its answer. Status 0 means that there was none.
func (c *crowd) try(op *Operation, class *ClassLoad, key string, timeout time.Duration, retry bool) (status int, retryAfter time.Duration) {
	id := fmt.Sprintf("%s-%d", c.cfg.Name, c.lastID.Add(1))
	conn, err := c.connect(timeout)
	switch {
	case errors.Is(err, errBound):
		c.out.mu.Lock()
		c.out.Bound++
		c.out.mu.Unlock()
		return unsent, 0
	case err != nil:
		return 0, 0
	}
	var b strings.Builder
	method := "GET"
	if class.Effect != Safe {
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
	if class.Effect != Safe {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", class.Body)
	}
	b.WriteString("\r\n")
	if class.Effect != Safe {
		b.WriteString(strings.Repeat("b", class.Body))
	}
	c.cfg.Ledger.Sent(op, id, timeout)
	c.out.mu.Lock()
	c.out.Tries++
	if conn.used {
		c.out.Reused++
	}
	c.out.mu.Unlock()
	conn.SetDeadline(time.Now().Add(timeout + time.Second)) // what comes after its time is still seen, as late
	resp, body, err := conn.exchange(b.String())
	if err != nil && conn.used && errors.Is(err, errEnded) {
		// The program closed a kept connection while this crossed it: nothing of it was read. A client sends it once more.
		conn.Close()
		c.out.mu.Lock()
		c.out.Crossed++
		c.out.mu.Unlock()
		if conn, err = c.dial(timeout); err == nil {
			conn.SetDeadline(time.Now().Add(timeout + time.Second))
			resp, body, err = conn.exchange(b.String())
		}
	}
	if err != nil {
		if conn != nil {
			if errors.Is(err, errEnded) && !conn.used {
				// A new connection that is closed with nothing sent may have made room for another.
				c.cfg.Ledger.Unsent(id)
			}
			conn.Close()
		} else {
			c.cfg.Ledger.Unsent(id)
		}
		return 0, 0
	}
	made := strings.HasPrefix(string(body), Made(class.Name, id, key))
	c.cfg.Ledger.Answered(id, resp.StatusCode, made)
	c.out.mu.Lock()
	c.out.Status[resp.StatusCode]++
	c.out.mu.Unlock()
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		retryAfter = time.Duration(s * float64(time.Second))
	}
	if resp.Close || c.cfg.Fresh {
		conn.Close()
	} else {
		c.keep(conn)
	}
	return resp.StatusCode, retryAfter
}

// errEnded is what a connection that ends before the first byte of an answer brings.
var errEnded = errors.New("the connection ended without an answer")

// exchange writes a request and reads its answer. What an HTTP/1.1 server may send ahead is passed over.
func (c *clientConn) exchange(text string) (*http.Response, []byte, error) {
	_, err := io.WriteString(c, text)
	if _, perr := c.r.Peek(1); perr != nil { // an answer may be there although not all could be written
		var timeout net.Error
		if errors.As(perr, &timeout) && timeout.Timeout() {
			return nil, nil, perr
		}
		return nil, nil, errors.Join(errEnded, perr, err)
	}
	for {
		resp, err := http.ReadResponse(c.r, nil)
		if err != nil {
			return nil, nil, err
		}
		if resp.StatusCode < 200 {
			continue
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, mostBody))
		return resp, body, err
	}
}

func (c *crowd) dial(timeout time.Duration) (*clientConn, error) {
	if n := c.conns.Add(1); c.cfg.MostConns > 0 && n > int64(c.cfg.MostConns) {
		c.conns.Add(-1)
		return nil, errBound
	}
	nc, err := net.DialTimeout("tcp", c.cfg.Addr, timeout)
	if err != nil {
		c.conns.Add(-1)
		return nil, err
	}
	c.out.mu.Lock()
	c.out.Connections++
	c.out.mu.Unlock()
	return &clientConn{Conn: nc, r: bufio.NewReader(nc), close: sync.OnceFunc(func() { c.conns.Add(-1) })}, nil
}

func (c *crowd) connect(timeout time.Duration) (*clientConn, error) {
	c.mu.Lock()
	for len(c.idle) > 0 {
		conn := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		c.mu.Unlock()
		conn.used = true
		if n := conn.r.Buffered(); n > 0 {
			b, _ := conn.r.Peek(min(n, 80))
			c.cfg.Ledger.Stray(fmt.Sprintf("bytes behind an answer: %q", b))
			conn.Close()
			c.mu.Lock()
			continue
		}
		return conn, nil
	}
	c.mu.Unlock()
	return c.dial(timeout)
}

func (c *crowd) keep(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cfg.Once {
		c.kept[conn] = struct{}{}
		conn.SetDeadline(time.Time{})
		c.watching.Go(func() {
			if n, _ := io.Copy(io.Discard, conn.r); n > 0 {
				c.cfg.Ledger.Stray(fmt.Sprintf("%d bytes behind an answer", n))
			}
			conn.Close()
			c.mu.Lock()
			defer c.mu.Unlock()
			delete(c.kept, conn)
		})
		return
	}
	c.idle = append(c.idle, conn)
}

// SlowHeads opens connections that begin a request and never end it, n at a time and a new one for each that is closed,
// until ctx ends.
func SlowHeads(ctx context.Context, addr, host string, n int) (opened int64) {
	return keepOpen(ctx, addr, n, func(c net.Conn) {
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

// Silents opens connections that say nothing, likewise.
func Silents(ctx context.Context, addr string, n int) (opened int64) {
	return keepOpen(ctx, addr, n, func(c net.Conn) {
		defer context.AfterFunc(ctx, func() { c.Close() })()
		io.Copy(io.Discard, c)
	})
}

func keepOpen(ctx context.Context, addr string, n int, use func(net.Conn)) (opened int64) {
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

// With is what became of the operations of two crowds.
func (c *Crowd) With(d *Crowd) *Crowd {
	sum := &Crowd{Status: map[int]int{}}
	for _, x := range []*Crowd{c, d} {
		x.mu.Lock()
		for i, n := range x.Counts {
			sum.Counts[i] += n
		}
		for status, n := range x.Status {
			sum.Status[status] += n
		}
		sum.Tries += x.Tries
		sum.Connections += x.Connections
		sum.Reused += x.Reused
		sum.Crossed += x.Crossed
		sum.Bound += x.Bound
		sum.Latencies = append(sum.Latencies, x.Latencies...)
		sum.Refusals = append(sum.Refusals, x.Refusals...)
		sum.Asked += x.Asked
		sum.Won += x.Won
		x.mu.Unlock()
	}
	return sum
}
