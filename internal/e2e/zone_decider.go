package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"sorrelrudder/internal/fake"
)

// epochObserver follows what processes have of what is decided of zones, and counts what goes back in one life of a process.
type epochObserver struct {
	observing    sync.Mutex // one look is over before the next begins: else what one has seen earlier could be noted later
	mu           sync.Mutex
	newest       map[string]uint64
	regressions  int
	observations int
}

func (x *epochObserver) observe(f *fleet, members []*fleetMember) map[int]sharedState {
	x.observing.Lock()
	defer x.observing.Unlock()
	starts := map[int]int{}
	for _, p := range members {
		p.mu.Lock()
		starts[p.index] = p.startCount
		p.mu.Unlock()
	}
	got := f.sharedStates(members)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.observations++
	for i, s := range got {
		p := f.members[i]
		p.mu.Lock()
		same := p.startCount == starts[i]
		p.mu.Unlock()
		if !same {
			continue
		}
		for _, z := range s.Zones {
			id := fmt.Sprint(p.name, starts[i], z.Zone)
			if z.Epoch < x.newest[id] {
				x.regressions++
			}
			x.newest[id] = max(x.newest[id], z.Epoch)
		}
	}
	return got
}

func init() {
	Register(Scenario{
		Name: "zone-decider", Duration: 24 * time.Second, Run: zoneDecider,
		Summary: "a zone is lost with the process that decides in it; the next is stopped in the middle of the return, half are deaf for an epoch, one comes back late",
	})
}

// zoneDecider does to those that decide and follow what can be done to processes while a zone is left and returned to.
func zoneDecider(ctx context.Context, e *Env) error {
	rng := rand.New(rand.NewPCG(e.Seed, 51))
	recorder := fake.NewEffectRecorder()
	f, err := e.startZoneFleet(ctx, recorder, true, 5)
	if err != nil {
		return err
	}
	load, cancel := context.WithCancel(ctx)
	defer cancel()
	clients := make(chan *fake.ClientResults, 1)
	go func() { clients <- f.runClientsAt(load, f.members[3:], "farm", 6, recorder) }()
	x := &epochObserver{newest: map[string]uint64{}}
	followed := make(chan struct{})
	go func() {
		defer close(followed)
		for pause(load, 250*time.Millisecond) {
			x.observe(f, f.members)
		}
	}()
	if err := f.awaitCondition(ctx, 15*time.Second, "somebody decides of zones", func() bool { return f.leaseHolder("zones") >= 0 }); err != nil {
		return err
	}
	// decides has the lease go to a process that no client asks.
	decides := func(to *fleetMember) error {
		return f.awaitCondition(ctx, 15*time.Second, to.name+" decides of zones", func() bool {
			n := f.leaseHolder("zones")
			if n < 0 || n == to.index {
				return n == to.index
			}
			out, err := f.runCommand("tier", "lease", "handover", "zones", to.name, f.members[n].addr, "--secret", f.secret)
			if err != nil {
				f.logEvent("handover: %v: %s", err, out)
			}
			pause(ctx, 300*time.Millisecond)
			return f.leaseHolder("zones") == to.index
		})
	}
	decider, next := f.members[1], f.members[2]
	if err := decides(decider); err != nil {
		return err
	}
	zone := zoneNames[decider.index%3]
	pause(load, 2*time.Second)
	e.Phase("the zone of the one who decides is lost with it", e.Duration/3)
	lost := time.Now()
	for _, b := range f.backendsIn(zone) {
		b.SetFault(fake.Fault{Kind: fake.FaultUnreachable, Fraction: 1})
	}
	f.logEvent("zone %s is lost, and %s is killed, which decides", zone, decider.name)
	decider.kill()
	others := slices.DeleteFunc(slices.Clone(f.members), func(p *fleetMember) bool { return p == decider })
	left := func() bool {
		n := 0
		for _, s := range x.observe(f, others) {
			for _, z := range s.Zones {
				if z.Zone == zone && z.Epoch > 0 && z.Step == 0 {
					n++
				}
			}
		}
		return n == len(others)
	}
	if err := f.awaitCondition(ctx, 20*time.Second, "all others have left the zone", left); err != nil {
		return err
	}
	e.AtMost("left_s", time.Since(lost).Seconds(), 8) // a term, an election, and the evidence
	e.Phase("the next one is stopped in the middle of the return; half are deaf for an epoch", e.Duration/3)
	if err := decider.start(); err != nil {
		return err
	}
	f.logEvent("zone %s is back, and %s", zone, decider.name)
	back := time.Now()
	for _, b := range f.backendsIn(zone) {
		b.SetFault(fake.Fault{})
	}
	step := func(least int) func() bool {
		return func() bool {
			for _, s := range x.observe(f, f.members) {
				for _, z := range s.Zones {
					if z.Zone == zone && z.Step >= least {
						return true
					}
				}
			}
			return false
		}
	}
	if err := f.awaitCondition(ctx, 30*time.Second, "the return has begun", step(1)); err != nil {
		return err
	}
	if err := decides(next); err != nil { // which takes the step for just begun
		return err
	}
	half := map[int]bool{}
	for _, i := range rng.Perm(len(f.members))[:len(f.members)/2] {
		half[i] = i >= 5 // the consensus group hears
	}
	f.logEvent("%s is stopped, which decides; deaf: %v", next.name, half)
	next.program.Signal(syscall.SIGSTOP)
	restore := f.configureProxies(func(a, b int) bool { return half[a] != half[b] }, func(w *fake.FrameFaults) { w.Partitioned = true }, func(w *fake.FrameFaults) { w.Partitioned = false })
	if err := f.awaitCondition(ctx, 30*time.Second, "another goes on with the return", step(2)); err != nil {
		return err
	}
	pause(ctx, time.Second)
	f.logEvent("%s goes on with what it knew, and all hear again", next.name)
	next.program.Signal(syscall.SIGCONT)
	restore()
	e.Phase("all meet again", e.Duration/3)
	if err := f.awaitCondition(ctx, 40*time.Second, "all use the zone again, by one epoch", func() bool {
		got := x.observe(f, f.members)
		all := map[uint64]bool{}
		for _, s := range got {
			for _, z := range s.Zones {
				if z.Zone == zone {
					all[z.Epoch] = true
				}
				if z.Step != 4 {
					return false
				}
			}
		}
		return len(got) == len(f.members) && len(all) == 1
	}); err != nil {
		return err
	}
	e.Measure("returned_s", time.Since(back).Seconds())
	cancel()
	<-followed
	c := <-clients
	x.mu.Lock()
	e.AtMost("epochs_back", float64(x.regressions), 0)
	e.Measure("looks", float64(x.observations))
	x.mu.Unlock()
	// Each decision bears a larger epoch, whoever made it.
	type decision struct {
		epoch uint64
		at    time.Time
		step  string
	}
	var all []decision
	for _, p := range f.members {
		for _, program := range append(slices.Clone(p.earlierPrograms), p.program) {
			for _, line := range program.LogLines() {
				if LogField(line, "msg") == "zone shift decided" {
					n, _ := strconv.ParseUint(LogField(line, "epoch"), 10, 64)
					all = append(all, decision{n, logTime(line), LogField(line, "step")})
				}
			}
		}
	}
	seen := map[uint64]bool{}
	for _, d := range all {
		if seen[d.epoch] {
			e.Fail("epoch %d was decided twice", d.epoch)
		}
		seen[d.epoch] = true
	}
	e.Measure("epochs", float64(len(all)))
	e.measureResults("", c)
	e.Measure("served", c.ServedFraction())
	f.drainAll()
	e.checkAnsweredOnce(recorder, "")
	return nil
}
