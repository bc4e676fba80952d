package e2e

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "lease-quickstart", Duration: 8 * time.Second, Run: leaseQuickstart,
		Summary: "three processes share one task; its holder is killed, then one ends in order",
	})
	Register(Scenario{
		Name: "lease-holders", Duration: 20 * time.Second, Run: leaseHolders,
		Summary: "ten processes, of which five vote, and two tasks, under faults drawn from the seed",
	})
	Register(Scenario{
		Name: "lease-pause", Duration: 20 * time.Second, Run: leasePause,
		Summary: "the holder is stopped for three terms between its look and its act, and goes on",
	})
	Register(Scenario{
		Name: "lease-split", Duration: 20 * time.Second, Run: leaseSplit,
		Summary: "the council of five is split 2 to 3, then 1 to 2 to 2; the leader is cut off from all but a client",
	})
	Register(Scenario{
		Name: "lease-disk", Duration: 20 * time.Second, Run: leaseDisk,
		Summary: "disks that are slow, full, fail once and are lost; a member that lost its own listens until it is replaced",
	})
	Register(Scenario{
		Name: "task-slots", Duration: 20 * time.Second, Run: taskSlots,
		Summary: "tasks of each effect whose answers get lost, while holders are killed, stopped and end in order",
	})
}

func init() {
	Register(Scenario{
		Name: "lease-memory", Duration: 12 * time.Second, Run: leaseMemory,
		Summary: "a council without disks: each process is killed in turn, and votes again under another identity without an operator",
	})
	Register(Scenario{
		Name: "task-bounds", Duration: 14 * time.Second, Run: taskBounds,
		Summary: "six tasks on a pool of plain HTTP, two at once over the fleet, by priority and within a budget, while processes are killed and a lease is handed over",
	})
}

func taskTOML(name, path, every, more string) string {
	return fmt.Sprintf("[[tasks]]\nname = %q\npool = \"farm\"\npath = %q\nevery = %q\ndeadline = \"250ms\"\n%s", name, path, every, more)
}

// takeoverTimes notes how long nobody held a lease after its holder was hit.
type takeoverTimes struct {
	fleet     *fleet
	durations []time.Duration
}

// await waits until another process holds the lease, and notes how long that took from the moment of the fault.
func (t *takeoverTimes) await(ctx context.Context, lease string, was int, at time.Time) error {
	var next leaseSpan
	err := t.fleet.awaitCondition(ctx, 10*time.Second, lease+" is held by another", func() bool {
		for _, s := range t.fleet.leaseSpans(lease) {
			if s.holder != was && s.from.After(at) {
				next = s
				return true
			}
		}
		return false
	})
	if err == nil {
		t.durations = append(t.durations, next.from.Sub(at))
	}
	return err
}

// measure notes the times beside their bound: the term, the drift of two clocks, one election and a tick.
func (t *takeoverTimes) measure(name string, most time.Duration) {
	if len(t.durations) == 0 {
		t.fleet.env.Fail("%s: nothing was taken over", name)
		return
	}
	slices.Sort(t.durations)
	t.fleet.env.Measure(name+"_takeover_p50_s", t.durations[len(t.durations)/2].Seconds())
	t.fleet.env.AtMost(name+"_takeover_most_s", t.durations[len(t.durations)-1].Seconds(), most.Seconds())
}

// maxTakeover is the bound after a holder was killed: a term by the slowest clock, counted anew by a new leader, an election of at most
// twenty ticks, and some for the machine.
const maxTakeover = leaseTTL + leaseTTL/10 + 20*consensusTick + 500*time.Millisecond

func leaseQuickstart(ctx context.Context, e *Env) error {
	f, err := e.startFleet(ctx, fleetConfig{processes: 3, voters: 3, tasks: taskTOML("sweep", "/delivery-order/sweep", "100ms", "")})
	if err != nil {
		return err
	}
	const lease = "task/sweep"
	e.Phase("three processes, one task", e.Duration)
	if err := f.settle(ctx, lease); err != nil {
		return err
	}
	from := time.Now()
	load, cancel := context.WithTimeout(ctx, e.Duration)
	defer cancel()
	holderLog := f.logHolders(load, lease)
	killed, left := takeoverTimes{fleet: f}, takeoverTimes{fleet: f}
	for n := 0; load.Err() == nil; n++ {
		was := f.leaseHolder(lease)
		if was < 0 {
			if err := f.settle(ctx, lease); err != nil {
				return err
			}
			continue
		}
		p := f.members[was]
		at := time.Now()
		if n%2 == 0 {
			f.logEvent("%s holds it, and is killed", p.name)
			p.kill()
			if err := killed.await(ctx, lease, was, at); err != nil {
				return err
			}
		} else {
			f.logEvent("%s holds it, and ends in order", p.name)
			p.mu.Lock()
			p.running = false
			p.mu.Unlock()
			go func() { _ = p.program.Stop() }()
			if err := left.await(ctx, lease, was, at); err != nil {
				return err
			}
			if err := p.program.Stop(); err != nil {
				return err
			}
		}
		if err := p.start(); err != nil {
			return err
		}
		pause(load, time.Second)
	}
	<-holderLog
	to := time.Now()
	if err := f.settle(ctx, lease); err != nil {
		return err
	}
	f.measureFencing(map[string]fake.Idempotency{"sweep": fake.IdempotentByKey}, from, to)
	killed.measure("killed", maxTakeover)
	left.measure("left", time.Second)
	f.drainAll()
	return nil
}

// logHolders shows on a terminal who holds what, until ctx ends.
func (f *fleet) logHolders(ctx context.Context, lease string) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		last := ""
		for ctx.Err() == nil {
			var row []string
			for _, s := range f.leaseSpans(lease) {
				if s.to.IsZero() {
					row = append(row, fmt.Sprintf("%s by %d", f.members[s.holder].name, s.token))
				}
			}
			if now := strings.Join(row, ", "); now != last {
				last = now
				f.logEvent("%s is held by: %s", lease, now)
			}
			pause(ctx, 50*time.Millisecond)
		}
	}()
	return done
}

func leaseHolders(ctx context.Context, e *Env) error {
	rng := rand.New(rand.NewPCG(e.Seed, 31))
	f, err := e.startFleet(ctx, fleetConfig{
		processes: 10, voters: 5,
		tasks:     taskTOML("sweep", "/delivery-order/sweep", "50ms", "") + taskTOML("book", "/meter-booking/book", "70ms", "missed = \"skip\"\n"),
		clockRate: func(i int) float64 { return []float64{1, 1 - clockDrift, 1 + clockDrift, 1.02, 0.98}[i%5] },
	})
	if err != nil {
		return err
	}
	faults, err := e.chooseFaults(drawFaults(rng, fleetFaultKinds, int(e.Duration/(700*time.Millisecond)), 10, e.Duration))
	if err != nil {
		return err
	}
	e.Phase("faults drawn from the seed", e.Duration)
	from := time.Now()
	f.injectFaults(ctx, faults)
	to := time.Now()
	for _, lease := range []string{"task/sweep", "task/book"} {
		if err := f.settle(ctx, lease); err != nil {
			return err
		}
	}
	f.measureFencing(map[string]fake.Idempotency{"sweep": fake.IdempotentByKey, "book": fake.NonIdempotent}, from, to)
	f.drainAll()
	return nil
}

func leasePause(ctx context.Context, e *Env) error {
	f, err := e.startFleet(ctx, fleetConfig{processes: 5, voters: 3, tasks: taskTOML("sweep", "/delivery-order/sweep", "20ms", "")})
	if err != nil {
		return err
	}
	const lease = "task/sweep"
	if err := f.settle(ctx, lease); err != nil {
		return err
	}
	e.Phase("the holder is stopped for three terms, again and again", e.Duration)
	from := time.Now()
	t := takeoverTimes{fleet: f}
	for began := time.Now(); time.Since(began) < e.Duration; {
		was := f.leaseHolder(lease)
		if was < 0 {
			pause(ctx, 20*time.Millisecond)
			if ctx.Err() != nil {
				return ctx.Err()
			}
			continue
		}
		at := time.Now()
		p := f.members[was]
		f.logEvent("%s holds it, and is stopped", p.name)
		p.program.Signal(syscall.SIGSTOP)
		err := t.await(ctx, lease, was, at)
		pause(ctx, 3*leaseTTL-time.Since(at))
		p.program.Signal(syscall.SIGCONT)
		f.logEvent("%s goes on", p.name)
		if err != nil {
			return err
		}
		pause(ctx, 500*time.Millisecond)
	}
	to := time.Now()
	if err := f.settle(ctx, lease); err != nil {
		return err
	}
	f.measureFencing(map[string]fake.Idempotency{"sweep": fake.IdempotentByKey}, from, to)
	t.measure("stopped", maxTakeover)
	f.drainAll()
	return nil
}

func leaseSplit(ctx context.Context, e *Env) error {
	f, err := e.startFleet(ctx, fleetConfig{processes: 7, voters: 5, tasks: taskTOML("sweep", "/delivery-order/sweep", "50ms", "")})
	if err != nil {
		return err
	}
	const lease = "task/sweep"
	if err := f.settle(ctx, lease); err != nil {
		return err
	}
	from := time.Now()
	cut, join := func(w *fake.FrameFaults) { w.Partitioned = true }, func(w *fake.FrameFaults) { w.Partitioned = false }
	part := e.Duration / 4
	splits := []struct {
		what string
		side func(i int) int
		most bool // one side has a majority
	}{
		{"2 to 3, clients with the majority", func(i int) int { return boolToInt(i >= 2) }, true},
		{"1 to 2 to 2", func(i int) int { return []int{0, 1, 1, 2, 2, 1, 2}[i] }, false},
		{"the leader with one client", func(i int) int { return boolToInt(i == f.consensusLeader() || i == 6) }, true},
		{"3 to 2, the holder with the minority", func(i int) int { return boolToInt(i == f.leaseHolder(lease) || i == (f.leaseHolder(lease)+1)%5) }, true},
	}
	for _, s := range splits {
		f.logEvent("split %s", s.what)
		e.Phase("split "+s.what, part)
		sides := make([]int, len(f.members))
		for i := range sides {
			sides[i] = s.side(i)
		}
		restore := f.configureProxies(func(a, b int) bool { return sides[a] != sides[b] }, cut, join)
		at := time.Now()
		pause(ctx, max(part*3/4, maxTakeover)) // before, nobody need have it
		held := f.leaseHolder(lease)
		if s.most && held < 0 {
			e.Fail("split %s: nobody holds %s after %v though a majority stands", s.what, lease, time.Since(at).Round(time.Millisecond))
		}
		if !s.most && held >= 0 {
			e.Fail("split %s: %s holds %s %v later, though no majority stands", s.what, f.members[held].name, lease, time.Since(at).Round(time.Millisecond))
		}
		restore()
		if err := f.settle(ctx, lease); err != nil {
			return err
		}
		pause(ctx, part/4)
	}
	f.measureFencing(map[string]fake.Idempotency{"sweep": fake.IdempotentByKey}, from, time.Now())
	f.drainAll()
	return nil
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// consensusLeader is who leads the consensus group by the newest word of the logs, 0 if none is known.
func (f *fleet) consensusLeader() int {
	best, term := 0, 0
	for _, p := range f.members {
		for _, line := range p.program.LogLines() {
			if LogField(line, "msg") != "consensus leader elected" {
				continue
			}
			t, err := strconv.Atoi(LogField(line, "term"))
			if err != nil {
				continue
			}
			if t > term {
				for _, q := range f.members {
					if q.name == LogField(line, "leader") {
						best, term = q.index, t
					}
				}
			}
		}
	}
	return best
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

func taskSlots(ctx context.Context, e *Env) error {
	rng := rand.New(rand.NewPCG(e.Seed, 33))
	f, err := e.startFleet(ctx, fleetConfig{
		processes: 5, voters: 3,
		tasks: taskTOML("keyed", "/delivery-order/keyed", "60ms", "missed = \"each\"\n") + taskTOML("unsafe", "/meter-booking/unsafe", "70ms", "missed = \"once\"\n") +
			taskTOML("safe", "/allocation-check/safe", "80ms", "method = \"GET\"\nmissed = \"skip\"\n"),
	})
	if err != nil {
		return err
	}
	tasks := map[string]fake.Idempotency{"keyed": fake.IdempotentByKey, "unsafe": fake.NonIdempotent, "safe": fake.Idempotent}
	for name := range tasks {
		if err := f.settle(ctx, "task/"+name); err != nil {
			return err
		}
	}
	e.Phase("answers get lost, and holders with them", e.Duration)
	f.backends[0].SetFault(fake.Fault{Kind: fake.FaultUnanswered, Fraction: 0.1})
	f.backends[1].SetFault(fake.Fault{Kind: fake.FaultReset, Fraction: 0.1})
	f.backends[2].SetFault(fake.Fault{Kind: fake.FaultReject, Fraction: 0.1})
	from := time.Now()
	var all []FleetFault
	for i := range int(e.Duration / (2 * time.Second)) {
		all = append(all, FleetFault{
			At: time.Duration(i) * 2 * time.Second, Kind: []string{"kill", "stop", "leave"}[rng.IntN(3)], Member: rng.IntN(5),
			Duration: 300*time.Millisecond + time.Duration(rng.Int64N(int64(2*leaseTTL))),
		})
	}
	faults, err := e.chooseFaults(all)
	if err != nil {
		return err
	}
	f.injectFaults(ctx, faults)
	for _, b := range f.backends {
		b.SetFault(fake.Fault{})
	}
	to := time.Now()
	for name := range tasks {
		if err := f.settle(ctx, "task/"+name); err != nil {
			return err
		}
	}
	pause(ctx, time.Second)
	f.measureFencing(tasks, from, to)
	f.drainAll()
	return nil
}

// voters are the identities that vote, by the account of the first process that tells.
func (f *fleet) voters() []uint64 {
	for _, p := range f.members[:f.cfg.voters] {
		if s, err := f.status(p); err == nil && s.Council != nil && s.Council.Fleet != nil {
			return s.Council.Voters
		}
	}
	return nil
}

func leaseMemory(ctx context.Context, e *Env) error {
	f, err := e.startFleet(ctx, fleetConfig{processes: 4, voters: 3, votersInMemory: true, tasks: taskTOML("sweep", "/delivery-order/sweep", "50ms", "")})
	if err != nil {
		return err
	}
	const lease = "task/sweep"
	if err := f.settle(ctx, lease); err != nil {
		return err
	}
	if out, err := f.runCommand("tier", "found", f.members[1].addr, "--secret", f.secret); err == nil {
		e.Fail("a second fleet was founded: %s", out)
	}
	from := time.Now()
	e.Phase("each member is killed in turn", e.Duration)
	var took []time.Duration
	for n := 0; time.Since(from) < e.Duration || n < 3; n++ {
		before := f.voters()
		p := f.members[n%3]
		f.logEvent("%s is killed, and what it promised with it", p.name)
		at := time.Now()
		p.kill()
		if err := p.start(); err != nil {
			return err
		}
		if err := f.awaitCondition(ctx, 15*time.Second, p.name+" votes under another identity", func() bool {
			now := f.voters()
			return len(now) == 3 && !slices.Equal(now, before)
		}); err != nil {
			return err
		}
		took = append(took, time.Since(at))
		f.logEvent("%s votes again: %v", p.name, f.voters())
		if err := f.settle(ctx, lease); err != nil {
			return err
		}
	}
	slices.Sort(took)
	e.Measure("votes_again_p50_s", took[len(took)/2].Seconds())
	e.Measure("votes_again_most_s", took[len(took)-1].Seconds())
	f.measureFencing(map[string]fake.Idempotency{"sweep": fake.IdempotentByKey}, from, time.Now())
	f.drainAll()
	return nil
}

func taskBounds(ctx context.Context, e *Env) error {
	const atOnce, allowed = 2, 5
	tasks, effects := "", map[string]fake.Idempotency{}
	for i := range 6 {
		name := fmt.Sprint("work", i)
		effects[name] = fake.IdempotentByKey
		more := fmt.Sprintf("method = \"POST\"\npriority = %d\n", i)
		if i == 5 {
			more += fmt.Sprintf("[tasks.budget]\nper = \"2s\"\nrequests = %d\n", allowed)
		}
		tasks += taskTOML(name, "/delivery-order/"+name, "40ms", more)
	}
	f, err := e.startFleet(ctx, fleetConfig{
		processes: 5, voters: 3, ordinaryHTTP: true, tasks: tasks, fleetKeys: fmt.Sprintf("tasks_at_once = %d\n", atOnce),
		configureBackend: func(b *fake.BackendConfig) { b.ServiceTime, b.LoadReporting = 20*time.Millisecond, fake.ReportNone },
	})
	if err != nil {
		return err
	}
	for name := range effects {
		if err := f.settle(ctx, "task/"+name); err != nil {
			return err
		}
	}
	const lease = "task/work0"
	was := f.leaseHolder(lease)
	if was < 0 {
		return fmt.Errorf("%w: nobody holds %s", errNotRecovered, lease)
	}
	to := f.members[(was+1)%5]
	if out, err := f.runCommand("tier", "lease", "handover", lease, to.name, f.members[was].addr, "--secret", f.secret); err != nil {
		return fmt.Errorf("handover: %w: %s", err, out)
	}
	asked := time.Now()
	if err := f.awaitCondition(ctx, 5*time.Second, "the lease goes to "+to.name, func() bool { return f.leaseHolder(lease) == to.index }); err != nil {
		return err
	}
	e.Measure("handover_s", time.Since(asked).Seconds())
	rng := rand.New(rand.NewPCG(e.Seed, 34))
	faults, err := e.chooseFaults(drawFaults(rng, []string{"kill", "leave", "cut"}, int(e.Duration/(2*time.Second)), 5, e.Duration))
	if err != nil {
		return err
	}
	e.Phase("processes are killed, cut off and end in order", e.Duration)
	from := time.Now()
	f.injectFaults(ctx, faults)
	for name := range effects {
		if err := f.settle(ctx, "task/"+name); err != nil {
			return err
		}
	}
	f.measureFencing(effects, from, time.Now())
	v := f.resource.Verdict(func(string) bool { return true })
	e.AtMost("most_at_once", float64(v.MaxConcurrent), atOnce)
	s, err := f.status(f.members[0])
	if err != nil {
		return err
	}
	if s.Council == nil || s.Council.Fleet == nil {
		return fmt.Errorf("%w: %s does not tell the state", errNotRecovered, f.members[0].name)
	}
	done := func(task string) float64 { return float64(s.Council.Fleet.Slots.Tasks[task].Counts["done"]) }
	e.Measure("done_of_least_priority", done("work0"))
	e.Measure("done_of_most_priority", done("work4"))
	if done("work4") < done("work0") {
		e.Fail("what matters most was done less often than what matters least")
	}
	periods := math.Ceil(time.Since(f.started).Seconds()/2) + 1
	// One slot may overdraw each period: three tries.
	e.AtMost("budgeted", done("work5"), periods*(allowed+3))
	f.drainAll()
	return nil
}
