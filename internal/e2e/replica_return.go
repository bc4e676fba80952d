package e2e

import (
	"context"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"
)

func init() {
	Register(Scenario{
		Name: "replica-return", Duration: 16 * time.Second, Run: replicaReturn,
		Summary: "processes that were killed, stopped, or come back with yesterday's file catch up",
	})
}

func replicaReturn(ctx context.Context, e *Env) error {
	rng := rand.New(rand.NewPCG(e.Seed, 41))
	f, err := e.startFleet(ctx, fleetConfig{processes: 10, voters: 3, backends: 6, sharedState: defaultSharedState + "store = \"DIR/NAME.copies\"\n"})
	if err != nil {
		return err
	}
	h := newVersionObserver(f)
	if err := h.converge(ctx, "started"); err != nil {
		return err
	}
	follow, stop := context.WithCancel(ctx)
	defer stop()
	followed := h.follow(follow)
	var took []float64
	least := func(p *fleetMember, what string) error {
		at := time.Now()
		err := f.awaitCondition(ctx, 20*time.Second, p.name+" has caught up", func() bool {
			s, err := f.sharedState(p)
			return err == nil && s.InStepMs >= 0 && s.InStepMs <= time.Since(at).Milliseconds()
		})
		took = append(took, time.Since(at).Seconds())
		f.logEvent("%s, %s, has caught up after %.2f s", p.name, what, time.Since(at).Seconds())
		return err
	}
	part := e.Duration / 4
	e.Phase("killed, and started again at once", part)
	for range 2 {
		p := f.members[3+rng.IntN(7)]
		f.logEvent("%s is killed", p.name)
		p.kill()
		if err := p.start(); err != nil {
			return err
		}
		if err := least(p, "killed"); err != nil {
			return err
		}
	}
	e.Phase("stopped for long, and gone on", part)
	p := f.members[3+rng.IntN(7)]
	f.logEvent("%s is stopped", p.name)
	p.program.Signal(syscall.SIGSTOP)
	if err := f.runOrder("avoid", f.backends[1].Name(), f.members[0]); err != nil {
		return err
	}
	if !pause(ctx, part) {
		return ctx.Err()
	}
	p.program.Signal(syscall.SIGCONT)
	if err := least(p, "stopped"); err != nil {
		return err
	}
	e.Phase("yesterday's file", part)
	p = f.members[3+rng.IntN(7)]
	file := strings.TrimSuffix(p.configFile(), ".toml") + ".copies"
	if err := f.awaitCondition(ctx, 20*time.Second, "the file is written", func() bool { _, err := os.Stat(file); return err == nil }); err != nil {
		return err
	}
	old, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if err := f.runOrder("lift", f.backends[1].Name(), f.members[0]); err != nil {
		return err
	}
	pause(ctx, part/2)
	p.kill()
	if err := os.WriteFile(file, old, 0o600); err != nil {
		return err
	}
	if err := p.start(); err != nil {
		return err
	}
	if err := least(p, "with yesterday's file"); err != nil {
		return err
	}
	e.Phase("a damaged file", part)
	p.kill()
	old[len(old)/2] ^= 0x10
	if err := os.WriteFile(file, old, 0o600); err != nil {
		return err
	}
	if err := p.start(); err != nil {
		return err
	}
	if err := least(p, "with a damaged file"); err != nil {
		return err
	}
	if _, err := os.Stat(file + ".damaged"); err != nil {
		e.Fail("a damaged file was not put aside: %v", err)
	}
	since := time.Now()
	if err := h.converge(ctx, "converged"); err != nil {
		return err
	}
	h.measureDivergence(ctx, since)
	stop()
	<-followed
	slices.Sort(took)
	e.Measure("catchup_p50_s", took[len(took)/2])
	e.AtMost("catchup_most_s", took[len(took)-1], 5)
	h.measure()
	f.drainAll()
	return nil
}
