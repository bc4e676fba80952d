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
	NoFault FaultKind = iota
	Error             // 500, at once
	Turned            // 503 with X-Not-Processed: never ran
	Slow              // answered after a further delay
	Silent            // runs and is never answered
	Reset             // runs, and the connection is reset
	Spoilt            // runs, and the answer cannot be read
	Closes            // the connection ends as the request comes; never ran, which nobody else can tell
	Dead              // nothing runs and nothing is answered, probes neither, as of a machine that has vanished
)

var faultWords = map[string]FaultKind{
	"errors": Error, "turns away": Turned, "slow": Slow, "silent": Silent, "resets": Reset, "spoils": Spoilt, "closes": Closes, "dead": Dead,
}

// Fault befalls a share of the requests of a box.
type Fault struct {
	Kind  FaultKind
	Share float64       // 0 to 1
	Delay time.Duration // for Slow, and before Error
}

// ParseFault reads "silent", "errors 0.5" or "slow 1 200ms".
func ParseFault(text string) (Fault, error) {
	for word, k := range faultWords {
		rest, ok := strings.CutPrefix(text, word)
		if !ok {
			continue
		}
		f := Fault{Kind: k, Share: 1}
		for i, part := range strings.Fields(rest) {
			var err error
			if i == 0 {
				f.Share, err = strconv.ParseFloat(part, 64)
			} else {
				f.Delay, err = time.ParseDuration(part)
			}
			if err != nil || i > 1 || !(f.Share >= 0 && f.Share <= 1) || f.Delay < 0 {
				return Fault{}, fmt.Errorf("fault %q: want KIND [SHARE [DELAY]]", text)
			}
		}
		return f, nil
	}
	return Fault{}, fmt.Errorf("fault %q: no such kind", text)
}

// Reports is how a box tells its load, and by that which protocol it speaks.
type Reports int

// The kinds.
const (
	PlatformReports Reports = iota // X-Server-Load; what it turns away says so
	ORCA                           // an ordinary HTTP service with endpoint-load-metrics
	NoReports                      // one that tells nothing
)

// BoxConfig is what a box is made of.
type BoxConfig struct {
	Name     string
	Zone     string
	Cell     int
	Cores    int           // requests in work at once
	Queue    int           // requests that may wait
	Service  time.Duration // mean work of a request on one core, drawn evenly between a half and one and a half of it
	ColdFrom float64       // share of its speed at its start
	Ramp     time.Duration // until it is warm; 0: it starts warm
	Effects  map[string]Effect
	Repeats  *Repeats // what drops repeats of keyed requests here; may be shared by a group of boxes
	Seed     uint64
	Ledger   *Ledger
	Answer   int // bytes of an answer, at least
	Reports  Reports
	Acts     *Acts // what requests with a fencing token act on, or nil
	// Falls: one that is cold and is sent more within a second than it bears then answers nothing for so long, and is cold again. 0: never. It
	// starts warm, and judges itself: the ledger does not, since no list need say when it was started.
	Falls time.Duration
}

// Box is a stand-in for a server that does work. It listens on a loopback address.
type Box struct {
	cfg    BoxConfig
	ln     net.Listener
	born   atomic.Int64 // in Unix nanoseconds
	slots  chan struct{}
	queued atomic.Int64
	inWork atomic.Int64
	served atomic.Int64
	lost   atomic.Int64 // while it was dead
	conns  atomic.Int64
	fault  atomic.Pointer[Fault]
	drains atomic.Bool
	falls  atomic.Int64
	down   atomic.Int64 // it has fallen until then, in Unix nanoseconds

	mu   sync.Mutex
	came []time.Time // requests of the last second, while it was cold
	hot  float64     // the most of them beside what it bore
	rng  *rand.Rand
	open map[net.Conn]struct{}
	shut bool
	done sync.WaitGroup
}

// StartBox starts a box at a free port.
func StartBox(cfg BoxConfig) (*Box, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return startBoxAt(cfg, ln), nil
}

func startBoxAt(cfg BoxConfig, ln net.Listener) *Box {
	if cfg.Cores < 1 {
		cfg.Cores = 1
	}
	if cfg.Repeats == nil {
		cfg.Repeats = NewRepeats(time.Minute)
	}
	b := &Box{
		cfg: cfg, ln: ln, slots: make(chan struct{}, cfg.Cores),
		rng: rand.New(rand.NewPCG(cfg.Seed, 1)), open: map[net.Conn]struct{}{},
	}
	b.fault.Store(&Fault{})
	if cfg.Falls > 0 {
		b.born.Store(time.Now().Add(-cfg.Ramp).UnixNano())
	} else {
		b.Chill()
	}
	b.done.Go(b.accept)
	return b
}

// Name is the box's name.
func (b *Box) Name() string { return b.cfg.Name }

// Zone is where it stands.
func (b *Box) Zone() string { return b.cfg.Zone }

// Addr is where the box listens.
func (b *Box) Addr() string { return b.ln.Addr().String() }

// Entry is what a list says of the box.
func (b *Box) Entry() Entry {
	e := Entry{Host: b.cfg.Name, Dial: b.Addr(), Site: b.cfg.Zone, Block: b.cfg.Cell, Health: "active", Share: 1}
	if b.cfg.Ramp > 0 {
		e.BornMs = b.born.Load() / int64(time.Millisecond)
	}
	if b.drains.Load() {
		e.Health = "leaving"
	}
	return e
}

// SetFault makes f befall requests from now on.
func (b *Box) SetFault(f Fault) { b.fault.Store(&f) }

// Drain makes the box turn new requests away, as one that is about to end does.
func (b *Box) Drain(on bool) { b.drains.Store(on) }

// Chill has it be as cold as at its start.
func (b *Box) Chill() {
	cfg := b.cfg
	b.born.Store(time.Now().UnixNano())
	if cfg.Ramp > 0 && cfg.Ledger != nil && cfg.Falls == 0 {
		full := float64(cfg.Cores) / cfg.Service.Seconds()
		cfg.Ledger.Born(cfg.Name, time.Second, func(age, window time.Duration) float64 {
			share := min(1, cfg.ColdFrom+(1-cfg.ColdFrom)*float64(age+window)/float64(cfg.Ramp))
			return 2.5*full*share*window.Seconds() + 5
		})
	}
}

// share is the part of its speed that the box has at an age.
func (b *Box) share(age time.Duration) float64 {
	return min(1, b.cfg.ColdFrom+(1-b.cfg.ColdFrom)*float64(age)/float64(b.cfg.Ramp))
}

// burden notes a request, and has the box fall if it is cold and they were too many: N + 3 root of N + 3 in a second, N being what it does then.
func (b *Box) burden() {
	now := time.Now()
	age := now.Sub(time.Unix(0, b.born.Load()))
	if b.cfg.Ramp <= 0 || b.fault.Load().Kind == Dead || now.UnixNano() < b.down.Load() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.came = append(b.came, now)
	for len(b.came) > 0 && now.Sub(b.came[0]) > time.Second {
		b.came = b.came[1:]
	}
	if age >= b.cfg.Ramp {
		return
	}
	n := float64(b.cfg.Cores) / b.cfg.Service.Seconds() * b.share(age)
	bears := n + 3*math.Sqrt(n) + 3
	b.hot = max(b.hot, float64(len(b.came))/bears)
	if float64(len(b.came)) <= bears {
		return
	}
	b.falls.Add(1)
	b.came = nil
	b.down.Store(now.Add(b.cfg.Falls).UnixNano())
	b.born.Store(now.Add(b.cfg.Falls).UnixNano())
}

// Falls is how often the box was pushed over while it was cold; most the largest share of what it bore then that it was ever sent.
func (b *Box) Falls() (n int64, most float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.falls.Load(), b.hot
}

// Lost is how many requests have come while the box was dead.
func (b *Box) Lost() int64 { return b.lost.Load() }

// Served is how many requests the box has answered with 200.
func (b *Box) Served() int64 { return b.served.Load() }

// Conns is how many connections the box holds.
func (b *Box) Conns() int64 { return b.conns.Load() }

// Close ends the box like a process that dies: its connections are reset and new ones are refused.
func (b *Box) Close() {
	b.mu.Lock()
	b.shut = true
	b.ln.Close()
	for c := range b.open {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		c.Close()
	}
	b.mu.Unlock()
	b.done.Wait()
}

func (b *Box) accept() {
	for {
		c, err := b.ln.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		if b.shut {
			b.mu.Unlock()
			c.Close()
			return
		}
		b.open[c] = struct{}{}
		b.conns.Add(1)
		b.done.Go(func() {
			defer func() {
				c.Close()
				b.conns.Add(-1)
				b.mu.Lock()
				delete(b.open, c)
				b.mu.Unlock()
			}()
			b.serve(c)
		})
		b.mu.Unlock()
	}
}

// mostBody bounds the body of a request.
const mostBody = 1 << 20

func (b *Box) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(io.LimitReader(q.Body, mostBody+1))
		if err != nil || len(body) > mostBody {
			return
		}
		work := q.URL.Path != "/load" && q.URL.Path != "/healthz"
		if work && b.cfg.Falls > 0 {
			b.burden()
		}
		if b.fault.Load().Kind == Dead || time.Now().UnixNano() < b.down.Load() {
			if work {
				b.lost.Add(1)
				if b.cfg.Ledger != nil {
					b.cfg.Ledger.Arrived(b.cfg.Name, q.Header.Get("X-Request-Id"))
				}
			}
			io.Copy(io.Discard, c)
			return
		}
		var text string
		switch q.URL.Path {
		case "/healthz":
			text = b.answer(200, "", "")
		case "/load":
			text = b.answer(200, "", b.load())
		default:
			var open bool
			if text, open = b.work(c, q); !open {
				return
			}
		}
		c.SetWriteDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.WriteString(c, text); err != nil || q.Close {
			return
		}
	}
}

// load is the box's report of its load.
func (b *Box) load() string {
	return fmt.Sprintf("TEXT inflight=%d, queue=%d, util=%.2f", b.inWork.Load()+b.queued.Load(), b.queued.Load(),
		float64(b.inWork.Load())/float64(b.cfg.Cores))
}

func (b *Box) answer(status int, more, body string) string {
	load := ""
	switch b.cfg.Reports {
	case PlatformReports:
		load = "X-Server-Load: " + b.load() + "\r\n"
	case ORCA:
		load = fmt.Sprintf("endpoint-load-metrics: TEXT named_metrics.inflight=%d, named_metrics.queue=%d\r\n",
			b.inWork.Load()+b.queued.Load(), b.queued.Load())
	}
	if b.cfg.Reports != PlatformReports {
		more = ""
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), load, more, len(body), body)
}

const notProcessed = "X-Not-Processed: 1\r\n"

// work does what a request asks for. Without an open connection nothing is to be written.
func (b *Box) work(c net.Conn, q *http.Request) (text string, open bool) {
	id := q.Header.Get("X-Request-Id")
	if b.cfg.Ledger != nil {
		b.cfg.Ledger.Arrived(b.cfg.Name, id)
	}
	if id == "" {
		return b.answer(404, "", ""), true
	}
	f, draw := b.draw()
	if b.drains.Load() || f.Kind == Turned {
		return b.answer(503, notProcessed, ""), true
	}
	if f.Kind == Closes {
		return "", false
	}
	if f.Kind == Error {
		time.Sleep(f.Delay)
		return b.answer(500, "", ""), true
	}
	if b.queued.Add(1) > int64(b.cfg.Queue)+int64(b.cfg.Cores)-b.inWork.Load() {
		b.queued.Add(-1)
		return b.answer(503, notProcessed, ""), true
	}
	b.slots <- struct{}{}
	b.queued.Add(-1)
	b.inWork.Add(1)
	end := func() {}
	if b.cfg.Acts != nil {
		end = b.cfg.Acts.begin(q)
	}
	made := ""
	if end != nil {
		made = b.run(q, id, draw)
		end()
	}
	b.inWork.Add(-1)
	<-b.slots
	if end == nil {
		return b.answer(409, "", ""), true
	}
	switch f.Kind {
	case Slow:
		time.Sleep(f.Delay)
	case Silent:
		io.Copy(io.Discard, c) // until the other side has enough
		return "", false
	case Reset:
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		return "", false
	case Spoilt:
		return "\x07\x13\x82 no answer\r\n\r\n", true
	}
	b.served.Add(1)
	return b.answer(200, "", pad(made, b.cfg.Answer)), true
}

// Made is the body of the answer to a request; what is there beyond is of no account.
func Made(class, id, key string) string {
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

// run does the work of a request and has its effect, unless it is a repeat that is dropped. It returns what it made.
func (b *Box) run(q *http.Request, id string, draw float64) string {
	class, _, _ := strings.Cut(strings.TrimPrefix(q.URL.Path, "/"), "/")
	key := q.Header.Get("Idempotency-Key")
	effect := b.cfg.Effects[class]
	work := func() {
		share := 1.0
		if b.cfg.Ramp > 0 {
			share = b.share(time.Since(time.Unix(0, b.born.Load())))
		}
		time.Sleep(time.Duration((0.5 + draw) * float64(b.cfg.Service) / max(share, 0.01)))
		if b.cfg.Ledger != nil && effect != Safe {
			b.cfg.Ledger.Effect(id)
		}
		if b.cfg.Acts != nil {
			b.cfg.Acts.effect(q)
		}
	}
	if effect == Keyed && key != "" {
		b.cfg.Repeats.Once(class+" "+key, work)
		return Made(class, id, key)
	}
	work()
	return Made(class, id, "")
}

// draw draws what befalls a request, and how much work it is.
func (b *Box) draw() (Fault, float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := *b.fault.Load()
	hit, draw := b.rng.Float64(), b.rng.Float64()
	if hit >= f.Share {
		f = Fault{}
	}
	return f, draw
}

// Repeats drops the repeats of keyed requests for the boxes of a group, for a while. A repeat that comes while the first
// still runs waits for it.
type Repeats struct {
	window time.Duration
	mu     sync.Mutex
	keys   map[string]*repeat
	oldest []string
}

type repeat struct {
	at   time.Time
	done chan struct{}
}

// NewRepeats returns what drops repeats for window.
func NewRepeats(window time.Duration) *Repeats {
	return &Repeats{window: window, keys: map[string]*repeat{}}
}

// Once calls f unless a call for the same key was made within the window, and returns when that has ended.
func (r *Repeats) Once(key string, f func()) {
	r.mu.Lock()
	for len(r.oldest) > 0 && time.Since(r.keys[r.oldest[0]].at) > r.window {
		delete(r.keys, r.oldest[0])
		r.oldest = r.oldest[1:]
	}
	if k := r.keys[key]; k != nil {
		r.mu.Unlock()
		<-k.done
		return
	}
	k := &repeat{time.Now(), make(chan struct{})}
	r.keys[key] = k
	r.oldest = append(r.oldest, key)
	r.mu.Unlock()
	f()
	close(k.done)
}
