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

// LoadReporting is the format in which a backend reports its load. It also selects the protocol that the backend speaks.
type LoadReporting int

// The load report formats.
const (
	ReportPlatform LoadReporting = iota // the platform's protocol: X-Server-Load; rejections carry X-Not-Processed
	ReportORCA                          // plain HTTP with endpoint-load-metrics
	ReportNone                          // plain HTTP without load reports
)

const (
	maxBodyBytes          = 1 << 20 // largest request or response body
	responseWriteTimeout  = 5 * time.Second
	defaultDedupWindow    = time.Minute
	notProcessedHeader    = "X-Not-Processed: 1\r\n"
	loadReportPath        = "/load"
	healthCheckPath       = "/healthz"
	minCapacityFraction   = 0.01        // lower bound; it limits the service time at a backend with almost no capacity
	slowStartWindow       = time.Second // in which the recorder compares arrivals with the budget
	slowStartBudgetFactor = 2.5         // multiple of the requests that the backend can execute in a window
	slowStartBudgetBurst  = 5           // further requests allowed in a window
)

// BackendConfig configures a Backend.
type BackendConfig struct {
	Name                 string
	Zone                 string
	Cell                 int
	Cores                int                    // requests executed concurrently; values below 1 mean 1
	QueueLimit           int                    // requests that may wait for a core
	ServiceTime          time.Duration          // mean for a request at full capacity; drawn uniformly from 0.5 to 1.5 times the mean
	SlowStartMinCapacity float64                // fraction of full capacity at the beginning of slow start
	SlowStart            time.Duration          // duration of slow start; 0: full capacity from the start
	Idempotency          map[string]Idempotency // by request class
	Deduplicator         *Deduplicator          // may be shared by backends; nil: a separate one for this backend
	Seed                 uint64                 // of faults and service times
	Recorder             *EffectRecorder        // may be nil
	MinResponseBytes     int                    // shorter bodies of successful responses are padded to this length
	LoadReporting        LoadReporting
	Resource             *FencedResource // resource that requests with a fencing token act on; may be nil
	// CrashDuration is how long the backend stays unreachable after a crash. The backend crashes when it receives more requests
	// during slow start than it can handle. It repeats slow start after the crash. With CrashDuration above 0, the backend starts
	// at full capacity. The recorder then does not check the slow-start budget, because the endpoint list may lack the time at
	// which slow start began. 0: the backend never crashes.
	CrashDuration time.Duration
}

// Backend is a fake server that executes requests. It listens on a loopback address. Its methods may be called concurrently.
type Backend struct {
	cfg          BackendConfig
	listener     net.Listener
	started      atomic.Int64 // beginning of slow start, in Unix nanoseconds
	crashedUntil atomic.Int64 // end of the last crash, in Unix nanoseconds
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

// StartBackend starts a backend on a free loopback port.
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

// Endpoint returns the entry of the backend for the endpoint list.
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

// SetFault sets the fault for requests that arrive from now on.
func (b *Backend) SetFault(f Fault) { b.fault.Store(&f) }

// Drain starts or ends draining. A draining backend rejects new requests, like a server that shuts down.
func (b *Backend) Drain(on bool) { b.draining.Store(on) }

// RestartSlowStart restarts slow start. It also records the slow-start budget, unless the backend may crash.
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

// fullRate returns the throughput at full capacity, in requests per second.
func (b *Backend) fullRate() float64 { return float64(b.cfg.Cores) / b.cfg.ServiceTime.Seconds() }

// capacityFraction returns the fraction of full capacity at an age. The fraction rises linearly during slow start.
func (b *Backend) capacityFraction(age time.Duration) float64 {
	initial := b.cfg.SlowStartMinCapacity
	return min(1, initial+(1-initial)*float64(age)/float64(b.cfg.SlowStart))
}

// age returns the time since slow start began. It is negative during a crash.
func (b *Backend) age(now time.Time) time.Duration { return now.Sub(time.Unix(0, b.started.Load())) }

// Crashes returns how often the backend crashed during slow start. peakLoad is the largest number of requests in one second of
// slow start, as a multiple of the number that the backend can handle.
func (b *Backend) Crashes() (n int64, peakLoad float64) { return b.crash.stats() }

// LostRequests returns how many requests arrived while the backend was unreachable or crashed.
func (b *Backend) LostRequests() int64 { return b.lostRequests.Load() }

// Served returns how many requests the backend has answered with status 200.
func (b *Backend) Served() int64 { return b.served.Load() }

// Connections returns the number of open connections.
func (b *Backend) Connections() int64 { return b.connCount.Load() }

// Close stops the backend like a killed process: it resets open connections and refuses new ones.
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

// resetOnClose makes a later Close of a connection send a TCP reset.
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

// untrack closes a connection and removes it from openConns.
func (b *Backend) untrack(c net.Conn) {
	c.Close()
	b.connCount.Add(-1)
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.openConns, c)
}

// serve answers the requests on a connection until the connection ends.
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
			io.Copy(io.Discard, c) // until the other side closes the connection
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

// crashIfOverloaded counts a request and crashes the backend if the load exceeds what the backend can handle.
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

// recordLost counts a request that arrived at an unreachable backend.
func (b *Backend) recordLost(request *http.Request) {
	b.lostRequests.Add(1)
	b.recordArrival(request)
}

func (b *Backend) recordArrival(request *http.Request) {
	if b.cfg.Recorder != nil {
		b.cfg.Recorder.RecordArrival(b.cfg.Name, request.Header.Get("X-Request-Id"))
	}
}

// respond returns the response to a request. If keepOpen is false, the connection is closed without a response.
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

// loadReport returns the text of the load report.
func (b *Backend) loadReport() string {
	return fmt.Sprintf("TEXT inflight=%d, queue=%d, util=%.2f", b.inFlight(), b.queued.Load(),
		float64(b.running.Load())/float64(b.cfg.Cores))
}

// response returns the text of a response. platformFields contains header lines that only the platform's protocol has.
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

// rejection returns the response to a request that is not executed.
func (b *Backend) rejection() string {
	return b.response(http.StatusServiceUnavailable, notProcessedHeader, "")
}

// handle executes a request, or applies the fault of the backend to the request. A request without an ID is not executed. If
// keepOpen is false, the connection is closed without a response.
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

// enqueue reserves a place in the queue. It returns false if the queue is full.
func (b *Backend) enqueue() bool {
	if b.queued.Add(1) > int64(b.cfg.QueueLimit)+int64(b.cfg.Cores)-b.running.Load() {
		b.queued.Add(-1)
		return false
	}
	return true
}

// executeQueued waits for a free core and executes a queued request. accepted is false if the fencing token of the request is
// stale.
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

// deliver returns the response to an executed request after applying the fault.
func (b *Backend) deliver(c net.Conn, fault Fault, body string) (text string, keepOpen bool) {
	switch fault.Kind {
	case FaultDelay:
		time.Sleep(fault.Delay)
	case FaultUnanswered:
		io.Copy(io.Discard, c) // until the other side closes the connection
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

// ResponseBody returns the first line of the body of a response. key is the idempotency key of the request, or empty. Padding
// may follow the line.
func ResponseBody(class, id, key string) string {
	if key != "" {
		id = "key " + key
	}
	return class + " " + id + "\n"
}

// pad appends dots to s until it is n bytes long.
func pad(s string, n int) string {
	if len(s) < n {
		s += strings.Repeat(".", n-len(s))
	}
	return s
}

// execute does the work of a request and returns the response body. A repetition that the Deduplicator drops has no effect.
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

// work sleeps for the service time of a request, then records the effect.
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

// drawFault draws the fault of a request, and a number between 0 and 1 for its service time.
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
