package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"
)

func init() {
	Register(Scenario{
		Name: "lease-disk", Duration: 20 * time.Second, Run: leaseDisk,
		Summary: "disks of voters are slow, full, fail a sync or are lost; a voter without its store stays a learner until an operator replaces its identity",
	})
}

// diskScenario injects disk faults into voters. Each step lasts for the duration part and strikes a randomly drawn voter.
type diskScenario struct {
	fleet *fleet
	rng   *rand.Rand
	part  time.Duration
}

func leaseDisk(ctx context.Context, e *Env) error {
	f, err := e.startSweepFleet(ctx, 5, 3, "50ms")
	if err != nil {
		return err
	}
	from := time.Now()
	s := &diskScenario{fleet: f, rng: rand.New(rand.NewPCG(e.Seed, 32)), part: e.Duration / 5}
	for _, step := range []struct {
		phase string
		play  func(context.Context) error
	}{
		{"a slow disk", s.slowDisk},
		{"a sync that fails once", s.failedSync},
		{"a full disk", s.fullDisk},
		{"a lost store, and the replacement of the voter", s.lostDisk},
		{"the store of another voter", s.foreignStore},
	} {
		e.Phase(step.phase, s.part)
		if err := step.play(ctx); err != nil {
			return err
		}
	}
	f.measureFencing(sweepIdempotency, from, time.Now())
	f.drainAll()
	return nil
}

// drawVoter draws the voter that a step strikes.
func (s *diskScenario) drawVoter() *fleetMember {
	return s.fleet.members[s.rng.IntN(s.fleet.cfg.voters)]
}

// nextVoter returns a voter other than the given one.
func (s *diskScenario) nextVoter(voter *fleetMember) *fleetMember {
	return s.fleet.members[(voter.index+1)%s.fleet.cfg.voters]
}

// setDiskFault makes the disk of a voter faulty until its fault file is removed.
func (s *diskScenario) setDiskFault(voter *fleetMember, fault string) {
	s.fleet.logEvent("disk fault of %s: %s", voter.name, fault)
	if err := os.WriteFile(voter.diskFaultFile, []byte(fault), 0o600); err != nil {
		s.fleet.env.Fail("%v", err)
	}
}

func (s *diskScenario) slowDisk(ctx context.Context) error {
	voter := s.drawVoter()
	s.setDiskFault(voter, "slow 80ms")
	pause(ctx, s.part)
	os.Remove(voter.diskFaultFile)
	return nil
}

// failedSync makes a sync of a voter fail. The voter must then stop voting until it is restarted.
func (s *diskScenario) failedSync(ctx context.Context) error {
	const stopped = "the voter has stopped until the next start"
	voter := s.drawVoter()
	program := voter.currentProgram()
	before := program.CountLog(stopped)
	s.setDiskFault(voter, "fail")
	if _, err := program.AwaitLog(ctx, stopped, before+1); err != nil {
		return err
	}
	pause(ctx, s.part/2)
	s.fleet.logEvent("%s is restarted", voter.name)
	if err := voter.restart(); err != nil {
		return err
	}
	pause(ctx, s.part/2)
	return nil
}

func (s *diskScenario) fullDisk(ctx context.Context) error {
	voter := s.drawVoter()
	s.setDiskFault(voter, "full")
	pause(ctx, s.part/2)
	os.Remove(voter.diskFaultFile)
	if err := voter.restart(); err != nil {
		return err
	}
	pause(ctx, s.part/2)
	return s.fleet.repairAndAwaitLease(ctx, sweepLease)
}

// lostDisk starts a voter without its store. It must not vote until an operator has replaced its identity.
func (s *diskScenario) lostDisk(ctx context.Context) error {
	f, voter := s.fleet, s.drawVoter()
	voter.kill()
	if err := os.Rename(voter.store, voter.store+".lost"); err != nil {
		return err
	}
	f.logEvent("the store of %s is lost", voter.name)
	if err := voter.start(); err != nil {
		return err
	}
	if _, err := voter.currentProgram().AwaitLog(ctx, "admitted as a learner", 1); err != nil {
		return err
	}
	other := s.nextVoter(voter)
	status, err := f.status(other)
	if err != nil {
		return err
	}
	if status.Council == nil {
		return fmt.Errorf("%w: status of %s has no consensus group", errNotRecovered, other.name)
	}
	before := slices.Clone(status.Council.Voters)
	if err := f.mustCommandMember(other, "member", "replace", voter.name); err != nil {
		return err
	}
	if err := f.awaitCondition(ctx, 10*time.Second, "the new identity is a voter", func() bool {
		status, err := f.status(other)
		if err != nil || status.Council == nil {
			return false
		}
		now := status.Council.Voters
		return len(now) == f.cfg.voters && !slices.Equal(now, before)
	}); err != nil {
		return err
	}
	f.logEvent("%s votes again, with a new identity", voter.name)
	return nil
}

// foreignStore starts a voter with the store of another voter. It must refuse to start.
func (s *diskScenario) foreignStore(ctx context.Context) error {
	voter := s.drawVoter()
	voter.kill()
	other := s.nextVoter(voter)
	if err := os.Rename(voter.store, voter.store+".own"); err != nil {
		return err
	}
	data, err := os.ReadFile(other.store)
	if err != nil {
		return err
	}
	if err := os.WriteFile(voter.store, data, 0o600); err != nil {
		return err
	}
	if err := voter.start(); err != nil {
		return err
	}
	if _, err := voter.currentProgram().AwaitLog(ctx, "is the store of", 1); err != nil {
		s.fleet.env.Fail("%s started with the store of %s", voter.name, other.name)
	}
	voter.kill()
	if err := os.Rename(voter.store+".own", voter.store); err != nil {
		return err
	}
	return s.fleet.repairAndAwaitLease(ctx, sweepLease)
}
