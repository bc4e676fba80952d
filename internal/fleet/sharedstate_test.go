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

// fakePools implements Pools. It records hints and exclusions, and reports the reachability changes and zones that a test sets.
type fakePools struct {
	fakeSender
	mu                   sync.Mutex
	onReachabilityChange func(pool, endpoint string, unreachable bool)
	hints                map[string]int // by POOL/ENDPOINT
	excluded             map[string]bool
	recovering           map[string]bool   // endpoints that count as warming up
	rejectExclusions     bool              // as if no ready endpoint would be left
	zones                map[string]string // by endpoint
	downZones            map[string]bool   // zones whose endpoints fail health checks
}

func newFakePools() *fakePools { return &fakePools{hints: map[string]int{}} }

var _ Pools = (*fakePools)(nil)

func (f *fakePools) OnReachabilityChange(callback func(pool, endpoint string, unreachable bool)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onReachabilityChange = callback
}

func (f *fakePools) HintUnreachable(pool, endpoint string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hints[pool+"/"+endpoint]++
}

func (f *fakePools) ExcludeEndpoints(_ string, excludedEndpoints, recoveringEndpoints, _ map[string]bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.excluded, f.recovering = maps.Clone(excludedEndpoints), maps.Clone(recoveringEndpoints)
	return !f.rejectExclusions
}

func (f *fakePools) PoolNames() []string { return []string{"farm"} }

func (f *fakePools) ReadyEndpoints(string) map[string]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.zones)
}

func (f *fakePools) CheckHealth(_, endpoint string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.downZones[f.zones[endpoint]]
}

func (f *fakePools) AttemptOutcomes(string, func(string, int64, int64, time.Duration)) {}

// reportReachability reports a change in an endpoint's reachability to the host.
func (f *fakePools) reportReachability(endpoint string, unreachable bool) {
	f.mu.Lock()
	callback := f.onReachabilityChange
	f.mu.Unlock()
	callback("farm", endpoint, unreachable)
}

// hintCount returns the number of hints about an endpoint.
func (f *fakePools) hintCount(endpoint string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hints["farm/"+endpoint]
}

// excludes reports whether an endpoint is excluded.
func (f *fakePools) excludes(endpoint string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.excluded[endpoint]
}

// newSharingConfigs returns the configurations of n processes that share state.
func newSharingConfigs(t *testing.T, n int) []Config {
	t.Helper()
	cfgs := newFleetConfigs(t, n)
	for i := range cfgs {
		cfgs[i].SharedState = &SharedStateConfig{
			GossipInterval: 20 * time.Millisecond, PingInterval: 200 * time.Millisecond, SyncInterval: 200 * time.Millisecond, DeadRetention: time.Second, Fanout: 2, ReporterQuorum: 2, CatchUpBudget: 1 << 20,
			Store: filepath.Join(t.TempDir(), "copies"),
		}
	}
	return cfgs
}

// fetchSharedState requests the status of a process as an operator does.
func fetchSharedState(t *testing.T, host *Host, cfg Config) *SharedStateStatus {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	o, err := Connect(ctx, host.Addr(), cfg.Secret)
	if err != nil {
		t.Fatal(err)
	}
	defer o.Close()
	s, err := o.Status(ctx)
	if err != nil || s.SharedState == nil {
		t.Fatalf("status: error %v, response %+v", err, s)
	}
	return s.SharedState
}

// submitDecision sends a decision to a process as an operator does, and returns the result.
func submitDecision(t *testing.T, host *Host, cfg Config, c consensus.DecisionCommand) consensus.DecisionResult {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	o, err := Connect(ctx, host.Addr(), cfg.Secret)
	if err != nil {
		t.Fatal(err)
	}
	defer o.Close()
	r, err := o.Request(ctx, consensus.Request{Decision: &c})
	if err != nil || r.Decision == nil {
		t.Fatalf("decision: response %+v, error %v", r, err)
	}
	return *r.Decision
}

// TestSharedState checks hints and decisions in a fleet of three. A third process gets a hint about an endpoint that two processes report
// as unreachable, but not if only one reports it. A decision reaches all processes, including one that was stopped when the decision was
// made. A withdrawn report or decision has no further effect.
func TestSharedState(t *testing.T) {
	cfgs := newSharingConfigs(t, 3)
	pools := []*fakePools{newFakePools(), newFakePools(), newFakePools()}
	var all []*Host
	for i, cfg := range cfgs {
		all = append(all, startHost(t, cfg, pools[i]))
	}
	defer func() {
		for _, host := range all {
			host.Close()
		}
	}()
	eventually(t, "all members know each other as alive", func() bool {
		for i, host := range all {
			for _, s := range fetchSharedState(t, host, cfgs[i]).Members {
				if s != gossip.Alive.String() {
					return false
				}
			}
		}
		return true
	})
	pools[0].reportReachability("box", true)
	eventually(t, "the other processes have the report", func() bool { return len(fetchSharedState(t, all[2], cfgs[2]).Entries) == 1 })
	pools[1].reportReachability("box", true)
	eventually(t, "the third process gets a hint", func() bool { return pools[2].hintCount("box") > 0 })
	if n := pools[0].hintCount("box"); n > 0 {
		t.Errorf("a process that reported the endpoint itself got a hint")
	}
	pools[1].reportReachability("box", false)
	eventually(t, "the hint is withdrawn", func() bool { return len(fetchSharedState(t, all[2], cfgs[2]).Hints) == 0 })

	key := gossip.PoolKey(consensus.OperatorKind, "farm", "box")
	if r := submitDecision(t, all[1], cfgs[1], consensus.DecisionCommand{Key: key, Withdraw: true}); r.Refusal == "" {
		t.Error("a decision that was not in force was withdrawn")
	}
	all[2].Close()
	if r := submitDecision(t, all[1], cfgs[1], consensus.DecisionCommand{Key: key, Value: "patched"}); r.Refusal != "" || r.Number != 1 {
		t.Errorf("first decision: result %+v, want number 1 without a refusal", r)
	}
	eventually(t, "the running processes exclude the endpoint", func() bool { return pools[0].excludes("box") && pools[1].excludes("box") })
	pools[2] = newFakePools()
	all[2] = startHost(t, cfgs[2], pools[2])
	eventually(t, "the restarted process excludes the endpoint", func() bool { return pools[2].excludes("box") })
	eventually(t, "the restarted process knows until when its copy is complete", func() bool {
		s := fetchSharedState(t, all[2], cfgs[2])
		return s.DecidedMs >= 0 && s.InStepMs >= 0
	})
	submitDecision(t, all[0], cfgs[0], consensus.DecisionCommand{Key: key, Withdraw: true})
	eventually(t, "no process excludes the endpoint", func() bool {
		return !pools[0].excludes("box") && !pools[1].excludes("box") && !pools[2].excludes("box")
	})
	for _, f := range pools {
		f.mu.Lock()
		f.rejectExclusions = true
		f.mu.Unlock()
	}
	submitDecision(t, all[0], cfgs[0], consensus.DecisionCommand{Key: key})
	eventually(t, "the status lists the pool whose exclusions are not applied", func() bool { return len(fetchSharedState(t, all[0], cfgs[0]).NotApplied) == 1 })
}

// TestRestoreSharedState checks that a process restores at its next start what it has saved. A file that is damaged or belongs to another
// member is renamed and does not prevent the start.
func TestRestoreSharedState(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "copies")
	shared := &sharedState{cfg: SharedStateConfig{Store: file}}
	newNode := func() {
		cfg := gossip.DefaultConfig()
		cfg.Name, cfg.Members, cfg.Kinds, cfg.DecidedKinds = "p", []string{"p", "q"}, []string{gossip.UnreachableKind}, consensus.DecisionKinds
		shared.node = gossip.New(0, cfg)
	}
	newNode()
	shared.node.ApplyDecision("order/farm/box", 4, []byte("x"))
	shared.node.Put("dead/farm/own", nil)
	inc := shared.node.Incarnation()
	data := shared.snapshot("p")
	if err := writeFileAtomically(file, data); err != nil {
		t.Fatal(err)
	}
	newNode()
	if err := shared.restore(0, "p"); err != nil || shared.loaded != 1 {
		t.Fatalf("restored %d entries: %v", shared.loaded, err)
	}
	if e, ok := shared.node.Store().Get(gossip.ConsensusOwner, "order/farm/box"); !ok || e.Sequence != 4 {
		t.Errorf("restored decision is %+v, want one with number 4", e)
	}
	if shared.node.Incarnation() <= inc {
		t.Error("the incarnation of the next start is not larger than the last one")
	}
	for name, bad := range map[string][]byte{"cut": data[:len(data)/2], "flipped": append([]byte{data[0] ^ 1}, data[1:]...), "empty": {}} {
		if err := os.WriteFile(file, bad, 0o600); err != nil {
			t.Fatal(err)
		}
		newNode()
		if err := shared.restore(0, "p"); err != nil {
			t.Errorf("%s: restore failed: %v, want a start without the file", name, err)
		}
		if _, err := os.Stat(file); !os.IsNotExist(err) {
			t.Errorf("%s: the file has not been renamed", name)
		}
	}
	if err := writeFileAtomically(file, data); err != nil {
		t.Fatal(err)
	}
	newNode()
	if err := shared.restore(0, "q"); err != nil || len(shared.node.Store().TakeChanges()) > 0 {
		t.Errorf("file of another member: %v", err)
	}
	if left, err := filepath.Glob(file + ".new-*"); err != nil || len(left) > 0 {
		t.Errorf("temporary files are left: %v", left)
	}
}

// FuzzRestoreSharedState checks that the process starts whatever the contents of its shared state file.
func FuzzRestoreSharedState(f *testing.F) {
	f.Add([]byte("x"))
	f.Fuzz(func(t *testing.T, data []byte) {
		file := filepath.Join(t.TempDir(), "copies")
		if err := os.WriteFile(file, addChecksum(data), 0o600); err != nil {
			t.Fatal(err)
		}
		cfg := gossip.DefaultConfig()
		cfg.Name, cfg.Members, cfg.Kinds, cfg.DecidedKinds = "p", []string{"p", "q"}, []string{gossip.UnreachableKind}, consensus.DecisionKinds
		shared := &sharedState{cfg: SharedStateConfig{Store: file}, node: gossip.New(0, cfg)}
		if err := shared.restore(0, "p"); err != nil {
			t.Fatal(err)
		}
	})
}

// TestZoneFailover checks that all processes exclude a zone, by one decision, once members of two zones report its endpoints as
// unreachable. They use the zone again step by step once it answers. An operator's decision prevails over automatic failover.
func TestZoneFailover(t *testing.T) {
	cfgs := newSharingConfigs(t, 3)
	zones := map[string]string{}
	for i, cfg := range cfgs {
		zones[cfg.Name] = string(rune('a' + i))
	}
	rules := zonefailover.DefaultRules()
	rules.StepDuration, rules.HoldDown = 100*time.Millisecond, 100*time.Millisecond
	var pools []*fakePools
	var all []*Host
	for i := range cfgs {
		cfgs[i].Zones = &ZonesConfig{Automatic: ZonesOn, Rules: rules, Members: zones}
		f := newFakePools()
		f.zones, f.downZones = map[string]string{}, map[string]bool{}
		for _, z := range []string{"a", "b", "c"} {
			for n := range 4 {
				f.zones[fmt.Sprint(z, n)] = z
			}
		}
		pools = append(pools, f)
		all = append(all, startHost(t, cfgs[i], f))
	}
	defer func() {
		for _, host := range all {
			host.Close()
		}
	}()
	excludedEverywhere := func(n int) func() bool {
		return func() bool {
			for _, f := range pools {
				f.mu.Lock()
				has := len(f.excluded)
				f.mu.Unlock()
				if has != n {
					return false
				}
			}
			return true
		}
	}
	eventually(t, "all members know each other as alive", func() bool {
		return fetchSharedState(t, all[0], cfgs[0]).InStepMs >= 0 && len(fetchSharedState(t, all[0], cfgs[0]).Zones) == 3
	})
	for _, f := range pools {
		f.mu.Lock()
		f.downZones["b"] = true
		f.mu.Unlock()
	}
	for _, f := range pools[:2] {
		for n := range 4 {
			f.reportReachability(fmt.Sprint("b", n), true)
		}
	}
	eventually(t, "all processes exclude the zone", excludedEverywhere(4))
	for _, f := range pools[:2] {
		for n := range 4 {
			f.reportReachability(fmt.Sprint("b", n), false)
		}
	}
	epoch := fetchSharedState(t, all[0], cfgs[0]).Zones[1].Epoch
	for _, f := range pools {
		f.mu.Lock()
		f.downZones["b"] = false
		f.mu.Unlock()
	}
	steps := map[int]bool{}
	eventually(t, "the zone is fully in service again at all processes", func() bool {
		for i, host := range all {
			z := fetchSharedState(t, host, cfgs[i]).Zones[1]
			steps[z.Step] = true
			if z.Epoch < epoch {
				t.Errorf("the epoch went back from %d to %d", epoch, z.Epoch)
			}
		}
		return excludedEverywhere(0)()
	})
	if !steps[1] && !steps[2] && !steps[3] {
		t.Errorf("the zone was fully in service again without a step between: steps %v", steps)
	}
	key := gossip.PoolKey(consensus.ZoneKind, "farm", "c")
	submitDecision(t, all[0], cfgs[0], consensus.DecisionCommand{Key: key, Value: zonefailover.State{Manual: true, Reason: "an operator"}.Encode()})
	eventually(t, "all processes exclude the zone that an operator has excluded", excludedEverywhere(4))
	if r := submitDecision(t, all[0], cfgs[0], consensus.DecisionCommand{Key: key, Value: zonefailover.State{Step: 1}.Encode(), Token: 1, BasedOn: 1}); r.Refusal == "" {
		t.Error("a lease holder that does not know of the operator's decision has replaced it")
	}
}

// TestStartDuringWarmUp guards against a process that starts after the last step of a recovery and treats the zone's endpoints as
// warm. The process has not seen the zone excluded, and no endpoint list gives the start times of the endpoints. It must treat them as warm
// only once the fleet has decided so.
func TestStartDuringWarmUp(t *testing.T) {
	cfgs := newSharingConfigs(t, 3)
	zones := map[string]string{}
	for i, cfg := range cfgs {
		zones[cfg.Name] = string(rune('a' + i))
	}
	var all []*Host
	newPools := func() *fakePools {
		f := newFakePools()
		f.zones, f.downZones = map[string]string{"a0": "a", "b0": "b", "b1": "b", "c0": "c"}, map[string]bool{}
		return f
	}
	for i := range cfgs {
		cfgs[i].Zones = &ZonesConfig{Automatic: ZonesOff, Rules: zonefailover.DefaultRules(), Members: zones}
		all = append(all, startHost(t, cfgs[i], newPools()))
	}
	defer func() {
		for _, host := range all {
			host.Close()
		}
	}()
	key := gossip.PoolKey(consensus.ZoneKind, "farm", "b")
	for _, warmingUp := range []bool{true, false} {
		eventually(t, "all members know each other as alive", func() bool {
			return fetchSharedState(t, all[0], cfgs[0]).InStepMs >= 0 && len(fetchSharedState(t, all[0], cfgs[0]).Zones) == 3
		})
		s := zonefailover.State{Step: zonefailover.FullStep, WarmingUp: warmingUp, Reason: "a step was borne"}
		if r := submitDecision(t, all[0], cfgs[0], consensus.DecisionCommand{Key: key, Value: s.Encode()}); r.Refusal != "" {
			t.Fatal(r.Refusal)
		}
		epoch := fetchSharedState(t, all[0], cfgs[0]).Zones[1].Epoch
		all[2].Close()
		restarted := newPools()
		all[2] = startHost(t, cfgs[2], restarted)
		known := func() bool {
			z := fetchSharedState(t, all[2], cfgs[2]).Zones
			return len(z) == 3 && z[1].Epoch >= epoch && z[1].WarmingUp == warmingUp
		}
		eventually(t, "the restarted process knows the decision", known)
		recoveringEndpoints := func() map[string]bool {
			restarted.mu.Lock()
			defer restarted.mu.Unlock()
			return maps.Clone(restarted.recovering)
		}
		if warmingUp {
			eventually(t, "the zone's endpoints count as warming up", func() bool { return maps.Equal(recoveringEndpoints(), map[string]bool{"b0": true, "b1": true}) })
		} else if recovering := recoveringEndpoints(); len(recovering) > 0 {
			t.Errorf("%v still count as warming up", recovering)
		}
	}
}

// TestVanishedPeer guards against a link that depends on a connection whose peer has vanished. The connection stays open and accepts what
// is sent. The link must connect again within seconds, not after a minute without a frame.
func TestVanishedPeer(t *testing.T) {
	secret := []byte("0123456789abcdef")
	ln, err := net.Listen("tcp", freeAddr(t))
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	got := make(chan int, 64) // numbers of the connections on which frames arrive
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
					if kind == kindPing && n > 1 { // the peer of the first connection has vanished
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
	started := time.Now()
	eventually(t, "frames arrive on another connection", func() bool {
		l.send(kindGossip, nil)
		select {
		case n := <-got:
			return n > 1
		default:
			return false
		}
	})
	if took := time.Since(started); took > idleTimeout/2 {
		t.Errorf("connected again only after %v", took)
	}
	cancel()
	ln.Close()
	open.Wait()
}

// TestFleetBootstrappedAgain guards against saved decisions of a former fleet that outweigh those of a new one. The stores of all voters
// are lost and the fleet is bootstrapped again, as the operators' page describes. Its decisions are numbered from 1 again, while the
// processes have saved decisions of the former fleet with larger numbers.
func TestFleetBootstrappedAgain(t *testing.T) {
	cfgs := newSharingConfigs(t, 3)
	var pools []*fakePools
	var all []*Host
	startAll := func() {
		pools, all = nil, nil
		for _, cfg := range cfgs {
			f := newFakePools()
			pools, all = append(pools, f), append(all, startHost(t, cfg, f))
		}
	}
	startAll()
	key := gossip.PoolKey(consensus.OperatorKind, "farm", "box")
	other := gossip.PoolKey(consensus.OperatorKind, "farm", "other")
	for range 3 {
		submitDecision(t, all[0], cfgs[0], consensus.DecisionCommand{Key: key, Value: "patched"})
		submitDecision(t, all[0], cfgs[0], consensus.DecisionCommand{Key: other, Value: "patched"})
	}
	eventually(t, "all processes exclude the endpoint", func() bool {
		return pools[0].excludes("box") && pools[1].excludes("box") && pools[2].excludes("box")
	})
	for i, host := range all {
		host.mu.Lock()
		data := host.shared.snapshot(cfgs[i].Name)
		host.mu.Unlock()
		host.Close()
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
	startAll()
	defer func() {
		for _, host := range all {
			host.Close()
		}
	}()
	if r := submitDecision(t, all[1], cfgs[1], consensus.DecisionCommand{Key: other, Value: "patched"}); r.Number != 1 {
		t.Fatalf("first decision of the new fleet: result %+v, want number 1", r)
	}
	eventually(t, "only decisions of the new fleet are applied", func() bool {
		for i, f := range pools {
			if f.excludes("box") || !f.excludes("other") || fetchSharedState(t, all[i], cfgs[i]).DecidedMs < 0 {
				return false
			}
		}
		return true
	})
	if r := submitDecision(t, all[2], cfgs[2], consensus.DecisionCommand{Key: other, Withdraw: true}); r.Number != 2 {
		t.Fatalf("withdrawal of the first decision: result %+v, want number 2", r)
	}
	eventually(t, "the new fleet's withdrawal is applied", func() bool {
		return !pools[0].excludes("other") && !pools[1].excludes("other") && !pools[2].excludes("other")
	})
}

// TestCommandWithLostResponse checks that an operator's command whose response is lost with the leader is repeated and applied once.
func TestCommandWithLostResponse(t *testing.T) {
	cfgs := newSharingConfigs(t, 3)
	var all []*Host
	for _, cfg := range cfgs {
		all = append(all, startHost(t, cfg, newFakePools()))
	}
	defer func() {
		for _, host := range all {
			host.Close()
		}
	}()
	key := gossip.PoolKey(consensus.OperatorKind, "farm", "box")
	submitDecision(t, all[2], cfgs[2], consensus.DecisionCommand{Key: key, Value: "first"})
	// The other two processes end. Requests to the third have no response until both have started again.
	all[0].Close()
	all[1].Close()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
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
	eventually(t, "the session of the third process has expired", func() bool {
		all[2].mu.Lock()
		defer all[2].mu.Unlock()
		return all[2].session.ValidUntil() < all[2].clock.Now()
	})
	all[0], all[1] = startHost(t, cfgs[0], newFakePools()), startHost(t, cfgs[1], newFakePools())
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if got.Number != 2 {
		t.Errorf("%+v: the command was applied %d times", got, got.Number-1)
	}
}
