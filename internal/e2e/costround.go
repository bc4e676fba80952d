package e2e

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	costConns           = 16
	costExchangeTimeout = 5 * time.Second
	maxCostBodyBytes    = 1 << 20
)

// costSubject is a process whose cost is measured.
type costSubject struct {
	program  *Program
	addr     string
	cpu      []float64 // microseconds per request, by round
	rate     []float64 // requests per second, by round
	p50, p99 []float64 // milliseconds, by round
	requests int
	failed   int
}

// measureRound sends requests over costConns connections for a time, with one request in flight on each. The round is recorded if counts is
// set; otherwise it is a warm-up.
func (s *costSubject) measureRound(ctx context.Context, length time.Duration, counts bool) error {
	before, err := s.program.CPU()
	if err != nil {
		return err
	}
	began := time.Now()
	latencies, failed := s.loadConns(ctx, began.Add(length))
	duration := time.Since(began)
	after, err := s.program.CPU()
	if err != nil {
		return err
	}
	if counts && len(latencies) > 0 {
		s.record(latencies, failed, after-before, duration)
	}
	return ctx.Err()
}

// loadConns runs the closed loops of all connections until a moment, and returns their latencies and failures.
func (s *costSubject) loadConns(ctx context.Context, until time.Time) (latencies []time.Duration, failed int) {
	var conns sync.WaitGroup
	var mu sync.Mutex
	for i := range costConns {
		conns.Go(func() {
			connLatencies, connFailed := closedLoop(ctx, s.addr, i, until)
			mu.Lock()
			defer mu.Unlock()
			latencies = append(latencies, connLatencies...)
			failed += connFailed
		})
	}
	conns.Wait()
	return latencies, failed
}

// record adds the values of a round.
func (s *costSubject) record(latencies []time.Duration, failed int, cpu, duration time.Duration) {
	slices.Sort(latencies)
	n := len(latencies)
	s.requests += n
	s.failed += failed
	s.cpu = append(s.cpu, float64(cpu.Microseconds())/float64(n))
	s.rate = append(s.rate, float64(n)/duration.Seconds())
	s.p50 = append(s.p50, float64(latencies[n/2])/1e6)
	s.p99 = append(s.p99, float64(latencies[n*99/100])/1e6)
}

// measure measures the medians over all rounds. name is the prefix of the measures' names.
func (s *costSubject) measure(e *Env, name string) error {
	memory, err := s.program.MemoryMB()
	if err != nil {
		return err
	}
	e.Measure(name+"_requests", float64(s.requests))
	e.Measure(name+"_failed", float64(s.failed))
	e.Measure(name+"_cpu_us_a_request", median(s.cpu))
	e.Measure(name+"_requests_a_second", median(s.rate))
	e.Measure(name+"_p50_ms", median(s.p50))
	e.Measure(name+"_p99_ms", median(s.p99))
	e.Measure(name+"_memory_mb", memory)
	return nil
}

// closedLoop sends requests one after the other over a connection until a moment, or until the connection fails.
func closedLoop(ctx context.Context, addr string, index int, until time.Time) (latencies []time.Duration, failed int) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, 1
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for i := 0; time.Now().Before(until) && ctx.Err() == nil; i++ {
		began := time.Now()
		conn.SetDeadline(began.Add(costExchangeTimeout))
		id := fmt.Sprintf("cost-%d-%d-%d", until.UnixNano(), index, i)
		text := "GET /allocation-check/" + id + " HTTP/1.1\r\nHost: h\r\nX-Request-ID: " + id + "\r\nX-Timeout-Ms: 600\r\n\r\n"
		if _, err := io.WriteString(conn, text); err != nil {
			return latencies, failed + 1
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return latencies, failed + 1
		}
		body, err := io.ReadAll(io.LimitReader(response.Body, maxCostBodyBytes))
		if err != nil || response.StatusCode != http.StatusOK || !strings.HasPrefix(string(body), "allocation-check ") {
			failed++
		}
		latencies = append(latencies, time.Since(began))
	}
	return latencies, failed
}

// median returns the median of the values, or 0 if there are none.
func median(all []float64) float64 {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(all))
	return sorted[len(sorted)/2]
}

// ratio returns the median of the ratios a/b by round.
func ratio(a, b []float64) float64 {
	var all []float64
	for i := range min(len(a), len(b)) {
		all = append(all, a[i]/b[i])
	}
	return median(all)
}
