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

// logLines is a writer that sends each log line to a channel.
type logLines chan string

func (l logLines) Write(p []byte) (int, error) {
	select {
	case l <- string(p):
	default: // the test has stopped reading
	}
	return len(p), nil
}

// TestStatsLogged guards against events that are logged twice or not at all, and against log lines for intervals in which nothing was
// counted.
func TestStatsLogged(t *testing.T) {
	cfg := policy.Config{
		InstanceCount: 1, MaxAttempts: 1, PollInterval: time.Millisecond, TimerResolution: time.Millisecond, SlowStartDuration: time.Hour,
		Classes: []policy.Class{{Name: "a", LatencyObjective: time.Second, Deadline: time.Second}},
	}
	source := scriptedSource{make(chan *discovery.EndpointList), make(chan struct{}, 1)}
	out := make(logLines, 100)
	cached := newEndpointList(1, true, "a", "b")
	cached.Endpoints[1].StartedMs = time.Now().UnixMilli()
	p, err := New(Config{
		Settings: settings.Settings{Config: cfg}, Source: source, CachedList: cached, StatsInterval: 20 * time.Millisecond,
	}, upstream.New(cfg, process.NewDescriptors(64).Pool(1)), slog.New(slog.NewTextHandler(out, nil)))
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	source.lists <- newEndpointList(2, true, "a", "b") // ends the first call
	<-source.applied
	var sum statslog.IntervalStats
	for sum.Counters[statslog.DiscoveryFailures] == 0 || sum.Counters[statslog.DiscoveryCalls] < 2 {
		select {
		case line := <-out:
			if _, _, row, ok := statslog.Parse(line); ok {
				if row.Empty() || row.ReadyEndpoints != 2 {
					t.Errorf("log line is empty or does not have 2 ready endpoints: %s", line)
				}
				sum.Merge(row)
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("timed out: only %+v was logged", sum)
		}
	}
	if sum.Counters[statslog.DiscoveryCalls] != 2 || sum.Counters[statslog.DiscoveryFailures] != 1 {
		t.Errorf("logged %+v, want 2 discovery calls of which 1 failed", sum)
	}
}
