package e2e

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
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
				return strings.Contains(line, "the council's members") && len(strings.Fields(strings.Trim(LogField(line, "voters"), "[]"))) == cfg.voters
			}) {
				return false
			}
		}
		return true
	})
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

// runOrder gives or lifts an order, by any process that reaches the consensus group.
func (f *fleet) runOrder(verb, server string, by *fleetMember) error {
	out, err := f.runCommand("tier", "order", verb, "farm", server, by.addr, "--secret", f.secret)
	if err != nil {
		return fmt.Errorf("order %s %s: %w: %s", verb, server, err, out)
	}
	f.logEvent("order: %s %s", verb, server)
	return nil
}

func taskTOML(name, path, every, more string) string {
	return fmt.Sprintf("[[tasks]]\nname = %q\npool = \"farm\"\npath = %q\nevery = %q\ndeadline = \"250ms\"\n%s", name, path, every, more)
}
