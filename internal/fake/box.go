package fake

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// FaultKind is what goes wrong with a request at a box.
type FaultKind int

// The faults. All but Turned may have run.
const (
	FaultNone        FaultKind = iota
	FaultError                 // 500, at once
	FaultReject                // 503 with X-Not-Processed: never ran
	FaultDelay                 // answered after a further delay
	FaultUnanswered            // runs and is never answered
	FaultReset                 // runs, and the connection is reset
	FaultMalformed             // runs, and the answer cannot be read
	FaultClose                 // the connection ends as the request comes; never ran, which nobody else can tell
	FaultUnreachable           // nothing runs and nothing is answered, probes neither, as of a machine that has vanished
)

var faultKinds = map[string]FaultKind{
	"errors": FaultError, "turns away": FaultReject, "slow": FaultDelay, "silent": FaultUnanswered, "resets": FaultReset, "spoils": FaultMalformed, "closes": FaultClose, "dead": FaultUnreachable,
}

// Fault befalls a share of the requests of a box.
type Fault struct {
	Kind     FaultKind
	Fraction float64       // 0 to 1
	Delay    time.Duration // for Slow, and before Error
}

// ParseFault reads "silent", "errors 0.5" or "slow 1 200ms".
func ParseFault(text string) (Fault, error) {
	for word, k := range faultKinds {
		rest, ok := strings.CutPrefix(text, word)
		if !ok {
			continue
		}
		f := Fault{Kind: k, Fraction: 1}
		for i, part := range strings.Fields(rest) {
			var err error
			if i == 0 {
				f.Fraction, err = strconv.ParseFloat(part, 64)
			} else {
				f.Delay, err = time.ParseDuration(part)
			}
			if err != nil || i > 1 || !(f.Fraction >= 0 && f.Fraction <= 1) || f.Delay < 0 {
				return Fault{}, fmt.Errorf("fault %q: want KIND [SHARE [DELAY]]", text)
			}
		}
		return f, nil
	}
	return Fault{}, fmt.Errorf("fault %q: no such kind", text)
}

// LoadReporting is how a box tells its load, and by that which protocol it speaks.
type LoadReporting int

// The kinds.
const (
	ReportPlatform LoadReporting = iota // X-Server-Load; what it turns away says so
	ReportORCA                          // an ordinary HTTP service with endpoint-load-metrics
	ReportNone                          // one that tells nothing
)

// BackendConfig is what a box is made of.
type BackendConfig struct {
	Name                 string
	Zone                 string
	Cell                 int
	Cores                int           // requests in work at once
	QueueLimit           int           // requests that may wait
	ServiceTime          time.Duration // mean work of a request on one core, drawn evenly between a half and one and a half of it
	SlowStartMinCapacity float64       // share of its speed at its start
	SlowStart            time.Duration // until it is warm; 0: it starts warm
	Idempotency          map[string]Idempotency
	Deduplicator         *Deduplicator // what drops repeats of keyed requests here; may be shared by a group of boxes
	Seed                 uint64
	Recorder             *EffectRecorder
	MinResponseBytes     int // bytes of an answer, at least
	LoadReporting        LoadReporting
	Resource             *FencedResource // what requests with a fencing token act on, or nil
	// Falls: one that is cold and is sent more within a second than it bears then answers nothing for so long, and is cold again. 0: never. It
	// starts warm, and judges itself: the ledger does not, since no list need say when it was started.
	CrashDuration time.Duration
}

// Backend is a stand-in for a server that does work. It listens on a loopback address.
type Backend struct {
	cfg          BackendConfig
	listener     net.Listener
	started      atomic.Int64 // in Unix nanoseconds
	cores        chan struct{}
	queued       atomic.Int64
	running      atomic.Int64
	served       atomic.Int64
	lostRequests atomic.Int64 // while it was dead
	connCount    atomic.Int64
	fault        atomic.Pointer[Fault]
	draining     atomic.Bool
	crashes      atomic.Int64
	crashedUntil atomic.Int64 // it has fallen until then, in Unix nanoseconds

	mu             sync.Mutex
	recentArrivals []time.Time // requests of the last second, while it was cold
	peakLoad       float64     // the most of them beside what it bore
	rng            *rand.Rand
	openConns      map[net.Conn]struct{}
	closed         bool
	goroutines     sync.WaitGroup
}

// StartBackend starts a box at a free port.
func StartBackend(cfg BackendConfig) (*Backend, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return startBackendAt(cfg, ln), nil
}

func startBackendAt(cfg BackendConfig, ln net.Listener) *Backend {
	if cfg.Cores < 1 {
		cfg.Cores = 1
	}
	if cfg.Deduplicator == nil {
		cfg.Deduplicator = NewDeduplicator(time.Minute)
	}
	b := &Backend{
		cfg: cfg, listener: ln, cores: make(chan struct{}, cfg.Cores),
		rng: rand.New(rand.NewPCG(cfg.Seed, 1)), openConns: map[net.Conn]struct{}{},
	}
	b.fault.Store(&Fault{})
	if cfg.CrashDuration > 0 {
		b.started.Store(time.Now().Add(-cfg.SlowStart).UnixNano())
	} else {
		b.RestartSlowStart()
	}
	b.goroutines.Go(b.accept)
	return b
}

// Name is the box's name.
func (b *Backend) Name() string { return b.cfg.Name }

// Zone is where it stands.
func (b *Backend) Zone() string { return b.cfg.Zone }

// Addr is where the box listens.
func (b *Backend) Addr() string { return b.listener.Addr().String() }

// Endpoint is what a list says of the box.
func (b *Backend) Endpoint() Endpoint {
	e := Endpoint{Host: b.cfg.Name, Address: b.Addr(), Zone: b.cfg.Zone, Cell: b.cfg.Cell, Health: "active", Weight: 1}
	if b.cfg.SlowStart > 0 {
		e.StartMs = b.started.Load() / int64(time.Millisecond)
	}
	if b.draining.Load() {
		e.Health = "leaving"
	}
	return e
}

// SetFault makes f befall requests from now on.
func (b *Backend) SetFault(f Fault) { b.fault.Store(&f) }

// Drain makes the box turn new requests away, as one that is about to end does.
func (b *Backend) Drain(on bool) { b.draining.Store(on) }

// RestartSlowStart has it be as cold as at its start.
func (b *Backend) RestartSlowStart() {
	cfg := b.cfg
	b.started.Store(time.Now().UnixNano())
	if cfg.SlowStart > 0 && cfg.Recorder != nil && cfg.CrashDuration == 0 {
		full := float64(cfg.Cores) / cfg.ServiceTime.Seconds()
		cfg.Recorder.RecordSlowStart(cfg.Name, time.Second, func(age, window time.Duration) float64 {
			share := min(1, cfg.SlowStartMinCapacity+(1-cfg.SlowStartMinCapacity)*float64(age+window)/float64(cfg.SlowStart))
			return 2.5*full*share*window.Seconds() + 5
		})
	}
}

// capacityFraction is the part of its speed that the box has at an age.
func (b *Backend) capacityFraction(age time.Duration) float64 {
	return min(1, b.cfg.SlowStartMinCapacity+(1-b.cfg.SlowStartMinCapacity)*float64(age)/float64(b.cfg.SlowStart))
}

// recordLoad notes a request, and has the box fall if it is cold and they were too many: N + 3 root of N + 3 in a second, N being what it does then.
func (b *Backend) recordLoad() {
	now := time.Now()
	age := now.Sub(time.Unix(0, b.started.Load()))
	if b.cfg.SlowStart <= 0 || b.fault.Load().Kind == FaultUnreachable || now.UnixNano() < b.crashedUntil.Load() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recentArrivals = append(b.recentArrivals, now)
	for len(b.recentArrivals) > 0 && now.Sub(b.recentArrivals[0]) > time.Second {
		b.recentArrivals = b.recentArrivals[1:]
	}
	if age >= b.cfg.SlowStart {
		return
	}
	n := float64(b.cfg.Cores) / b.cfg.ServiceTime.Seconds() * b.capacityFraction(age)
	bears := n + 3*math.Sqrt(n) + 3
	b.peakLoad = max(b.peakLoad, float64(len(b.recentArrivals))/bears)
	if float64(len(b.recentArrivals)) <= bears {
		return
	}
	b.crashes.Add(1)
	b.recentArrivals = nil
	b.crashedUntil.Store(now.Add(b.cfg.CrashDuration).UnixNano())
	b.started.Store(now.Add(b.cfg.CrashDuration).UnixNano())
}

// Crashes is how often the box was pushed over while it was cold; most the largest share of what it bore then that it was ever sent.
func (b *Backend) Crashes() (n int64, most float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crashes.Load(), b.peakLoad
}

// LostRequests is how many requests have come while the box was dead.
func (b *Backend) LostRequests() int64 { return b.lostRequests.Load() }

// Served is how many requests the box has answered with 200.
func (b *Backend) Served() int64 { return b.served.Load() }

// Connections is how many connections the box holds.
func (b *Backend) Connections() int64 { return b.connCount.Load() }

// Close ends the box like a process that dies: its connections are reset and new ones are refused.
func (b *Backend) Close() {
	b.mu.Lock()
	b.closed = true
	b.listener.Close()
	for c := range b.openConns {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		c.Close()
	}
	b.mu.Unlock()
	b.goroutines.Wait()
}

func (b *Backend) accept() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		if b.closed {
			b.mu.Unlock()
			c.Close()
			return
		}
		b.openConns[c] = struct{}{}
		b.connCount.Add(1)
		b.goroutines.Go(func() {
			defer func() {
				c.Close()
				b.connCount.Add(-1)
				b.mu.Lock()
				delete(b.openConns, c)
				b.mu.Unlock()
			}()
			b.serve(c)
		})
		b.mu.Unlock()
	}
}

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 1 << 20

func (b *Backend) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(io.LimitReader(q.Body, maxBodyBytes+1))
		if err != nil || len(body) > maxBodyBytes {
			return
		}
		work := q.URL.Path != "/load" && q.URL.Path != "/healthz"
		if work && b.cfg.CrashDuration > 0 {
			b.recordLoad()
		}
		if b.fault.Load().Kind == FaultUnreachable || time.Now().UnixNano() < b.crashedUntil.Load() {
			if work {
				b.lostRequests.Add(1)
				if b.cfg.Recorder != nil {
					b.cfg.Recorder.RecordArrival(b.cfg.Name, q.Header.Get("X-Request-Id"))
				}
			}
			io.Copy(io.Discard, c)
			return
		}
		var text string
		switch q.URL.Path {
		case "/healthz":
			text = b.response(200, "", "")
		case "/load":
			text = b.response(200, "", b.loadReport())
		default:
			var open bool
			if text, open = b.handle(c, q); !open {
				return
			}
		}
		c.SetWriteDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.WriteString(c, text); err != nil || q.Close {
			return
		}
	}
}

// loadReport is the box's report of its load.
func (b *Backend) loadReport() string {
	return fmt.Sprintf("TEXT inflight=%d, queue=%d, util=%.2f", b.running.Load()+b.queued.Load(), b.queued.Load(),
		float64(b.running.Load())/float64(b.cfg.Cores))
}

func (b *Backend) response(status int, more, body string) string {
	load := ""
	switch b.cfg.LoadReporting {
	case ReportPlatform:
		load = "X-Server-Load: " + b.loadReport() + "\r\n"
	case ReportORCA:
		load = fmt.Sprintf("endpoint-load-metrics: TEXT named_metrics.inflight=%d, named_metrics.queue=%d\r\n",
			b.running.Load()+b.queued.Load(), b.queued.Load())
	}
	if b.cfg.LoadReporting != ReportPlatform {
		more = ""
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), load, more, len(body), body)
}

const notProcessedHeader = "X-Not-Processed: 1\r\n"

// handle does what a request asks for. Without an open connection nothing is to be written.
func (b *Backend) handle(c net.Conn, q *http.Request) (text string, open bool) {
	id := q.Header.Get("X-Request-Id")
	if b.cfg.Recorder != nil {
		b.cfg.Recorder.RecordArrival(b.cfg.Name, id)
	}
	if id == "" {
		return b.response(404, "", ""), true
	}
	f, draw := b.drawFault()
	if b.draining.Load() || f.Kind == FaultReject {
		return b.response(503, notProcessedHeader, ""), true
	}
	if f.Kind == FaultClose {
		return "", false
	}
	if f.Kind == FaultError {
		time.Sleep(f.Delay)
		return b.response(500, "", ""), true
	}
	if b.queued.Add(1) > int64(b.cfg.QueueLimit)+int64(b.cfg.Cores)-b.running.Load() {
		b.queued.Add(-1)
		return b.response(503, notProcessedHeader, ""), true
	}
	b.cores <- struct{}{}
	b.queued.Add(-1)
	b.running.Add(1)
	end := func() {}
	if b.cfg.Resource != nil {
		end = b.cfg.Resource.begin(q)
	}
	made := ""
	if end != nil {
		made = b.execute(q, id, draw)
		end()
	}
	b.running.Add(-1)
	<-b.cores
	if end == nil {
		return b.response(409, "", ""), true
	}
	switch f.Kind {
	case FaultDelay:
		time.Sleep(f.Delay)
	case FaultUnanswered:
		io.Copy(io.Discard, c) // until the other side has enough
		return "", false
	case FaultReset:
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		return "", false
	case FaultMalformed:
		return "\x07\x13\x82 no answer\r\n\r\n", true
	}
	b.served.Add(1)
	return b.response(200, "", pad(made, b.cfg.MinResponseBytes)), true
}

// ResponseBody is the body of the answer to a request; what is there beyond is of no account.
func ResponseBody(class, id, key string) string {
	if key != "" {
		id = "key " + key
	}
	return class + " " + id + "\n"
}

func pad(s string, n int) string {
	if len(s) < n {
		s += strings.Repeat(".", n-len(s))
	}
	return s
}

// execute does the work of a request and has its effect, unless it is a repeat that is dropped. It returns what it made.
func (b *Backend) execute(q *http.Request, id string, draw float64) string {
	class, _, _ := strings.Cut(strings.TrimPrefix(q.URL.Path, "/"), "/")
	key := q.Header.Get("Idempotency-Key")
	effect := b.cfg.Idempotency[class]
	work := func() {
		share := 1.0
		if b.cfg.SlowStart > 0 {
			share = b.capacityFraction(time.Since(time.Unix(0, b.started.Load())))
		}
		time.Sleep(time.Duration((0.5 + draw) * float64(b.cfg.ServiceTime) / max(share, 0.01)))
		if b.cfg.Recorder != nil && effect != Idempotent {
			b.cfg.Recorder.RecordEffect(id)
		}
		if b.cfg.Resource != nil {
			b.cfg.Resource.recordEffect(q)
		}
	}
	if effect == IdempotentByKey && key != "" {
		b.cfg.Deduplicator.Do(class+" "+key, work)
		return ResponseBody(class, id, key)
	}
	work()
	return ResponseBody(class, id, "")
}

// drawFault draws what befalls a request, and how much work it is.
func (b *Backend) drawFault() (Fault, float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := *b.fault.Load()
	hit, draw := b.rng.Float64(), b.rng.Float64()
	if hit >= f.Fraction {
		f = Fault{}
	}
	return f, draw
}

// Deduplicator drops the repeats of keyed requests for the boxes of a group, for a while. A repeat that comes while the first
// still runs waits for it.
type Deduplicator struct {
	window time.Duration
	mu     sync.Mutex
	keys   map[string]*dedupEntry
	order  []string
}

type dedupEntry struct {
	started time.Time
	done    chan struct{}
}

// NewDeduplicator returns what drops repeats for window.
func NewDeduplicator(window time.Duration) *Deduplicator {
	return &Deduplicator{window: window, keys: map[string]*dedupEntry{}}
}

// Do calls f unless a call for the same key was made within the window, and returns when that has ended.
func (r *Deduplicator) Do(key string, f func()) {
	r.mu.Lock()
	for len(r.order) > 0 && time.Since(r.keys[r.order[0]].started) > r.window {
		delete(r.keys, r.order[0])
		r.order = r.order[1:]
	}
	if k := r.keys[key]; k != nil {
		r.mu.Unlock()
		<-k.done
		return
	}
	k := &dedupEntry{time.Now(), make(chan struct{})}
	r.keys[key] = k
	r.order = append(r.order, key)
	r.mu.Unlock()
	f()
	close(k.done)
}
