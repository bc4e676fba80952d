package e2e

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"syscall"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "zone-decider", Duration: 24 * time.Second, Run: zoneDecider,
		Summary: "a zone is lost together with the member that decides zone shifts; the next decider is paused during the return, half of the members are partitioned for one epoch, and the paused decider resumes late",
	})
}

const (
	// zonesLease is the lease of the member that decides zone shifts.
	zonesLease = "zones"

	deciderVoters       = 5
	observationPause    = 250 * time.Millisecond
	handoverTimeout     = 15 * time.Second
	handoverPause       = 300 * time.Millisecond
	firstRecoveryStep   = 1
	resumedRecoveryStep = 2
)

// deciderScenario loses a zone together with the member that decides about it, and pauses the next decider while it returns traffic to the
// zone.
type deciderScenario struct {
	env      *Env
	fleet    *fleet
	observer *epochObserver
	rng      *rand.Rand
	decider  *fleetMember // killed as its zone is lost
	next     *fleetMember // paused during the recovery ramp
	zone     string
	restored time.Time
}

func zoneDecider(ctx context.Context, e *Env) error {
	rng := rand.New(rand.NewPCG(e.Seed, 51))
	recorder := fake.NewEffectRecorder()
	f, err := e.startZoneFleet(ctx, zoneFleetConfig{recorder: recorder, voters: deciderVoters})
	if err != nil {
		return err
	}
	s := &deciderScenario{env: e, fleet: f, observer: newEpochObserver(f), rng: rng, decider: f.members[1], next: f.members[2]}
	s.zone = zoneOf(s.decider.index)
	load, cancel := context.WithCancel(ctx)
	defer cancel()
	clients := f.startClients(load, f.members[3:], 6, recorder) // without the members that are killed and paused
	observed := s.follow(load)
	if err := s.play(ctx); err != nil {
		return err
	}
	cancel()
	<-observed
	results := <-clients
	s.observer.measure()
	s.checkEpochs()
	e.measureResults("", results)
	e.Measure("served", results.ServedFraction())
	f.drainAll()
	e.checkAnsweredOnce(recorder, "")
	return nil
}

// follow observes all members at observationPause until ctx ends. The channel is closed afterwards.
func (s *deciderScenario) follow(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for pause(ctx, observationPause) {
			s.observer.observe(s.fleet.members)
		}
	}()
	return done
}

func (s *deciderScenario) play(ctx context.Context) error {
	hasDecider := func() bool { return s.fleet.leaseHolder(zonesLease) >= 0 }
	if err := s.fleet.awaitCondition(ctx, 15*time.Second, "a member holds the lease of zone shifts", hasDecider); err != nil {
		return err
	}
	if err := s.handOver(ctx, s.decider); err != nil {
		return err
	}
	pause(ctx, 2*time.Second)
	if err := s.loseDecider(ctx); err != nil {
		return err
	}
	if err := s.stopNextDecider(ctx); err != nil {
		return err
	}
	return s.awaitRecovery(ctx)
}

// handOver hands the lease of zone shifts over to a member.
func (s *deciderScenario) handOver(ctx context.Context, to *fleetMember) error {
	f := s.fleet
	return f.awaitCondition(ctx, handoverTimeout, to.name+" holds the lease of zone shifts", func() bool {
		holder := f.leaseHolder(zonesLease)
		if holder < 0 || holder == to.index {
			return holder == to.index
		}
		if out, err := f.commandMember(f.members[holder], "lease", "handover", zonesLease, to.name); err != nil {
			f.logEvent("handover: %v: %s", err, out)
		}
		pause(ctx, handoverPause)
		return f.leaseHolder(zonesLease) == to.index
	})
}

// loseDecider loses the decider and its zone, and waits until the other members have left the zone.
func (s *deciderScenario) loseDecider(ctx context.Context) error {
	s.env.Phase("the decider is lost together with its zone", s.env.Duration/3)
	lost := time.Now()
	setFault(s.fleet.backendsIn(s.zone), unreachableFault)
	s.fleet.logEvent("backends of zone %s become unreachable, and the decider %s is killed", s.zone, s.decider.name)
	s.decider.kill()
	others := slices.DeleteFunc(slices.Clone(s.fleet.members), func(member *fleetMember) bool { return member == s.decider })
	err := s.fleet.awaitCondition(ctx, 20*time.Second, "all other members have left the zone", func() bool {
		left := 0
		for _, state := range s.observer.observe(others) {
			for _, zone := range state.Zones {
				if zone.Zone == s.zone && zone.Epoch > 0 && zone.Step == failoverStep {
					left++
				}
			}
		}
		return left == len(others)
	})
	if err != nil {
		return err
	}
	s.env.AtMost("left_s", time.Since(lost).Seconds(), 8) // a TTL, an election, and the time to detect the loss of the zone
	return nil
}

// stopNextDecider pauses the next decider during the recovery ramp, while a part of the members is partitioned from the others, and waits
// until another member continues the ramp. Then the paused decider continues with its outdated state.
func (s *deciderScenario) stopNextDecider(ctx context.Context) error {
	f := s.fleet
	s.env.Phase("the next decider is paused during the return; up to half of the members are partitioned for one epoch", s.env.Duration/3)
	if err := s.decider.start(); err != nil {
		return err
	}
	f.logEvent("backends of zone %s are reachable again, and %s is restarted", s.zone, s.decider.name)
	s.restored = time.Now()
	setFault(f.backendsIn(s.zone), fake.Fault{})
	if err := s.awaitStep(ctx, "the recovery ramp has started", firstRecoveryStep); err != nil {
		return err
	}
	if err := s.handOver(ctx, s.next); err != nil { // the next decider counts the time of the current step from now on
		return err
	}
	isPartitioned := s.drawHalf()
	f.logEvent("the decider %s is paused; partitioned members: %v", s.next.name, isPartitioned)
	program := s.next.currentProgram()
	program.Signal(syscall.SIGSTOP)
	restore := f.partition(func(from, to int) bool { return isPartitioned[from] != isPartitioned[to] })
	if err := s.awaitStep(ctx, "another member continues the recovery ramp", resumedRecoveryStep); err != nil {
		return err
	}
	pause(ctx, time.Second)
	f.logEvent("%s continues with its outdated state, and the partition ends", s.next.name)
	program.Signal(syscall.SIGCONT)
	restore()
	return nil
}

// drawHalf draws half of the members, and returns the set of those among them that are not voters.
func (s *deciderScenario) drawHalf() map[int]bool {
	half := map[int]bool{}
	for _, i := range s.rng.Perm(len(s.fleet.members))[:len(s.fleet.members)/2] {
		half[i] = i >= deciderVoters
	}
	return half
}

// awaitStep waits until a member reports at least the given step of the zone's recovery ramp.
func (s *deciderScenario) awaitStep(ctx context.Context, what string, step int) error {
	return s.fleet.awaitCondition(ctx, 30*time.Second, what, func() bool {
		for _, state := range s.observer.observe(s.fleet.members) {
			for _, zone := range state.Zones {
				if zone.Zone == s.zone && zone.Step >= step {
					return true
				}
			}
		}
		return false
	})
}

// awaitRecovery waits until all members use the zone in full, with the same epoch.
func (s *deciderScenario) awaitRecovery(ctx context.Context) error {
	s.env.Phase("the partition has ended", s.env.Duration/3)
	err := s.fleet.awaitCondition(ctx, 40*time.Second, "all members use the zone again, with the same epoch", func() bool {
		states := s.observer.observe(s.fleet.members)
		epochs := map[uint64]bool{}
		for _, state := range states {
			for _, zone := range state.Zones {
				if zone.Zone == s.zone {
					epochs[zone.Epoch] = true
				}
				if zone.Step != lastRecoveryStep {
					return false
				}
			}
		}
		return len(states) == len(s.fleet.members) && len(epochs) == 1
	})
	if err != nil {
		return err
	}
	s.env.Measure("returned_s", time.Since(s.restored).Seconds())
	return nil
}

// checkEpochs checks that no epoch was decided twice, by the same or by different members.
func (s *deciderScenario) checkEpochs() {
	decisions := 0
	seen := map[uint64]bool{}
	for _, member := range s.fleet.members {
		for _, program := range member.programs() {
			for _, line := range program.LogLines() {
				if LogField(line, "msg") != zoneShiftMessage {
					continue
				}
				epoch, _ := strconv.ParseUint(LogField(line, "epoch"), 10, 64)
				if seen[epoch] {
					s.env.Fail("epoch %d was decided twice", epoch)
				}
				seen[epoch] = true
				decisions++
			}
		}
	}
	s.env.Measure("epochs", float64(decisions))
}
