package fake

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// LoadReporting is how a backend reports its load, and thereby which protocol it speaks.
type LoadReporting int

// The kinds of load reports.
const (
	ReportPlatform LoadReporting = iota // X-Server-Load; rejections carry X-Not-Processed
	ReportORCA                          // an ordinary HTTP service with endpoint-load-metrics
	ReportNone                          // an ordinary HTTP service that reports nothing
)

const (
	maxBodyBytes          = 1 << 20 // of a request or a response
	responseWriteTimeout  = 5 * time.Second
	defaultDedupWindow    = time.Minute
	notProcessedHeader    = "X-Not-Processed: 1\r\n"
	loadReportPath        = "/load"
	healthCheckPath       = "/healthz"
	minCapacityFraction   = 0.01 // bounds the time of a request at a backend that has hardly any capacity
	slowStartWindow       = time.Second
	slowStartBudgetFactor = 2.5 // of what the backend can execute in a window
	slowStartBudgetBurst  = 5   // requests, beside that
)

// BackendConfig describes a backend.
type BackendConfig struct {
	Name                 string
	Zone                 string
	Cell                 int
	Cores                int           // requests executed at once
	QueueLimit           int           // requests that may wait
	ServiceTime          time.Duration // mean of a request on one core, drawn evenly between a half and one and a half of it
	SlowStartMinCapacity float64       // fraction of its capacity at its start
	SlowStart            time.Duration // until it is warm; 0: it starts warm
	Idempotency          map[string]Idempotency
	Deduplicator         *Deduplicator // may be shared by backends; nil: one of its own
	Seed                 uint64
	Recorder             *EffectRecorder // may be nil
	MinResponseBytes     int
	LoadReporting        LoadReporting
	Resource             *FencedResource // what requests with a fencing token act on, or nil
	// CrashDuration makes the backend crash, for so long, when it gets more requests than it can bear while it warms up; it warms up
	// again afterwards. It starts warm, and the recorder does not check it, since the endpoint list need not tell when it started.
	// 0: it never crashes.
	CrashDuration time.Duration
}

// Backend is a fake of a server that does work. It listens on a loopback address. Its methods may be called concurrently.
type Backend struct {
	cfg          BackendConfig
	listener     net.Listener
	started      atomic.Int64 // when it began to warm up, in Unix nanoseconds
	crashedUntil atomic.Int64 // in Unix nanoseconds
	cores        chan struct{}
	queued       atomic.Int64
	running      atomic.Int64
	served       atomic.Int64
	lostRequests atomic.Int64
	connCount    atomic.Int64
	fault        atomic.Pointer[Fault]
	draining     atomic.Bool
	crash        crashModel
	goroutines   sync.WaitGroup

	mu        sync.Mutex // guards the fields below
	rng       *rand.Rand
	openConns map[net.Conn]struct{}
	closed    bool
}

// StartBackend starts a backend at a free port.
func StartBackend(cfg BackendConfig) (*Backend, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	if cfg.Cores < 1 {
		cfg.Cores = 1
	}
	if cfg.Deduplicator == nil {
		cfg.Deduplicator = NewDeduplicator(defaultDedupWindow)
	}
	b := &Backend{
		cfg: cfg, listener: listener, cores: make(chan struct{}, cfg.Cores),
		rng: rand.New(rand.NewPCG(cfg.Seed, 1)), openConns: map[net.Conn]struct{}{},
	}
	b.fault.Store(&Fault{})
	if cfg.CrashDuration > 0 {
		b.started.Store(time.Now().Add(-cfg.SlowStart).UnixNano())
	} else {
		b.RestartSlowStart()
	}
	b.goroutines.Go(b.accept)
	return b, nil
}

// Name returns the backend's name.
func (b *Backend) Name() string { return b.cfg.Name }

// Zone returns the backend's zone.
func (b *Backend) Zone() string { return b.cfg.Zone }

// Addr returns the address where the backend listens.
func (b *Backend) Addr() string { return b.listener.Addr().String() }

// Endpoint returns the backend as the endpoint list describes it.
func (b *Backend) Endpoint() Endpoint {
	endpoint := Endpoint{
		Host: b.cfg.Name, Address: b.Addr(), Zone: b.cfg.Zone, Cell: b.cfg.Cell, Health: healthActive, Weight: 1,
	}
	if b.cfg.SlowStart > 0 {
		endpoint.StartMs = b.started.Load() / int64(time.Millisecond)
	}
	if b.draining.Load() {
		endpoint.Health = healthDraining
	}
	return endpoint
}

// SetFault sets the fault of the requests that come from now on.
func (b *Backend) SetFault(f Fault) { b.fault.Store(&f) }

// Drain makes the backend reject new requests, as one that shuts down does, or accept them again.
func (b *Backend) Drain(on bool) { b.draining.Store(on) }

// RestartSlowStart makes the backend warm up as at its start.
func (b *Backend) RestartSlowStart() {
	cfg := b.cfg
	b.started.Store(time.Now().UnixNano())
	if cfg.SlowStart <= 0 || cfg.Recorder == nil || cfg.CrashDuration != 0 {
		return
	}
	cfg.Recorder.RecordSlowStart(cfg.Name, slowStartWindow, func(age, window time.Duration) float64 {
		return slowStartBudgetFactor*b.fullRate()*b.capacityFraction(age+window)*window.Seconds() + slowStartBudgetBurst
	})
}

// fullRate is how many requests a second the backend executes when it is warm.
func (b *Backend) fullRate() float64 { return float64(b.cfg.Cores) / b.cfg.ServiceTime.Seconds() }

// capacityFraction is the fraction of its capacity that the backend has at an age. It warms up in a straight line.
func (b *Backend) capacityFraction(age time.Duration) float64 {
	least := b.cfg.SlowStartMinCapacity
	return min(1, least+(1-least)*float64(age)/float64(b.cfg.SlowStart))
}

// age is how long ago the backend began to warm up; negative while it is crashed.
func (b *Backend) age(now time.Time) time.Duration { return now.Sub(time.Unix(0, b.started.Load())) }

// Crashes returns how often the backend crashed while it warmed up, and the most requests that it got in a second of that time, as
// a multiple of what it could bear.
func (b *Backend) Crashes() (n int64, peakLoad float64) { return b.crash.stats() }

// LostRequests returns how many requests came while the backend was unreachable or crashed.
func (b *Backend) LostRequests() int64 { return b.lostRequests.Load() }

// Served returns how many requests the backend has answered with 200.
func (b *Backend) Served() int64 { return b.served.Load() }

// Connections returns how many connections are open.
func (b *Backend) Connections() int64 { return b.connCount.Load() }

// Close ends the backend like a process that is killed: its connections are reset and new ones are refused.
func (b *Backend) Close() {
	b.mu.Lock()
	b.closed = true
	b.listener.Close()
	for c := range b.openConns {
		reset(c)
	}
	b.mu.Unlock()
	b.goroutines.Wait()
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	resetOnClose(c)
	c.Close()
}

// resetOnClose makes the later close of a connection a TCP reset.
func resetOnClose(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
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
			defer b.untrack(c)
			b.serve(c)
		})
		b.mu.Unlock()
	}
}

// untrack closes a connection that has ended.
func (b *Backend) untrack(c net.Conn) {
	c.Close()
	b.connCount.Add(-1)
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.openConns, c)
}

// serve answers the requests of a connection until one side ends it.
func (b *Backend) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(io.LimitReader(request.Body, maxBodyBytes+1))
		if err != nil || len(body) > maxBodyBytes {
			return
		}
		isWork := request.URL.Path != loadReportPath && request.URL.Path != healthCheckPath
		if isWork && b.cfg.CrashDuration > 0 {
			b.crashIfOverloaded()
		}
		if b.unreachable() {
			if isWork {
				b.recordLost(request)
			}
			io.Copy(io.Discard, c) // until the other side closes it
			return
		}
		text, keepOpen := b.respond(c, request)
		if !keepOpen {
			return
		}
		c.SetWriteDeadline(time.Now().Add(responseWriteTimeout))
		if _, err := io.WriteString(c, text); err != nil || request.Close {
			return
		}
	}
}

func (b *Backend) unreachable() bool {
	return b.fault.Load().Kind == FaultUnreachable || b.crashed(time.Now())
}

func (b *Backend) crashed(now time.Time) bool { return now.UnixNano() < b.crashedUntil.Load() }

// crashIfOverloaded counts a request, and makes the backend crash if it is one too many.
func (b *Backend) crashIfOverloaded() {
	now := time.Now()
	if b.cfg.SlowStart <= 0 || b.unreachable() {
		return
	}
	age := b.age(now)
	if b.crash.recordArrival(now, b.fullRate()*b.capacityFraction(age), age < b.cfg.SlowStart) {
		recovery := now.Add(b.cfg.CrashDuration).UnixNano()
		b.crashedUntil.Store(recovery)
		b.started.Store(recovery)
	}
}

// recordLost counts a request that came to an unreachable backend.
func (b *Backend) recordLost(request *http.Request) {
	b.lostRequests.Add(1)
	b.recordArrival(request)
}

func (b *Backend) recordArrival(request *http.Request) {
	if b.cfg.Recorder != nil {
		b.cfg.Recorder.RecordArrival(b.cfg.Name, request.Header.Get("X-Request-Id"))
	}
}

// respond returns the response to a request. With keepOpen false the connection ends without one.
func (b *Backend) respond(c net.Conn, request *http.Request) (text string, keepOpen bool) {
	switch request.URL.Path {
	case healthCheckPath:
		return b.response(http.StatusOK, "", ""), true
	case loadReportPath:
		return b.response(http.StatusOK, "", b.loadReport()), true
	default:
		return b.handle(c, request)
	}
}

func (b *Backend) inFlight() int64 { return b.running.Load() + b.queued.Load() }

// loadReport is the body of the backend's load report.
func (b *Backend) loadReport() string {
	return fmt.Sprintf("TEXT inflight=%d, queue=%d, util=%.2f", b.inFlight(), b.queued.Load(),
		float64(b.running.Load())/float64(b.cfg.Cores))
}

// response is the text of a response. platformFields are header lines that only the platform's protocol has.
func (b *Backend) response(status int, platformFields, body string) string {
	fields := ""
	switch b.cfg.LoadReporting {
	case ReportPlatform:
		fields = "X-Server-Load: " + b.loadReport() + "\r\n" + platformFields
	case ReportORCA:
		fields = fmt.Sprintf("endpoint-load-metrics: TEXT named_metrics.inflight=%d, named_metrics.queue=%d\r\n",
			b.inFlight(), b.queued.Load())
	case ReportNone:
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), fields, len(body), body)
}

// rejection is the response to a request that is not executed.
func (b *Backend) rejection() string {
	return b.response(http.StatusServiceUnavailable, notProcessedHeader, "")
}

// handle executes a request, or strikes it with the backend's fault. With keepOpen false the connection ends without a response.
func (b *Backend) handle(c net.Conn, request *http.Request) (text string, keepOpen bool) {
	b.recordArrival(request)
	if request.Header.Get("X-Request-Id") == "" {
		return b.response(http.StatusNotFound, "", ""), true
	}
	fault, serviceDraw := b.drawFault()
	switch {
	case b.draining.Load() || fault.Kind == FaultReject:
		return b.rejection(), true
	case fault.Kind == FaultClose:
		return "", false
	case fault.Kind == FaultError:
		time.Sleep(fault.Delay)
		return b.response(http.StatusInternalServerError, "", ""), true
	}
	if !b.enqueue() {
		return b.rejection(), true
	}
	body, accepted := b.executeQueued(request, serviceDraw)
	if !accepted {
		return b.response(http.StatusConflict, "", ""), true
	}
	return b.deliver(c, fault, body)
}

// enqueue takes a place in the queue, if there is one.
func (b *Backend) enqueue() bool {
	if b.queued.Add(1) > int64(b.cfg.QueueLimit)+int64(b.cfg.Cores)-b.running.Load() {
		b.queued.Add(-1)
		return false
	}
	return true
}

// executeQueued executes a request of the queue once a core is free. It is not accepted if its fencing token is stale.
func (b *Backend) executeQueued(request *http.Request, serviceDraw float64) (body string, accepted bool) {
	b.cores <- struct{}{}
	b.queued.Add(-1)
	b.running.Add(1)
	defer func() {
		b.running.Add(-1)
		<-b.cores
	}()
	if b.cfg.Resource == nil {
		return b.execute(request, serviceDraw), true
	}
	end, accepted := b.cfg.Resource.beginAction(request)
	if !accepted {
		return "", false
	}
	defer end()
	return b.execute(request, serviceDraw), true
}

// deliver returns the response to an executed request as the fault has it.
func (b *Backend) deliver(c net.Conn, fault Fault, body string) (text string, keepOpen bool) {
	switch fault.Kind {
	case FaultDelay:
		time.Sleep(fault.Delay)
	case FaultUnanswered:
		io.Copy(io.Discard, c) // until the other side closes it
		return "", false
	case FaultReset:
		resetOnClose(c)
		return "", false
	case FaultMalformed:
		return "\x07\x13\x82 no answer\r\n\r\n", true
	}
	b.served.Add(1)
	return b.response(http.StatusOK, "", pad(body, b.cfg.MinResponseBytes)), true
}

// ResponseBody is the beginning of the body of the response to a request. Padding may follow.
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

// execute does the work of a request, which has its effect unless it is a repeat that is dropped. It returns the response's body.
func (b *Backend) execute(request *http.Request, serviceDraw float64) string {
	class, _, _ := strings.Cut(strings.TrimPrefix(request.URL.Path, "/"), "/")
	id, key := request.Header.Get("X-Request-Id"), request.Header.Get("Idempotency-Key")
	if b.cfg.Idempotency[class] != IdempotentByKey || key == "" {
		b.work(request, class, id, serviceDraw)
		return ResponseBody(class, id, "")
	}
	b.cfg.Deduplicator.Do(class+" "+key, func() { b.work(request, class, id, serviceDraw) })
	return ResponseBody(class, id, key)
}

// work takes the time of a request, then has its effect.
func (b *Backend) work(request *http.Request, class, id string, serviceDraw float64) {
	fraction := 1.0
	if b.cfg.SlowStart > 0 {
		fraction = b.capacityFraction(b.age(time.Now()))
	}
	time.Sleep(time.Duration((0.5 + serviceDraw) * float64(b.cfg.ServiceTime) / max(fraction, minCapacityFraction)))
	if b.cfg.Recorder != nil && b.cfg.Idempotency[class] != Idempotent {
		b.cfg.Recorder.RecordEffect(id)
	}
	if b.cfg.Resource != nil {
		b.cfg.Resource.recordEffect(request)
	}
}

// drawFault draws the fault of a request, and its service time between 0 and 1.
func (b *Backend) drawFault() (fault Fault, serviceDraw float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fault = *b.fault.Load()
	faultDraw, serviceDraw := b.rng.Float64(), b.rng.Float64()
	if faultDraw >= fault.Fraction {
		fault = Fault{}
	}
	return fault, serviceDraw
}
