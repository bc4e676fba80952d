package pool

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"

	"sorrelrudder/internal/discovery"
	"sorrelrudder/internal/process"
	"sorrelrudder/internal/settings"
	"sorrelrudder/internal/upstream"
	"sorrelrudder/policy"
)

// scriptedSource is a source that tells one message a call.
type scriptedSource struct {
	calls chan *discovery.EndpointList
	took  chan struct{}
}

func (s scriptedSource) Watch(ctx context.Context, _ int64, tell func(*discovery.EndpointList)) error {
	select {
	case l := <-s.calls:
		tell(l)
		s.took <- struct{}{}
		return errors.New("the end")
	case <-ctx.Done():
		return ctx.Err()
	}
}

func endpointList(seq int64, whole bool, hosts ...string) *discovery.EndpointList {
	l := &discovery.EndpointList{Version: &seq, Complete: whole}
	for _, h := range hosts {
		l.Endpoints = append(l.Endpoints, discovery.Endpoint{ID: h, Address: "127.0.0.1:1", Health: "active"})
	}
	return l
}

// TestOutdatedList: a list older than the one in force is not taken over, whole or in part, until call after call tells it.
func TestOutdatedList(t *testing.T) {
	cfg := policy.Config{
		InstanceCount: 1, MaxAttempts: 1, PollInterval: 8 * time.Millisecond, TimerResolution: time.Millisecond,
		Classes: []policy.Class{{Name: "a", LatencyObjective: time.Second, Deadline: time.Second}},
	}
	src := scriptedSource{make(chan *discovery.EndpointList), make(chan struct{}, 1)}
	p, err := New(Config{Settings: settings.Settings{Config: cfg}, Source: src, CachedList: endpointList(10, true, "a")},
		upstream.New(cfg, process.NewDescriptors(64).Pool(1)), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	has := func() string {
		var names strings.Builder
		for _, h := range []string{"a", "b", "c", "d"} {
			p.mu.Lock()
			if _, is := p.endpoints[policy.EndpointID(h)]; is {
				names.WriteString(h)
			}
			p.mu.Unlock()
		}
		return names.String()
	}
	for i, c := range []struct {
		tell *discovery.EndpointList
		want string
	}{
		{endpointList(9, true, "b"), "a"},
		{endpointList(11, true, "a", "c"), "ac"},
		{endpointList(10, false, "b"), "ac"},
		{endpointList(11, false, "d"), "acd"},
		{endpointList(3, true, "b"), "acd"},
		{endpointList(3, true, "b"), "acd"},
		{endpointList(4, false, "b"), "acd"},
		{endpointList(4, true, "b"), "b"}, // it counts anew
		{endpointList(5, true, "c"), "c"},
	} {
		src.calls <- c.tell
		<-src.took
		if got := has(); got != c.want {
			t.Errorf("after message %d: %q, want %q", i, got, c.want)
		}
	}
}
