package e2e

import (
	"context"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"
)

func init() {
	Register(Scenario{
		Name: "replica-return", Duration: 16 * time.Second, Run: replicaReturn,
		Summary: "members that were killed, paused, or restarted with an outdated or damaged file catch up with the shared state",
	})
}

const (
	replicaReturnVoters = 3
	sharedStateFileExt  = ".copies"
	maxCatchUp          = 5 * time.Second // target for a member that returns
	catchUpAbort        = 20 * time.Second
)

// returnScenario has members return in several ways, and measures how long they take to catch up with the shared state.
type returnScenario struct {
	env     *Env
	fleet   *fleet
	rng     *rand.Rand
	part    time.Duration // length of each step
	catchUp []time.Duration
}

func replicaReturn(ctx context.Context, e *Env) error {
	f, err := e.startFleet(ctx, fleetConfig{
		processes: 10, voters: replicaReturnVoters, backends: 6,
		sharedState: defaultSharedState + "store = \"" + memberFilePlaceholder + sharedStateFileExt + "\"\n",
	})
	if err != nil {
		return err
	}
	observer := newVersionObserver(f)
	if err := observer.converge(ctx, "started"); err != nil {
		return err
	}
	follow, stop := context.WithCancel(ctx)
	defer stop()
	followed := observer.follow(follow)
	s := &returnScenario{env: e, fleet: f, rng: rand.New(rand.NewPCG(e.Seed, 41)), part: e.Duration / 4}
	if err := s.play(ctx); err != nil {
		return err
	}
	lastFault := time.Now()
	if err := observer.converge(ctx, "converged"); err != nil {
		return err
	}
	observer.measureDivergence(ctx, lastFault)
	stop()
	<-followed
	slices.Sort(s.catchUp)
	e.Measure("catchup_p50_s", s.catchUp[len(s.catchUp)/2].Seconds())
	e.AtMost("catchup_most_s", s.catchUp[len(s.catchUp)-1].Seconds(), maxCatchUp.Seconds())
	observer.measure()
	f.drainAll()
	return nil
}

func (s *returnScenario) play(ctx context.Context) error {
	if err := s.returnKilled(ctx); err != nil {
		return err
	}
	if err := s.returnStopped(ctx); err != nil {
		return err
	}
	return s.returnWithFiles(ctx)
}

// drawMember draws a member that is not a voter.
func (s *returnScenario) drawMember() *fleetMember {
	others := s.fleet.members[replicaReturnVoters:]
	return others[s.rng.IntN(len(others))]
}

// awaitCaughtUp waits until a member has compared its shared state with that of another member since the call, and records the time until
// then.
func (s *returnScenario) awaitCaughtUp(ctx context.Context, member *fleetMember, how string) error {
	from := time.Now()
	err := s.fleet.awaitCondition(ctx, catchUpAbort, member.name+" has caught up", func() bool {
		state, err := s.fleet.sharedState(member)
		return err == nil && state.InStepMs >= 0 && state.InStepMs <= time.Since(from).Milliseconds()
	})
	duration := time.Since(from)
	s.catchUp = append(s.catchUp, duration)
	s.fleet.logEvent("%s, %s, has caught up after %.2f s", member.name, how, duration.Seconds())
	return err
}

func (s *returnScenario) returnKilled(ctx context.Context) error {
	s.env.Phase("members are killed and restarted at once", s.part)
	for range 2 {
		member := s.drawMember()
		s.fleet.logEvent("%s is killed", member.name)
		if err := member.restart(); err != nil {
			return err
		}
		if err := s.awaitCaughtUp(ctx, member, "killed"); err != nil {
			return err
		}
	}
	return nil
}

// returnStopped pauses a member while an order is given, which the member must learn of after the pause.
func (s *returnScenario) returnStopped(ctx context.Context) error {
	s.env.Phase("a member is paused and continued", s.part)
	member := s.drawMember()
	s.fleet.logEvent("%s is paused", member.name)
	program := member.currentProgram()
	program.Signal(syscall.SIGSTOP)
	if err := s.fleet.runOrder("avoid", s.fleet.backends[1].Name(), s.fleet.members[0]); err != nil {
		return err
	}
	if !pause(ctx, s.part) {
		return ctx.Err()
	}
	program.Signal(syscall.SIGCONT)
	return s.awaitCaughtUp(ctx, member, "stopped")
}

// returnWithFiles restarts a member with an outdated file, which holds an order that was lifted since, and with a damaged file.
func (s *returnScenario) returnWithFiles(ctx context.Context) error {
	f := s.fleet
	s.env.Phase("a member is restarted with an outdated file", s.part)
	member := s.drawMember()
	file := filepath.Join(f.dir, member.name+sharedStateFileExt)
	isWritten := func() bool { _, err := os.Stat(file); return err == nil }
	if err := f.awaitCondition(ctx, 20*time.Second, "the file is written", isWritten); err != nil {
		return err
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if err := f.runOrder("lift", f.backends[1].Name(), f.members[0]); err != nil {
		return err
	}
	pause(ctx, s.part/2)
	if err := s.returnWithFile(ctx, member, file, data, "with an outdated file"); err != nil {
		return err
	}
	s.env.Phase("a member is restarted with a damaged file", s.part)
	data[len(data)/2] ^= 0x10
	if err := s.returnWithFile(ctx, member, file, data, "with a damaged file"); err != nil {
		return err
	}
	if _, err := os.Stat(file + ".damaged"); err != nil {
		s.env.Fail("a damaged file was not put aside: %v", err)
	}
	return nil
}

// returnWithFile kills a member, replaces its file and starts it again.
func (s *returnScenario) returnWithFile(ctx context.Context, member *fleetMember, file string, data []byte, how string) error {
	member.kill()
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	if err := member.start(); err != nil {
		return err
	}
	return s.awaitCaughtUp(ctx, member, how)
}
