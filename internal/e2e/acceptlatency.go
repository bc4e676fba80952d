package e2e

import (
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	acceptProbeInterval = 10 * time.Millisecond
	acceptProbeTimeout  = time.Second
	maxAcceptProbes     = 50 // bounds the load of the probes
	acceptProbeRequest  = "GET /healthz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
)

// acceptTimes opens connections at acceptProbeInterval until ctx ends, and returns the time that each took from its SYN to the first byte
// of the response to a request that needs no backend. A connection without a response counts as acceptProbeTimeout. No connection is
// opened while more than maxAcceptProbes are in flight.
func acceptTimes(ctx context.Context, addr string) (all []time.Duration) {
	var mu sync.Mutex
	var probes sync.WaitGroup
	var inFlight atomic.Int64
	ticker := time.NewTicker(acceptProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			probes.Wait()
			return all
		case <-ticker.C:
		}
		if inFlight.Load() > maxAcceptProbes {
			continue
		}
		inFlight.Add(1)
		probes.Go(func() {
			defer inFlight.Add(-1)
			duration := acceptTime(addr)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, duration)
		})
	}
}

// acceptTime opens one connection and returns the time until the first byte of the response.
func acceptTime(addr string) time.Duration {
	began := time.Now()
	conn, err := net.DialTimeout("tcp", addr, acceptProbeTimeout)
	if err != nil {
		return acceptProbeTimeout
	}
	defer conn.Close()
	conn.SetDeadline(began.Add(acceptProbeTimeout))
	if _, err := io.WriteString(conn, acceptProbeRequest); err != nil {
		return acceptProbeTimeout
	}
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return acceptProbeTimeout
	}
	return time.Since(began)
}

// quantile returns the value below which the given fraction of the values lies, or 0 if there are none.
func quantile(all []time.Duration, fraction float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(all))
	return sorted[min(len(sorted)-1, int(fraction*float64(len(sorted))))]
}
