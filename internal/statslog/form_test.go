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

var update = flag.Bool("update", false, "write the golden files anew")

// TestLineForm holds the log line of a full Row both ways: 'sorrelrudder fleet' reads the logs of older versions too.
func TestLineForm(t *testing.T) {
	at, row := time.Date(2026, 1, 2, 3, 4, 5, 678e6, time.UTC), Row{
		N: [...]int{
			Taken: 101, InAim: 102, Late: 103, Refused: 104, Failed: 105, Left: 106, Sends: 107, Cold: 108, Again: 109, Unreached: 110,
			TimedOut: 111, Erred: 112, TurnedAway: 113, Broken: 114, Probes: 115, ProbesLost: 116, Dials: 117, Calls: 118, CallsFailed: 119,
		},
		Listed: 120, Warming: 121, Avoided: 122, Open: 123, Usual: 1250 * time.Millisecond, Short: 0.25,
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
		t.Errorf("written as\n%swant\n%s", written.Bytes(), golden)
	}
	gotAt, pool, got, ok := Parse(string(golden))
	if !ok || !gotAt.Equal(at) || pool != "orders" || got != row {
		t.Errorf("%v, %v, pool %q\n got %+v\nwant %+v", ok, gotAt, pool, got, row)
	}
	for count, n := range row.N {
		if n == 0 {
			t.Errorf("%v is not in the example", Count(count))
		}
	}
}
