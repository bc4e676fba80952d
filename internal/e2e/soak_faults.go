package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"sorrelrudder/internal/fake"
)

const (
	soakBurstRequests    = 200 // of a client that leaves at once
	soakCrowdConnections = 200 // idle connections, and a quarter as many with an unfinished request
	soakPauseTime        = 150 * time.Millisecond
	soakReloads          = 4
	soakReloadInterval   = 100 * time.Millisecond
)

// soakFault is a fault of a play. inject injects it and returns when it has ended or ctx ends.
type soakFault struct {
	name   string
	inject func(ctx context.Context, p *soakPlay)
}

// drawSoakFaults draws the faults of a play. The first one is that of a past incident.
func drawSoakFaults(rng *rand.Rand) []soakFault {
	draws := []func(*rand.Rand) soakFault{
		drawFlood, drawBursts, drawCrowd, drawBackendFault, drawUnreachableBackend, drawPauses, drawReloads, drawDrain,
	}
	const incidents, maxFurther = 3, 3
	first := rng.IntN(incidents)
	faults := []soakFault{draws[first](rng)}
	for _, i := range rng.Perm(len(draws))[:1+rng.IntN(maxFurther)] {
		if i != first {
			faults = append(faults, draws[i](rng))
		}
	}
	return faults
}

// soakFloodKinds are the requests of floods, by the names of the kinds.
var soakFloodKinds = []struct {
	name    string
	request func(n int) string
}{
	{"health checks", func(int) string { return "GET /healthz HTTP/1.1\r\nHost: " + farmHost + "\r\n\r\n" }},
	{"unknown hosts", func(n int) string { return fmt.Sprintf("GET /healthy HTTP/1.1\r\nHost: h%d\r\n\r\n", n) }},
	{"unknown classes", func(n int) string {
		return fmt.Sprintf("GET /class%d HTTP/1.1\r\nHost: %s\r\nX-Request-ID: f%d\r\nX-Timeout-Ms: 500\r\n\r\n", n, farmHost, n)
	}},
	{"one id", func(int) string {
		return "GET /allocation-check/k HTTP/1.1\r\nHost: " + farmHost + "\r\nX-Request-ID: f\r\n\r\n"
	}},
	{"no head", func(int) string { return "x\r\n\r\n" }},
	{"empty lines", func(int) string { return "\r\n" }},
}

func drawFlood(rng *rand.Rand) soakFault {
	kind, connections := soakFloodKinds[rng.IntN(len(soakFloodKinds))], 1+rng.IntN(8)
	return soakFault{fmt.Sprintf("flood of %s on %d connections", kind.name, connections), func(ctx context.Context, p *soakPlay) {
		runConcurrently(connections, func(int) { fake.Flood(ctx, p.addr, kind.request) })
	}}
}

func drawBursts(rng *rand.Rand) soakFault {
	kind, clients := soakFloodKinds[rng.IntN(len(soakFloodKinds))], 1+rng.IntN(3)
	return soakFault{fmt.Sprintf("bursts of %s by %d clients that leave", kind.name, clients), func(ctx context.Context, p *soakPlay) {
		runConcurrently(clients, func(int) { fake.FloodBursts(ctx, p.addr, kind.request, soakBurstRequests) })
	}}
}

func drawCrowd(*rand.Rand) soakFault {
	return soakFault{"crowd", func(ctx context.Context, p *soakPlay) {
		runConcurrently(2, func(i int) {
			if i == 0 {
				fake.OpenIdleConnections(ctx, p.addr, soakCrowdConnections)
			} else {
				fake.OpenSlowRequests(ctx, p.addr, farmHost, soakCrowdConnections/4)
			}
		})
	}}
}

// soakBackendFaults are faults of one backend, as fake.ParseFault reads them.
var soakBackendFaults = []string{"errors 0.5", "turns away 0.5", "slow 0.5 300ms", "silent 0.3", "resets 0.3", "spoils 0.3", "closes 0.3"}

func drawBackendFault(rng *rand.Rand) soakFault {
	return backendFault(rng, soakBackendFaults[rng.IntN(len(soakBackendFaults))])
}

func drawUnreachableBackend(rng *rand.Rand) soakFault { return backendFault(rng, "dead") }

// backendFault returns a fault of a backend that is drawn.
func backendFault(rng *rand.Rand, text string) soakFault {
	backend := rng.IntN(soakBackends)
	return soakFault{fmt.Sprintf("backend %d %s", backend, text), func(ctx context.Context, p *soakPlay) {
		fault, err := fake.ParseFault(text)
		if err != nil {
			panic(err) // the texts are constants
		}
		p.backends[backend].SetFault(fault)
		<-ctx.Done()
		p.backends[backend].SetFault(fake.Fault{})
	}}
}

func drawPauses(rng *rand.Rand) soakFault {
	interval := time.Duration(400+rng.IntN(600)) * time.Millisecond
	return soakFault{"pauses of the process", func(ctx context.Context, p *soakPlay) {
		for pause(ctx, interval) {
			p.program.Signal(syscall.SIGSTOP)
			time.Sleep(soakPauseTime)
			p.program.Signal(syscall.SIGCONT)
		}
	}}
}

func drawReloads(*rand.Rand) soakFault {
	return soakFault{"reloads in series", func(ctx context.Context, p *soakPlay) {
		for i := 0; i < soakReloads && pause(ctx, soakReloadInterval); i++ {
			p.program.Signal(syscall.SIGHUP)
		}
	}}
}

func drawDrain(rng *rand.Rand) soakFault {
	backend := rng.IntN(soakBackends)
	return soakFault{fmt.Sprintf("backend %d drains", backend), func(_ context.Context, p *soakPlay) {
		p.backends[backend].Drain(true)
		p.discovery.SetEndpoints(endpoints(p.backends)...)
	}}
}

// soakSignals are series of signals with which a play ends. The first SIGTERM begins the shutdown.
var soakSignals = [][]syscall.Signal{
	{syscall.SIGTERM},
	{syscall.SIGHUP, syscall.SIGTERM},
	{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP},
	{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP},
}

// describeSoak returns the faults and signals of a play as text.
func describeSoak(faults []soakFault, signals []syscall.Signal) string {
	var parts []string
	for _, f := range faults {
		parts = append(parts, f.name)
	}
	for _, s := range signals {
		parts = append(parts, s.String())
	}
	return strings.Join(parts, ", ")
}

// runConcurrently calls f n times at once, with numbers from 0 on, and returns when all calls have returned.
func runConcurrently(n int, f func(i int)) {
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() { f(i) })
	}
	all.Wait()
}
