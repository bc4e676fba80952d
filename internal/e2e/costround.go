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
