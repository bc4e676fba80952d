package e2e

import (
	"context"
	"fmt"
	"sync"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "clients-once", Duration: 6 * time.Second, Run: abandoningClients,
		Summary: "clients that send one request per connection and leave it open, beside keep-alive clients; then the same beside idle connections",
	})
}

const (
	abandoningRate     = 120 // operations per second, each on its own connection
	keepAliveRate      = 60
	abandoningMaxConns = 128 // of the abandoning clients; they would need 240 if each connection stayed open for 2 s
	idleConnCount      = 200 // connections without requests, in the second phase
	maxAcceptTimeMs    = 50

	besideIdlePrefix = "beside_silents_" // prefix of the second phase's measures
)

// abandonResult is the result of a phase.
type abandonResult struct {
	abandoning, keepAlive *fake.ClientResults
	acceptTimes           []time.Duration
	idleOpened            int64
}

// abandoningClients runs clients that open a connection for each operation and leave it open, beside clients that reuse theirs: first
// alone, then beside idle connections. It measures how long a new client waits for its first response.
func abandoningClients(ctx context.Context, e *Env) error {
	recorder := fake.NewEffectRecorder()
	program, _, _, err := e.startFarm(ctx, recorder, "[process]\ndescriptors = 384\n\n")
	if err != nil {
		return err
	}
	addr := program.Addr("farm")
	e.Phase("clients that leave connections open, beside keep-alive clients", e.Duration/2)
	first := e.playAbandoning(ctx, addr, 0, recorder)
	e.measureAbandoning("", first)
	e.Phase("the same beside idle connections", e.Duration/2)
	second := e.playAbandoning(ctx, addr, 1, recorder)
	e.measureAbandoning(besideIdlePrefix, second)
	e.Measure(besideIdlePrefix+"opened", float64(second.idleOpened))
	if err := program.Stop(); err != nil {
		e.Fail("the program ended with %v", err)
	}
	v := e.CheckRules(recorder)
	e.Measure("answered_once", float64(v.Answered)/float64(max(1, v.Attempts)))
	e.Measure("duplicates", float64(v.DuplicateEffects))
	all := mergeResults(first.abandoning, first.keepAlive, second.abandoning, second.keepAlive)
	e.Measure("connections_a_request", float64(all.Connections)/float64(max(1, all.Attempts)))
	return nil
}

// playAbandoning runs a phase. The second one has idle connections.
func (e *Env) playAbandoning(ctx context.Context, addr string, phase int, recorder *fake.EffectRecorder) abandonResult {
	load, cancel := context.WithTimeout(ctx, e.Duration/2)
	defer cancel()
	abandoning := farmClients(fmt.Sprintf("once%d", phase), addr, abandoningRate, recorder, e.Seed)
	abandoning.AbandonConnections, abandoning.MaxConnections = true, abandoningMaxConns
	keepAlive := farmClients(fmt.Sprintf("keep%d", phase), addr, keepAliveRate, recorder, e.Seed+100)
	var result abandonResult
	var all sync.WaitGroup
	all.Go(func() { result.abandoning = fake.RunClients(load, abandoning) })
	all.Go(func() { result.keepAlive = fake.RunClients(load, keepAlive) })
	all.Go(func() { result.acceptTimes = acceptTimes(load, addr) })
	if phase == 1 {
		all.Go(func() { result.idleOpened = fake.OpenIdleConnections(load, addr, idleConnCount) })
	}
	all.Wait()
	return result
}

func (e *Env) measureAbandoning(prefix string, r abandonResult) {
	e.Measure(prefix+"served_once", r.abandoning.ServedFraction())
	e.Measure(prefix+"served_keepers", r.keepAlive.ServedFraction())
	e.AtLeast(prefix+"served", r.abandoning.Merge(r.keepAlive).ServedFraction(), 0.95)
	e.Measure(prefix+"not_sent_for_want_of_connections", float64(r.abandoning.ConnectionLimited))
	e.AtMost(prefix+"accept_ms_p99", milliseconds(quantile(r.acceptTimes, 0.99)), maxAcceptTimeMs)
	e.AtLeast(prefix+"reused_share", float64(r.keepAlive.Reused)/float64(max(1, r.keepAlive.Attempts)), 0.8)
	e.Measure(prefix+"closed_while_wanted", float64(r.keepAlive.ClosedBeforeReuse))
}
