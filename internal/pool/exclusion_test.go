package pool

import (
	"log/slog"
	"testing"
	"time"

	"sorrelrudder/internal/discovery"
	"sorrelrudder/internal/process"
	"sorrelrudder/internal/settings"
	"sorrelrudder/internal/upstream"
	"sorrelrudder/policy"
)

// exclusionScenario is a pool with the endpoints a, b and c, and with slow start.
type exclusionScenario struct {
	*Pool
	source scriptedSource
}

func startExclusionScenario(t *testing.T) *exclusionScenario {
	t.Helper()
	cfg := policy.Config{
		InstanceCount: 1, MaxAttempts: 1, PollInterval: time.Minute, TimerResolution: time.Millisecond, SlowStartDuration: time.Minute, SlowStartMinCapacity: 0.1,
		Classes: []policy.Class{{Name: "a", LatencyObjective: time.Second, Deadline: time.Second}},
	}
	source := scriptedSource{make(chan *discovery.EndpointList), make(chan struct{}, 1)}
	p, err := New(Config{Settings: settings.Settings{Config: cfg}, Source: source, CachedList: newEndpointList(1, true, "a", "b", "c")},
		upstream.New(cfg, process.NewDescriptors(64).Pool(1)), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return &exclusionScenario{Pool: p, source: source}
}

// policyView returns an endpoint as it is passed to the decision module.
func (x *exclusionScenario) policyView(id string) policy.Endpoint {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.policyEndpoint(x.endpoints[policy.EndpointID(id)])
}

// sendList makes the source send a list, and returns once the pool has applied it.
func (x *exclusionScenario) sendList(l *discovery.EndpointList) {
	x.source.lists <- l
	<-x.source.applied
}

func setOf(names ...string) map[string]bool {
	all := map[string]bool{}
	for _, n := range names {
		all[n] = true
	}
	return all
}

// TestReturnedEndpointWarmsUp guards against overloading an endpoint that is readmitted after an exclusion. It counts as started at its
// readmission, also after further lists, until the list has a later start time. The same holds for an endpoint of a zone to which the
// fleet has begun to send requests again, in a process that has just started. The endpoint keeps its connections, since its process is
// the same.
func TestReturnedEndpointWarmsUp(t *testing.T) {
	p := startExclusionScenario(t)
	policyView := p.policyView
	if !p.SetExcluded(setOf("b"), nil, nil) || policyView("b").State != policy.Draining || policyView("b").Started != 0 {
		t.Fatalf("the excluded endpoint is %+v, want it draining and without a start time", policyView("b"))
	}
	if !p.SetExcluded(nil, nil, nil) || policyView("b").State != policy.Ready || policyView("b").Started == 0 || policyView("a").Started != 0 {
		t.Fatalf("after a readmission of b, a is %+v and b is %+v, want only b started now", policyView("a"), policyView("b"))
	}
	since := policyView("b").Started
	peer := p.peers["b"]
	p.sendList(newEndpointList(2, true, "a", "b", "c"))
	if got := policyView("b"); got.Started != since {
		t.Errorf("after a further list the endpoint is %+v, want it started at %v", got, since)
	}
	p.mu.Lock()
	if p.peers["b"] != peer {
		t.Error("the readmitted endpoint got a new peer, want the same")
	}
	p.mu.Unlock()
	if p.SetExcluded(setOf("b"), setOf("c"), nil); policyView("c").Started == 0 || policyView("a").Started != 0 {
		t.Errorf("the endpoint of a recovering zone is %+v, want it started now", policyView("c"))
	}
	first := policyView("c").Started
	if p.SetExcluded(nil, setOf("b", "c"), nil); policyView("c").Started != first || policyView("b").Started < since {
		t.Errorf("with b and c recovering, b is %+v and c is %+v, want c started as before and b no earlier than before", policyView("b"), policyView("c"))
	}
	if p.SetExcluded(setOf("a", "b", "c"), nil, nil); policyView("c").State != policy.Ready {
		t.Error("all ready endpoints were excluded, want none excluded")
	}
	// An endpoint that the fleet has excluded by itself is readmitted once the list has another start time for it. An endpoint that an
	// operator has excluded is not.
	p.SetExcluded(setOf("b", "c"), nil, setOf("b"))
	l := newEndpointList(3, true, "a", "b", "c")
	l.Endpoints[2].StartedMs = 77
	l.Endpoints[1].StartedMs = time.Now().Add(time.Second).UnixMilli()
	p.sendList(l)
	if got := policyView("b"); got.Started <= since || got.State != policy.Ready {
		t.Errorf("after a list with a later start time the endpoint is %+v, want it ready and started later", got)
	}
	if got := policyView("c"); got.State != policy.Draining {
		t.Errorf("the endpoint excluded by an operator is %+v, want it draining", got)
	}
	// The listed start time remains in force during the recovery ramp. Otherwise each step of the ramp would restart the slow start.
	want := p.clock.startTime(l.Endpoints[1].StartedMs)
	for p.clock.now() <= want {
		time.Sleep(time.Millisecond)
	}
	for range 2 {
		p.SetExcluded(setOf("c"), setOf("b"), nil)
		if got := policyView("b").Started; got != want {
			t.Errorf("in a recovering zone the endpoint counts as started at %v, want the listed start time %v", got, want)
		}
	}
}

// TestExclusionUntilRestart guards against keeping a restarted endpoint excluded although its exclusion ends with a restart. The endpoint
// is readmitted once the list has another start time. An endpoint that is first listed after the exclusion of its zone counts as
// restarted.
func TestExclusionUntilRestart(t *testing.T) {
	endpoints := func(startedMs int64, ids ...string) map[policy.EndpointID]discovery.Endpoint {
		all := map[policy.EndpointID]discovery.Endpoint{}
		for _, id := range ids {
			all[policy.EndpointID(id)] = discovery.Endpoint{ID: id, Zone: "z", Health: "active", StartedMs: startedMs}
		}
		return all
	}
	var x exclusion
	x.apply(1, exclusionSet{excluded: setOf("a"), untilRestart: setOf("a")}, endpoints(5, "a"))
	if e := (discovery.Endpoint{ID: "a", Health: "active", StartedMs: 5}); x.uses(e) {
		t.Error("a is used although the list has its old start time")
	}
	if e := (discovery.Endpoint{ID: "a", Health: "active", StartedMs: 6}); !x.uses(e) {
		t.Error("a is not used although it has restarted")
	}
	x.apply(2, exclusionSet{excluded: setOf("a", "b"), untilRestart: setOf("a", "b")}, endpoints(5, "a", "b"))
	if e := (discovery.Endpoint{ID: "b", Health: "active", StartedMs: 5}); !x.uses(e) {
		t.Error("b is not used although it was first listed after the exclusion of its zone")
	}
}
