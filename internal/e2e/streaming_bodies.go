package e2e

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "long-bodies", Duration: 12 * time.Second, Run: streamingBodies,
		Summary: "long answers and bodies, 200 at once, between peers of unlike speed, in bounded memory",
	})
}

const (
	// streamingConcurrency is how many long requests are out at once, and longMost the size of the longest.
	streamingConcurrency = 200
	maxStreamingBytes    = 32 << 20
	// maxStreamingMemoryMB bounds the program's memory, in MB: no more than three of the longest bodies. It is told 128, an eighth of which
	// is for the first of 256 bodies.
	maxStreamingMemoryMB = 96
)

// streamingBodies has clients and backends of unlike speed pass long bodies both ways, beside a client that sends a byte a second and a backend
// that stops reading half-way, and watches the program's memory.
func streamingBodies(ctx context.Context, e *Env) error {
	rng := rand.New(rand.NewPCG(e.Seed, 11))
	text := "[process]\nmemory = \"128MiB\"\ndescriptors = 1024\n\n[[listeners]]\nname = \"farm\"\naddress = \"127.0.0.1:0\"\n"
	paces := []fake.Pace{{MaxChunk: 64 << 10}, {BytesPerSecond: 8 << 20, MaxChunk: 40_000}, {BytesPerSecond: 1 << 20, MaxChunk: 9_000}, {BytesPerSecond: 400_000, MaxChunk: 3_000}}
	var backends []*fake.StreamingBackend
	start := func(pace fake.Pace, stops int64) (*fake.StreamingBackend, error) {
		b, err := fake.StartStreamingBackend(pace, stops, e.Seed)
		if err == nil {
			e.Defer(b.Close)
			backends = append(backends, b)
		}
		return b, err
	}
	pool := func(name, class, effect string, backends ...*fake.StreamingBackend) {
		text += fmt.Sprintf("\n[pools.%s]\n", name)
		for i, b := range backends {
			text += fmt.Sprintf("[[pools.%s.servers]]\nname = \"%s-%d\"\naddress = %q\n", name, name, i, b.Addr())
		}
		text += fmt.Sprintf("[[pools.%s.classes]]\nname = %q\neffect = %q\naim = \"5s\"\ndeadline = \"20s\"\n[[routes]]\nname = %q\nhosts = [\"farm.example.org\"]\nclasses = [%q]\npool = %q\n",
			name, class, effect, name, class, name)
	}
	var all []*fake.StreamingBackend
	for _, p := range paces[:3] { // the slowest would take a minute for the longest
		b, err := start(p, 0)
		if err != nil {
			return err
		}
		all = append(all, b)
	}
	stuck, err := start(paces[0], 300_000)
	if err != nil {
		return err
	}
	pool("reports", "channel-report", "safe", all...)
	pool("photos", "meter-photo", "unsafe", all...)
	pool("stuck", "stuck-photo", "unsafe", stuck)
	p, err := e.Start(ctx, text, 1)
	if err != nil {
		return err
	}
	e.Phase("long answers and bodies, both ways", e.Duration)
	until := time.Now().Add(e.Duration)
	watch, cancel := context.WithCancel(ctx)
	defer cancel()
	var memory float64
	var watching sync.WaitGroup
	watching.Go(func() {
		for watch.Err() == nil {
			if now, err := p.MemoryMB(); err == nil {
				memory = max(memory, now)
			}
			select {
			case <-watch.Done():
			case <-time.After(50 * time.Millisecond):
			}
		}
	})

	var mu sync.Mutex
	var asked, whole, refused, broken, doubled int
	var bytes int64
	worker := func(n int, rng *rand.Rand) {
		for i := 0; time.Now().Before(until) && ctx.Err() == nil; i++ {
			pace := paces[rng.IntN(len(paces))]
			a := fake.StreamingRequest{
				Addr: p.Addr("farm"), ID: fmt.Sprintf("long-%d-%d-%d", e.Seed, n, i), Class: "channel-report", Upload: rng.IntN(2) == 0,
				Chunked: rng.IntN(3) == 0, Pace: pace, Timeout: 20 * time.Second, ClientTimeout: 2 * time.Minute, Seed: rng.Uint64(),
			}
			if a.Upload {
				a.Class = "meter-photo"
			}
			// What the slowest backend takes some seconds for, and now and then as long as any may be.
			a.Size = 70_000 + rng.Int64N(1<<20)
			if rng.IntN(20) == 0 && pace.BytesPerSecond == 0 {
				a.Size = maxStreamingBytes
			}
			got := fake.SendStreaming(ctx, a)
			mu.Lock()
			asked++
			switch {
			case got.Complete:
				whole++
				bytes += a.Size
			case got.Status == 503 || got.Status == 429:
				refused++
			default:
				broken++
				e.Fail("%s of %d bytes: status %d, %v after %v", a.Class, a.Size, got.Status, got.Err, got.Duration)
			}
			mu.Unlock()
			runs := int64(0)
			for _, b := range all {
				runs += b.CompletedBodies(a.ID)
			}
			if a.Upload && (got.Complete && runs != 1 || runs > 1) {
				mu.Lock()
				doubled++
				mu.Unlock()
			}
		}
	}
	var workers sync.WaitGroup
	for n := range streamingConcurrency {
		own := rand.New(rand.NewPCG(rng.Uint64(), uint64(n)))
		workers.Go(func() { worker(n, own) })
	}
	var drip, half fake.StreamingResult
	workers.Go(func() {
		drip = fake.SendStreaming(ctx, fake.StreamingRequest{
			Addr: p.Addr("farm"), ID: "drip", Class: "meter-photo", Upload: true, Size: 100_000, Pace: fake.Pace{BytesPerSecond: 1, MaxChunk: 1},
			Timeout: 20 * time.Second, ClientTimeout: 30 * time.Second,
		})
	})
	workers.Go(func() {
		half = fake.SendStreaming(ctx, fake.StreamingRequest{
			Addr: p.Addr("farm"), ID: "half", Class: "stuck-photo", Upload: true, Size: maxStreamingBytes, Pace: paces[0],
			Timeout: 20 * time.Second, ClientTimeout: 30 * time.Second,
		})
	})
	workers.Wait()
	cancel()
	watching.Wait()
	if err := p.Stop(); err != nil {
		e.Fail("the program ended with %v", err)
	}
	if ctx.Err() != nil {
		return errors.New("ended early")
	}
	wrong := int64(0)
	for _, b := range backends {
		wrong += b.CorruptBodies()
	}
	e.Measure("requests", float64(asked))
	e.Measure("megabytes", float64(bytes)/(1<<20))
	e.AtLeast("whole_share", float64(whole)/float64(max(1, asked-refused)), 1)
	e.AtMost("refused_share", float64(refused)/float64(max(1, asked)), 0.05)
	e.AtMost("broken_off", float64(broken), 0)
	e.AtMost("wrong_bytes", float64(wrong), 0)
	e.AtMost("doubled", float64(doubled), 0)
	e.AtMost("memory_mb_most", memory, maxStreamingMemoryMB)
	e.Measure("byte_a_second_status", float64(drip.Status))
	e.Measure("byte_a_second_s", drip.Duration.Seconds())
	e.Measure("stuck_box_status", float64(half.Status))
	e.Measure("stuck_box_s", half.Duration.Seconds())
	if drip.Status != 408 {
		e.Fail("a client that sends a byte a second was answered %d, %v", drip.Status, drip.Err)
	}
	if half.Status != 503 {
		e.Fail("a body whose server stopped reading was answered %d, %v", half.Status, half.Err)
	}
	return nil
}
