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

// The times of fleets in the laboratory: short, so that a run of seconds sees many terms.
const (
	tierTerm  = time.Second
	tierTick  = 20 * time.Millisecond
	tierDrift = 0.05
)

// fleetConfig is what a fleet is made of.
type fleetConfig struct {
	processes, voters int
	tasks             string                     // [[tasks]] of the operator's file
	box               func(*fake.BackendConfig)  // how the boxes differ from usual ones, or nil
	clocks            func(i int) (rate float64) // or nil
	memory            bool                       // the council is in memory
	plain             bool                       // the pool speaks plain HTTP
	more              string                     // further keys of [tier]
	copies            string                     // keys of [tier.copies]; empty: no state is shared
	nboxes            int                        // 0: three
	tick              time.Duration              // of the council; 0: tierTick
	term              time.Duration              // 0: tierTerm
	zone              func(i int) string         // of a process, or nil
	dealt             bool                       // each process chooses among servers of its own
	ledger            *fake.EffectRecorder       // of clients, or nil
	pool              string                     // further sections of the pool
	lies              func(i int) string         // what a process says is dead though it is not, or nil
}

// fleet is a fleet of real processes, each on a loopback address of its own, with a link between every ordered pair.
type fleet struct {
	env    *Env
	cfg    fleetConfig
	dir    string // of its files
	acts   *fake.FencedResource
	boxes  []*fake.Backend
	secret string
	procs  []*fleetProc
	links  map[[2]int]*fake.FrameProxy
	began  time.Time

	mu   sync.Mutex
	told []string // what was done to the fleet, and when
}

// fleetProc is one process of a fleet, over its restarts.
type fleetProc struct {
	f      *fleet
	i      int
	name   string
	addr   string
	store  string
	disk   string // what is wrong with its disk, see the store of the program
	rate   float64
	mu     sync.Mutex
	prog   *Program
	starts int
	up     bool // it runs and is not stopped
	old    []*Program
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
	f := &fleet{env: e, cfg: cfg, dir: dir, acts: fake.NewFencedResource(), links: map[[2]int]*fake.FrameProxy{}, secret: filepath.Join(dir, "secret")}
	if err := os.WriteFile(f.secret, []byte("a secret of the laboratory\n"), 0o600); err != nil {
		return nil, err
	}
	f.boxes, err = e.boxes("box", cmp.Or(cfg.nboxes, 3), cfg.ledger, func(b *fake.BackendConfig) {
		b.Resource, b.ServiceTime = f.acts, 5*time.Millisecond
		if cfg.box != nil {
			cfg.box(b)
		}
	})
	if err != nil {
		return nil, err
	}
	for i := range cfg.processes {
		p := &fleetProc{f: f, i: i, name: fmt.Sprintf("p%d", i+1), rate: 1}
		if p.addr, err = freeAddr(i); err != nil {
			return nil, err
		}
		if i < cfg.voters && !cfg.memory {
			p.store = filepath.Join(dir, p.name+".db")
		}
		p.disk = filepath.Join(dir, p.name+".disk")
		if cfg.clocks != nil {
			p.rate = cfg.clocks(i)
		}
		f.procs = append(f.procs, p)
	}
	for _, p := range f.procs {
		for _, q := range f.procs {
			if p == q {
				continue
			}
			l, err := fake.StartFrameProxy(q.addr, e.Seed<<16+uint64(p.i*256+q.i))
			if err != nil {
				return nil, err
			}
			e.Defer(l.Close)
			f.links[[2]int{p.i, q.i}] = l
		}
	}
	for _, p := range f.procs {
		if err := os.WriteFile(p.file(), []byte(p.text()), 0o600); err != nil {
			return nil, err
		}
	}
	if !cfg.memory {
		if out, err := f.cli("tier", "init", f.procs[0].file()); err != nil {
			return nil, fmt.Errorf("founding the fleet: %w: %s", err, out)
		}
	}
	e.Defer(f.kill)
	f.began = time.Now()
	for _, p := range f.procs {
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	if cfg.memory {
		if err := f.procs[0].ready(ctx); err != nil {
			return nil, err
		}
		if out, err := f.cli("tier", "found", f.procs[0].addr, "--secret", f.secret); err != nil {
			return nil, fmt.Errorf("founding the fleet: %w: %s", err, out)
		}
	}
	return f, f.await(ctx, 10*time.Second, "all seats vote", func() bool {
		for _, p := range f.procs[:cfg.voters] {
			if !slices.ContainsFunc(p.prog.Lines(), func(line string) bool {
				return strings.Contains(line, "consensus configuration changed") && len(strings.Fields(strings.Trim(Field(line, "voters"), "[]"))) == cfg.voters
			}) {
				return false
			}
		}
		return true
	})
}

func (p *fleetProc) file() string { return filepath.Join(p.f.dir, p.name+".toml") }

// text is the operator's file of a process: the others are where its links to them begin.
func (p *fleetProc) text() string {
	var b strings.Builder
	reports := fake.ReportPlatform
	if p.f.cfg.plain {
		reports = fake.ReportNone
	}
	pool := plainPool(reports, p.f.boxes)
	if p.f.cfg.zone != nil {
		pool = strings.Replace(pool, "[pools.farm]\n", fmt.Sprintf("[pools.farm]\nzone = %q\n", p.f.cfg.zone(p.i)), 1)
	}
	if p.f.cfg.dealt { // each chooses among servers of its own
		pool = strings.Replace(pool, "[pools.farm]\n", fmt.Sprintf("[pools.farm]\ninstances = %d\ninstance = %d\n", len(p.f.procs), p.i), 1)
	}
	b.WriteString(pool)
	b.WriteString(p.f.cfg.pool)
	var council []string
	for _, q := range p.f.procs[:p.f.cfg.voters] {
		council = append(council, strconv.Quote(q.name))
	}
	fmt.Fprintf(&b, "[tier]\nname = %q\nsecret = %q\ncouncil = [%s]\nterm = %q\ntick = %q\ndrift = %.3f\nguard = \"30ms\"\n",
		p.name, p.f.secret, strings.Join(council, ", "), cmp.Or(p.f.cfg.term, tierTerm), cmp.Or(p.f.cfg.tick, tierTick), tierDrift)
	b.WriteString(p.f.cfg.more)
	if p.f.cfg.memory {
		b.WriteString("council_in_memory = \"all promises are forgotten when most members end at once\"\n")
	}
	if p.store != "" {
		fmt.Fprintf(&b, "store = %q\n", p.store)
	}
	for _, q := range p.f.procs {
		addr := q.addr
		if q != p {
			addr = p.f.links[[2]int{p.i, q.i}].Addr()
		}
		fmt.Fprintf(&b, "[[tier.members]]\nname = %q\naddress = %q\n", q.name, addr)
		if p.f.cfg.zone != nil {
			fmt.Fprintf(&b, "zone = %q\n", p.f.cfg.zone(q.i))
		}
	}
	if p.f.cfg.copies != "" {
		fmt.Fprintf(&b, "[tier.copies]\n%s", strings.ReplaceAll(p.f.cfg.copies, "DIR/NAME", filepath.Join(p.f.dir, p.name)))
	}
	b.WriteString(p.f.cfg.tasks)
	return b.String()
}

// start starts the process, if it does not run.
func (p *fleetProc) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.up {
		return nil
	}
	env := []string{"SORRELRUDDER_LAB_DISK=" + p.disk}
	if p.rate != 1 {
		env = append(env, fmt.Sprintf("SORRELRUDDER_LAB_CLOCK=%.4f", p.rate))
	}
	if p.f.cfg.lies != nil {
		env = append(env, "SORRELRUDDER_LAB_LIES="+p.f.cfg.lies(p.i))
	}
	prog, err := p.f.env.CommandWith(env, "run", p.file())
	if err != nil {
		return err
	}
	if p.prog != nil {
		p.old = append(p.old, p.prog)
	}
	p.prog, p.up = prog, true
	p.starts++
	return nil
}

// ready waits until the process takes part: before, a signal that ends it in order finds nobody who listens for it.
func (p *fleetProc) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	p.mu.Lock()
	prog := p.prog
	p.mu.Unlock()
	_, err := prog.Await(ctx, "fleet member started", 1)
	return err
}

// end ends the process at once.
func (p *fleetProc) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.prog != nil {
		p.prog.Kill()
	}
	p.up = false
}

func (f *fleet) kill() {
	for _, p := range f.procs {
		p.end()
	}
}

// note writes down what was done to the fleet.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	line := fmt.Sprintf("%7.3fs %s", time.Since(f.began).Seconds(), fmt.Sprintf(format, args...))
	f.told = append(f.told, line)
	if f.env.opts.Log != nil {
		fmt.Fprintln(f.env.opts.Log, line)
	}
}

// cli runs the program for an operator.
func (f *fleet) cli(args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	all := append(slices.Clone(f.env.opts.Program[1:]), args...)
	out, err := exec.CommandContext(ctx, f.env.opts.Program[0], all...).CombinedOutput()
	return string(out), err
}

// await waits until something is so.
func (f *fleet) await(ctx context.Context, most time.Duration, what string, is func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	for !is() {
		select {
		case <-ctx.Done():
			var tails []string
			for _, p := range f.procs {
				tails = append(tails, p.name+":\n"+p.prog.Tail(6))
			}
			return fmt.Errorf("waited %v in vain: %s\n%s", most, what, strings.Join(tails, "\n"))
		case <-time.After(10 * time.Millisecond):
		}
	}
	return nil
}

// span is a time in which a process held a lease, by its own log.
type span struct {
	proc     int
	token    uint64
	from, to time.Time // to is zero while it holds it
}

// stamp is when a line of the log was written.
func stamp(line string) time.Time {
	at, _ := time.Parse(time.RFC3339Nano, Field(line, "time"))
	return at
}

// holds are the times in which a lease was held, in order. A process that was killed held it no longer than it could log.
func (f *fleet) holds(name string) []span {
	var all []span
	for _, p := range f.procs {
		p.mu.Lock()
		progs := append(slices.Clone(p.old), p.prog)
		p.mu.Unlock()
		for n, prog := range progs {
			open := -1
			last := time.Time{}
			for _, line := range prog.Lines() {
				if at := stamp(line); !at.IsZero() {
					last = at
				}
				if Field(line, "name") != name {
					continue
				}
				switch Field(line, "msg") {
				case "lease held":
					token, _ := strconv.ParseUint(Field(line, "token"), 10, 64)
					all = append(all, span{proc: p.i, token: token, from: stamp(line)})
					open = len(all) - 1
				case "lease lost":
					if open >= 0 {
						all[open].to = stamp(line)
						open = -1
					}
				}
			}
			if open >= 0 && n < len(progs)-1 {
				all[open].to = last
			}
		}
	}
	slices.SortFunc(all, func(a, b span) int { return a.from.Compare(b.from) })
	return all
}

// holder is who holds a lease now, -1 if nobody is known to.
func (f *fleet) holder(name string) int {
	all := f.holds(name)
	best := -1
	for i, s := range all {
		if s.to.IsZero() && (best < 0 || s.token > all[best].token) {
			best = i
		}
	}
	if best < 0 {
		return -1
	}
	return all[best].proc
}

// unheldGap is a time without an act from which on a task counts as held by nobody: some slots of the slowest task. A process that is
// stopped says of itself that it holds a lease, so that logs can't tell.
const unheldGap = 300 * time.Millisecond

// tierStatus is what the lab reads of a process' own account.
type tierStatus struct {
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
func (f *fleet) status(p *fleetProc) (s tierStatus, err error) {
	out, err := f.cli("tier", "status", p.addr, "--secret", f.secret, "--json", "--timeout", "2s")
	if err == nil {
		err = json.Unmarshal([]byte(out), &s)
	}
	if err != nil {
		err = fmt.Errorf("tier status of %s: %w: %s", p.name, err, out)
	}
	return s, err
}

// TierFault is one thing that is done to a fleet.
type TierFault struct {
	At    time.Duration `json:"at"`
	Kind  string        `json:"kind"`
	P     int           `json:"p"`
	Q     int           `json:"q,omitempty"`
	For   time.Duration `json:"for,omitempty"`
	Share float64       `json:"share,omitempty"`
}

func (t TierFault) String() string {
	return fmt.Sprintf("%s p%d q%d for %v share %.2f", t.Kind, t.P+1, t.Q+1, t.For.Round(time.Millisecond), t.Share)
}

var tierKinds = []string{"kill", "stop", "cut", "oneway", "still", "split", "loss", "storm", "truncate", "leave", "slowdisk", "killall"}

// drawFaults draws n faults of the kinds over a time.
func drawFaults(rng *rand.Rand, kinds []string, n, processes int, over time.Duration) []TierFault {
	var all []TierFault
	for i := range n {
		all = append(all, TierFault{
			At: over * time.Duration(i) / time.Duration(n), Kind: kinds[rng.IntN(len(kinds))], P: rng.IntN(processes), Q: rng.IntN(processes),
			For: 200*time.Millisecond + time.Duration(rng.Int64N(int64(3*tierTerm))), Share: 0.1 + 0.4*rng.Float64(),
		})
	}
	return all
}

// faults are those that the caller gave in a file, or else the drawn ones.
func (e *Env) faults(drawn []TierFault) ([]TierFault, error) {
	if e.opts.Faults == "" {
		return drawn, nil
	}
	text, err := os.ReadFile(e.opts.Faults)
	if err != nil {
		return nil, err
	}
	var all []TierFault
	if err := json.Unmarshal(text, &all); err != nil {
		return nil, fmt.Errorf("%s: %w", e.opts.Faults, err)
	}
	for _, t := range all {
		if !slices.Contains(tierKinds, t.Kind) {
			return nil, fmt.Errorf("%s: no fault is named %q", e.opts.Faults, t.Kind)
		}
	}
	return all, nil
}

// play does faults to a fleet, and ends once all are over and mended.
func (f *fleet) play(ctx context.Context, faults []TierFault) {
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
		f.note("%v", t)
		over.Go(func() { f.strike(ctx, t) })
	}
}

// each changes both ways of links, and returns what undoes it.
func (f *fleet) each(pick func(from, to int) bool, change, undo func(*fake.FrameFaults)) (mend func()) {
	var picked []*fake.FrameProxy
	for pair, l := range f.links {
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

// strike does one fault, and mends it after its time.
func (f *fleet) strike(ctx context.Context, t TierFault) {
	p := f.procs[t.P%len(f.procs)]
	q := f.procs[t.Q%len(f.procs)]
	rest := func() {
		select {
		case <-ctx.Done():
		case <-time.After(t.For):
		}
	}
	cut, join := func(w *fake.FrameFaults) { w.Partitioned = true }, func(w *fake.FrameFaults) { w.Partitioned = false }
	mend := func() {}
	switch t.Kind {
	case "kill":
		p.end()
		rest()
		if err := p.start(); err != nil {
			f.env.Broken("%s does not start: %v", p.name, err)
		}
		return
	case "killall":
		f.kill()
		rest()
		for _, q := range f.procs {
			if err := q.start(); err != nil {
				f.env.Broken("%s does not start: %v", q.name, err)
			}
		}
		return
	case "leave":
		p.mu.Lock()
		prog := p.prog
		was := p.up
		p.up = false
		p.mu.Unlock()
		if was {
			if err := p.ready(ctx); err != nil {
				f.env.Broken("%s is not ready: %v", p.name, err)
				return
			}
			if err := prog.Stop(); err != nil {
				f.env.Broken("%s ended with %v", p.name, err)
			}
		}
		rest()
		if err := p.start(); err != nil {
			f.env.Broken("%s does not start: %v", p.name, err)
		}
		return
	case "stop":
		p.mu.Lock()
		prog := p.prog
		p.mu.Unlock()
		prog.Signal(syscall.SIGSTOP)
		rest()
		prog.Signal(syscall.SIGCONT)
		return
	case "cut":
		mend = f.each(func(a, b int) bool { return a == p.i || b == p.i }, cut, join)
	case "oneway": // what p says to q is lost, over both connections that there may be
		there, back := f.links[[2]int{p.i, q.i}], f.links[[2]int{q.i, p.i}]
		if there == nil {
			return
		}
		there.Configure(fake.ToTarget, cut)
		back.Configure(fake.FromTarget, cut)
		mend = func() {
			there.Configure(fake.ToTarget, join)
			back.Configure(fake.FromTarget, join)
		}
	case "still":
		mend = f.each(func(a, b int) bool { return a == p.i || b == p.i }, func(w *fake.FrameFaults) { w.Stalled = true }, func(w *fake.FrameFaults) { w.Stalled = false })
	case "split":
		side := func(i int) bool { return (i+t.P)%len(f.procs) < len(f.procs)*2/5 }
		mend = f.each(func(a, b int) bool { return side(a) != side(b) }, cut, join)
	case "loss":
		mend = f.each(func(int, int) bool { return true }, func(w *fake.FrameFaults) { w.DropFraction = t.Share }, func(w *fake.FrameFaults) { w.DropFraction = 0 })
	case "storm":
		mend = f.each(func(int, int) bool { return true },
			func(w *fake.FrameFaults) {
				w.DuplicateFraction, w.Delay, w.Jitter = 0.1, 5*time.Millisecond, 150*time.Millisecond
			},
			func(w *fake.FrameFaults) { w.DuplicateFraction, w.Delay, w.Jitter = 0, 0, 0 })
	case "truncate":
		f.each(func(a, b int) bool { return a == p.i || b == p.i }, func(w *fake.FrameFaults) { w.TruncateCount++ }, func(*fake.FrameFaults) {})
		return
	case "slowdisk":
		if err := os.WriteFile(p.disk, []byte("slow 60ms"), 0o600); err != nil {
			return // without it the disk is not slow
		}
		mend = func() { os.Remove(p.disk) }
	}
	rest()
	mend()
}

// errNotWhole is a fleet that does not come to itself after the last fault.
var errNotWhole = errors.New("the fleet does not come to itself")

// settle ends all faults, and waits until a lease is held again.
func (f *fleet) settle(ctx context.Context, lease string) error {
	if err := f.mendAll(ctx); err != nil {
		return err
	}
	if err := f.await(ctx, 15*time.Second, lease+" is held", func() bool { return f.holder(lease) >= 0 }); err != nil {
		return fmt.Errorf("%w: %w", errNotWhole, err)
	}
	return nil
}

// mendAll ends all faults, and starts what does not run.
func (f *fleet) mendAll(ctx context.Context) error {
	f.each(func(int, int) bool { return true }, func(w *fake.FrameFaults) { *w = fake.FrameFaults{} }, func(*fake.FrameFaults) {})
	for _, p := range f.procs {
		os.Remove(p.disk)
		p.mu.Lock()
		prog := p.prog
		p.mu.Unlock()
		prog.Signal(syscall.SIGCONT)
		if err := p.start(); err != nil {
			return err
		}
		if err := p.ready(ctx); err != nil {
			return err
		}
	}
	return nil
}

// judge notes what the resource and the logs say.
func (f *fleet) judge(tasks map[string]fake.Idempotency, from, to time.Time) {
	e := f.env
	v := f.acts.Verdict(func(slot string) bool {
		task, _, _ := strings.Cut(slot, "-")
		return tasks[task] != fake.Idempotent
	})
	if v.FirstViolation != "" {
		e.Broken("%s", v.FirstViolation)
	}
	e.AtMost("two_holders", float64(v.Overlaps), 0)
	e.Measure("acts", float64(v.Accepted))
	e.Measure("acts_refused_by_token", float64(v.Rejected))
	e.Measure("tokens", float64(v.DistinctTokens))
	e.Measure("slots_done", float64(v.Slots))
	e.AtMost("doubled_slots", float64(v.DuplicateSlots), 0)
	if v.Accepted == 0 {
		e.Broken("nobody acted: nothing was shown")
	}
	lost, done, skipped := int64(0), int64(0), int64(0)
	counted := false
	for _, p := range f.procs[:f.cfg.voters] {
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
		e.Broken("no member of the council tells its state")
	}
	e.Measure("lost_slots", float64(lost))
	e.Measure("slots_skipped", float64(skipped))
	if slots := f.acts.Verdict(func(string) bool { return false }).Slots; int(done) > slots { // looked at after the book
		e.Broken("%d slots are written down as done, and %d had an effect", done, slots)
	}
	for task := range tasks {
		e.Measure("unheld_share_"+task, f.acts.IdleFraction(task, unheldGap, from, to))
	}
	frames, bytes := int64(0), int64(0)
	for _, l := range f.links {
		n, b := l.Traffic()
		frames, bytes = frames+n, bytes+b
	}
	e.Measure("frames_a_second_and_process", float64(frames)/time.Since(f.began).Seconds()/float64(len(f.procs)))
	e.Measure("kB_a_second_and_process", float64(bytes)/1000/time.Since(f.began).Seconds()/float64(len(f.procs)))
}

// stop ends all processes in order.
func (f *fleet) stop() {
	var all sync.WaitGroup
	for _, p := range f.procs {
		all.Go(func() {
			if err := p.prog.Stop(); err != nil {
				f.env.Broken("%s ended with %v", p.name, err)
			}
		})
	}
	all.Wait()
}
