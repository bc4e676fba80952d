package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "long-bodies", Duration: 12 * time.Second, Run: streamingBodies,
		Summary: "200 concurrent requests with long request or response bodies, between clients and backends of different speeds, in bounded memory",
	})
}

const (
	streamingConcurrency = 200      // concurrent requests
	maxStreamingBytes    = 32 << 20 // of the longest body
	minStreamingBytes    = 70_000   // of the shortest

	// maxStreamingMemoryMB is the target for the memory of the program: at most three of the longest bodies. The program is
	// configured with 128 MB, of which an eighth is for the first parts of 256 bodies.
	maxStreamingMemoryMB = 96

	streamingTimeout       = 20 * time.Second // of a request
	streamingClientTimeout = 2 * time.Minute
	slowClientTimeout      = 30 * time.Second // of the client that sends one byte per second, and of the client whose backend stops reading
	stuckReadLimit         = 300_000          // bytes after which a backend stops reading
	memoryPollInterval     = 50 * time.Millisecond
)

// streamingPaces are the speeds of clients. Backends have the first three: at the last, the longest body would take more than a minute.
var streamingPaces = []fake.Pace{
	{MaxChunk: 64 << 10},
	{BytesPerSecond: 8 << 20, MaxChunk: 40_000},
	{BytesPerSecond: 1 << 20, MaxChunk: 9_000},
	{BytesPerSecond: 400_000, MaxChunk: 3_000},
}

// streamingScenario passes long bodies in both directions between clients and backends of different speeds.
type streamingScenario struct {
	env      *Env
	program  *Program
	backends []*fake.StreamingBackend
	stuck    *fake.StreamingBackend // backend that stops reading after stuckReadLimit

	mu     sync.Mutex // guards counts
	counts streamingCounts
}

// streamingCounts counts requests by outcome.
type streamingCounts struct {
	requests, complete, rejected, broken, duplicated int
	bytes                                            int64 // of complete bodies
}

func streamingBodies(ctx context.Context, e *Env) error {
	s := &streamingScenario{env: e}
	if err := s.start(ctx); err != nil {
		return err
	}
	e.Phase("long request and response bodies", e.Duration)
	watch, cancel := context.WithCancel(ctx)
	defer cancel()
	peakMemory := s.watchMemory(watch)
	slow, stuck := s.load(ctx)
	cancel()
	memory := <-peakMemory
	if err := s.program.Stop(); err != nil {
		e.Fail("the program ended with %v", err)
	}
	if ctx.Err() != nil {
		return fmt.Errorf("scenario was interrupted: %w", ctx.Err())
	}
	s.measure(memory, slow, stuck)
	return nil
}

// start starts the backends and the program.
func (s *streamingScenario) start(ctx context.Context) error {
	for _, pace := range streamingPaces[:3] {
		backend, err := s.startBackend(pace, 0)
		if err != nil {
			return err
		}
		s.backends = append(s.backends, backend)
	}
	var err error
	if s.stuck, err = s.startBackend(streamingPaces[0], stuckReadLimit); err != nil {
		return err
	}
	var text strings.Builder
	text.WriteString("[process]\nmemory = \"128MiB\"\ndescriptors = 1024\n\n[[listeners]]\nname = \"farm\"\naddress = \"127.0.0.1:0\"\n")
	text.WriteString(streamingPoolTOML("reports", "channel-report", fake.Idempotent, s.backends...))
	text.WriteString(streamingPoolTOML("photos", "meter-photo", fake.NonIdempotent, s.backends...))
	text.WriteString(streamingPoolTOML("stuck", "stuck-photo", fake.NonIdempotent, s.stuck))
	s.program, err = s.env.Start(ctx, text.String(), 1)
	return err
}

func (s *streamingScenario) startBackend(pace fake.Pace, readLimit int64) (*fake.StreamingBackend, error) {
	backend, err := fake.StartStreamingBackend(pace, readLimit, s.env.Seed)
	if err != nil {
		return nil, err
	}
	s.env.Defer(backend.Close)
	return backend, nil
}

// streamingPoolTOML returns a pool of one class and the route to it.
func streamingPoolTOML(name, class string, idempotency fake.Idempotency, backends ...*fake.StreamingBackend) string {
	var b strings.Builder
	fmt.Fprintf(&b, "\n[pools.%s]\n", name)
	for i, backend := range backends {
		fmt.Fprintf(&b, "[[pools.%s.servers]]\nname = \"%s-%d\"\naddress = %q\n", name, name, i, backend.Addr())
	}
	fmt.Fprintf(&b, "[[pools.%s.classes]]\nname = %q\neffect = %q\naim = \"5s\"\ndeadline = \"20s\"\n", name, class, idempotency)
	fmt.Fprintf(&b, "[[routes]]\nname = %q\nhosts = [%q]\nclasses = [%q]\npool = %q\n", name, farmHost, class, name)
	return b.String()
}

// watchMemory polls the memory of the program until ctx ends. The channel then receives the maximum, in MB.
func (s *streamingScenario) watchMemory(ctx context.Context) <-chan float64 {
	peak := make(chan float64, 1)
	go func() {
		most := 0.0
		for ctx.Err() == nil {
			if now, err := s.program.MemoryMB(); err == nil {
				most = max(most, now)
			}
			pause(ctx, memoryPollInterval)
		}
		peak <- most
	}()
	return peak
}

// load sends long requests for the duration of the scenario, beside a client that sends one byte per second and a client whose backend
// stops reading. It returns the results of these two.
func (s *streamingScenario) load(ctx context.Context) (slow, stuck fake.StreamingResult) {
	until := time.Now().Add(s.env.Duration)
	rng := rand.New(rand.NewPCG(s.env.Seed, 11))
	var clients sync.WaitGroup
	for n := range streamingConcurrency {
		own := rand.New(rand.NewPCG(rng.Uint64(), uint64(n)))
		clients.Go(func() {
			for i := 0; time.Now().Before(until) && ctx.Err() == nil; i++ {
				s.send(ctx, s.drawRequest(own, fmt.Sprintf("long-%d-%d-%d", s.env.Seed, n, i)))
			}
		})
	}
	clients.Go(func() {
		slow = fake.SendStreaming(ctx, fake.StreamingRequest{
			Addr: s.program.Addr("farm"), ID: "drip", Class: "meter-photo", Upload: true, Size: 100_000,
			Pace: fake.Pace{BytesPerSecond: 1, MaxChunk: 1}, Timeout: streamingTimeout, ClientTimeout: slowClientTimeout,
		})
	})
	clients.Go(func() {
		stuck = fake.SendStreaming(ctx, fake.StreamingRequest{
			Addr: s.program.Addr("farm"), ID: "half", Class: "stuck-photo", Upload: true, Size: maxStreamingBytes,
			Pace: streamingPaces[0], Timeout: streamingTimeout, ClientTimeout: slowClientTimeout,
		})
	})
	clients.Wait()
	return slow, stuck
}

// drawRequest draws an upload or a download. Most bodies take the slowest backend some seconds. The fastest clients draw the longest body
// for one in twenty requests.
func (s *streamingScenario) drawRequest(rng *rand.Rand, id string) fake.StreamingRequest {
	pace := streamingPaces[rng.IntN(len(streamingPaces))]
	request := fake.StreamingRequest{
		Addr: s.program.Addr("farm"), ID: id, Class: "channel-report", Upload: rng.IntN(2) == 0, Chunked: rng.IntN(3) == 0,
		Pace: pace, Timeout: streamingTimeout, ClientTimeout: streamingClientTimeout, Seed: rng.Uint64(),
	}
	if request.Upload {
		request.Class = "meter-photo"
	}
	request.Size = minStreamingBytes + rng.Int64N(1<<20)
	if rng.IntN(20) == 0 && pace.BytesPerSecond == 0 {
		request.Size = maxStreamingBytes
	}
	return request
}

// send sends a request and counts its outcome.
func (s *streamingScenario) send(ctx context.Context, request fake.StreamingRequest) {
	result := fake.SendStreaming(ctx, request)
	completed := int64(0)
	for _, backend := range s.backends {
		completed += backend.CompletedBodies(request.ID)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.requests++
	switch {
	case result.Complete:
		s.counts.complete++
		s.counts.bytes += request.Size
	case result.Status == http.StatusServiceUnavailable || result.Status == http.StatusTooManyRequests:
		s.counts.rejected++
	default:
		s.counts.broken++
		s.env.Fail("%s of %d bytes: status %d, %v after %v", request.Class, request.Size, result.Status, result.Err, result.Duration)
	}
	if request.Upload && (result.Complete && completed != 1 || completed > 1) {
		s.counts.duplicated++
	}
}

func (s *streamingScenario) measure(memoryMB float64, slow, stuck fake.StreamingResult) {
	e, counts := s.env, s.counts
	corrupt := s.stuck.CorruptBodies()
	for _, backend := range s.backends {
		corrupt += backend.CorruptBodies()
	}
	e.Measure("requests", float64(counts.requests))
	e.Measure("megabytes", float64(counts.bytes)/(1<<20))
	e.AtLeast("whole_share", float64(counts.complete)/float64(max(1, counts.requests-counts.rejected)), 1)
	e.AtMost("refused_share", float64(counts.rejected)/float64(max(1, counts.requests)), 0.05)
	e.AtMost("broken_off", float64(counts.broken), 0)
	e.AtMost("wrong_bytes", float64(corrupt), 0)
	e.AtMost("doubled", float64(counts.duplicated), 0)
	e.AtMost("memory_mb_most", memoryMB, maxStreamingMemoryMB)
	e.Measure("byte_a_second_status", float64(slow.Status))
	e.Measure("byte_a_second_s", slow.Duration.Seconds())
	e.Measure("stuck_box_status", float64(stuck.Status))
	e.Measure("stuck_box_s", stuck.Duration.Seconds())
	if slow.Status != http.StatusRequestTimeout {
		e.Fail("a client that sends a byte a second was answered %d, %v", slow.Status, slow.Err)
	}
	if stuck.Status != http.StatusServiceUnavailable {
		e.Fail("a body whose server stopped reading was answered %d, %v", stuck.Status, stuck.Err)
	}
}
