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

// fleetMember is one member of a fleet, over its restarts.
type fleetMember struct {
	fleet         *fleet
	index         int
	name          string
	addr          string
	store         string // file of its consensus store; empty: it has none
	diskFaultFile string // what is wrong with its disk, as the program's store reads it
	clockRate     float64

	mu              sync.Mutex // guards the fields below
	program         *Program
	startCount      int
	running         bool // not killed and not shutting down
	earlierPrograms []*Program
}

func (p *fleetMember) configFile() string { return filepath.Join(p.fleet.dir, p.name+".toml") }

// configText is the member's configuration. The addresses of the others are those of its links to them.
func (p *fleetMember) configText() string {
	cfg := &p.fleet.cfg
	return p.poolTOML() + cfg.poolSections + p.fleetTOML() + p.membersTOML() + p.sharedStateTOML() + cfg.tasks
}

// poolTOML is the listener and the pool.
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

// fleetTOML is the section of the fleet itself.
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

// membersTOML is the list of members.
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

// sharedStateTOML is the section of the shared state, empty if none is shared.
func (p *fleetMember) sharedStateTOML() string {
	settings := p.fleet.cfg.sharedState
	if settings == "" {
		return ""
	}
	return "[tier.copies]\n" + strings.ReplaceAll(settings, memberFilePlaceholder, filepath.Join(p.fleet.dir, p.name))
}

// start starts the member, if it does not run.
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

// currentProgram returns the program that was started last.
func (p *fleetMember) currentProgram() *Program {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.program
}

// programs returns all programs of the member, the first one first.
func (p *fleetMember) programs() []*Program {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append(p.earlierPrograms[:len(p.earlierPrograms):len(p.earlierPrograms)], p.program)
}

// starts returns how often the member was started.
func (p *fleetMember) starts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.startCount
}

// markStopped records that the member is about to shut down, and returns its program and whether it was running.
func (p *fleetMember) markStopped() (program *Program, wasRunning bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wasRunning = p.running
	p.running = false
	return p.program, wasRunning
}

// awaitReady waits until the member takes part in the fleet. Before, it does not handle the signal to shut down.
func (p *fleetMember) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	_, err := p.currentProgram().AwaitLog(ctx, "fleet member started", 1)
	return err
}

// kill ends the member's process at once.
func (p *fleetMember) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.program != nil {
		p.program.Kill()
	}
	p.running = false
}

// restart kills the member's process and starts it again.
func (p *fleetMember) restart() error {
	p.kill()
	return p.start()
}
