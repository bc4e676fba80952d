package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "lease-disk", Duration: 20 * time.Second, Run: leaseDisk,
		Summary: "disks that are slow, full, fail once and are lost; a member that lost its own listens until it is replaced",
	})
}

func leaseDisk(ctx context.Context, e *Env) error {
	f, err := e.startFleet(ctx, fleetConfig{processes: 5, voters: 3, tasks: taskTOML("sweep", "/delivery-order/sweep", "50ms", "")})
	if err != nil {
		return err
	}
	const lease = "task/sweep"
	if err := f.settle(ctx, lease); err != nil {
		return err
	}
	from := time.Now()
	rng := rand.New(rand.NewPCG(e.Seed, 32))
	part := e.Duration / 5
	wrong := func(p *fleetMember, what string) {
		f.logEvent("the disk of %s: %s", p.name, what)
		if err := os.WriteFile(p.diskFaultFile, []byte(what), 0o600); err != nil {
			e.Fail("%v", err)
		}
	}
	e.Phase("a slow disk", part)
	p := f.members[rng.IntN(3)]
	wrong(p, "slow 80ms")
	pause(ctx, part)
	os.Remove(p.diskFaultFile)

	e.Phase("a sync that fails once", part)
	p = f.members[rng.IntN(3)]
	failed := p.program.CountLog("the voter has stopped until the next start")
	wrong(p, "fail")
	if _, err := p.program.AwaitLog(ctx, "the voter has stopped until the next start", failed+1); err != nil {
		return err
	}
	pause(ctx, part/2)
	f.logEvent("%s starts again", p.name)
	p.kill()
	if err := p.start(); err != nil {
		return err
	}
	pause(ctx, part/2)

	e.Phase("a full disk", part)
	p = f.members[rng.IntN(3)]
	wrong(p, "full")
	pause(ctx, part/2)
	os.Remove(p.diskFaultFile)
	p.kill()
	if err := p.start(); err != nil {
		return err
	}
	pause(ctx, part/2)
	if err := f.settle(ctx, lease); err != nil {
		return err
	}

	e.Phase("a lost disk, and its seat replaced", part)
	p = f.members[rng.IntN(3)]
	p.kill()
	if err := os.Rename(p.store, p.store+".lost"); err != nil {
		return err
	}
	f.logEvent("the disk of %s is lost", p.name)
	if err := p.start(); err != nil {
		return err
	}
	if _, err := p.program.AwaitLog(ctx, "admitted as a learner", 1); err != nil {
		return err
	}
	others := f.members[(p.index+1)%3]
	s, err := f.status(others)
	if err != nil {
		return err
	}
	before := slices.Clone(s.Council.Voters)
	if out, err := f.runCommand("tier", "member", "replace", p.name, others.addr, "--secret", f.secret); err != nil {
		return fmt.Errorf("replace: %w: %s", err, out)
	}
	if err := f.awaitCondition(ctx, 10*time.Second, "the new identity votes", func() bool {
		s, err := f.status(others)
		return err == nil && s.Council != nil && len(s.Council.Voters) == 3 && !slices.Equal(s.Council.Voters, before)
	}); err != nil {
		return err
	}
	f.logEvent("%s votes again, with a new identity", p.name)

	e.Phase("another's disk", part)
	p = f.members[rng.IntN(3)]
	p.kill()
	other := f.members[(p.index+1)%3]
	if err := os.Rename(p.store, p.store+".own"); err != nil {
		return err
	}
	data, err := os.ReadFile(other.store)
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.store, data, 0o600); err != nil {
		return err
	}
	if err := p.start(); err != nil {
		return err
	}
	if _, err := p.program.AwaitLog(ctx, "is the store of", 1); err != nil {
		e.Fail("%s started with the store of %s", p.name, other.name)
	}
	p.kill()
	if err := os.Rename(p.store+".own", p.store); err != nil {
		return err
	}
	if err := f.settle(ctx, lease); err != nil {
		return err
	}
	f.measureFencing(map[string]fake.Idempotency{"sweep": fake.IdempotentByKey}, from, time.Now())
	f.drainAll()
	return nil
}
