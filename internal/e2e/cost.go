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
		Summary: "CPU time and latency of the program and of the standard library's reverse proxy, measured alternately over 16 connections",
	})
}

// costRounds is the number of rounds. Each round measures both processes.
const costRounds = 5

// errNoRequests is returned if a load completed no request, so that nothing was measured.
var errNoRequests = errors.New("no requests were completed")

// cost compares the program with a plain reverse proxy over the same backends. It measures them alternately, so that both run under the
// same conditions of the machine.
func cost(ctx context.Context, e *Env) error {
	backends, err := e.startBackends("box", 3, nil, func(c *fake.BackendConfig) { // no recorder: it cannot keep up with the load
		c.ServiceTime, c.Cores, c.QueueLimit = 0, 64, 1000
	})
	if err != nil {
		return err
	}
	program, err := e.startCostProgram(ctx, backends)
	if err != nil {
		return err
	}
	proxy, err := e.startCostProxy(ctx, backends)
	if err != nil {
		return err
	}
	subjects := []*costSubject{program, proxy}
	round := e.Duration / costRounds
	for n := range costRounds + 1 { // the first round is a warm-up
		e.Phase(fmt.Sprintf("round %d of %d", n, costRounds), 2*round)
		for i := range subjects {
			if err := subjects[(i+n)%2].measureRound(ctx, round, n > 0); err != nil {
				return err
			}
		}
	}
	if err := program.measure(e, "program"); err != nil {
		return err
	}
	if err := proxy.measure(e, "proxy"); err != nil {
		return err
	}
	e.Measure("cpu_ratio", ratio(program.cpu, proxy.cpu))
	e.Measure("rate_ratio", ratio(program.rate, proxy.rate))
	e.Measure("p50_ratio", ratio(program.p50, proxy.p50))
	e.Measure("p99_ratio", ratio(program.p99, proxy.p99))
	e.AtMost("program_failed_share", float64(program.failed)/float64(max(1, program.requests)), 0.01)
	return nil
}

// startCostProgram starts the program in front of the backends.
func (e *Env) startCostProgram(ctx context.Context, backends []*fake.Backend) (*costSubject, error) {
	discovery, err := e.startDiscovery(nil, backends)
	if err != nil {
		return nil, err
	}
	text := fmt.Sprintf("[[listeners]]\nname = \"farm\"\naddress = \"127.0.0.1:0\"\n[pools.farm]\ndiscovery = %q\n%s",
		discovery.Addr(), classesTOML("farm"))
	program, err := e.Start(ctx, text, 1)
	if err != nil {
		return nil, err
	}
	return &costSubject{program: program, addr: program.Addr("farm")}, nil
}

// startCostProxy starts the standard library's reverse proxy in front of the backends.
func (e *Env) startCostProxy(ctx context.Context, backends []*fake.Backend) (*costSubject, error) {
	args := []string{"proxy"}
	for _, backend := range backends {
		args = append(args, backend.Addr())
	}
	proxy, err := e.Command(args...)
	if err != nil {
		return nil, err
	}
	if _, err := proxy.AwaitLog(ctx, readyMessage, 1); err != nil {
		return nil, fmt.Errorf("starting the reverse proxy: %w\n%s", err, proxy.LogTail(10))
	}
	return &costSubject{program: proxy, addr: proxy.Addr("proxy")}, nil
}
