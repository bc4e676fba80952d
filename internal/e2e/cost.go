package e2e

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
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

// costSubject is one of the two that are compared.
type costSubject struct {
	program  *Program
	addr     string
	cpu      []float64 // microseconds a request, by round
	rate     []float64 // requests a second
	p50, p99 []float64 // milliseconds
	resident float64
	requests int
	failed   int
}

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

// measureRound sends requests over kept connections for a round, each connection the next as soon as the last is answered.
func (s *costSubject) measureRound(ctx context.Context, length time.Duration, counts bool) error {
	before, err := s.program.CPU()
	if err != nil {
		return err
	}
	began := time.Now()
	var all sync.WaitGroup
	var mu sync.Mutex
	var latencies []time.Duration
	failed := 0
	for i := range costConns {
		all.Go(func() {
			own, bad := closedLoop(ctx, s.addr, i, began.Add(length))
			mu.Lock()
			defer mu.Unlock()
			latencies = append(latencies, own...)
			failed += bad
		})
	}
	all.Wait()
	spent := time.Since(began)
	after, err := s.program.CPU()
	if err != nil {
		return err
	}
	if !counts || len(latencies) == 0 {
		return ctx.Err()
	}
	slices.Sort(latencies)
	n := len(latencies)
	s.requests += n
	s.failed += failed
	s.cpu = append(s.cpu, float64((after-before).Microseconds())/float64(n))
	s.rate = append(s.rate, float64(n)/spent.Seconds())
	s.p50 = append(s.p50, float64(latencies[n/2])/1e6)
	s.p99 = append(s.p99, float64(latencies[n*99/100])/1e6)
	return ctx.Err()
}

func closedLoop(ctx context.Context, addr string, conn int, until time.Time) (latencies []time.Duration, failed int) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, 1
	}
	defer c.Close()
	r := bufio.NewReader(c)
	for i := 0; time.Now().Before(until) && ctx.Err() == nil; i++ {
		began := time.Now()
		c.SetDeadline(began.Add(5 * time.Second))
		id := fmt.Sprintf("cost-%d-%d-%d", until.UnixNano(), conn, i)
		text := "GET /allocation-check/" + id + " HTTP/1.1\r\nHost: h\r\nX-Request-ID: " + id + "\r\nX-Timeout-Ms: 600\r\n\r\n"
		if _, err := io.WriteString(c, text); err != nil {
			return latencies, failed + 1
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return latencies, failed + 1
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
		if err != nil || resp.StatusCode != http.StatusOK || !strings.HasPrefix(string(body), "allocation-check ") {
			failed++
		}
		latencies = append(latencies, time.Since(began))
	}
	return latencies, failed
}

func median(all []float64) float64 {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(all))
	return sorted[len(sorted)/2]
}

// ratio is the median of the ratios, round by round.
func ratio(a, b []float64) float64 {
	var all []float64
	for i := range min(len(a), len(b)) {
		all = append(all, a[i]/b[i])
	}
	return median(all)
}
