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
