package e2e

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"sorrelrudder/internal/fake"
)

// The times of fleets in the end-to-end tests: short, so that a run of seconds sees many terms.
const (
	leaseTTL      = time.Second
	consensusTick = 20 * time.Millisecond
	clockDrift    = 0.05
)

// fleetConfig is what a fleet is made of.
type fleetConfig struct {
	processes, voters int
	tasks             string                     // [[tasks]] of the operator's file
	configureBackend  func(*fake.BackendConfig)  // how the backends differ from usual ones, or nil
	clockRate         func(i int) (rate float64) // or nil
	votersInMemory    bool                       // the consensus group is in memory
	ordinaryHTTP      bool                       // the pool speaks plain HTTP
	fleetKeys         string                     // further keys of [tier]
	sharedState       string                     // keys of [tier.copies]; empty: no state is shared
	backends          int                        // 0: three
	tick              time.Duration              // of the consensus group; 0: tierTick
	ttl               time.Duration              // 0: tierTerm
	zone              func(i int) string         // of a process, or nil
	subsets           bool                       // each process chooses among servers of its own
	recorder          *fake.EffectRecorder       // of clients, or nil
	poolSections      string                     // further sections of the pool
	falseReports      func(i int) string         // what a process says is dead though it is not, or nil
}

// fleet is a fleet of real processes, each on a loopback address of its own, with a link between every ordered pair.
type fleet struct {
	env      *Env
	cfg      fleetConfig
	dir      string // of its files
	resource *fake.FencedResource
	backends []*fake.Backend
	secret   string
	members  []*fleetMember
	proxies  map[[2]int]*fake.FrameProxy
	started  time.Time

	mu     sync.Mutex
	events []string // what was done to the fleet, and when
}

// fleetMember is one process of a fleet, over its restarts.
type fleetMember struct {
	fleet           *fleet
	index           int
	name            string
	addr            string
	store           string
	diskFaultFile   string // what is wrong with its disk, see the store of the program
	clockRate       float64
	mu              sync.Mutex
	program         *Program
	startCount      int
	running         bool // it runs and is not stopped
	earlierPrograms []*Program
}

// freeAddr returns an address on a loopback address of the process' own that nothing listens on.
func freeAddr(i int) (string, error) {
	ln, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.%d:0", 10+i/200, 1+i%200))
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// startFleet starts a fleet, founded by its first process.
func (e *Env) startFleet(ctx context.Context, cfg fleetConfig) (*fleet, error) {
	dir, err := os.MkdirTemp(e.Dir, "fleet-")
	if err != nil {
		return nil, err
	}
	f := &fleet{env: e, cfg: cfg, dir: dir, resource: fake.NewFencedResource(), proxies: map[[2]int]*fake.FrameProxy{}, secret: filepath.Join(dir, "secret")}
	if err := os.WriteFile(f.secret, []byte("a secret of the laboratory\n"), 0o600); err != nil {
		return nil, err
	}
	f.backends, err = e.startBackends("box", cmp.Or(cfg.backends, 3), cfg.recorder, func(b *fake.BackendConfig) {
		b.Resource, b.ServiceTime = f.resource, 5*time.Millisecond
		if cfg.configureBackend != nil {
			cfg.configureBackend(b)
		}
	})
	if err != nil {
		return nil, err
	}
	for i := range cfg.processes {
		p := &fleetMember{fleet: f, index: i, name: fmt.Sprintf("p%d", i+1), clockRate: 1}
		if p.addr, err = freeAddr(i); err != nil {
			return nil, err
		}
		if i < cfg.voters && !cfg.votersInMemory {
			p.store = filepath.Join(dir, p.name+".db")
		}
		p.diskFaultFile = filepath.Join(dir, p.name+".disk")
		if cfg.clockRate != nil {
			p.clockRate = cfg.clockRate(i)
		}
		f.members = append(f.members, p)
	}
	for _, p := range f.members {
		for _, q := range f.members {
			if p == q {
				continue
			}
			l, err := fake.StartFrameProxy(q.addr, e.Seed<<16+uint64(p.index*256+q.index))
			if err != nil {
				return nil, err
			}
			e.Defer(l.Close)
			f.proxies[[2]int{p.index, q.index}] = l
		}
	}
	for _, p := range f.members {
		if err := os.WriteFile(p.configFile(), []byte(p.configText()), 0o600); err != nil {
			return nil, err
		}
	}
	if !cfg.votersInMemory {
		if out, err := f.runCommand("tier", "init", f.members[0].configFile()); err != nil {
			return nil, fmt.Errorf("founding the fleet: %w: %s", err, out)
		}
	}
	e.Defer(f.killAll)
	f.started = time.Now()
	for _, p := range f.members {
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	if cfg.votersInMemory {
		if err := f.members[0].awaitReady(ctx); err != nil {
			return nil, err
		}
		if out, err := f.runCommand("tier", "found", f.members[0].addr, "--secret", f.secret); err != nil {
			return nil, fmt.Errorf("founding the fleet: %w: %s", err, out)
		}
	}
	return f, f.awaitCondition(ctx, 10*time.Second, "all seats vote", func() bool {
		for _, p := range f.members[:cfg.voters] {
			if !slices.ContainsFunc(p.program.LogLines(), func(line string) bool {
				return strings.Contains(line, "consensus configuration changed") && len(strings.Fields(strings.Trim(LogField(line, "voters"), "[]"))) == cfg.voters
			}) {
				return false
			}
		}
		return true
	})
}

func (p *fleetMember) configFile() string { return filepath.Join(p.fleet.dir, p.name+".toml") }

// configText is the operator's file of a process: the others are where its links to them begin.
func (p *fleetMember) configText() string {
	var b strings.Builder
	reports := fake.ReportPlatform
	if p.fleet.cfg.ordinaryHTTP {
		reports = fake.ReportNone
	}
	pool := httpPoolTOML(reports, p.fleet.backends)
	if p.fleet.cfg.zone != nil {
		pool = strings.Replace(pool, "[pools.farm]\n", fmt.Sprintf("[pools.farm]\nzone = %q\n", p.fleet.cfg.zone(p.index)), 1)
	}
	if p.fleet.cfg.subsets { // each chooses among servers of its own
		pool = strings.Replace(pool, "[pools.farm]\n", fmt.Sprintf("[pools.farm]\ninstances = %d\ninstance = %d\n", len(p.fleet.members), p.index), 1)
	}
	b.WriteString(pool)
	b.WriteString(p.fleet.cfg.poolSections)
	var council []string
	for _, q := range p.fleet.members[:p.fleet.cfg.voters] {
		council = append(council, strconv.Quote(q.name))
	}
	fmt.Fprintf(&b, "[tier]\nname = %q\nsecret = %q\ncouncil = [%s]\nterm = %q\ntick = %q\ndrift = %.3f\nguard = \"30ms\"\n",
		p.name, p.fleet.secret, strings.Join(council, ", "), cmp.Or(p.fleet.cfg.ttl, leaseTTL), cmp.Or(p.fleet.cfg.tick, consensusTick), clockDrift)
	b.WriteString(p.fleet.cfg.fleetKeys)
	if p.fleet.cfg.votersInMemory {
		b.WriteString("council_in_memory = \"all promises are forgotten when most members end at once\"\n")
	}
	if p.store != "" {
		fmt.Fprintf(&b, "store = %q\n", p.store)
	}
	for _, q := range p.fleet.members {
		addr := q.addr
		if q != p {
			addr = p.fleet.proxies[[2]int{p.index, q.index}].Addr()
		}
		fmt.Fprintf(&b, "[[tier.members]]\nname = %q\naddress = %q\n", q.name, addr)
		if p.fleet.cfg.zone != nil {
			fmt.Fprintf(&b, "zone = %q\n", p.fleet.cfg.zone(q.index))
		}
	}
	if p.fleet.cfg.sharedState != "" {
		fmt.Fprintf(&b, "[tier.copies]\n%s", strings.ReplaceAll(p.fleet.cfg.sharedState, "DIR/NAME", filepath.Join(p.fleet.dir, p.name)))
	}
	b.WriteString(p.fleet.cfg.tasks)
	return b.String()
}

// start starts the process, if it does not run.
func (p *fleetMember) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running {
		return nil
	}
	env := []string{"SORRELRUDDER_LAB_DISK=" + p.diskFaultFile}
	if p.clockRate != 1 {
		env = append(env, fmt.Sprintf("SORRELRUDDER_LAB_CLOCK=%.4f", p.clockRate))
	}
	if p.fleet.cfg.falseReports != nil {
		env = append(env, "SORRELRUDDER_LAB_LIES="+p.fleet.cfg.falseReports(p.index))
	}
	program, err := p.fleet.env.CommandWithEnv(env, "run", p.configFile())
	if err != nil {
		return err
	}
	if p.program != nil {
		p.earlierPrograms = append(p.earlierPrograms, p.program)
	}
	p.program, p.running = program, true
	p.startCount++
	return nil
}

// awaitReady waits until the process takes part: before, a signal that ends it in order finds nobody who listens for it.
func (p *fleetMember) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	p.mu.Lock()
	program := p.program
	p.mu.Unlock()
	_, err := program.AwaitLog(ctx, "fleet member started", 1)
	return err
}

// kill ends the process at once.
func (p *fleetMember) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.program != nil {
		p.program.Kill()
	}
	p.running = false
}

func (f *fleet) killAll() {
	for _, p := range f.members {
		p.kill()
	}
}

// logEvent writes down what was done to the fleet.
func (f *fleet) logEvent(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	line := fmt.Sprintf("%7.3fs %s", time.Since(f.started).Seconds(), fmt.Sprintf(format, args...))
	f.events = append(f.events, line)
	if f.env.options.Log != nil {
		fmt.Fprintln(f.env.options.Log, line)
	}
}

// runCommand runs the program for an operator.
func (f *fleet) runCommand(args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	all := append(slices.Clone(f.env.options.Program[1:]), args...)
	out, err := exec.CommandContext(ctx, f.env.options.Program[0], all...).CombinedOutput()
	return string(out), err
}

// awaitCondition waits until something is so.
func (f *fleet) awaitCondition(ctx context.Context, most time.Duration, what string, is func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	for !is() {
		select {
		case <-ctx.Done():
			var tails []string
			for _, p := range f.members {
				tails = append(tails, p.name+":\n"+p.program.LogTail(6))
			}
			return fmt.Errorf("waited %v in vain: %s\n%s", most, what, strings.Join(tails, "\n"))
		case <-time.After(10 * time.Millisecond):
		}
	}
	return nil
}

// leaseSpan is a time in which a process held a lease, by its own log.
type leaseSpan struct {
	holder   int
	token    uint64
	from, to time.Time // to is zero while it holds it
}

// logTime is when a line of the log was written.
func logTime(line string) time.Time {
	at, _ := time.Parse(time.RFC3339Nano, LogField(line, "time"))
	return at
}

// leaseSpans are the times in which a lease was held, in order. A process that was killed held it no longer than it could log.
func (f *fleet) leaseSpans(name string) []leaseSpan {
	var all []leaseSpan
	for _, p := range f.members {
		p.mu.Lock()
		programs := append(slices.Clone(p.earlierPrograms), p.program)
		p.mu.Unlock()
		for n, program := range programs {
			open := -1
			last := time.Time{}
			for _, line := range program.LogLines() {
				if at := logTime(line); !at.IsZero() {
					last = at
				}
				if LogField(line, "name") != name {
					continue
				}
				switch LogField(line, "msg") {
				case "lease held":
					token, _ := strconv.ParseUint(LogField(line, "token"), 10, 64)
					all = append(all, leaseSpan{holder: p.index, token: token, from: logTime(line)})
					open = len(all) - 1
				case "lease lost":
					if open >= 0 {
						all[open].to = logTime(line)
						open = -1
					}
				}
			}
			if open >= 0 && n < len(programs)-1 {
				all[open].to = last
			}
		}
	}
	slices.SortFunc(all, func(a, b leaseSpan) int { return a.from.Compare(b.from) })
	return all
}

// leaseHolder is who holds a lease now, -1 if nobody is known to.
func (f *fleet) leaseHolder(name string) int {
	all := f.leaseSpans(name)
	best := -1
	for i, s := range all {
		if s.to.IsZero() && (best < 0 || s.token > all[best].token) {
			best = i
		}
	}
	if best < 0 {
		return -1
	}
	return all[best].holder
}

// minUnheldGap is a time without an act from which on a task counts as held by nobody: some slots of the slowest task. A process that is
// stopped says of itself that it holds a lease, so that logs can't tell.
const minUnheldGap = 300 * time.Millisecond

// memberStatus is what a scenario reads of a process' own account.
type memberStatus struct {
	Holds   map[string]struct{ Token uint64 }
	Council *struct {
		Voters []uint64
		Fleet  *struct {
			Slots struct {
				Tasks map[string]struct {
					Slot    int64
					Counts  map[string]int64
					Skipped int64
				}
			}
		}
	}
}

// status asks a process for its account.
func (f *fleet) status(p *fleetMember) (s memberStatus, err error) {
	out, err := f.runCommand("tier", "status", p.addr, "--secret", f.secret, "--json", "--timeout", "2s")
	if err == nil {
		err = json.Unmarshal([]byte(out), &s)
	}
	if err != nil {
		err = fmt.Errorf("tier status of %s: %w: %s", p.name, err, out)
	}
	return s, err
}

// FleetFault is one thing that is done to a fleet.
type FleetFault struct {
	At       time.Duration `json:"at"`
	Kind     string        `json:"kind"`
	Member   int           `json:"p"`
	Peer     int           `json:"q,omitempty"`
	Duration time.Duration `json:"for,omitempty"`
	Fraction float64       `json:"share,omitempty"`
}

func (t FleetFault) String() string {
	return fmt.Sprintf("%s p%d q%d for %v share %.2f", t.Kind, t.Member+1, t.Peer+1, t.Duration.Round(time.Millisecond), t.Fraction)
}

var fleetFaultKinds = []string{"kill", "stop", "cut", "oneway", "still", "split", "loss", "storm", "truncate", "leave", "slowdisk", "killall"}

// drawFaults draws n faults of the kinds over a time.
func drawFaults(rng *rand.Rand, kinds []string, n, processes int, over time.Duration) []FleetFault {
	var all []FleetFault
	for i := range n {
		all = append(all, FleetFault{
			At: over * time.Duration(i) / time.Duration(n), Kind: kinds[rng.IntN(len(kinds))], Member: rng.IntN(processes), Peer: rng.IntN(processes),
			Duration: 200*time.Millisecond + time.Duration(rng.Int64N(int64(3*leaseTTL))), Fraction: 0.1 + 0.4*rng.Float64(),
		})
	}
	return all
}

// chooseFaults are those that the caller gave in a file, or else the drawn ones.
func (e *Env) chooseFaults(drawn []FleetFault) ([]FleetFault, error) {
	if e.options.Faults == "" {
		return drawn, nil
	}
	text, err := os.ReadFile(e.options.Faults)
	if err != nil {
		return nil, err
	}
	var all []FleetFault
	if err := json.Unmarshal(text, &all); err != nil {
		return nil, fmt.Errorf("%s: %w", e.options.Faults, err)
	}
	for _, t := range all {
		if !slices.Contains(fleetFaultKinds, t.Kind) {
			return nil, fmt.Errorf("%s: no fault is named %q", e.options.Faults, t.Kind)
		}
	}
	return all, nil
}

// injectFaults does faults to a fleet, and ends once all are over and mended.
func (f *fleet) injectFaults(ctx context.Context, faults []FleetFault) {
	if data, err := json.Marshal(faults); err == nil {
		f.env.report.Faults = data
	}
	began := time.Now()
	var over sync.WaitGroup
	defer over.Wait()
	for _, t := range faults {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(began.Add(t.At))):
		}
		f.logEvent("%v", t)
		over.Go(func() { f.injectFault(ctx, t) })
	}
}

// configureProxies changes both ways of links, and returns what undoes it.
func (f *fleet) configureProxies(pick func(from, to int) bool, change, undo func(*fake.FrameFaults)) (restore func()) {
	var picked []*fake.FrameProxy
	for pair, l := range f.proxies {
		if pick(pair[0], pair[1]) {
			picked = append(picked, l)
			l.Configure(fake.ToTarget, change)
			l.Configure(fake.FromTarget, change)
		}
	}
	return func() {
		for _, l := range picked {
			l.Configure(fake.ToTarget, undo)
			l.Configure(fake.FromTarget, undo)
		}
	}
}

// injectFault does one fault, and mends it after its time.
func (f *fleet) injectFault(ctx context.Context, t FleetFault) {
	p := f.members[t.Member%len(f.members)]
	q := f.members[t.Peer%len(f.members)]
	rest := func() {
		select {
		case <-ctx.Done():
		case <-time.After(t.Duration):
		}
	}
	cut, join := func(w *fake.FrameFaults) { w.Partitioned = true }, func(w *fake.FrameFaults) { w.Partitioned = false }
	restore := func() {}
	switch t.Kind {
	case "kill":
		p.kill()
		rest()
		if err := p.start(); err != nil {
			f.env.Fail("%s does not start: %v", p.name, err)
		}
		return
	case "killall":
		f.killAll()
		rest()
		for _, q := range f.members {
			if err := q.start(); err != nil {
				f.env.Fail("%s does not start: %v", q.name, err)
			}
		}
		return
	case "leave":
		p.mu.Lock()
		program := p.program
		was := p.running
		p.running = false
		p.mu.Unlock()
		if was {
			if err := p.awaitReady(ctx); err != nil {
				f.env.Fail("%s is not ready: %v", p.name, err)
				return
			}
			if err := program.Stop(); err != nil {
				f.env.Fail("%s ended with %v", p.name, err)
			}
		}
		rest()
		if err := p.start(); err != nil {
			f.env.Fail("%s does not start: %v", p.name, err)
		}
		return
	case "stop":
		p.mu.Lock()
		program := p.program
		p.mu.Unlock()
		program.Signal(syscall.SIGSTOP)
		rest()
		program.Signal(syscall.SIGCONT)
		return
	case "cut":
		restore = f.configureProxies(func(a, b int) bool { return a == p.index || b == p.index }, cut, join)
	case "oneway": // what p says to q is lost, over both connections that there may be
		there, back := f.proxies[[2]int{p.index, q.index}], f.proxies[[2]int{q.index, p.index}]
		if there == nil {
			return
		}
		there.Configure(fake.ToTarget, cut)
		back.Configure(fake.FromTarget, cut)
		restore = func() {
			there.Configure(fake.ToTarget, join)
			back.Configure(fake.FromTarget, join)
		}
	case "still":
		restore = f.configureProxies(func(a, b int) bool { return a == p.index || b == p.index }, func(w *fake.FrameFaults) { w.Stalled = true }, func(w *fake.FrameFaults) { w.Stalled = false })
	case "split":
		side := func(i int) bool { return (i+t.Member)%len(f.members) < len(f.members)*2/5 }
		restore = f.configureProxies(func(a, b int) bool { return side(a) != side(b) }, cut, join)
	case "loss":
		restore = f.configureProxies(func(int, int) bool { return true }, func(w *fake.FrameFaults) { w.DropFraction = t.Fraction }, func(w *fake.FrameFaults) { w.DropFraction = 0 })
	case "storm":
		restore = f.configureProxies(func(int, int) bool { return true },
			func(w *fake.FrameFaults) {
				w.DuplicateFraction, w.Delay, w.Jitter = 0.1, 5*time.Millisecond, 150*time.Millisecond
			},
			func(w *fake.FrameFaults) { w.DuplicateFraction, w.Delay, w.Jitter = 0, 0, 0 })
	case "truncate":
		f.configureProxies(func(a, b int) bool { return a == p.index || b == p.index }, func(w *fake.FrameFaults) { w.TruncateCount++ }, func(*fake.FrameFaults) {})
		return
	case "slowdisk":
		if err := os.WriteFile(p.diskFaultFile, []byte("slow 60ms"), 0o600); err != nil {
			return // without it the disk is not slow
		}
		restore = func() { os.Remove(p.diskFaultFile) }
	}
	rest()
	restore()
}

// errNotRecovered is a fleet that does not come to itself after the last fault.
var errNotRecovered = errors.New("the fleet does not come to itself")

// settle ends all faults, and waits until a lease is held again.
func (f *fleet) settle(ctx context.Context, lease string) error {
	if err := f.repairAll(ctx); err != nil {
		return err
	}
	if err := f.awaitCondition(ctx, 15*time.Second, lease+" is held", func() bool { return f.leaseHolder(lease) >= 0 }); err != nil {
		return fmt.Errorf("%w: %w", errNotRecovered, err)
	}
	return nil
}

// repairAll ends all faults, and starts what does not run.
func (f *fleet) repairAll(ctx context.Context) error {
	f.configureProxies(func(int, int) bool { return true }, func(w *fake.FrameFaults) { *w = fake.FrameFaults{} }, func(*fake.FrameFaults) {})
	for _, p := range f.members {
		os.Remove(p.diskFaultFile)
		p.mu.Lock()
		program := p.program
		p.mu.Unlock()
		program.Signal(syscall.SIGCONT)
		if err := p.start(); err != nil {
			return err
		}
		if err := p.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// measureFencing notes what the resource and the logs say.
func (f *fleet) measureFencing(tasks map[string]fake.Idempotency, from, to time.Time) {
	e := f.env
	v := f.resource.Verdict(func(slot string) bool {
		task, _, _ := strings.Cut(slot, "-")
		return tasks[task] != fake.Idempotent
	})
	if v.FirstViolation != "" {
		e.Fail("%s", v.FirstViolation)
	}
	e.AtMost("two_holders", float64(v.Overlaps), 0)
	e.Measure("acts", float64(v.Accepted))
	e.Measure("acts_refused_by_token", float64(v.Rejected))
	e.Measure("tokens", float64(v.DistinctTokens))
	e.Measure("slots_done", float64(v.Slots))
	e.AtMost("doubled_slots", float64(v.DuplicateSlots), 0)
	if v.Accepted == 0 {
		e.Fail("nobody acted: nothing was shown")
	}
	lost, done, skipped := int64(0), int64(0), int64(0)
	counted := false
	for _, p := range f.members[:f.cfg.voters] {
		s, err := f.status(p)
		if err != nil || s.Council == nil || s.Council.Fleet == nil {
			continue
		}
		counted = true
		for _, page := range s.Council.Fleet.Slots.Tasks {
			lost += page.Counts["unknown"] + page.Counts["failed"] + page.Counts["refused"]
			done += page.Counts["done"]
			skipped += page.Skipped
		}
		break
	}
	if !counted {
		e.Fail("no member of the council tells its state")
	}
	e.Measure("lost_slots", float64(lost))
	e.Measure("slots_skipped", float64(skipped))
	if slots := f.resource.Verdict(func(string) bool { return false }).Slots; int(done) > slots { // looked at after the book
		e.Fail("%d slots are written down as done, and %d had an effect", done, slots)
	}
	for task := range tasks {
		e.Measure("unheld_share_"+task, f.resource.IdleFraction(task, minUnheldGap, from, to))
	}
	frames, bytes := int64(0), int64(0)
	for _, l := range f.proxies {
		n, b := l.Traffic()
		frames, bytes = frames+n, bytes+b
	}
	e.Measure("frames_a_second_and_process", float64(frames)/time.Since(f.started).Seconds()/float64(len(f.members)))
	e.Measure("kB_a_second_and_process", float64(bytes)/1000/time.Since(f.started).Seconds()/float64(len(f.members)))
}

// drainAll ends all processes in order.
func (f *fleet) drainAll() {
	var all sync.WaitGroup
	for _, p := range f.members {
		all.Go(func() {
			if err := p.program.Stop(); err != nil {
				f.env.Fail("%s ended with %v", p.name, err)
			}
		})
	}
	all.Wait()
}
