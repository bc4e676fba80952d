package e2e

import (
	"cmp"
	"context"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"sorrelrudder/internal/fake"
)

// fleetMember is a member of a fleet. It stays the same across restarts of its process. Its methods may be called concurrently.
type fleetMember struct {
	fleet         *fleet
	index         int
	name          string
	addr          string
	store         string // path of its consensus store; empty for a member without a store
	diskFaultFile string // path of the file from which its store reads a disk fault
	clockRate     float64

	mu              sync.Mutex // guards the fields below
	program         *Program
	startCount      int
	running         bool // started, and neither killed nor shutting down
	earlierPrograms []*Program
}

func (p *fleetMember) configFile() string { return filepath.Join(p.fleet.dir, p.name+".toml") }

// configText returns the configuration of the member. The addresses of the other members are those of the proxies to them.
func (p *fleetMember) configText() string {
	cfg := &p.fleet.cfg
	return p.poolTOML() + cfg.poolSections + p.fleetTOML() + p.membersTOML() + p.sharedStateTOML() + cfg.tasks
}

// poolTOML returns the sections of the listener and the pool.
func (p *fleetMember) poolTOML() string {
	const section = "[pools.farm]\n"
	cfg := &p.fleet.cfg
	reporting := fake.ReportPlatform
	if cfg.ordinaryHTTP {
		reporting = fake.ReportNone
	}
	pool := httpPoolTOML(reporting, p.fleet.backends)
	if cfg.zone != nil {
		pool = strings.Replace(pool, section, section+fmt.Sprintf("zone = %q\n", cfg.zone(p.index)), 1)
	}
	if cfg.subsets {
		pool = strings.Replace(pool, section, section+fmt.Sprintf("instances = %d\ninstance = %d\n", len(p.fleet.members), p.index), 1)
	}
	return pool
}

// fleetTOML returns the [tier] section.
func (p *fleetMember) fleetTOML() string {
	cfg := &p.fleet.cfg
	var voters []string
	for _, voter := range p.fleet.members[:cfg.voters] {
		voters = append(voters, strconv.Quote(voter.name))
	}
	var b strings.Builder
	fmt.Fprintf(&b, "[tier]\nname = %q\nsecret = %q\ncouncil = [%s]\nterm = %q\ntick = %q\ndrift = %.3f\nguard = \"30ms\"\n",
		p.name, p.fleet.secret, strings.Join(voters, ", "), cmp.Or(cfg.ttl, leaseTTL), cmp.Or(cfg.tick, consensusTick), clockDrift)
	b.WriteString(cfg.fleetKeys)
	if cfg.votersInMemory {
		b.WriteString("council_in_memory = \"all promises are forgotten when most members end at once\"\n")
	}
	if p.store != "" {
		fmt.Fprintf(&b, "store = %q\n", p.store)
	}
	return b.String()
}

// membersTOML returns the [[tier.members]] sections.
func (p *fleetMember) membersTOML() string {
	var b strings.Builder
	for _, other := range p.fleet.members {
		addr := other.addr
		if other != p {
			addr = p.fleet.proxies[[2]int{p.index, other.index}].Addr()
		}
		fmt.Fprintf(&b, "[[tier.members]]\nname = %q\naddress = %q\n", other.name, addr)
		if p.fleet.cfg.zone != nil {
			fmt.Fprintf(&b, "zone = %q\n", p.fleet.cfg.zone(other.index))
		}
	}
	return b.String()
}

// sharedStateTOML returns the [tier.copies] section, or "" if no state is shared.
func (p *fleetMember) sharedStateTOML() string {
	settings := p.fleet.cfg.sharedState
	if settings == "" {
		return ""
	}
	return "[tier.copies]\n" + strings.ReplaceAll(settings, memberFilePlaceholder, filepath.Join(p.fleet.dir, p.name))
}

// start starts the member unless it is running.
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

// currentProgram returns the most recently started program.
func (p *fleetMember) currentProgram() *Program {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.program
}

// programs returns all programs of the member, from the first to the current one.
func (p *fleetMember) programs() []*Program {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append(p.earlierPrograms[:len(p.earlierPrograms):len(p.earlierPrograms)], p.program)
}

// starts returns the number of times that the member was started.
func (p *fleetMember) starts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.startCount
}

// markStopped records that the member is about to shut down. It returns the current program and whether the member was running.
func (p *fleetMember) markStopped() (program *Program, wasRunning bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wasRunning = p.running
	p.running = false
	return p.program, wasRunning
}

// awaitReady waits until the member takes part in the fleet. Before that, it does not handle SIGTERM.
func (p *fleetMember) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	_, err := p.currentProgram().AwaitLog(ctx, "fleet member started", 1)
	return err
}

// kill kills the process of the member and waits until it has ended.
func (p *fleetMember) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.program != nil {
		p.program.Kill()
	}
	p.running = false
}

// restart kills the process of the member and starts a new one.
func (p *fleetMember) restart() error {
	p.kill()
	return p.start()
}
