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

// exclusionScenario is a pool with the servers a, b and c, and a slow start.
type exclusionScenario struct {
	*Pool
	src scriptedSource
}

func startExclusionScenario(t *testing.T) *exclusionScenario {
	t.Helper()
	cfg := policy.Config{
		InstanceCount: 1, MaxAttempts: 1, PollInterval: time.Minute, TimerResolution: time.Millisecond, SlowStartDuration: time.Minute, SlowStartMinCapacity: 0.1,
		Classes: []policy.Class{{Name: "a", LatencyObjective: time.Second, Deadline: time.Second}},
	}
	src := scriptedSource{make(chan *discovery.EndpointList), make(chan struct{}, 1)}
	p, err := New(Config{Settings: settings.Settings{Config: cfg}, Source: src, CachedList: endpointList(1, true, "a", "b", "c")},
		upstream.New(cfg, process.NewDescriptors(64).Pool(1)), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return &exclusionScenario{Pool: p, src: src}
}

// told returns what the decision module is told of a server.
func (x *exclusionScenario) told(host string) policy.Endpoint {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.policyEndpoint(x.endpoints[policy.EndpointID(host)])
}

// list has the source send a list, and returns once it is taken over.
func (x *exclusionScenario) list(l *discovery.EndpointList) {
	x.src.calls <- l
	<-x.src.took
}

func only(names ...string) map[string]bool {
	all := map[string]bool{}
	for _, n := range names {
		all[n] = true
	}
	return all
}

// TestReturnedEndpointWarmsUp: a server that was excluded and is not any more counts as started then, also after further lists, until the list names a later start;
// so does one of a zone that the fleet has begun to use again, for a process that has just started. Its connections are not taken for a restarted one's.
func TestReturnedEndpointWarmsUp(t *testing.T) {
	p := startExclusionScenario(t)
	told := p.told
	if !p.SetExcluded(only("b"), nil, nil) || told("b").State != policy.Draining || told("b").Started != 0 {
		t.Fatalf("%+v", told("b"))
	}
	if !p.SetExcluded(nil, nil, nil) || told("b").State != policy.Ready || told("b").Started == 0 || told("a").Started != 0 {
		t.Fatalf("%+v, %+v", told("a"), told("b"))
	}
	since := told("b").Started
	peer := p.peers["b"]
	p.list(endpointList(2, true, "a", "b", "c"))
	if got := told("b"); got.Started != since {
		t.Errorf("after a list %+v, not since %v", got, since)
	}
	p.mu.Lock()
	if p.peers["b"] != peer {
		t.Error("it is taken for another process")
	}
	p.mu.Unlock()
	if p.SetExcluded(only("b"), only("c"), nil); told("c").Started == 0 || told("a").Started != 0 {
		t.Errorf("of a zone that is returned to: %+v", told("c"))
	}
	first := told("c").Started
	if p.SetExcluded(nil, only("b", "c"), nil); told("c").Started != first || told("b").Started < since {
		t.Errorf("%+v, %+v", told("b"), told("c"))
	}
	if p.SetExcluded(only("a", "b", "c"), nil, nil); told("c").State != policy.Ready {
		t.Error("no server is left")
	}
	// One that the fleet has left by itself is used as soon as the list names another start of it; one that an operator avoids is not.
	p.SetExcluded(only("b", "c"), nil, only("b"))
	l := endpointList(3, true, "a", "b", "c")
	l.Endpoints[2].StartedMs = 77
	l.Endpoints[1].StartedMs = time.Now().Add(time.Second).UnixMilli()
	p.list(l)
	if got := told("b"); got.Started <= since || got.State != policy.Ready {
		t.Errorf("the list names a later start, and it is told as %+v", got)
	}
	if got := told("c"); got.State != policy.Draining {
		t.Errorf("avoided by an operator, and told as %+v", got)
	}
	// As the return goes on it stays what the list has made of it: each step would else hold it back anew.
	want := p.clock.startTime(l.Endpoints[1].StartedMs)
	for p.clock.now() <= want {
		time.Sleep(time.Millisecond)
	}
	for range 2 {
		p.SetExcluded(only("c"), only("b"), nil)
		if got := told("b").Started; got != want {
			t.Errorf("as its zone is returned to it counts as started at %v, want %v, as the list says", got, want)
		}
	}
}

// TestExclusionUntilRestart: an endpoint that is excluded until it restarts is used again as soon as the list names another start; one
// that the list names only after its zone was excluded counts as restarted already.
func TestExclusionUntilRestart(t *testing.T) {
	endpoints := func(startedMs int64, ids ...string) map[policy.EndpointID]discovery.Endpoint {
		all := map[policy.EndpointID]discovery.Endpoint{}
		for _, id := range ids {
			all[policy.EndpointID(id)] = discovery.Endpoint{ID: id, Zone: "z", Health: "active", StartedMs: startedMs}
		}
		return all
	}
	var x exclusion
	x.apply(1, exclusionSet{excluded: only("a"), untilRestart: only("a")}, endpoints(5, "a"))
	if e := (discovery.Endpoint{ID: "a", Health: "active", StartedMs: 5}); x.uses(e) {
		t.Error("a is used, though the list names its old start")
	}
	if e := (discovery.Endpoint{ID: "a", Health: "active", StartedMs: 6}); !x.uses(e) {
		t.Error("a has restarted and is not used")
	}
	x.apply(2, exclusionSet{excluded: only("a", "b"), untilRestart: only("a", "b")}, endpoints(5, "a", "b"))
	if e := (discovery.Endpoint{ID: "b", Health: "active", StartedMs: 5}); !x.uses(e) {
		t.Error("b came after its zone was excluded and is not used")
	}
}
