package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "replica-dead", Duration: 28 * time.Second, Run: replicaDead,
		Summary: "a server dies silently before 30 processes: sends to it with shared state and without, on the same seed",
	})
	Register(Scenario{
		Name: "replica-split", Duration: 12 * time.Second, Run: replicaSplit,
		Summary: "ten processes split in two while servers die and orders are given on one side, and meet again",
	})
	Register(Scenario{
		Name: "replica-return", Duration: 16 * time.Second, Run: replicaReturn,
		Summary: "processes that were killed, stopped, or come back with yesterday's file catch up",
	})
	Register(Scenario{
		Name: "replica-differ", Duration: 14 * time.Second, Run: replicaDiffer,
		Summary: "one name is started again and again, orders are given and lifted over lossy links: one rule settles it everywhere",
	})
	Register(Scenario{
		Name: "replica-liar", Duration: 10 * time.Second, Run: replicaLiar,
		Summary: "one, then two of twelve processes say that all servers are dead: what that costs",
	})
	Register(Scenario{
		Name: "replica-rush", Duration: 28 * time.Second, Run: replicaRush,
		Summary: "processes are killed and started again in the rush while two of nine servers are dead: what each serves in its first three seconds, beside its neighbours",
	})
	Register(Scenario{
		Name: "replica-storm", Duration: 14 * time.Second, Run: replicaStorm,
		Summary: "20 processes under lost, doubled and late messages, stops and kills; ten return at one moment",
	})
}

const (
	defaultSharedState = "gossip = \"50ms\"\nprobe = \"250ms\"\nsync = \"500ms\"\nkeep = \"4s\"\n"
	// convergenceTimeout is by when after the last fault all copies are to be equal.
	convergenceTimeout = 5 * time.Second
)

// sharedState is what a scenario reads of a process' own account of the shared state.
type sharedState struct {
	Incarnation uint64
	Members     map[string]string
	InStepMs    int64 `json:"in_step_ms"`
	DecidedMs   int64 `json:"decided_ms"`
	Hinted      int
	Sums        map[string]uint64
	Figures     struct{ Helped, Turned, Deaths, Suspicions int }
	Refused     struct{ Differ int }
	Zones       []struct {
		Zone  string
		Epoch uint64
		Step  int
	}
	Entries []struct {
		Owner, Key string
		Inc, Seq   uint64
		Values     []string
	}
}

func (f *fleet) sharedState(p *fleetMember) (s sharedState, err error) {
	out, err := f.runCommand("tier", "state", p.addr, "--secret", f.secret, "--json", "--timeout", "2s")
	if err == nil {
		err = json.Unmarshal([]byte(out), &s)
	}
	if err != nil {
		err = fmt.Errorf("tier state of %s: %w: %s", p.name, err, out)
	}
	return s, err
}

// sharedStates asks all processes at once; one that does not answer is left out.
func (f *fleet) sharedStates(members []*fleetMember) map[int]sharedState {
	var mu sync.Mutex
	var asks sync.WaitGroup
	got := map[int]sharedState{}
	slots := make(chan struct{}, 6)
	for _, p := range members {
		asks.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if s, err := f.sharedState(p); err == nil {
				mu.Lock()
				got[p.index] = s
				mu.Unlock()
			}
		})
	}
	asks.Wait()
	return got
}

// versionObserver remembers what each start of each process has shown of each entry, and counts what must not be: a version that goes back, and an
// entry that was gone and is there again as it was. It knows nothing of how copies are merged.
type versionObserver struct {
	fleet          *fleet
	observing      sync.Mutex
	mu             sync.Mutex
	newest         map[string][2]uint64 // by process, start, owner and key
	present        map[string]bool      // there at the last look
	regressions    int
	resurrections  int
	firstViolation string
	observations   int
}

func newVersionObserver(f *fleet) *versionObserver {
	return &versionObserver{fleet: f, newest: map[string][2]uint64{}, present: map[string]bool{}}
}

// observe looks at all processes once. One look is over before the next begins: else what one has seen earlier could be noted later.
func (h *versionObserver) observe() map[int]sharedState {
	h.observing.Lock()
	defer h.observing.Unlock()
	starts := map[int]int{}
	for _, p := range h.fleet.members {
		p.mu.Lock()
		starts[p.index] = p.startCount
		p.mu.Unlock()
	}
	got := h.fleet.sharedStates(h.fleet.members)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observations++
	for i, s := range got {
		p := h.fleet.members[i]
		p.mu.Lock()
		now := p.startCount
		p.mu.Unlock()
		if now != starts[i] {
			continue // it may be another start that answered
		}
		prefix := fmt.Sprintf("%s/%d ", p.name, now)
		there := map[string]bool{}
		for _, e := range s.Entries {
			id := prefix + e.Owner + " " + e.Key
			there[id] = true
			v := [2]uint64{e.Inc, e.Seq}
			last, had := h.newest[id]
			switch {
			case had && (v[0] < last[0] || v[0] == last[0] && v[1] < last[1]):
				h.regressions++
				h.setFirst("%s: version %v after %v", id, v, last)
			case had && v == last && !h.present[id]:
				h.resurrections++
				h.setFirst("%s: version %v was gone, and is there again", id, v)
			}
			h.newest[id] = v
		}
		for id := range h.newest {
			if strings.HasPrefix(id, prefix) {
				h.present[id] = there[id]
			}
		}
	}
	return got
}

func (h *versionObserver) setFirst(format string, args ...any) {
	if h.firstViolation == "" {
		h.firstViolation = fmt.Sprintf(format, args...)
	}
}

// follow looks again and again until ctx ends.
func (h *versionObserver) follow(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for pause(ctx, 700*time.Millisecond) {
			h.observe()
		}
	}()
	return done
}

// differingEntries is how many entries are not the same at all processes, and of how many processes something is known.
func differingEntries(got map[int]sharedState) (entries int) {
	type at struct{ owner, key string }
	seen := map[at]map[string]int{}
	for _, s := range got {
		for _, e := range s.Entries {
			id := at{e.Owner, e.Key}
			if seen[id] == nil {
				seen[id] = map[string]int{}
			}
			seen[id][fmt.Sprint(e.Inc, e.Seq, e.Values)]++
		}
	}
	for _, versions := range seen {
		n := 0
		for _, count := range versions {
			n += count
		}
		if len(versions) > 1 || n != len(got) {
			entries++
		}
	}
	return entries
}

// converge waits until all processes are there to each other and hold the same, and notes how long after the last fault that was.
func (h *versionObserver) converge(ctx context.Context, name string) error {
	f := h.fleet
	from := time.Now()
	var got map[int]sharedState
	err := f.awaitCondition(ctx, 40*time.Second, "all hold the same of all", func() bool {
		got = h.observe()
		if len(got) < len(f.members) || differingEntries(got) > 0 {
			return false
		}
		for _, s := range got {
			for _, state := range s.Members {
				if state != "alive" {
					return false
				}
			}
		}
		return true
	})
	if err != nil {
		var told []string
		for i, s := range got {
			for name, state := range s.Members {
				if state != "alive" {
					told = append(told, fmt.Sprintf("%s holds %s for %s", f.members[i].name, name, state))
				}
			}
		}
		slices.Sort(told)
		return fmt.Errorf("%w: %d entries differ; %s; %w", errNotRecovered, differingEntries(got), strings.Join(told[:min(len(told), 8)], ", "), err)
	}
	took := time.Since(from)
	f.env.Measure(name+"_s", took.Seconds())
	late := 0
	if took > convergenceTimeout {
		late = 1
	}
	f.env.Measure("late_"+name, float64(late))
	return nil
}

// measure notes what the copies have come to. All was well for settleTime before.
func (h *versionObserver) measure() {
	e := h.fleet.env
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.firstViolation != "" {
		e.Fail("%s", h.firstViolation)
	}
	e.AtMost("went_back", float64(h.regressions), 0)
	e.AtMost("resurrected", float64(h.resurrections), 0)
	e.Measure("looks", float64(h.observations))
}

// measureDivergence is how many entries differ settleTime after the last fault. What is on its way at one look is not at all of three.
func (h *versionObserver) measureDivergence(ctx context.Context, since time.Time) {
	pause(ctx, convergenceTimeout-time.Since(since))
	least := 1 << 30
	for range 3 {
		least = min(least, differingEntries(h.observe()))
		if least == 0 {
			break
		}
		pause(ctx, 300*time.Millisecond)
	}
	h.fleet.env.AtMost("diverged", float64(least), 0)
}

// runOrder gives or lifts an order, by any process that reaches the consensus group.
func (f *fleet) runOrder(verb, server string, by *fleetMember) error {
	out, err := f.runCommand("tier", "order", verb, "farm", server, by.addr, "--secret", f.secret)
	if err != nil {
		return fmt.Errorf("order %s %s: %w: %s", verb, server, err, out)
	}
	f.logEvent("order: %s %s", verb, server)
	return nil
}

// runClients has clients ask at all processes until ctx ends, rate operations a second at each, and returns what became of all.
func (f *fleet) runClients(ctx context.Context, name string, rate float64, recorder *fake.EffectRecorder) *fake.ClientResults {
	return f.runClientsAt(ctx, f.members, name, rate, recorder)
}

// runClientsAt does so at some: one that is stopped answers late, which is no fault of its own.
func (f *fleet) runClientsAt(ctx context.Context, members []*fleetMember, name string, rate float64, recorder *fake.EffectRecorder) *fake.ClientResults {
	var mu sync.Mutex
	var all sync.WaitGroup
	var sum *fake.ClientResults
	for _, p := range members {
		addr := p.program.Addr("farm")
		all.Go(func() {
			c := fake.RunClients(ctx, fake.ClientConfig{
				Name: name + p.name, Addr: addr, Host: "farm.example.org", Rate: rate, MaxAttempts: 3, Backoff: 30 * time.Millisecond, HonorRetryAfter: true,
				Classes: []fake.ClassLoad{deliveryOrder, meterBooking, allocationCheck}, Recorder: recorder, Seed: f.env.Seed<<8 + uint64(p.index),
			})
			mu.Lock()
			defer mu.Unlock()
			if sum == nil {
				sum = c
			} else {
				sum = sum.Merge(c)
			}
		})
	}
	all.Wait()
	return sum
}

// checkAnsweredOnce holds the four rules, and that each request had one answer and none a second effect.
func (e *Env) checkAnsweredOnce(recorder *fake.EffectRecorder, prefix string) {
	v := e.CheckRules(recorder)
	e.AtLeast(prefix+"answered_once", float64(v.Answered)/float64(max(1, v.Attempts)), 1)
	e.AtMost(prefix+"duplicates", float64(v.DuplicateEffects), 0)
}

// startSharedStateFleet starts a fleet whose processes share state, or not, and waits until all take part.
func (e *Env) startSharedStateFleet(ctx context.Context, shared bool, cfg fleetConfig) (f *fleet, name string, err error) {
	name = "alone"
	if shared {
		cfg.sharedState, name = defaultSharedState, "shared"
	}
	if f, err = e.startFleet(ctx, cfg); err != nil {
		return nil, "", err
	}
	for _, p := range f.members {
		if err := p.awaitReady(ctx); err != nil {
			return nil, "", err
		}
	}
	return f, name, nil
}

func replicaDead(ctx context.Context, e *Env) error {
	const processes, backends, rate = 30, 10, 1 // quiet ones: where each meets a server seldom, it pays the most for what others know
	type outcome struct {
		lost   int64
		served float64
	}
	results := map[bool]outcome{}
	recorder := fake.NewEffectRecorder()
	for _, shared := range []bool{false, true} {
		f, name, err := e.startSharedStateFleet(ctx, shared, fleetConfig{
			processes: processes, voters: 3, backends: backends, recorder: recorder, subsets: true,
			configureBackend: func(b *fake.BackendConfig) { b.ServiceTime = 15 * time.Millisecond },
		})
		if err != nil {
			return err
		}
		length := e.Duration / 2
		e.Phase("a server dies silently, "+name, length)
		load, cancel := context.WithTimeout(ctx, length+2*time.Second)
		var dead *fake.Backend
		went := make(chan struct{})
		go func() {
			defer close(went)
			if pause(load, 2*time.Second) { // all have met some servers by then: one of those that are used most
				byUse := slices.SortedFunc(slices.Values(f.backends), func(a, b *fake.Backend) int { return int(b.Served() - a.Served()) })
				dead = byUse[int(e.Seed)%3]
				f.logEvent("%s dies", dead.Name())
				dead.SetFault(fake.Fault{Kind: fake.FaultUnreachable, Fraction: 1})
			}
		}()
		clients := f.runClients(load, name, rate, recorder)
		cancel()
		<-went
		results[shared] = outcome{dead.LostRequests(), clients.ServedFraction()}
		e.measureResults(name+"_", clients)
		if shared {
			hinted := 0
			for _, s := range f.sharedStates(f.members) {
				hinted += s.Hinted
			}
			e.Measure("hints", float64(hinted))
		}
		f.drainAll()
	}
	e.checkAnsweredOnce(recorder, "")
	e.Measure("dead_sends_alone", float64(results[false].lost))
	e.Measure("dead_sends", float64(results[true].lost))
	e.AtMost("dead_sends_share", float64(results[true].lost)/float64(max(1, results[false].lost)), 0.7) // of some ten sends: a quarter over many seeds
	e.Measure("served_alone", results[false].served)
	e.AtLeast("served", results[true].served, results[false].served-0.01)
	return nil
}

// replicaRush starts processes again under load, two at a time, while servers are dead that only those know which have met them.
func replicaRush(ctx context.Context, e *Env) error {
	const first = 3 * time.Second // of a process' life, in which it is compared
	recorder := fake.NewEffectRecorder()
	served := map[string]float64{}
	for _, shared := range []bool{false, true} {
		f, name, err := e.startSharedStateFleet(ctx, shared, fleetConfig{
			processes: 10, voters: 3, backends: 9, recorder: recorder, configureBackend: func(b *fake.BackendConfig) { b.ServiceTime = 15 * time.Millisecond },
		})
		if err != nil {
			return err
		}
		e.Phase("killed and started again in the rush, "+name, e.Duration/2)
		warm, cancel := context.WithTimeout(ctx, 2*time.Second)
		f.runClients(warm, name+"warm", 20, recorder)
		cancel()
		for _, b := range f.backends[:2] {
			f.logEvent("%s dies", b.Name())
			b.SetFault(fake.Fault{Kind: fake.FaultUnreachable, Fraction: 1})
		}
		var again, others *fake.ClientResults
		most := 0.0
		for round := range int(e.Duration / 2 / (first + time.Second)) {
			back := map[int]bool{3 + 2*round%7: true, 4 + 2*round%6: true}
			for i := range back {
				f.members[i].kill()
			}
			began := time.Now()
			for i := range back {
				if err := f.members[i].start(); err != nil {
					return err
				}
			}
			for i := range back {
				if err := f.members[i].awaitReady(ctx); err != nil {
					return err
				}
			}
			most = max(most, time.Since(began).Seconds())
			load, cancel := context.WithTimeout(ctx, first)
			var mu sync.Mutex
			var all sync.WaitGroup
			for _, p := range f.members {
				all.Go(func() {
					c := fake.RunClients(load, fake.ClientConfig{
						Name: fmt.Sprint(name, round, p.name), Addr: p.program.Addr("farm"), Host: "farm.example.org", Rate: 30, MaxAttempts: 1,
						Classes: []fake.ClassLoad{deliveryOrder, meterBooking, allocationCheck}, Recorder: recorder, Seed: e.Seed<<16 + uint64(p.index*100+round),
					})
					mu.Lock()
					defer mu.Unlock()
					to := &others
					if back[p.index] {
						to = &again
					}
					if *to == nil {
						*to = c
					} else {
						*to = (*to).Merge(c)
					}
				})
			}
			all.Wait()
			cancel()
		}
		sent := int64(0)
		for _, b := range f.backends {
			sent += b.LostRequests()
		}
		f.drainAll()
		e.Measure(name+"_started_s", most)
		e.Measure(name+"_dead_sends", float64(sent))
		e.Measure(name+"_served_first", again.ServedFraction())
		e.Measure(name+"_served_neighbours", others.ServedFraction())
		e.Measure(name+"_ops_first", float64(again.Operations()))
		served[name] = others.ServedFraction() - again.ServedFraction()
	}
	e.Measure("behind_alone", served["alone"])
	e.AtMost("behind", served["shared"], 0.03) // of some 600 requests: 0.01 over many seeds
	e.checkAnsweredOnce(recorder, "")
	return nil
}

func replicaSplit(ctx context.Context, e *Env) error {
	recorder := fake.NewEffectRecorder()
	f, err := e.startFleet(ctx, fleetConfig{processes: 10, voters: 3, backends: 6, sharedState: defaultSharedState, recorder: recorder})
	if err != nil {
		return err
	}
	h := newVersionObserver(f)
	if err := h.converge(ctx, "started"); err != nil {
		return err
	}
	side := func(i int) bool { return i < 5 } // the consensus group's majority, all of it, is on one side
	part := e.Duration / 2
	load, cancel := context.WithTimeout(ctx, e.Duration)
	defer cancel()
	followed := h.follow(load)
	clients := make(chan *fake.ClientResults, 1)
	go func() { clients <- f.runClients(load, "farm", 5, recorder) }()
	e.Phase("half and half", part)
	f.logEvent("split")
	restore := f.configureProxies(func(a, b int) bool { return side(a) != side(b) }, func(w *fake.FrameFaults) { w.Partitioned = true }, func(w *fake.FrameFaults) { w.Partitioned = false })
	f.backends[0].SetFault(fake.Fault{Kind: fake.FaultUnreachable, Fraction: 1})
	pause(load, part/2)
	if err := f.runOrder("avoid", f.backends[1].Name(), f.members[0]); err != nil {
		return err
	}
	if err := f.runOrder("avoid", f.backends[2].Name(), f.members[1]); err != nil {
		return err
	}
	if err := f.runOrder("lift", f.backends[2].Name(), f.members[1]); err != nil {
		return err
	}
	if out, err := f.runCommand("tier", "order", "avoid", f.backends[3].Name(), f.members[7].addr, "--secret", f.secret, "--timeout", "1s"); err == nil {
		e.Fail("the side without the council's majority has decided something: %s", out)
	}
	pause(load, part/2)
	far, err := f.sharedState(f.members[8])
	if err != nil {
		return err
	}
	e.AtLeast("decided_age_cut_off_s", float64(far.DecidedMs)/1000, (part / 2).Seconds()) // it says how old what it has is
	f.backends[0].SetFault(fake.Fault{})
	restore()
	healed := time.Now()
	f.logEvent("the halves meet again")
	e.Phase("healed", part)
	if err := h.converge(ctx, "converged"); err != nil {
		return err
	}
	h.measureDivergence(ctx, healed)
	<-followed
	c := <-clients
	for _, p := range f.members {
		s, err := f.sharedState(p)
		if err != nil {
			return err
		}
		has := map[string]int{}
		for _, x := range s.Entries {
			if x.Owner == "*council" {
				has[x.Key] = len(x.Values)
			}
		}
		if has["order/farm/"+f.backends[1].Name()] != 1 || has["order/farm/"+f.backends[2].Name()] != 0 {
			e.Fail("%s holds other orders than were given: %v", p.name, has)
		}
	}
	h.measure()
	e.measureResults("", c)
	e.Measure("served", c.ServedFraction())
	e.checkAnsweredOnce(recorder, "")
	f.drainAll()
	return nil
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

func replicaDiffer(ctx context.Context, e *Env) error {
	rng := rand.New(rand.NewPCG(e.Seed, 42))
	f, err := e.startFleet(ctx, fleetConfig{processes: 8, voters: 3, backends: 6, sharedState: defaultSharedState})
	if err != nil {
		return err
	}
	h := newVersionObserver(f)
	if err := h.converge(ctx, "started"); err != nil {
		return err
	}
	load, cancel := context.WithTimeout(ctx, e.Duration)
	defer cancel()
	followed := h.follow(load)
	e.Phase("starts of one name, orders over lossy links", e.Duration)
	restore := f.configureProxies(func(int, int) bool { return true },
		func(w *fake.FrameFaults) {
			w.DropFraction, w.DuplicateFraction, w.Jitter = 0.1, 0.1, 100*time.Millisecond
		},
		func(w *fake.FrameFaults) { w.DropFraction, w.DuplicateFraction, w.Jitter = 0, 0, 0 })
	p := f.members[7]
	ordered := map[string]bool{}
	starts := 0
	for n := 0; load.Err() == nil; n++ {
		p.kill() // again and again, some 100 times a minute
		if err := p.start(); err != nil {
			return err
		}
		starts++
		backend := f.backends[rng.IntN(3)].Name()
		verb := "avoid"
		if ordered[backend] {
			verb = "lift"
		}
		if err := f.runOrder(verb, backend, f.members[rng.IntN(3)]); err == nil {
			ordered[backend] = !ordered[backend]
		} else if s, err := f.sharedState(f.members[0]); err == nil { // the answer was lost: what is so?
			for _, x := range s.Entries {
				if x.Key == "order/farm/"+backend {
					ordered[backend] = len(x.Values) > 0
				}
			}
		}
		pause(load, 400*time.Millisecond)
	}
	restore()
	<-followed
	since := time.Now()
	if err := h.converge(ctx, "converged"); err != nil {
		return err
	}
	h.measureDivergence(ctx, since)
	got := f.sharedStates(f.members)
	incs := map[uint64]bool{}
	differ := 0
	for _, s := range got {
		differ += s.Refused.Differ
		for _, x := range s.Entries {
			if x.Owner == p.name {
				incs[x.Inc] = true
			}
		}
	}
	e.Measure("starts", float64(starts))
	e.AtMost("contents_of_one_version", float64(differ), 0)
	if len(incs) > 1 {
		e.Fail("entries of %d incarnations of %s are held", len(incs), p.name)
	}
	h.measure()
	f.drainAll()
	return nil
}

func replicaLiar(ctx context.Context, e *Env) error {
	served := map[int]float64{}
	recorder := fake.NewEffectRecorder()
	for liarCount := range 3 {
		var names []string
		for i := range 9 {
			names = append(names, fmt.Sprintf("farm/box-%d", i+1))
		}
		f, err := e.startFleet(ctx, fleetConfig{
			processes: 12, voters: 3, backends: 9, sharedState: defaultSharedState, recorder: recorder, subsets: true,
			configureBackend: func(b *fake.BackendConfig) { b.ServiceTime = 15 * time.Millisecond },
			falseReports: func(i int) string {
				if i >= 12-liarCount {
					return strings.Join(names, ",")
				}
				return ""
			},
		})
		if err != nil {
			return err
		}
		if err := newVersionObserver(f).converge(ctx, fmt.Sprintf("started_%d", liarCount)); err != nil {
			return err
		}
		e.Phase(fmt.Sprintf("%d liars", liarCount), e.Duration/3)
		load, cancel := context.WithTimeout(ctx, e.Duration/3)
		clients := f.runClients(load, fmt.Sprintf("l%d", liarCount), 15, recorder)
		cancel()
		served[liarCount] = clients.ServedFraction()
		hinted := 0
		for _, s := range f.sharedStates(f.members) {
			hinted += s.Hinted
		}
		e.Measure(fmt.Sprintf("hints_%d", liarCount), float64(hinted))
		e.Measure(fmt.Sprintf("served_%d", liarCount), clients.ServedFraction())
		f.drainAll()
		if liarCount == 1 && hinted > 0 {
			e.Fail("one liar is believed: %d hints", hinted)
		}
		if liarCount == 2 && hinted == 0 {
			e.Fail("nobody was lied to: nothing was shown")
		}
	}
	e.checkAnsweredOnce(recorder, "")
	e.AtMost("lost_to_one_liar", served[0]-served[1], 0.02)
	e.AtMost("lost_to_two_liars", served[0]-served[2], 0.1)
	return nil
}

func replicaStorm(ctx context.Context, e *Env) error {
	rng := rand.New(rand.NewPCG(e.Seed, 43))
	recorder := fake.NewEffectRecorder()
	f, err := e.startFleet(ctx, fleetConfig{processes: 20, voters: 3, backends: 6, sharedState: defaultSharedState, recorder: recorder})
	if err != nil {
		return err
	}
	h := newVersionObserver(f)
	if err := h.converge(ctx, "started"); err != nil {
		return err
	}
	faults, err := e.chooseFaults(drawFaults(rng, []string{"kill", "stop", "cut", "oneway", "loss", "storm", "split", "truncate", "leave"}, int(e.Duration/(700*time.Millisecond)), 20, e.Duration))
	if err != nil {
		return err
	}
	e.Phase("faults drawn from the seed", e.Duration)
	load, cancel := context.WithCancel(ctx)
	defer cancel()
	followed := h.follow(load)
	f.backends[0].SetFault(fake.Fault{Kind: fake.FaultUnreachable, Fraction: 0.5})
	f.injectFaults(ctx, faults)
	f.backends[0].SetFault(fake.Fault{})
	cancel()
	<-followed
	if err := f.repairAll(ctx); err != nil {
		return err
	}
	since := time.Now()
	if err := h.converge(ctx, "converged"); err != nil {
		return err
	}
	h.measureDivergence(ctx, since)
	e.Phase("ten return at one moment", convergenceTimeout)
	for _, p := range f.members[10:] {
		p.kill()
	}
	at := time.Now()
	for _, p := range f.members[10:] {
		if err := p.start(); err != nil {
			return err
		}
	}
	if err := f.awaitCondition(ctx, 20*time.Second, "all ten have caught up", func() bool {
		got := f.sharedStates(f.members[10:])
		n := 0
		for _, s := range got {
			if s.InStepMs >= 0 {
				n++
			}
		}
		return n == 10
	}); err != nil {
		return err
	}
	e.AtMost("catchup_s", time.Since(at).Seconds(), 10)
	if err := h.converge(ctx, "converged_again"); err != nil {
		return err
	}
	h.measure()
	f.drainAll()
	return nil
}
