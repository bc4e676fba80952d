package statslog

import (
	"bytes"
	"context"
	"flag"
	"log/slog"
	"os"
	"testing"
	"time"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// TestLineForm guards against a change of the encoding or decoding of a log line of statistics. The command 'sorrelrudder fleet' also reads
// logs of older versions.
func TestLineForm(t *testing.T) {
	at, row := time.Date(2026, 1, 2, 3, 4, 5, 678e6, time.UTC), IntervalStats{
		Counters: [...]int{
			Requests: 101, WithinObjective: 102, BeyondObjective: 103, Rejected: 104, Failed: 105, ClientGone: 106, Attempts: 107, SlowStartAttempts: 108, FurtherAttempts: 109, ConnectFailures: 110,
			Timeouts: 111, ErrorResponses: 112, OverloadRejections: 113, ConnectionResets: 114, HealthChecks: 115, HealthChecksUnanswered: 116, Dials: 117, DiscoveryCalls: 118, DiscoveryFailures: 119,
		},
		ReadyEndpoints: 120, WarmingEndpoints: 121, EjectedEndpoints: 122, OpenRequests: 123, TypicalDelay: 1250 * time.Millisecond, CapacityShortage: 0.25,
	}
	var written bytes.Buffer
	record := slog.NewRecord(at, slog.LevelInfo, Message, 0)
	record.Add(append([]any{"pool", "orders"}, row.Attrs()...)...)
	if err := slog.NewTextHandler(&written, nil).Handle(context.Background(), record); err != nil {
		t.Fatal(err)
	}
	const path = "testdata/line.log"
	if *update {
		if err := os.WriteFile(path, written.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	golden, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(written.Bytes(), golden) {
		t.Errorf("log line written as\n%swant\n%s", written.Bytes(), golden)
	}
	gotAt, pool, got, ok := Parse(string(golden))
	if !ok || !gotAt.Equal(at) || pool != "orders" || got != row {
		t.Errorf("parse log line: valid %v, time %v, pool %q\n got %+v\nwant %+v", ok, gotAt, pool, got, row)
	}
	for count, n := range row.Counters {
		if n == 0 {
			t.Errorf("counter %v is not set in the example", Counter(count))
		}
	}
}
