package e2e

import (
	"context"
	"errors"
	"fmt"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "cost", Duration: 4 * time.Second, Run: cost,
		Summary: "the program and the standard library's reverse proxy in turn, 16 connections: processor time and latency",
	})
}

const (
	costConns  = 16
	costRounds = 5
)

// errNoRequests tells that nothing was measured.
var errNoRequests = errors.New("no requests")

// cost compares the program with a plain reverse proxy over the same backends, in turn, so that both see the same machine.
func cost(ctx context.Context, e *Env) error {
	recorder := fake.NewEffectRecorder() // for its rules nothing is asked of it here: the load is too dense to keep
	backends, err := e.startBackends("box", 3, nil, func(c *fake.BackendConfig) {
		c.ServiceTime, c.Cores, c.QueueLimit = 0, 64, 1000
	})
	if err != nil {
		return err
	}
	discovery, err := e.startDiscovery(recorder, backends)
	if err != nil {
		return err
	}
	var program, proxy costSubject
	program.program, err = e.Start(ctx, fmt.Sprintf("[[listeners]]\nname = \"farm\"\naddress = \"127.0.0.1:0\"\n[pools.farm]\ndiscovery = %q\n%s",
		discovery.Addr(), classesTOML("farm")), 1)
	if err != nil {
		return err
	}
	program.addr = program.program.Addr("farm")
	args := []string{"proxy"}
	for _, b := range backends {
		args = append(args, b.Addr())
	}
	if proxy.program, err = e.Command(args...); err != nil {
		return err
	}
	if _, err := proxy.program.AwaitLog(ctx, "msg=ready ", 1); err != nil {
		return fmt.Errorf("the proxy: %w\n%s", err, proxy.program.LogTail(10))
	}
	proxy.addr = proxy.program.Addr("proxy")
	sides := []*costSubject{&program, &proxy}
	round := e.Duration / costRounds
	for n := range costRounds + 1 { // the first warms up
		e.Phase(fmt.Sprintf("round %d of %d", n, costRounds), 2*round)
		for i := range sides {
			s := sides[(i+n)%2]
			if err := s.measureRound(ctx, round, n > 0); err != nil {
				return err
			}
		}
	}
	for i, name := range []string{"program", "proxy"} {
		s := sides[i]
		if s.resident, err = s.program.MemoryMB(); err != nil {
			return err
		}
		e.Measure(name+"_requests", float64(s.requests))
		e.Measure(name+"_failed", float64(s.failed))
		e.Measure(name+"_cpu_us_a_request", median(s.cpu))
		e.Measure(name+"_requests_a_second", median(s.rate))
		e.Measure(name+"_p50_ms", median(s.p50))
		e.Measure(name+"_p99_ms", median(s.p99))
		e.Measure(name+"_memory_mb", s.resident)
	}
	e.Measure("cpu_ratio", ratio(program.cpu, proxy.cpu))
	e.Measure("rate_ratio", ratio(program.rate, proxy.rate))
	e.Measure("p50_ratio", ratio(program.p50, proxy.p50))
	e.Measure("p99_ratio", ratio(program.p99, proxy.p99))
	e.AtMost("program_failed_share", float64(program.failed)/float64(max(1, program.requests)), 0.01)
	return nil
}
