package fleet

import (
	"context"
	"fmt"
	"maps"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/gossip"
	"sorrelrudder/internal/zonefailover"
)

// farmPools stand for a process' pools: they note what they are told, and see what the test has them see.
type farmPools struct {
	servers
	mu     sync.Mutex
	silent func(pool, server string, is bool)
	hints  map[string]int
	avoid  map[string]bool
	back   map[string]bool // servers that count as cold
	refuse bool            // the orders would leave no server
	zones  map[string]string
	down   map[string]bool // zones
}

func newFarm() *farmPools { return &farmPools{hints: map[string]int{}} }

var _ Pools = (*farmPools)(nil)

func (f *farmPools) OnReachabilityChange(s func(pool, server string, is bool)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = s
}

func (f *farmPools) HintUnreachable(pool, server string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hints[pool+"/"+server]++
}

func (f *farmPools) ExcludeEndpoints(_ string, servers, returning, _ map[string]bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.avoid, f.back = maps.Clone(servers), maps.Clone(returning)
	return !f.refuse
}

func (f *farmPools) PoolNames() []string { return []string{"farm"} }

func (f *farmPools) ReadyEndpoints(string) map[string]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.zones)
}

func (f *farmPools) CheckHealth(_, server string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.down[f.zones[server]]
}

func (f *farmPools) AttemptOutcomes(string, func(string, int64, int64, time.Duration)) {}

func (f *farmPools) sees(server string, silent bool) {
	f.mu.Lock()
	s := f.silent
	f.mu.Unlock()
	s("farm", server, silent)
}

func (f *farmPools) hinted(server string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hints["farm/"+server]
}

func (f *farmPools) avoids(server string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.avoid[server]
}

func sharing(t *testing.T) []Config {
	t.Helper()
	cfgs := fleet(t, 3)
	for i := range cfgs {
		cfgs[i].SharedState = &SharedStateConfig{
			GossipInterval: 20 * time.Millisecond, PingInterval: 200 * time.Millisecond, SyncInterval: 200 * time.Millisecond, DeadRetention: time.Second, Fanout: 2, ReporterQuorum: 2, CatchUpBudget: 1 << 20,
			Store: filepath.Join(t.TempDir(), "copies"),
		}
	}
	return cfgs
}

// state asks a process as an operator does.
func state(t *testing.T, tr *Host, cfg Config) *SharedStateStatus {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	o, err := Connect(ctx, tr.Addr(), cfg.Secret)
	if err != nil {
		t.Fatal(err)
	}
	defer o.Close()
	s, err := o.Status(ctx)
	if err != nil || s.SharedState == nil {
		t.Fatalf("%v, %+v", err, s)
	}
	return s.SharedState
}

func order(t *testing.T, tr *Host, cfg Config, c consensus.DecisionCommand) consensus.DecisionResult {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	o, err := Connect(ctx, tr.Addr(), cfg.Secret)
	if err != nil {
		t.Fatal(err)
	}
	defer o.Close()
	r, err := o.Request(ctx, consensus.Request{Decision: &c})
	if err != nil || r.Decision == nil {
		t.Fatalf("%+v, %v", r, err)
	}
	return *r.Decision
}

// TestSharedState: what two processes find silent a third is hinted at, and one alone is not believed; an order reaches all, also one that was
// away when it was given; what is taken back, or lifted, counts no more.
func TestSharedState(t *testing.T) {
	cfgs := sharing(t)
	farms := []*farmPools{newFarm(), newFarm(), newFarm()}
	var all []*Host
	for i, cfg := range cfgs {
		all = append(all, start(t, cfg, farms[i]))
	}
	defer func() {
		for _, tr := range all {
			tr.Close()
		}
	}()
	eventually(t, "all are there to each other", func() bool {
		for i, tr := range all {
			for _, s := range state(t, tr, cfgs[i]).Members {
				if s != gossip.Alive.String() {
					return false
				}
			}
		}
		return true
	})
	farms[0].sees("box", true)
	eventually(t, "the others have its word", func() bool { return len(state(t, all[2], cfgs[2]).Entries) == 1 })
	farms[1].sees("box", true)
	eventually(t, "the third is hinted at it", func() bool { return farms[2].hinted("box") > 0 })
	if n := farms[0].hinted("box"); n > 0 {
		t.Errorf("one that found it out itself is hinted at it")
	}
	farms[1].sees("box", false)
	eventually(t, "it is taken back", func() bool { return len(state(t, all[2], cfgs[2]).Hints) == 0 })

	key := gossip.PoolKey(consensus.OperatorKind, "farm", "box")
	if r := order(t, all[1], cfgs[1], consensus.DecisionCommand{Key: key, Withdraw: true}); r.Refusal == "" {
		t.Error("an order that was not given was lifted")
	}
	all[2].Close()
	if r := order(t, all[1], cfgs[1], consensus.DecisionCommand{Key: key, Value: "patched"}); r.Refusal != "" || r.Number != 1 {
		t.Errorf("%+v", r)
	}
	eventually(t, "those that are there carry it out", func() bool { return farms[0].avoids("box") && farms[1].avoids("box") })
	farms[2] = newFarm()
	all[2] = start(t, cfgs[2], farms[2])
	eventually(t, "and one that comes back", func() bool { return farms[2].avoids("box") })
	eventually(t, "it knows as of when it has all", func() bool {
		s := state(t, all[2], cfgs[2])
		return s.DecidedMs >= 0 && s.InStepMs >= 0
	})
	order(t, all[0], cfgs[0], consensus.DecisionCommand{Key: key, Withdraw: true})
	eventually(t, "it is lifted everywhere", func() bool {
		return !farms[0].avoids("box") && !farms[1].avoids("box") && !farms[2].avoids("box")
	})
	for _, f := range farms {
		f.mu.Lock()
		f.refuse = true
		f.mu.Unlock()
	}
	order(t, all[0], cfgs[0], consensus.DecisionCommand{Key: key})
	eventually(t, "what can't be carried out is told", func() bool { return len(state(t, all[0], cfgs[0]).NotApplied) == 1 })
}

// TestKeptCopies: what a process has kept it has at its next start; a file that is damaged, or another's, is put aside and costs nothing.
func TestKeptCopies(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "copies")
	k := &sharedState{cfg: SharedStateConfig{Store: file}}
	fresh := func() {
		cfg := gossip.DefaultConfig()
		cfg.Name, cfg.Members, cfg.Kinds, cfg.DecidedKinds = "p", []string{"p", "q"}, []string{gossip.UnreachableKind}, consensus.DecisionKinds
		k.node = gossip.New(0, cfg)
	}
	fresh()
	k.node.ApplyDecision("order/farm/box", 4, []byte("x"))
	k.node.Put("dead/farm/own", nil)
	inc := k.node.Incarnation()
	data := k.snapshot("p")
	if err := writeFileAtomically(file, data); err != nil {
		t.Fatal(err)
	}
	fresh()
	if err := k.restore(0, "p"); err != nil || k.loaded != 1 {
		t.Fatalf("%d, %v", k.loaded, err)
	}
	if e, ok := k.node.Store().Get(gossip.ConsensusOwner, "order/farm/box"); !ok || e.Sequence != 4 {
		t.Errorf("%+v", e)
	}
	if k.node.Incarnation() <= inc {
		t.Error("the next start does not write above the last one")
	}
	for name, bad := range map[string][]byte{"cut": data[:len(data)/2], "flipped": append([]byte{data[0] ^ 1}, data[1:]...), "empty": {}} {
		if err := os.WriteFile(file, bad, 0o600); err != nil {
			t.Fatal(err)
		}
		fresh()
		if err := k.restore(0, "p"); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if _, err := os.Stat(file); !os.IsNotExist(err) {
			t.Errorf("%s: the file is still there", name)
		}
	}
	if err := writeFileAtomically(file, data); err != nil {
		t.Fatal(err)
	}
	fresh()
	if err := k.restore(0, "q"); err != nil || len(k.node.Store().TakeChanges()) > 0 {
		t.Errorf("another's file: %v", err)
	}
	if left, err := filepath.Glob(file + ".new-*"); err != nil || len(left) > 0 {
		t.Errorf("%v is left behind", left)
	}
}

// FuzzKept: whatever stands in the file, the process starts.
func FuzzKept(f *testing.F) {
	f.Add([]byte("x"))
	f.Fuzz(func(t *testing.T, data []byte) {
		file := filepath.Join(t.TempDir(), "copies")
		if err := os.WriteFile(file, sealFile(data), 0o600); err != nil {
			t.Fatal(err)
		}
		cfg := gossip.DefaultConfig()
		cfg.Name, cfg.Members, cfg.Kinds, cfg.DecidedKinds = "p", []string{"p", "q"}, []string{gossip.UnreachableKind}, consensus.DecisionKinds
		k := &sharedState{cfg: SharedStateConfig{Store: file}, node: gossip.New(0, cfg)}
		if err := k.restore(0, "p"); err != nil {
			t.Fatal(err)
		}
	})
}

// TestZoneLeft: a zone whose servers are silent to members of two zones is left by all, once, by what one decides; it is returned to step by step
// once it answers, and an operator's word holds against that.
func TestZoneLeft(t *testing.T) {
	cfgs := sharing(t)
	zones := map[string]string{}
	for i, cfg := range cfgs {
		zones[cfg.Name] = string(rune('a' + i))
	}
	rules := zonefailover.DefaultRules()
	rules.StepDuration, rules.HoldDown = 100*time.Millisecond, 100*time.Millisecond
	var farms []*farmPools
	var all []*Host
	for i := range cfgs {
		cfgs[i].Zones = &ZonesConfig{Automatic: ZonesOn, Rules: rules, Members: zones}
		f := newFarm()
		f.zones, f.down = map[string]string{}, map[string]bool{}
		for _, z := range []string{"a", "b", "c"} {
			for n := range 4 {
				f.zones[fmt.Sprint(z, n)] = z
			}
		}
		farms = append(farms, f)
		all = append(all, start(t, cfgs[i], f))
	}
	defer func() {
		for _, tr := range all {
			tr.Close()
		}
	}()
	avoided := func(n int) func() bool {
		return func() bool {
			for _, f := range farms {
				f.mu.Lock()
				has := len(f.avoid)
				f.mu.Unlock()
				if has != n {
					return false
				}
			}
			return true
		}
	}
	eventually(t, "all are there to each other", func() bool {
		return state(t, all[0], cfgs[0]).InStepMs >= 0 && len(state(t, all[0], cfgs[0]).Zones) == 3
	})
	for _, f := range farms {
		f.mu.Lock()
		f.down["b"] = true
		f.mu.Unlock()
	}
	for _, f := range farms[:2] {
		for n := range 4 {
			f.sees(fmt.Sprint("b", n), true)
		}
	}
	eventually(t, "all have left it", avoided(4))
	for _, f := range farms[:2] {
		for n := range 4 {
			f.sees(fmt.Sprint("b", n), false)
		}
	}
	epoch := state(t, all[0], cfgs[0]).Zones[1].Epoch
	for _, f := range farms {
		f.mu.Lock()
		f.down["b"] = false
		f.mu.Unlock()
	}
	steps := map[int]bool{}
	eventually(t, "all use it wholly again", func() bool {
		for i, tr := range all {
			z := state(t, tr, cfgs[i]).Zones[1]
			steps[z.Step] = true
			if z.Epoch < epoch {
				t.Errorf("the epoch goes back from %d to %d", epoch, z.Epoch)
			}
		}
		return avoided(0)()
	})
	if !steps[1] && !steps[2] && !steps[3] {
		t.Errorf("it was returned to at once: steps %v", steps)
	}
	key := gossip.PoolKey(consensus.ZoneKind, "farm", "c")
	order(t, all[0], cfgs[0], consensus.DecisionCommand{Key: key, Value: zonefailover.State{Manual: true, Reason: "an operator"}.Encode()})
	eventually(t, "all leave it by order", avoided(4))
	if r := order(t, all[0], cfgs[0], consensus.DecisionCommand{Key: key, Value: zonefailover.State{Step: 1}.Encode(), Token: 1, BasedOn: 1}); r.Refusal == "" {
		t.Error("a holder that has not heard of the operator's word decides against it")
	}
}

// TestStartedWhileAZoneIsCold guards against a process that starts after the last step of a return and takes the zone's servers for warm,
// where no list tells their start: it has not seen the zone left. Once the fleet has decided that they are warm, it does.
func TestStartedWhileAZoneIsCold(t *testing.T) {
	cfgs := sharing(t)
	zones := map[string]string{}
	for i, cfg := range cfgs {
		zones[cfg.Name] = string(rune('a' + i))
	}
	var all []*Host
	farm := func() *farmPools {
		f := newFarm()
		f.zones, f.down = map[string]string{"a0": "a", "b0": "b", "b1": "b", "c0": "c"}, map[string]bool{}
		return f
	}
	for i := range cfgs {
		cfgs[i].Zones = &ZonesConfig{Automatic: ZonesOff, Rules: zonefailover.DefaultRules(), Members: zones}
		all = append(all, start(t, cfgs[i], farm()))
	}
	defer func() {
		for _, tr := range all {
			tr.Close()
		}
	}()
	key := gossip.PoolKey(consensus.ZoneKind, "farm", "b")
	for _, cold := range []bool{true, false} {
		eventually(t, "all are there to each other", func() bool {
			return state(t, all[0], cfgs[0]).InStepMs >= 0 && len(state(t, all[0], cfgs[0]).Zones) == 3
		})
		s := zonefailover.State{Step: zonefailover.FullStep, WarmingUp: cold, Reason: "a step was borne"}
		if r := order(t, all[0], cfgs[0], consensus.DecisionCommand{Key: key, Value: s.Encode()}); r.Refusal != "" {
			t.Fatal(r.Refusal)
		}
		epoch := state(t, all[0], cfgs[0]).Zones[1].Epoch
		all[2].Close()
		late := farm()
		all[2] = start(t, cfgs[2], late)
		heard := func() bool {
			z := state(t, all[2], cfgs[2]).Zones
			return len(z) == 3 && z[1].Epoch >= epoch && z[1].WarmingUp == cold
		}
		eventually(t, "the one that has started to hear of it", heard)
		counts := func() map[string]bool {
			late.mu.Lock()
			defer late.mu.Unlock()
			return maps.Clone(late.back)
		}
		if cold {
			eventually(t, "its servers to count as cold", func() bool { return maps.Equal(counts(), map[string]bool{"b0": true, "b1": true}) })
		} else if back := counts(); len(back) > 0 {
			t.Errorf("%v count as cold for good", back)
		}
	}
}

// TestVanishedEnd: the other end of a link vanishes without a word, and its connection stays open and swallows what is sent: the link is made
// anew within seconds, not after a minute of silence.
func TestVanishedEnd(t *testing.T) {
	secret := []byte("0123456789abcdef")
	ln, err := net.Listen("tcp", freeAddr(t))
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	got := make(chan int, 64) // the number of the connection on which a frame came
	var open sync.WaitGroup
	open.Go(func() {
		for n := 1; ; n++ {
			raw, err := ln.Accept()
			if err != nil {
				return
			}
			open.Go(func() {
				defer raw.Close()
				c, err := acceptConn(raw, secret, hello{Name: "q"}, func(hello) error { return nil })
				if err != nil {
					return
				}
				for {
					kind, _, err := c.read(maxFrameBytes)
					if err != nil {
						return
					}
					if kind == kindGossip {
						got <- n
					}
					if kind == kindPing && n > 1 { // the first connection is one whose end has vanished
						if c.write(kindPong, nil) != nil {
							return
						}
					}
				}
			})
		}
	})
	l := newLink(ln.Addr().String(), secret, func() hello { return hello{Name: "p", To: "q"} }, func(*conn, byte, []byte) {}, func(error) {})
	ctx, cancel := context.WithCancel(t.Context())
	open.Go(func() { l.run(ctx) })
	began := time.Now()
	eventually(t, "frames come by another connection", func() bool {
		l.send(kindGossip, nil)
		select {
		case n := <-got:
			return n > 1
		default:
			return false
		}
	})
	if took := time.Since(began); took > idleTimeout/2 {
		t.Errorf("only after %v", took)
	}
	cancel()
	ln.Close()
	open.Wait()
}

// TestFoundedAnew: the disks of the council are lost and the fleet is founded anew, as the operators' page has it, so that its decisions are
// numbered from 1 again. What the processes have kept of the former fleet's, of larger numbers, must not outweigh them.
func TestFoundedAnew(t *testing.T) {
	cfgs := sharing(t)
	var farms []*farmPools
	var all []*Host
	begin := func() {
		farms, all = nil, nil
		for _, cfg := range cfgs {
			f := newFarm()
			farms, all = append(farms, f), append(all, start(t, cfg, f))
		}
	}
	begin()
	key := gossip.PoolKey(consensus.OperatorKind, "farm", "box")
	other := gossip.PoolKey(consensus.OperatorKind, "farm", "other")
	for range 3 {
		order(t, all[0], cfgs[0], consensus.DecisionCommand{Key: key, Value: "patched"})
		order(t, all[0], cfgs[0], consensus.DecisionCommand{Key: other, Value: "patched"})
	}
	eventually(t, "all carry it out", func() bool {
		return farms[0].avoids("box") && farms[1].avoids("box") && farms[2].avoids("box")
	})
	for i, tr := range all {
		tr.mu.Lock()
		data := tr.shared.snapshot(cfgs[i].Name)
		tr.mu.Unlock()
		tr.Close()
		if err := writeFileAtomically(cfgs[i].SharedState.Store, data); err != nil {
			t.Fatal(err)
		}
		if err := os.Remove(cfgs[i].Store); err != nil {
			t.Fatal(err)
		}
	}
	s, err := OpenStore(cfgs[0].Store, cfgs[0].Name)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Bootstrap(cfgs[0].Voters); err != nil {
		t.Fatal(err)
	}
	s.Close()
	begin()
	defer func() {
		for _, tr := range all {
			tr.Close()
		}
	}()
	if r := order(t, all[1], cfgs[1], consensus.DecisionCommand{Key: other, Value: "patched"}); r.Number != 1 {
		t.Fatalf("%+v", r)
	}
	eventually(t, "what the new fleet has decided is carried out, and nothing else", func() bool {
		for i, f := range farms {
			if f.avoids("box") || !f.avoids("other") || state(t, all[i], cfgs[i]).DecidedMs < 0 {
				return false
			}
		}
		return true
	})
	if r := order(t, all[2], cfgs[2], consensus.DecisionCommand{Key: other, Withdraw: true}); r.Number != 2 {
		t.Fatalf("%+v", r)
	}
	eventually(t, "and its word lifts it", func() bool {
		return !farms[0].avoids("other") && !farms[1].avoids("other") && !farms[2].avoids("other")
	})
}

// TestOrderWithoutAnswer: an operator's order whose answer is lost with the council's leader is asked again, and done once.
func TestOrderWithoutAnswer(t *testing.T) {
	cfgs := sharing(t)
	var all []*Host
	for _, cfg := range cfgs {
		all = append(all, start(t, cfg, newFarm()))
	}
	defer func() {
		for _, tr := range all {
			tr.Close()
		}
	}()
	key := gossip.PoolKey(consensus.OperatorKind, "farm", "box")
	order(t, all[2], cfgs[2], consensus.DecisionCommand{Key: key, Value: "first"})
	// The other two end: what is asked of the third now has no answer until they are back.
	all[0].Close()
	all[1].Close()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	o, err := Connect(ctx, all[2].Addr(), cfgs[2].Secret)
	if err != nil {
		t.Fatal(err)
	}
	defer o.Close()
	done := make(chan error, 1)
	var got *consensus.DecisionResult
	go func() {
		r, err := o.Command(ctx, consensus.DecisionCommand{Key: key, Value: "second"})
		got = r
		done <- err
	}()
	eventually(t, "its session has lapsed: a term has passed", func() bool {
		all[2].mu.Lock()
		defer all[2].mu.Unlock()
		return all[2].session.ValidUntil() < all[2].clock.Now()
	})
	all[0], all[1] = start(t, cfgs[0], newFarm()), start(t, cfgs[1], newFarm())
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if got.Number != 2 {
		t.Errorf("%+v: it was done %d times", got, got.Number-1)
	}
}
