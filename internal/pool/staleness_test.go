package pool

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"sorrelrudder/internal/discovery"
	"sorrelrudder/internal/process"
	"sorrelrudder/internal/settings"
	"sorrelrudder/internal/staleness"
	"sorrelrudder/internal/upstream"
	"sorrelrudder/policy"
)

// fleetConfig is that of one of so many sidecars.
func fleetConfig(size int) policy.Config {
	return policy.Config{
		InstanceCount: size, MaxAttempts: 1, PollInterval: 10 * time.Second, TimerResolution: time.Millisecond,
		Classes: []policy.Class{{Name: "a", LatencyObjective: time.Second, Deadline: time.Second}},
	}
}

// discoveryCall is a call that a test answers.
type discoveryCall struct {
	net.Conn
	at time.Time
}

// answer writes the head of a watch, and text behind it.
func (c discoveryCall) answer(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+text); err != nil {
		t.Error(err)
	}
}

// startDiscovery takes calls, and hands each to the test once it has come whole.
func startDiscovery(t *testing.T) (addr string, calls <-chan discoveryCall) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	come := make(chan discoveryCall, 64)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				come <- discoveryCall{c, time.Now()}
			}
		}
	}()
	t.Cleanup(func() { ln.Close() })
	return ln.Addr().String(), come
}

// startAsking starts a pool that asks discovery at addr, and knows the list given.
func startAsking(t *testing.T, cfg settings.Settings, addr string, known *discovery.EndpointList) *Pool {
	t.Helper()
	p, err := New(Config{Settings: cfg, Source: discovery.Client{Address: addr, Staleness: cfg.ListStaleness()}, CachedList: known},
		upstream.New(cfg.Config, process.NewDescriptors(64).Pool(1)), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

func nextCall(t *testing.T, calls <-chan discoveryCall) discoveryCall {
	t.Helper()
	select {
	case c := <-calls:
		return c
	case <-time.After(30 * time.Second):
		t.Fatal("discovery is not asked")
		return discoveryCall{}
	}
}

const oneServer = `{"seq":1,"whole":true,"hosts":[{"host":"a","dial":"127.0.0.1:1","health":"active"}]}` + "\n"

// TestHeardWithinTheTerm guards against a list that is older than the platform's term by the time at which it is asked for anew: in a
// fleet of 300, whose calls are spread, all the same. What is left of the term is for the answer, and for a machine that is busy.
func TestHeardWithinTheTerm(t *testing.T) {
	const busy = time.Second
	cfg := settings.Settings{Config: fleetConfig(300), DrainGrace: 500 * time.Millisecond}
	within := func(t *testing.T, what string, from, to time.Time, most time.Duration) {
		t.Helper()
		if took := to.Sub(from); took > most {
			t.Errorf("%s: asked again after %v, want %v at most", what, took, most)
		}
	}
	t.Run("a watch that falls silent", func(t *testing.T) {
		t.Parallel()
		addr, calls := startDiscovery(t)
		startAsking(t, cfg, addr, nil)
		first := nextCall(t, calls)
		first.answer(t, oneServer)
		told := time.Now()
		within(t, "silent since its list", told, nextCall(t, calls).at, staleness.BoundFor(false, 0, cfg.DrainGrace).AfterSilence()+busy)
	})
	t.Run("a call that nothing answers", func(t *testing.T) {
		t.Parallel()
		addr, calls := startDiscovery(t)
		startAsking(t, cfg, addr, nil)
		first := nextCall(t, calls)
		within(t, "never answered", first.at, nextCall(t, calls).at, staleness.BoundFor(false, 0, cfg.DrainGrace).AfterUnansweredCall()+busy)
	})
	t.Run("calls that are turned away", func(t *testing.T) {
		t.Parallel()
		addr, calls := startDiscovery(t)
		startAsking(t, cfg, addr, nil)
		last := nextCall(t, calls)
		for range 4 {
			io.WriteString(last, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
			last.Close()
			next := nextCall(t, calls)
			within(t, "turned away", last.at, next.at, staleness.BoundFor(false, 0, cfg.DrainGrace).AfterRejection()+busy)
			last = next
		}
	})
	t.Run("a watch that is reset", func(t *testing.T) {
		t.Parallel()
		addr, calls := startDiscovery(t)
		startAsking(t, cfg, addr, nil)
		first := nextCall(t, calls)
		first.answer(t, oneServer)
		time.Sleep(minStableWatch + 100*time.Millisecond) // it has to have stood so long; more makes no difference
		first.Conn.(*net.TCPConn).SetLinger(0)
		first.Close()
		within(t, "reset", time.Now(), nextCall(t, calls).at, staleness.BoundFor(false, 0, cfg.DrainGrace).RetryDelay+busy)
	})
	t.Run("another address", func(t *testing.T) {
		t.Parallel()
		addr, calls := startDiscovery(t)
		p := startAsking(t, cfg, addr, nil)
		nextCall(t, calls).answer(t, oneServer) // its watch stands as the address changes
		next, moved := startDiscovery(t)
		began := time.Now()
		bound := staleness.BoundFor(false, cfg.Config.PollInterval, cfg.DrainGrace)
		p.SetSource(discovery.Client{Address: next, Staleness: bound})
		nextCall(t, moved).answer(t, oneServer)
		within(t, "since it moved", began, time.Now(), bound.RetryDelay+busy)
		if len(calls) > 0 {
			t.Error("the old address was asked again")
		}
	})
	t.Run("another address that is silent", func(t *testing.T) {
		t.Parallel()
		addr, calls := startDiscovery(t)
		p := startAsking(t, cfg, addr, nil)
		first := nextCall(t, calls)
		first.answer(t, oneServer)
		next, moved := startDiscovery(t)
		bound := staleness.BoundFor(false, cfg.Config.PollInterval, cfg.DrainGrace)
		began := time.Now()
		first.Close() // the old watch ends in the same instant
		p.SetSource(discovery.Client{Address: next, Staleness: bound})
		mute := nextCall(t, moved)
		within(t, "since it moved", began, mute.at, bound.RetryDelay+busy)
		within(t, "never answered", mute.at, nextCall(t, moved).at, bound.AfterUnansweredCall()+busy)
	})
	t.Run("another address that refuses", func(t *testing.T) {
		t.Parallel()
		addr, calls := startDiscovery(t)
		p := startAsking(t, cfg, addr, nil)
		nextCall(t, calls).answer(t, oneServer)
		reserved, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		reserved.Close() // nobody is there yet
		bound := staleness.BoundFor(false, cfg.Config.PollInterval, cfg.DrainGrace)
		p.SetSource(discovery.Client{Address: reserved.Addr().String(), Staleness: bound})
		time.Sleep(4 * bound.RejectedBackoff) // some calls are refused meanwhile; more makes no difference
		back, err := net.Listen("tcp", reserved.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer back.Close()
		began := time.Now()
		back.(*net.TCPListener).SetDeadline(began.Add(30 * time.Second))
		c, err := back.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		within(t, "since it is there", began, time.Now(), bound.AfterRejection()+busy)
	})
	t.Run("an agent that is silent", func(t *testing.T) {
		t.Parallel()
		pushed := cfg
		pushed.Config.EndpointsPushed, pushed.DrainGrace = true, 2*time.Second
		addr, calls := startDiscovery(t)
		began := time.Now()
		startAsking(t, pushed, addr, endpointList(1, true, "a"))
		first := nextCall(t, calls)
		within(t, "since the start", began, first.at, pushed.DrainGrace/2+busy)
		for range 3 { // it answers the first call that finds discovery up again
			next := nextCall(t, calls)
			within(t, "never answered", first.at, next.at, staleness.BoundFor(true, 0, pushed.DrainGrace).AfterUnansweredCall()+busy)
			first = next
		}
	})
}

// TestNothingKnown guards against requests that wait for a first list as long as a fleet's first calls are spread over: they
// have nowhere to go.
func TestNothingKnown(t *testing.T) {
	addr, calls := startDiscovery(t)
	began := time.Now()
	startAsking(t, settings.Settings{Config: fleetConfig(300)}, addr, endpointList(1, true))
	if took := nextCall(t, calls).at.Sub(began); took > 1500*time.Millisecond {
		t.Errorf("asked after %v", took)
	}
}

// TestWatchWarnsOnce guards against a log that repeats the same reason at every call: what was wrong, and where, is told once.
func TestWatchWarnsOnce(t *testing.T) {
	p := &Pool{log: slog.New(slog.DiscardHandler)}
	told := 0
	p.log = slog.New(countingHandler{Handler: slog.DiscardHandler, n: &told})
	for range 3 {
		p.logWatchEnd(errors.New("noise"))
	}
	p.logWatchEnd(errors.New("another"))
	if told != 2 {
		t.Errorf("told %d times, want 2", told)
	}
}

// countingHandler counts what is logged.
type countingHandler struct {
	slog.Handler
	n *int
}

func (h countingHandler) Enabled(context.Context, slog.Level) bool { return true }

func (h countingHandler) Handle(context.Context, slog.Record) error {
	*h.n++
	return nil
}
