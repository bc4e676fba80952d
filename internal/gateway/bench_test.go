package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"syscall"
	"testing"
	"time"

	"sorrelrudder/internal/discovery"
	"sorrelrudder/internal/route"
)

// instantServer starts a server that answers each request at once with a few bytes, and returns its address. Its CPU time per request is
// small, so that the benchmark measures the gateway.
func instantServer(b *testing.B) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { ln.Close() })
	answer := []byte("HTTP/1.1 200 OK\r\nX-Server-Load: TEXT inflight=0, queue=0\r\nContent-Length: 2\r\n\r\nok")
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					q, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, q.Body); err != nil {
						return
					}
					if _, err := c.Write(answer); err != nil {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// heap returns the memory in use, in bytes: the heap after garbage collection, and the stacks.
func heap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// cpu returns the CPU time that the process has used.
func cpu() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// benchConfig returns a configuration with n pools, each with three endpoints at addr.
func benchConfig(n int, addr string) Config {
	cfg := Config{Name: "bench", MemoryMB: 512, Descriptors: 4096, Listeners: []Listener{{Name: "farm", Address: "127.0.0.1:0"}}}
	for i := range n {
		name := fmt.Sprint("pool", i)
		cfg.Pools = append(cfg.Pools, Pool{
			Name: name, Settings: testSettings(), Limits: Limits{Weight: 1}, Seed: 1,
			StaticEndpoints: []discovery.Endpoint{
				{ID: "a", Address: addr, Health: "active", Weight: 1}, {ID: "b", Address: addr, Health: "active", Weight: 1},
				{ID: "c", Address: addr, Health: "active", Weight: 1},
			},
		})
		cfg.Routes = append(cfg.Routes, route.Route{Name: name, Hosts: []string{name + ".example.org"}, Path: "/", Pool: name})
	}
	return cfg
}

// BenchmarkPools measures the memory of an idle pool and the CPU time per request for several numbers of pools. The CPU time includes the
// client and the server, which run in the same process.
func BenchmarkPools(b *testing.B) {
	for _, n := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("pools=%d", n), func(b *testing.B) {
			addr := instantServer(b)
			cfg := benchConfig(n, addr)
			before := heap()
			g, err := New(cfg, slog.New(slog.DiscardHandler))
			if err != nil {
				b.Fatal(err)
			}
			if err := g.Listen(); err != nil {
				b.Fatal(err)
			}
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				if err := g.Run(ctx); err != nil {
					b.Error(err)
				}
			}()
			defer func() {
				cancel()
				<-ended
			}()
			idleBytes := (heap() - before) / float64(n)
			c, err := net.Dial("tcp", g.ListenerAddr("farm").String())
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			r := bufio.NewReader(c)
			i := 0
			roundTrip := func() {
				i++
				fmt.Fprintf(c, "GET /check/7 HTTP/1.1\r\nHost: pool%d.example.org\r\nX-Request-ID: r%d\r\nX-Timeout-Ms: 5000\r\n\r\n", i%min(n, 8), i)
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					b.Fatal(err)
				}
				_, err = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if err != nil || resp.StatusCode != http.StatusOK {
					b.Fatalf("status %d, error %v", resp.StatusCode, err)
				}
			}
			for range 200 {
				roundTrip()
			}
			start := cpu()
			b.ReportAllocs()
			requests := 0
			for b.Loop() {
				roundTrip()
				requests++
			}
			b.ReportMetric(idleBytes, "B/pool")
			b.ReportMetric(float64((cpu()-start).Nanoseconds())/float64(requests), "cpu-ns/request")
		})
	}
}
