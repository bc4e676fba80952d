package e2e

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "clients-once", Duration: 6 * time.Second, Run: abandoningClients,
		Summary: "clients that ask once and keep their connection, beside keep-alive clients, alone and under silent connections",
	})
}

const (
	// abandoningRate is how many operations a second come each on a connection of its own, and onceConns how many connections
	// their clients may hold: at 2 s each they would need 240.
	abandoningRate     = 120
	abandoningMaxConns = 128
	// idleConnCount is how many connections stand silent at once in the second phase.
	idleConnCount = 200
)

// abandoningClients plays two phases: the clients alone, and the same beside connections that say nothing. In both a connection
// that only asks whether the program is there tells how long a client waits from its SYN to the first byte of an answer.
func abandoningClients(ctx context.Context, e *Env) error {
	recorder := fake.NewEffectRecorder()
	p, _, _, err := e.startFarm(ctx, recorder, "[process]\ndescriptors = 384\n\n")
	if err != nil {
		return err
	}
	var once, keepers *fake.ClientResults
	for i, silent := range []bool{false, true} {
		name, prefix := "clients that ask once, beside keep-alive clients", ""
		if silent {
			name, prefix = "the same beside silent connections", "beside_silents_"
		}
		e.Phase(name, e.Duration/2)
		load, cancel := context.WithTimeout(ctx, e.Duration/2)
		usual := fake.ClientConfig{
			Addr: p.Addr("farm"), Host: "farm.example.org", MaxAttempts: 3, Backoff: 30 * time.Millisecond, HonorRetryAfter: true, Recorder: recorder,
			Classes: []fake.ClassLoad{deliveryOrder, meterBooking, allocationCheck},
		}
		var all sync.WaitGroup
		var a, b *fake.ClientResults
		var waits []time.Duration
		var opened int64
		all.Go(func() {
			c := usual
			c.Name, c.Seed, c.Rate, c.AbandonConnections, c.MaxConnections = fmt.Sprintf("once%d", i), e.Seed, abandoningRate, true, abandoningMaxConns
			a = fake.RunClients(load, c)
		})
		all.Go(func() {
			c := usual
			c.Name, c.Seed, c.Rate = fmt.Sprintf("keep%d", i), e.Seed+100, 60
			b = fake.RunClients(load, c)
		})
		all.Go(func() { waits = acceptTimes(load, p.Addr("farm")) })
		if silent {
			all.Go(func() { opened = fake.OpenIdleConnections(load, p.Addr("farm"), idleConnCount) })
		}
		all.Wait()
		cancel()
		sum := a.Merge(b)
		e.Measure(prefix+"served_once", a.ServedFraction())
		e.Measure(prefix+"served_keepers", b.ServedFraction())
		e.AtLeast(prefix+"served", sum.ServedFraction(), 0.95)
		e.Measure(prefix+"not_sent_for_want_of_connections", float64(a.ConnectionLimited))
		e.AtMost(prefix+"accept_ms_p99", milliseconds(quantile(waits, 0.99)), 50)
		e.AtLeast(prefix+"reused_share", float64(b.Reused)/float64(max(1, b.Attempts)), 0.8)
		e.Measure(prefix+"closed_while_wanted", float64(b.ClosedBeforeReuse))
		if silent {
			e.Measure(prefix+"opened", float64(opened))
		}
		if once == nil {
			once, keepers = a, b
		} else {
			once, keepers = once.Merge(a), keepers.Merge(b)
		}
	}
	if err := p.Stop(); err != nil {
		e.Fail("the program ended with %v", err)
	}
	v := e.CheckRules(recorder)
	e.Measure("answered_once", float64(v.Answered)/float64(max(1, v.Attempts)))
	e.Measure("duplicates", float64(v.DuplicateEffects))
	e.Measure("connections_a_request", float64(once.Connections+keepers.Connections)/float64(max(1, once.Attempts+keepers.Attempts)))
	return nil
}

// acceptTimes connects again and again until ctx ends, and returns how long each took from its SYN to the first byte of the
// answer to a request that no server is asked for.
func acceptTimes(ctx context.Context, addr string) (all []time.Duration) {
	var mu sync.Mutex
	var asking sync.WaitGroup
	var out atomic.Int64
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			asking.Wait()
			return all
		case <-tick.C:
		}
		if out.Load() > 50 { // bounds the load
			continue
		}
		out.Add(1)
		asking.Go(func() {
			defer out.Add(-1)
			from := time.Now()
			c, err := net.DialTimeout("tcp", addr, time.Second)
			if err == nil {
				c.SetDeadline(from.Add(time.Second))
				if _, err = io.WriteString(c, "GET /healthz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"); err == nil {
					_, err = c.Read(make([]byte, 1))
				}
				c.Close()
			}
			took := time.Since(from)
			if err != nil {
				took = time.Second // it never had an answer
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, took)
		})
	}
}

// quantile is the value below which such a part of all lies, 0 of none.
func quantile(all []time.Duration, part float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(all))
	return sorted[min(len(sorted)-1, int(part*float64(len(sorted))))]
}
