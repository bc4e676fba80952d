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

	// memberFilePlaceholder stands in fleetConfig.sharedState for the path of a member's files, without an extension.
	memberFilePlaceholder = "DIR/NAME"
)

// fleetConfig describes a fleet.
type fleetConfig struct {
	processes        int
	voters           int                       // the first of the processes
	tasks            string                    // [[tasks]] of the operator's file
	configureBackend func(*fake.BackendConfig) // changes what is usual, or nil
	clockRate        func(i int) float64       // of a process, or nil
	votersInMemory   bool
	ordinaryHTTP     bool                 // the pool's backends are ordinary HTTP services
	fleetKeys        string               // further keys of [tier]
	sharedState      string               // keys of [tier.copies]; empty: no state is shared
	backends         int                  // 0: defaultFleetBackends
	tick             time.Duration        // of consensus; 0: consensusTick
	ttl              time.Duration        // of leases; 0: leaseTTL
	zone             func(i int) string   // of a process, or nil
	subsets          bool                 // each process chooses among a subset of the backends
	recorder         *fake.EffectRecorder // of clients, or nil
	poolSections     string               // further sections of the pool
	falseReports     func(i int) string   // the servers that a process reports as failed though they are not, or nil
}

// startFleet starts a fleet that its first process founds, and waits until all voters vote.
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
	return f, f.awaitCondition(ctx, votersTimeout, "all seats vote", func() bool {
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

// freeMemberAddress returns a free port at a loopback address of the member's own.
func freeMemberAddress(i int) (string, error) {
	return freeAddressAt(fmt.Sprintf("127.0.%d.%d", 10+i/200, 1+i%200))
}

// freeAddressAt returns a port of a loopback address on which nothing listens at present.
func freeAddressAt(host string) (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// startProxies starts a link between every ordered pair of members.
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

// writeFiles writes the members' secret and configurations.
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

// bootstrapAndStart starts the members. A fleet with stores is founded before they start, one in memory as its first member is ready.
func (f *fleet) bootstrapAndStart(ctx context.Context) error {
	firstMember := f.members[0]
	if !f.cfg.votersInMemory {
		if out, err := f.runCommand("tier", "init", firstMember.configFile()); err != nil {
			return fmt.Errorf("founding the fleet: %w: %s", err, out)
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
		return fmt.Errorf("founding the fleet: %w: %s", err, out)
	}
	return nil
}

// sawVoters reports whether the member's log tells of a consensus group of n voters.
func (p *fleetMember) sawVoters(n int) bool {
	return slices.ContainsFunc(p.currentProgram().LogLines(), func(line string) bool {
		return strings.Contains(line, "consensus configuration changed") && len(logList(line, "voters")) == n
	})
}

// logList returns the elements of a list in a line of the log.
func logList(line, key string) []string {
	return strings.Fields(strings.Trim(LogField(line, key), "[]"))
}

// taskTOML is a task of the operator's file.
func taskTOML(name, path, every, more string) string {
	return fmt.Sprintf("[[tasks]]\nname = %q\npool = \"farm\"\npath = %q\nevery = %q\ndeadline = \"250ms\"\n%s", name, path, every, more)
}
