package e2e

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "hop-carriage", Duration: 12 * time.Second, Run: linkProtocols,
		Summary: "HTTP/1.1 and HTTP/2 over a link between sites: cost, long bodies beside short requests, a stalled connection",
	})
}

const (
	linkDelay          = 8 * time.Millisecond // one way, as between clare-pump and giru-office
	linkBytesPerSecond = 8 << 20              // bytes a second each way
	shortRate          = 200                  // short requests a second
	longRate           = 20                   // bodies of 64 KiB a second
	linkRequestTimeout = 400 * time.Millisecond
)

// linkProtocol is one of the two protocols over a link of its own.
type linkProtocol struct {
	name   string
	proxy  *fake.Proxy
	client *http.Client
	base   string
}

// newLinkProtocol starts a far side, a link to it and a client that speaks HTTP/2 or HTTP/1.1.
func newLinkProtocol(e *Env, name string, two bool) (*linkProtocol, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	var protocols http.Protocols
	protocols.SetHTTP1(!two)
	protocols.SetUnencryptedHTTP2(two)
	server := &http.Server{Protocols: &protocols, ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		io.Copy(io.Discard, io.LimitReader(q.Body, 1<<20))
		time.Sleep(5 * time.Millisecond) // the far side's work
		w.Write([]byte("done"))
	})}
	go server.Serve(ln)
	e.Defer(func() { server.Close() })
	proxy, err := fake.StartProxy(ln.Addr().String())
	if err != nil {
		return nil, err
	}
	e.Defer(proxy.Close)
	proxy.SetDelay(linkDelay)
	proxy.SetRate(linkBytesPerSecond)
	transport := &http.Transport{
		Protocols: &protocols, MaxIdleConnsPerHost: 1000, DisableCompression: true,
		HTTP2: &http.HTTP2Config{SendPingTimeout: 100 * time.Millisecond, PingTimeout: 100 * time.Millisecond},
	}
	e.Defer(transport.CloseIdleConnections)
	return &linkProtocol{name: name, proxy: proxy, client: &http.Client{Transport: transport}, base: "http://" + proxy.Addr()}, nil
}

// linkResults is what became of requests.
type linkResults struct {
	mu        sync.Mutex
	latencies []time.Duration
	failed    int
	requests  int
}

func (c *linkResults) percentile(part float64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.latencies) == 0 {
		return linkRequestTimeout
	}
	sorted := slices.Sorted(slices.Values(c.latencies))
	return sorted[min(len(sorted)-1, int(part*float64(len(sorted))))]
}

// send sends requests at a rate for a time, each with a body of n bytes and the deadline of a hop.
func (c *linkProtocol) send(ctx context.Context, rate float64, n int, length time.Duration) *linkResults {
	out := &linkResults{}
	body := bytes.Repeat([]byte("b"), n)
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	end := time.After(length)
	var all sync.WaitGroup
	defer all.Wait()
	for {
		select {
		case <-ctx.Done():
			return out
		case <-end:
			return out
		case <-tick.C:
		}
		all.Go(func() {
			began := time.Now()
			own, cancel := context.WithTimeout(ctx, linkRequestTimeout)
			defer cancel()
			q, err := http.NewRequestWithContext(own, http.MethodPost, c.base+"/order", bytes.NewReader(body))
			if err == nil {
				var resp *http.Response
				if resp, err = c.client.Do(q); err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
			}
			out.mu.Lock()
			defer out.mu.Unlock()
			out.requests++
			if err != nil {
				out.failed++
				return
			}
			out.latencies = append(out.latencies, time.Since(began))
		})
	}
}

func processCPU() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func linkProtocols(ctx context.Context, e *Env) error {
	one, err := newLinkProtocol(e, "http1", false)
	if err != nil {
		return err
	}
	two, err := newLinkProtocol(e, "http2", true)
	if err != nil {
		return err
	}
	part := e.Duration / 6
	costs := map[string]float64{}
	for _, c := range []*linkProtocol{one, two} {
		e.Phase(c.name+": short requests", part)
		c.send(ctx, shortRate, 200, part/4) // warms up
		began := processCPU()
		short := c.send(ctx, shortRate, 200, part)
		costs[c.name] = float64((processCPU() - began).Microseconds()) / float64(max(1, short.requests))
		e.Measure(c.name+"_p50_ms", milliseconds(short.percentile(0.5)))
		e.Measure(c.name+"_p99_ms", milliseconds(short.percentile(0.99)))
		e.Measure(c.name+"_cpu_us_both_sides", costs[c.name])
		e.Measure(c.name+"_connections", float64(c.proxy.Connections()))

		e.Phase(c.name+": long bodies beside", part)
		var beside *linkResults
		var both sync.WaitGroup
		both.Go(func() { c.send(ctx, longRate, 64<<10, part) })
		both.Go(func() { beside = c.send(ctx, shortRate, 200, part) })
		both.Wait()
		e.Measure(c.name+"_p99_beside_long_bodies_ms", milliseconds(beside.percentile(0.99)))

		e.Phase(c.name+": one connection stands still", part)
		var stalled *linkResults
		both.Go(func() { stalled = c.send(ctx, shortRate, 200, part) })
		both.Go(func() {
			select {
			case <-ctx.Done():
			case <-time.After(part / 4):
				c.proxy.StallConnection()
			}
		})
		both.Wait()
		e.Measure(c.name+"_failed_with_one_stalled", float64(stalled.failed))
		e.Measure(c.name+"_requests_with_one_stalled", float64(stalled.requests))
		if stalled.requests == 0 || len(short.latencies) == 0 {
			return fmt.Errorf("%s: nothing was carried", c.name)
		}
	}
	e.Measure("cpu_ratio_http2_to_http1", costs["http2"]/costs["http1"])
	return nil
}
