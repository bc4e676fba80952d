package pool

import (
	"log/slog"
	"testing"
	"time"

	"sorrelrudder/internal/discovery"
	"sorrelrudder/internal/process"
	"sorrelrudder/internal/settings"
	"sorrelrudder/internal/statslog"
	"sorrelrudder/internal/upstream"
	"sorrelrudder/policy"
)

// logLines hands on what is logged.
type logLines chan string

func (l logLines) Write(p []byte) (int, error) {
	select {
	case l <- string(p):
	default: // nobody reads any more
	}
	return len(p), nil
}

// TestStatsLogged: the log tells what happened in each spell, once; a spell in which nothing did is not told.
func TestStatsLogged(t *testing.T) {
	cfg := policy.Config{
		InstanceCount: 1, MaxAttempts: 1, PollInterval: time.Millisecond, TimerResolution: time.Millisecond, SlowStartDuration: time.Hour,
		Classes: []policy.Class{{Name: "a", LatencyObjective: time.Second, Deadline: time.Second}},
	}
	src := scriptedSource{make(chan *discovery.EndpointList), make(chan struct{}, 1)}
	out := make(logLines, 100)
	known := endpointList(1, true, "a", "b")
	known.Endpoints[1].StartedMs = time.Now().UnixMilli()
	p, err := New(Config{
		Settings: settings.Settings{Config: cfg}, Source: src, CachedList: known, StatsInterval: 20 * time.Millisecond,
	}, upstream.New(cfg, process.NewDescriptors(64).Pool(1)), slog.New(slog.NewTextHandler(out, nil)))
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	src.calls <- endpointList(2, true, "a", "b") // one call has come, and ends
	<-src.took
	var sum statslog.IntervalStats
	for sum.Counters[statslog.DiscoveryFailures] == 0 || sum.Counters[statslog.DiscoveryCalls] < 2 {
		select {
		case line := <-out:
			if _, _, row, ok := statslog.Parse(line); ok {
				if row.Empty() || row.ReadyEndpoints != 2 {
					t.Errorf("told %s", line)
				}
				sum.Merge(row)
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("only %+v was told", sum)
		}
	}
	if sum.Counters[statslog.DiscoveryCalls] != 2 || sum.Counters[statslog.DiscoveryFailures] != 1 {
		t.Errorf("two calls, of which one has ended, are told as %+v", sum)
	}
}
