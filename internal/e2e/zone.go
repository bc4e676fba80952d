package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "zone-leave", Duration: 24 * time.Second, Run: zoneLeave,
		Summary: "a zone of three is lost for five seconds in the rush and returns cold: left as a fleet, and each process alone, on the same seed",
	})
	Register(Scenario{
		Name: "zone-return", Duration: 40 * time.Second, Run: zoneReturn,
		Summary: "a zone comes back cold, and its boxes fall when they are sent more than they bear then: returned to as a fleet, and by each alone",
	})
	Register(Scenario{
		Name: "zone-decider", Duration: 24 * time.Second, Run: zoneDecider,
		Summary: "a zone is lost with the process that decides in it; the next is stopped in the middle of the return, half are deaf for an epoch, one comes back late",
	})
	Register(Scenario{
		Name: "zone-grey", Duration: 48 * time.Second, Run: zoneGray,
		Summary: "a zone that fails by half (slow by ten, one in eight answers an error, lost or late), used by each process as it sees fit, and left by order: what leaving it is worth",
	})
	Register(Scenario{
		Name: "zone-grey-auto", Duration: 48 * time.Second, Run: zoneGrayAuto,
		Summary: "the same kinds of failing by half, found and left by the fleet itself, and used by each process as it sees fit, on the same seed",
	})
	Register(Scenario{
		Name: "zone-torn", Duration: 16 * time.Second, Run: zoneTorn,
		Summary: "what only looks like a lost zone: half of its servers dead, servers of all zones dead alike, members that are cut off: nothing is left",
	})
	Register(Scenario{
		Name: "zone-blind", Duration: 16 * time.Second, Run: zoneBlind,
		Summary: "the council has no majority when a zone goes: each goes on by its own eyes, and it is left once there is one; an operator's word holds",
	})
}

func init() {
	Register(Scenario{
		Name: "zone-flap", Duration: 30 * time.Second, Run: zoneFlap,
		Summary: "a zone goes and comes every three seconds: it is left, and each return that hurts is followed by a longer hold",
	})
}

var zoneNames = []string{"a", "b", "c"}

const (
	zoneBackends  = 9
	zoneProcesses = 12
	zoneSettings  = "[tier.zones]\nautomatic = \"on\"\nstep = \"1s\"\nhold = \"1s\"\n"
)

// startZoneFleet starts twelve processes in three zones, with three backends in each, which are cold at their start.
func (e *Env) startZoneFleet(ctx context.Context, recorder *fake.EffectRecorder, zones bool, voters int) (*fleet, error) {
	return e.startZoneFleetOf(ctx, recorder, zones, zoneProcesses, voters, "", configureZoneBackend)
}

func configureZoneBackend(b *fake.BackendConfig) {
	b.ServiceTime, b.Cores, b.QueueLimit = 40*time.Millisecond, 2, 200
}

// startZoneFleetWith is the usual one with further keys of [tier.zones], or of processes each for itself.
func (e *Env) startZoneFleetWith(ctx context.Context, recorder *fake.EffectRecorder, zones bool, more string) (*fleet, error) {
	return e.startZoneFleetWithKeys(ctx, recorder, zones, zoneProcesses, 3, "", more, configureZoneBackend)
}

func (e *Env) startZoneFleetOf(ctx context.Context, recorder *fake.EffectRecorder, zones bool, processes, voters int, pool string, backend func(*fake.BackendConfig)) (*fleet, error) {
	return e.startZoneFleetWithKeys(ctx, recorder, zones, processes, voters, pool, "", backend)
}

func (e *Env) startZoneFleetWithKeys(ctx context.Context, recorder *fake.EffectRecorder, zones bool, processes, voters int, pool, more string, backend func(*fake.BackendConfig)) (*fleet, error) {
	n := 0
	cfg := fleetConfig{
		processes: processes, voters: voters, backends: zoneBackends, recorder: recorder, subsets: true, sharedState: defaultSharedState, poolSections: pool, ordinaryHTTP: pool != "",
		zone: func(i int) string { return zoneNames[i%3] },
		configureBackend: func(b *fake.BackendConfig) {
			b.Zone = zoneNames[n%3]
			backend(b)
			n++
		},
	}
	if zones {
		cfg.sharedState += zoneSettings + more
	} else {
		cfg.sharedState = "" // each for itself
	}
	f, err := e.startFleet(ctx, cfg)
	if err != nil {
		return nil, err
	}
	if !zones {
		for _, p := range f.members {
			if err := p.awaitReady(ctx); err != nil {
				return nil, err
			}
		}
		return f, nil
	}
	return f, f.awaitCondition(ctx, 20*time.Second, "all are there to each other", func() bool {
		got := f.sharedStates(f.members)
		for _, s := range got {
			for _, state := range s.Members {
				if state != "alive" {
					return false
				}
			}
		}
		return len(got) == len(f.members)
	})
}

// backendsIn are the backends of a zone.
func (f *fleet) backendsIn(zone string) (all []*fake.Backend) {
	for _, b := range f.backends {
		if b.Zone() == zone {
			all = append(all, b)
		}
	}
	return all
}

// exclusionTimes is when each process has carried out that so many servers are avoided, after a moment; one that has not is left out.
func (f *fleet) exclusionTimes(avoided int, after time.Time) (at []time.Time) {
	for _, p := range f.members {
		for _, line := range p.program.LogLines() {
			if LogField(line, "msg") != "exclusions applied" || !logTime(line).After(after) {
				continue
			}
			if n := len(strings.Fields(strings.Trim(LogField(line, "avoided"), "[]"))); n == avoided {
				at = append(at, logTime(line))
				break
			}
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	return at
}

// shiftDeciders is how many processes have ever avoided anything.
func (f *fleet) shiftDeciders() (n int) {
	for _, p := range f.members {
		if p.program.CountLog("zone shift decided") > 0 {
			n++
		}
	}
	return n
}

// outage is a zone that is lost and comes back, and when.
type outage struct {
	lost, restored time.Time
	done           chan struct{} // closed once the load has ended
}

// loseZone has a zone's backends vanish after a while, and come back cold after another, under a load that ends with ctx.
func (f *fleet) loseZone(ctx context.Context, zone string, after, length time.Duration) *outage {
	o := &outage{done: make(chan struct{})}
	go func() {
		defer close(o.done)
		pause(ctx, after)
		f.logEvent("zone %s is lost", zone)
		o.lost = time.Now()
		for _, b := range f.backendsIn(zone) {
			b.SetFault(fake.Fault{Kind: fake.FaultUnreachable, Fraction: 1})
		}
		pause(ctx, length)
		f.logEvent("zone %s is back, cold", zone)
		o.restored = time.Now()
		for _, b := range f.backendsIn(zone) {
			b.RestartSlowStart()
			b.SetFault(fake.Fault{})
		}
		<-ctx.Done()
	}()
	return o
}

func zoneLeave(ctx context.Context, e *Env) error {
	type outcome struct {
		lost   int64
		served float64
	}
	results := map[bool]outcome{}
	for _, together := range []bool{false, true} {
		recorder := fake.NewEffectRecorder()
		f, err := e.startZoneFleet(ctx, recorder, together, 3)
		if err != nil {
			return err
		}
		name := "alone"
		if together {
			name = "together"
		}
		length := e.Duration / 2
		e.Phase("a zone is lost, and returns cold, "+name, length)
		load, cancel := context.WithTimeout(ctx, length)
		gone := f.loseZone(load, "b", 2*time.Second, 5*time.Second)
		clients := f.runClients(load, name, 9, recorder)
		cancel()
		<-gone.done
		sent := int64(0)
		for _, b := range f.backends {
			sent += b.LostRequests()
		}
		results[together] = outcome{sent, clients.ServedFraction()}
		e.measureResults(name+"_", clients)
		if together {
			left := f.exclusionTimes(3, gone.lost)
			if len(left) < len(f.members) {
				e.Fail("%d of %d processes have left the zone", len(left), len(f.members))
			}
			if len(left) > 0 {
				e.AtMost("left_s", left[len(left)-1].Sub(gone.lost).Seconds(), 4)
				e.AtMost("apart_s", left[len(left)-1].Sub(left[0]).Seconds(), 1)
			}
			if err := f.awaitCondition(ctx, 20*time.Second, "all use the zone again", func() bool { return len(f.exclusionTimes(0, gone.restored)) == len(f.members) }); err != nil {
				return err
			}
			all := f.exclusionTimes(0, gone.restored)
			e.Measure("returned_s", all[len(all)-1].Sub(gone.restored).Seconds())
			decided := 0
			for _, p := range f.members {
				decided += p.program.CountLog("zone shift decided")
			}
			e.Measure("epochs", float64(decided))
		}
		f.drainAll()
		e.checkAnsweredOnce(recorder, name+"_")
	}
	e.Measure("dead_sends_alone", float64(results[false].lost))
	e.Measure("dead_sends", float64(results[true].lost))
	e.Measure("served_alone", results[false].served)
	e.AtLeast("served", results[true].served, results[false].served-0.01)
	return nil
}

// zoneReturn loses a zone whose backends come back cold, and fall when they are sent more than they bear then. No list says when they were started:
// what a process knows is that they were away.
func zoneReturn(ctx context.Context, e *Env) error {
	const ramp = 4 * time.Second
	served := map[bool]float64{}
	for _, together := range []bool{false, true} {
		recorder := fake.NewEffectRecorder()
		f, err := e.startZoneFleetOf(ctx, recorder, together, 30, 3, fmt.Sprintf("[pools.farm.safety]\ncold_from = 0.1\nramp = %q\n", ramp), func(b *fake.BackendConfig) {
			b.ServiceTime, b.Cores, b.QueueLimit = 20*time.Millisecond, 2, 200
			b.SlowStartMinCapacity, b.SlowStart, b.CrashDuration, b.LoadReporting = 0.1, ramp, 1500*time.Millisecond, fake.ReportNone
		})
		if err != nil {
			return err
		}
		name := "alone"
		if together {
			name = "together"
		}
		length := e.Duration / 2
		e.Phase("a zone is lost, and its boxes fall when they get too much while cold, "+name, length)
		load, cancel := context.WithTimeout(ctx, length)
		gone := f.loseZone(load, "b", 2*time.Second, 4*time.Second)
		clients := f.runClients(load, name, 18, recorder)
		cancel()
		<-gone.done
		falls, most, lost, used := int64(0), 0.0, int64(0), int64(0)
		for _, b := range f.backends {
			n, hot := b.Crashes()
			falls, most = falls+n, max(most, hot)
			lost += b.LostRequests()
		}
		for _, b := range f.backendsIn("b") {
			used += b.Served()
		}
		e.Measure(name+"_dead_sends", float64(lost))
		e.Measure(name+"_most_cold_share", most)
		e.Measure(name+"_served_by_zone", float64(used))
		e.Measure(name+"_cold_overload", float64(falls))
		served[together] = clients.ServedFraction()
		e.measureResults(name+"_", clients)
		if together {
			e.AtMost("cold_overload", float64(falls), 0)
			all := f.exclusionTimes(0, gone.restored)
			if len(all) < len(f.members) {
				e.Fail("%d of %d processes use the zone again", len(all), len(f.members))
			} else {
				e.Measure("returned_s", all[len(all)-1].Sub(gone.restored).Seconds())
			}
		}
		f.drainAll()
		e.checkAnsweredOnce(recorder, name+"_")
	}
	e.Measure("served_alone", served[false])
	e.AtLeast("served", served[true], served[false]-0.002)
	return nil
}

func zoneTorn(ctx context.Context, e *Env) error {
	recorder := fake.NewEffectRecorder()
	f, err := e.startZoneFleet(ctx, recorder, true, 3)
	if err != nil {
		return err
	}
	load, cancel := context.WithCancel(ctx)
	defer cancel()
	clients := make(chan *fake.ClientResults, 1)
	go func() { clients <- f.runClients(load, "farm", 6, recorder) }()
	part := e.Duration / 4
	dead := func(backends ...*fake.Backend) (restore func()) {
		for _, b := range backends {
			b.SetFault(fake.Fault{Kind: fake.FaultUnreachable, Fraction: 1})
		}
		return func() {
			for _, b := range backends {
				b.SetFault(fake.Fault{})
			}
		}
	}
	e.Phase("one of a zone's three servers", part)
	restore := dead(f.backendsIn("b")[0])
	pause(ctx, part)
	restore()
	e.Phase("a server of each zone, as a bad release", part)
	restore = dead(f.backendsIn("a")[0], f.backendsIn("b")[0], f.backendsIn("c")[0])
	pause(ctx, part)
	restore()
	e.Phase("members that are cut off", part)
	restore = f.configureProxies(func(a, b int) bool { return a%3 == 1 || b%3 == 1 }, func(w *fake.FrameFaults) { w.Partitioned = true }, func(w *fake.FrameFaults) { w.Partitioned = false })
	pause(ctx, part)
	restore()
	e.Phase("errors of one in eight", part)
	for _, b := range f.backendsIn("c") {
		b.SetFault(fake.Fault{Kind: fake.FaultError, Fraction: 0.125})
	}
	pause(ctx, part)
	cancel()
	c := <-clients
	e.AtMost("wrongly_left", float64(f.shiftDeciders()), 0)
	e.measureResults("", c)
	e.Measure("served", c.ServedFraction())
	f.drainAll()
	e.checkAnsweredOnce(recorder, "")
	return nil
}

func zoneBlind(ctx context.Context, e *Env) error {
	recorder := fake.NewEffectRecorder()
	f, err := e.startZoneFleet(ctx, recorder, true, 3)
	if err != nil {
		return err
	}
	load, cancel := context.WithCancel(ctx)
	defer cancel()
	clients := make(chan *fake.ClientResults, 1)
	go func() { clients <- f.runClients(load, "farm", 6, recorder) }()
	part := e.Duration / 4
	e.Phase("no majority, and a zone goes", part)
	f.logEvent("two of three of the council are killed, and zone b is lost")
	f.members[1].kill()
	f.members[2].kill()
	at := time.Now()
	for _, b := range f.backendsIn("b") {
		b.SetFault(fake.Fault{Kind: fake.FaultUnreachable, Fraction: 1})
	}
	pause(ctx, part)
	if n := len(f.exclusionTimes(3, at)); n > 0 {
		e.Fail("%d processes have left the zone, though nobody could decide it", n)
	}
	e.Phase("the majority is back", part)
	for _, p := range f.members[1:3] {
		if err := p.start(); err != nil {
			return err
		}
	}
	back := time.Now()
	if err := f.awaitCondition(ctx, 20*time.Second, "all have left the zone", func() bool { return len(f.exclusionTimes(3, at)) == len(f.members) }); err != nil {
		return err
	}
	e.Measure("left_once_decided_s", time.Since(back).Seconds())
	e.Phase("an operator's word against an automatic return", part)
	if out, err := f.runCommand("tier", "zone", "leave", "farm", "b", f.members[0].addr, "--secret", f.secret); err != nil {
		return fmt.Errorf("zone leave: %w: %s", err, out)
	}
	for _, b := range f.backendsIn("b") {
		b.SetFault(fake.Fault{})
	}
	pinned := time.Now()
	pause(ctx, part)
	if n := len(f.exclusionTimes(0, pinned)); n > 0 {
		e.Fail("%d processes use the zone against an operator's word", n)
	}
	if out, err := f.runCommand("tier", "zone", "return", "farm", "b", f.members[0].addr, "--secret", f.secret); err == nil {
		e.Fail("a return in one step was not refused: %s", out)
	}
	if out, err := f.runCommand("tier", "zone", "leave", "farm", "nowhere", f.members[0].addr, "--secret", f.secret); err == nil {
		e.Fail("an unknown zone was left: %s", out)
	}
	if out, err := f.runCommand("tier", "zone", "auto", "farm", "b", f.members[0].addr, "--secret", f.secret); err != nil {
		return fmt.Errorf("zone auto: %w: %s", err, out)
	}
	if err := f.awaitCondition(ctx, 20*time.Second, "all use the zone again", func() bool { return len(f.exclusionTimes(0, pinned)) == len(f.members) }); err != nil {
		return err
	}
	e.Measure("returned_s", time.Since(pinned).Seconds())
	cancel()
	c := <-clients
	e.measureResults("", c)
	f.drainAll()
	e.checkAnsweredOnce(recorder, "")
	return nil
}

func zoneFlap(ctx context.Context, e *Env) error {
	recorder := fake.NewEffectRecorder()
	f, err := e.startZoneFleet(ctx, recorder, true, 3)
	if err != nil {
		return err
	}
	load, cancel := context.WithTimeout(ctx, e.Duration)
	defer cancel()
	clients := make(chan *fake.ClientResults, 1)
	go func() { clients <- f.runClients(load, "farm", 6, recorder) }()
	e.Phase("the zone goes and comes", e.Duration)
	at := time.Now()
	for pause(load, 1500*time.Millisecond) {
		for _, b := range f.backendsIn("b") {
			b.SetFault(fake.Fault{Kind: fake.FaultUnreachable, Fraction: 1})
		}
		pause(load, 1500*time.Millisecond)
		for _, b := range f.backendsIn("b") {
			b.RestartSlowStart()
			b.SetFault(fake.Fault{})
		}
	}
	c := <-clients
	if n := len(f.exclusionTimes(3, at)); n < len(f.members) {
		e.Fail("%d of %d processes have ever left the zone", n, len(f.members))
	}
	decided := 0
	for _, p := range f.members {
		decided += p.program.CountLog("zone shift decided")
	}
	// Leaving, and for each return two decisions at least; returns come after holds of 1, 2, 4, 8 s and more.
	e.AtMost("epochs", float64(decided), 16)
	sent := int64(0)
	for _, b := range f.backends {
		sent += b.LostRequests()
	}
	e.Measure("dead_sends", float64(sent))
	e.measureResults("", c)
	e.Measure("served", c.ServedFraction())
	f.drainAll()
	e.checkAnsweredOnce(recorder, "")
	return nil
}

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

var grayFailures = []struct {
	name  string
	fault fake.Fault
}{
	{"errors", fake.Fault{Kind: fake.FaultError, Fraction: 0.125}},
	{"lost", fake.Fault{Kind: fake.FaultUnanswered, Fraction: 0.125}},
	{"slow", fake.Fault{Kind: fake.FaultDelay, Fraction: 1, Delay: 360 * time.Millisecond}},
	{"half", fake.Fault{Kind: fake.FaultError, Fraction: 0.5}},
}

// zoneGray measures what it would be worth to leave a zone that fails by half: the same load on it as each process uses it, and with it left by an
// operator's order.
func zoneGray(ctx context.Context, e *Env) error {
	recorder := fake.NewEffectRecorder()
	f, err := e.startZoneFleet(ctx, recorder, true, 3)
	if err != nil {
		return err
	}
	zone := func(args ...string) error {
		out, err := f.runCommand(append([]string{"tier", "zone"}, append(args, f.members[0].addr, "--secret", f.secret)...)...)
		if err != nil {
			return fmt.Errorf("zone %v: %w: %s", args, err, out)
		}
		return nil
	}
	part := e.Duration / time.Duration(2*len(grayFailures)+2)
	gain := 0.0
	for _, load := range []float64{10, 20} { // some 0.3 and 0.6 of what all bear
		for _, k := range grayFailures {
			served := map[bool]float64{}
			for _, left := range []bool{false, true} {
				at := time.Now()
				if left {
					if err := zone("leave", "farm", "b"); err != nil {
						return err
					}
					if err := f.awaitCondition(ctx, 10*time.Second, "all have left the zone", func() bool { return len(f.exclusionTimes(3, at)) == len(f.members) }); err != nil {
						return err
					}
				}
				name := fmt.Sprintf("%s_%.0f_%v", k.name, load, left)
				e.Phase(name, part/2)
				for _, b := range f.backendsIn("b") {
					b.SetFault(k.fault)
				}
				run, cancel := context.WithTimeout(ctx, part/2)
				clients := f.runClients(run, name, load, recorder)
				cancel()
				served[left] = clients.ServedFraction()
				for _, b := range f.backendsIn("b") {
					b.SetFault(fake.Fault{})
				}
				if left {
					back := time.Now()
					if err := zone("return", "farm", "b", "--step", "4", "--force"); err != nil {
						return err
					}
					if err := f.awaitCondition(ctx, 10*time.Second, "all use the zone again", func() bool { return len(f.exclusionTimes(0, back)) == len(f.members) }); err != nil {
						return err
					}
					if err := zone("auto", "farm", "b"); err != nil {
						return err
					}
				}
				calm, cancel := context.WithTimeout(ctx, part/4) // what was learnt of it is forgotten, as far as it can be
				f.runClients(calm, name+"calm", load, recorder)
				cancel()
			}
			e.Measure(fmt.Sprintf("%s_%.0f_used", k.name, load), served[false])
			e.Measure(fmt.Sprintf("%s_%.0f_left", k.name, load), served[true])
			gain = max(gain, served[true]-served[false])
		}
	}
	e.Measure("most_gain", gain)
	f.drainAll()
	e.checkAnsweredOnce(recorder, "")
	return nil
}

// zoneGrayAuto has the fleet find out by itself which zone fails by half.
func zoneGrayAuto(ctx context.Context, e *Env) error {
	const load = 12 // some four requests a second at each zone, by each process
	gain := 0.0
	part := e.Duration / time.Duration(2*len(grayFailures))
	for _, k := range grayFailures {
		served := map[bool]float64{}
		for _, auto := range []bool{false, true} {
			recorder := fake.NewEffectRecorder()
			f, err := e.startZoneFleetWith(ctx, recorder, auto, "grey = true\n")
			if err != nil {
				return err
			}
			e.Phase(fmt.Sprintf("%s, by itself: %v", k.name, auto), part)
			calm, cancel := context.WithTimeout(ctx, 5*time.Second) // what is usual
			f.runClients(calm, k.name+"calm", load, recorder)
			cancel()
			at := time.Now()
			for _, b := range f.backendsIn("b") {
				b.SetFault(k.fault)
			}
			run, cancel := context.WithTimeout(ctx, 2*part)
			clients := f.runClients(run, k.name, load, recorder)
			cancel()
			served[auto] = clients.ServedFraction()
			if auto {
				left := f.exclusionTimes(3, at)
				e.Measure(k.name+"_followed", float64(len(left)))
				if len(left) > 0 {
					e.Measure(k.name+"_left_s", left[len(left)-1].Sub(at).Seconds())
				}
				for _, p := range f.members {
					for _, line := range p.program.LogLines() {
						if LogField(line, "msg") == "zone shift decided" && LogField(line, "zone") != "b" {
							e.Fail("zone %s is decided, and zone b fails", LogField(line, "zone"))
						}
					}
				}
			}
			f.drainAll()
			v := e.CheckRules(recorder)
			e.AtLeast(fmt.Sprintf("%s_%v_answered_once", k.name, auto), float64(v.Answered)/float64(max(1, v.Attempts)), 1)
			e.AtMost(fmt.Sprintf("%s_%v_duplicates", k.name, auto), float64(v.DuplicateEffects), 0)
		}
		e.Measure(k.name+"_served_alone", served[false])
		e.Measure(k.name+"_served", served[true])
		gain += served[true] - served[false]
	}
	e.AtLeast("gain", gain/float64(len(grayFailures)), 0)
	return nil
}
