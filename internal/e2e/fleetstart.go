package e2e

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"sorrelrudder/internal/fake"
)

const (
	defaultFleetBackends = 3
	fleetServiceTime     = 5 * time.Millisecond
	votersTimeout        = 10 * time.Second

	// memberFilePlaceholder is replaced in fleetConfig.sharedState by the path of a member's files, without an extension.
	memberFilePlaceholder = "DIR/NAME"
)

// fleetConfig configures a fleet.
type fleetConfig struct {
	processes        int
	voters           int                       // number of voters, which are the first processes
	tasks            string                    // [[tasks]] sections of the configuration
	configureBackend func(*fake.BackendConfig) // changes the default configuration; may be nil
	clockRate        func(i int) float64       // clock rate of a process; may be nil
	votersInMemory   bool
	ordinaryHTTP     bool                 // the backends are ordinary HTTP services
	fleetKeys        string               // additional keys of [tier]
	sharedState      string               // keys of [tier.copies]; empty disables shared state
	backends         int                  // 0 means defaultFleetBackends
	tick             time.Duration        // of consensus; 0 means consensusTick
	ttl              time.Duration        // of leases; 0 means leaseTTL
	zone             func(i int) string   // zone of a process; may be nil
	subsets          bool                 // each process uses a subset of the backends
	recorder         *fake.EffectRecorder // of the clients; may be nil
	poolSections     string               // additional sections of the pool
	falseReports     func(i int) string   // backends that a process falsely reports as failed; may be nil
}

// startFleet starts a fleet that is bootstrapped at its first member, and waits until all voters are in the consensus group.
func (e *Env) startFleet(ctx context.Context, cfg fleetConfig) (*fleet, error) {
	dir, err := os.MkdirTemp(e.Dir, "fleet-")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		env: e, cfg: cfg, dir: dir, secret: filepath.Join(dir, "secret"),
		resource: fake.NewFencedResource(), proxies: map[[2]int]*fake.FrameProxy{},
	}
	for _, step := range []func() error{f.startBackends, f.makeMembers, f.startProxies, f.writeFiles} {
		if err := step(); err != nil {
			return nil, err
		}
	}
	if err := f.bootstrapAndStart(ctx); err != nil {
		return nil, err
	}
	return f, f.awaitCondition(ctx, votersTimeout, "all voters are in the consensus group", func() bool {
		return !slices.ContainsFunc(f.members[:cfg.voters], func(voter *fleetMember) bool { return !voter.sawVoters(cfg.voters) })
	})
}

func (f *fleet) startBackends() (err error) {
	f.backends, err = f.env.startBackends("box", cmp.Or(f.cfg.backends, defaultFleetBackends), f.cfg.recorder, func(b *fake.BackendConfig) {
		b.Resource, b.ServiceTime = f.resource, fleetServiceTime
		if f.cfg.configureBackend != nil {
			f.cfg.configureBackend(b)
		}
	})
	return err
}

func (f *fleet) makeMembers() error {
	for i := range f.cfg.processes {
		member := &fleetMember{fleet: f, index: i, name: fmt.Sprintf("p%d", i+1), clockRate: 1}
		var err error
		if member.addr, err = freeMemberAddress(i); err != nil {
			return err
		}
		if i < f.cfg.voters && !f.cfg.votersInMemory {
			member.store = filepath.Join(f.dir, member.name+".db")
		}
		member.diskFaultFile = filepath.Join(f.dir, member.name+".disk")
		if f.cfg.clockRate != nil {
			member.clockRate = f.cfg.clockRate(i)
		}
		f.members = append(f.members, member)
	}
	return nil
}

// freeMemberAddress returns an address with a free port. Each member has its own loopback IP address.
func freeMemberAddress(i int) (string, error) {
	return freeAddressAt(fmt.Sprintf("127.0.%d.%d", 10+i/200, 1+i%200))
}

// freeAddressAt returns an address with a port on which nothing is listening at the time of the call.
func freeAddressAt(host string) (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// startProxies starts a proxy for every ordered pair of members.
func (f *fleet) startProxies() error {
	for _, from := range f.members {
		for _, to := range f.members {
			if from == to {
				continue
			}
			proxy, err := fake.StartFrameProxy(to.addr, f.env.Seed<<16+uint64(from.index*256+to.index))
			if err != nil {
				return err
			}
			f.env.Defer(proxy.Close)
			f.proxies[[2]int{from.index, to.index}] = proxy
		}
	}
	return nil
}

// writeFiles writes the secret and the configurations of the members.
func (f *fleet) writeFiles() error {
	if err := os.WriteFile(f.secret, []byte("a secret of the laboratory\n"), 0o600); err != nil {
		return err
	}
	for _, member := range f.members {
		if err := os.WriteFile(member.configFile(), []byte(member.configText()), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// bootstrapAndStart starts the members. A fleet with stores is bootstrapped before its members start. A fleet in memory is bootstrapped
// once its first member is ready.
func (f *fleet) bootstrapAndStart(ctx context.Context) error {
	firstMember := f.members[0]
	if !f.cfg.votersInMemory {
		if out, err := f.runCommand("tier", "init", firstMember.configFile()); err != nil {
			return fmt.Errorf("bootstrapping the fleet: tier init: %w: %s", err, out)
		}
	}
	f.env.Defer(f.killAll)
	f.started = time.Now()
	for _, member := range f.members {
		if err := member.start(); err != nil {
			return err
		}
	}
	if !f.cfg.votersInMemory {
		return nil
	}
	if err := firstMember.awaitReady(ctx); err != nil {
		return err
	}
	if out, err := f.commandMember(firstMember, "found"); err != nil {
		return fmt.Errorf("bootstrapping the fleet: tier found: %w: %s", err, out)
	}
	return nil
}

// sawVoters reports whether the log of the member shows a consensus group of n voters.
func (p *fleetMember) sawVoters(n int) bool {
	return slices.ContainsFunc(p.currentProgram().LogLines(), func(line string) bool {
		return strings.Contains(line, "consensus configuration changed") && len(logList(line, "voters")) == n
	})
}

// logList returns the elements of a list attribute of a log line.
func logList(line, key string) []string {
	return strings.Fields(strings.Trim(LogField(line, key), "[]"))
}

// taskTOML returns a [[tasks]] section.
func taskTOML(name, path, every, more string) string {
	return fmt.Sprintf("[[tasks]]\nname = %q\npool = \"farm\"\npath = %q\nevery = %q\ndeadline = \"250ms\"\n%s", name, path, every, more)
}
