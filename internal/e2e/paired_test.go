package e2e

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sorrelrudder/internal/fake"
)

// TestPairedSidecars compares the cost of two builds of the sidecar, which it loads alternately over the same backends. It guards
// against a build that costs more CPU time or latency than the one before. It is run manually:
//
//	SIDECAR_BEFORE=/path/old SIDECAR_AFTER=/path/new go test -run TestPairedSidecars -v ./internal/e2e
func TestPairedSidecars(t *testing.T) {
	builds := []string{os.Getenv("SIDECAR_BEFORE"), os.Getenv("SIDECAR_AFTER")}
	if builds[0] == "" || builds[1] == "" {
		t.Skip("SIDECAR_BEFORE and SIDECAR_AFTER are not both set")
	}
	ctx := context.Background()
	e := &Env{Seed: 1, report: &Report{Measures: map[string]float64{}, bounds: map[string]string{}}}
	defer e.close()
	backends, err := e.startBackends("box", 3, nil, func(c *fake.BackendConfig) { c.ServiceTime, c.Cores, c.QueueLimit = 0, 64, 1000 })
	if err != nil {
		t.Fatal(err)
	}
	discovery, err := e.startDiscovery(nil, backends)
	if err != nil {
		t.Fatal(err)
	}
	config := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:0","discovery":%q,"limits":{"memory_mb":64,"sockets":512},"settings":{"GroupSize":1,
		"TickUs":1000,"Limits":{"SendCap":3,"Cancelling":true,"Probes":true,"MayDuplicate":true,"DialTimeoutUs":250000,"ConnIdleUs":5000000},
		"Safety":{"AskEveryUs":10000000},"Telemetry":{"Fields":["inflight","queue","util"],"Via":"inline"},"Tariffs":{"Probe":0.05},
		"RequestClasses":[{"Name":"allocation-check","Effect":"read_like","Group":"all","AimUs":150000,"DeadlineUs":600000,"Worth":1,"LateShare":0.3}]}}`,
		discovery.Addr())
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("GW_CONFIG", config)
	var sides []*costSubject
	for _, build := range builds {
		e.options.Program = []string{build}
		p, err := e.Command()
		if err != nil {
			t.Fatal(err)
		}
		line, err := p.AwaitLog(ctx, "msg=ready ", 1)
		if err != nil {
			t.Fatal(err, p.LogTail(10))
		}
		sides = append(sides, &costSubject{program: p, addr: LogField(line, "listen")})
	}
	for n := range 11 {
		for i := range sides {
			if err := sides[(i+n)%2].measureRound(ctx, time.Second, n > 0); err != nil {
				t.Fatal(err)
			}
		}
	}
	for i, s := range sides {
		memory, err := s.program.MemoryMB()
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s: %.1f us CPU time per request, %.0f requests per second, p50 %.2f ms, p99 %.2f ms, %.1f MB memory, %d of %d requests failed", strings.Fields("before after")[i],
			median(s.cpu), median(s.rate), median(s.p50), median(s.p99), memory, s.failed, s.requests)
	}
	t.Logf("after/before: CPU time %.3f, rate %.3f, p50 %.3f, p99 %.3f", ratio(sides[1].cpu, sides[0].cpu),
		ratio(sides[1].rate, sides[0].rate), ratio(sides[1].p50, sides[0].p50), ratio(sides[1].p99, sides[0].p99))
}
