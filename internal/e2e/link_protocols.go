package e2e

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "hop-carriage", Duration: 12 * time.Second, Run: linkProtocols,
		Summary: "HTTP/1.1 and HTTP/2 on a link between sites: CPU time and latency, short requests beside long bodies, and a stalled connection",
	})
}

const (
	linkDelay           = 8 * time.Millisecond // one way
	linkBytesPerSecond  = 8 << 20              // in each direction
	linkRequestTimeout  = 400 * time.Millisecond
	linkServiceTime     = 5 * time.Millisecond // of the server
	linkPingTimeout     = 100 * time.Millisecond
	linkHeaderTimeout   = 5 * time.Second
	maxLinkIdleConns    = 1000
	maxLinkRequestBytes = 1 << 20

	shortRate  = 200 // short requests per second
	shortBytes = 200
	longRate   = 20 // long requests per second
	longBytes  = 64 << 10
)

// linkProtocol is one of the two protocols, with its own link.
type linkProtocol struct {
	name    string
	proxy   *fake.Proxy
	client  *http.Client
	baseURL string
}

// newLinkProtocol starts a server, a link to it and a client, which speak HTTP/2 or HTTP/1.1.
func newLinkProtocol(e *Env, name string, useHTTP2 bool) (*linkProtocol, error) {
	var protocols http.Protocols
	protocols.SetHTTP1(!useHTTP2)
	protocols.SetUnencryptedHTTP2(useHTTP2)
	serverAddr, err := startLinkServer(e, &protocols)
	if err != nil {
		return nil, err
	}
	proxy, err := fake.StartProxy(serverAddr)
	if err != nil {
		return nil, err
	}
	e.Defer(proxy.Close)
	proxy.SetDelay(linkDelay)
	proxy.SetRate(linkBytesPerSecond)
	transport := &http.Transport{
		Protocols: &protocols, MaxIdleConnsPerHost: maxLinkIdleConns, DisableCompression: true,
		HTTP2: &http.HTTP2Config{SendPingTimeout: linkPingTimeout, PingTimeout: linkPingTimeout},
	}
	e.Defer(transport.CloseIdleConnections)
	return &linkProtocol{name: name, proxy: proxy, client: &http.Client{Transport: transport}, baseURL: "http://" + proxy.Addr()}, nil
}

// startLinkServer starts the server at the far end of the link, and returns its address.
func startLinkServer(e *Env, protocols *http.Protocols) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	handler := func(w http.ResponseWriter, request *http.Request) {
		io.Copy(io.Discard, io.LimitReader(request.Body, maxLinkRequestBytes))
		time.Sleep(linkServiceTime)
		w.Write([]byte("done"))
	}
	server := &http.Server{Protocols: protocols, ReadHeaderTimeout: linkHeaderTimeout, Handler: http.HandlerFunc(handler)}
	go server.Serve(listener)
	e.Defer(func() { server.Close() })
	return listener.Addr().String(), nil
}

// linkResults are the outcomes of requests. The fields may be read once send has returned.
type linkResults struct {
	mu        sync.Mutex // guards the fields below
	latencies []time.Duration
	failed    int
	requests  int
}

// percentile returns the latency below which the fraction p of the answered requests lies, or linkRequestTimeout if there are none.
func (r *linkResults) percentile(p float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.latencies) == 0 {
		return linkRequestTimeout
	}
	return quantile(r.latencies, p)
}

func (r *linkResults) record(latency time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests++
	if err != nil {
		r.failed++
		return
	}
	r.latencies = append(r.latencies, latency)
}

// send sends requests at a rate per second for a time, each with a body of n bytes, and returns once all have ended.
func (l *linkProtocol) send(ctx context.Context, rate float64, n int, length time.Duration) *linkResults {
	results := &linkResults{}
	body := bytes.Repeat([]byte("b"), n)
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	end := time.After(length)
	var requests sync.WaitGroup
	defer requests.Wait()
	for {
		select {
		case <-ctx.Done():
			return results
		case <-end:
			return results
		case <-ticker.C:
		}
		requests.Go(func() {
			began := time.Now()
			err := l.exchange(ctx, body)
			results.record(time.Since(began), err)
		})
	}
}

// exchange sends one request and reads its response.
func (l *linkProtocol) exchange(ctx context.Context, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, linkRequestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, l.baseURL+"/order", bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := l.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// processCPU returns the CPU time that this process has used. Both ends of the links run in it.
func processCPU() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// linkProtocols compares HTTP/1.1 and HTTP/2 on a link between two sites.
func linkProtocols(ctx context.Context, e *Env) error {
	http1, err := newLinkProtocol(e, "http1", false)
	if err != nil {
		return err
	}
	http2, err := newLinkProtocol(e, "http2", true)
	if err != nil {
		return err
	}
	length := e.Duration / 6
	costs := map[string]float64{} // microseconds of CPU time per request
	for _, protocol := range []*linkProtocol{http1, http2} {
		if costs[protocol.name], err = protocol.measureShort(ctx, e, length); err != nil {
			return err
		}
		protocol.measureBesideLong(ctx, e, length)
		if err := protocol.measureStalled(ctx, e, length); err != nil {
			return err
		}
	}
	e.Measure("cpu_ratio_http2_to_http1", costs["http2"]/costs["http1"])
	return nil
}

// measureShort measures short requests alone. It returns the CPU time per request of both ends together, in microseconds.
func (l *linkProtocol) measureShort(ctx context.Context, e *Env, length time.Duration) (cost float64, err error) {
	e.Phase(l.name+": short requests", length)
	l.send(ctx, shortRate, shortBytes, length/4) // warm-up
	before := processCPU()
	results := l.send(ctx, shortRate, shortBytes, length)
	cost = float64((processCPU() - before).Microseconds()) / float64(max(1, results.requests))
	e.Measure(l.name+"_p50_ms", milliseconds(results.percentile(0.5)))
	e.Measure(l.name+"_p99_ms", milliseconds(results.percentile(0.99)))
	e.Measure(l.name+"_cpu_us_both_sides", cost)
	e.Measure(l.name+"_connections", float64(l.proxy.Connections()))
	if len(results.latencies) == 0 {
		return 0, l.noRequestsError()
	}
	return cost, nil
}

// noRequestsError returns errNoRequests with the name of the protocol.
func (l *linkProtocol) noRequestsError() error { return fmt.Errorf("%s: %w", l.name, errNoRequests) }

// measureBesideLong measures short requests beside long ones.
func (l *linkProtocol) measureBesideLong(ctx context.Context, e *Env, length time.Duration) {
	e.Phase(l.name+": short requests beside long bodies", length)
	var results *linkResults
	var both sync.WaitGroup
	both.Go(func() { l.send(ctx, longRate, longBytes, length) })
	both.Go(func() { results = l.send(ctx, shortRate, shortBytes, length) })
	both.Wait()
	e.Measure(l.name+"_p99_beside_long_bodies_ms", milliseconds(results.percentile(0.99)))
}

// measureStalled measures short requests while one connection is stalled.
func (l *linkProtocol) measureStalled(ctx context.Context, e *Env, length time.Duration) error {
	e.Phase(l.name+": one connection is stalled", length)
	var results *linkResults
	var both sync.WaitGroup
	both.Go(func() { results = l.send(ctx, shortRate, shortBytes, length) })
	both.Go(func() {
		if pause(ctx, length/4) {
			l.proxy.StallConnection()
		}
	})
	both.Wait()
	e.Measure(l.name+"_failed_with_one_stalled", float64(results.failed))
	e.Measure(l.name+"_requests_with_one_stalled", float64(results.requests))
	if results.requests == 0 {
		return l.noRequestsError()
	}
	return nil
}
