package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "soak", Duration: 8 * time.Minute, Run: soak,
		Summary: "faults of past incidents, drawn from a seed and mixed, then a shutdown under load; one play for each seed from --seed on until --duration is over",
	})
}

const (
	soakBackends = 4
	soakLoadTime = 4 * time.Second // of a play, before the shutdown
	soakRate     = 120             // operations per second of clients that keep their connections
	soakNewRate  = 20              // of clients with a connection for each request
	// soakKillDelay is when SIGKILL follows SIGTERM at the earliest: the longest deadline, and 0.7 s.
	soakKillDelay      = 1500*time.Millisecond + 700*time.Millisecond
	soakSignalInterval = 50 * time.Millisecond
	soakProcess        = "[process]\nmemory = \"64MiB\"\ndescriptors = 256\n\n"
)

// soakTolerance is that of the protocol: an answer that is up to half a second late is not lost.
var soakTolerance = fake.Tolerance{
	LateResponse:         500 * time.Millisecond,
	AttemptAfterResponse: fake.DefaultTolerance.AttemptAfterResponse,
	AfterDrainGrace:      fake.DefaultTolerance.AfterDrainGrace,
}

// soakPlay is one play of a soak.
type soakPlay struct {
	env       *Env
	seed      uint64
	recorder  *fake.EffectRecorder
	program   *Program
	addr      string
	backends  []*fake.Backend
	discovery *fake.Discovery
}

// soak plays one seed after the other.
func soak(ctx context.Context, e *Env) error {
	end := time.Now().Add(e.Duration)
	var plays, failed int
	var results []*fake.ClientResults
	latest := time.Duration(0)
	for seed := e.Seed; plays == 0 || time.Now().Before(end); seed++ {
		rng := rand.New(rand.NewPCG(seed, 5))
		faults, signals := drawSoakFaults(rng), soakSignals[rng.IntN(len(soakSignals))]
		description := describeSoak(faults, signals)
		e.Phase(fmt.Sprintf("seed %d: %s", seed, description), soakLoadTime+soakKillDelay)
		play := &soakPlay{env: e, seed: seed, recorder: fake.NewEffectRecorder()}
		result, exit, err := play.run(ctx, rng, faults, signals)
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		plays++
		verdict := play.recorder.Check(soakTolerance)
		latest = max(latest, verdict.MaxLateness)
		violations := verdict.Violations
		if exit != nil {
			violations = append(violations, fmt.Sprintf("the program ended with %v", exit))
		}
		if len(violations) > 0 {
			failed++
		}
		for _, violation := range violations {
			e.Fail("seed %d (%s): %s", seed, description, violation)
		}
		results = append(results, result)
	}
	e.Measure("plays", float64(plays))
	e.Measure("plays_failed", float64(failed))
	e.Measure("latest_answer_ms", milliseconds(latest))
	e.measureResults("", mergeResults(results...))
	return nil
}

// run plays the faults and ends with the signals and a SIGKILL. exit is the exit error of a program that ended before the SIGKILL.
func (p *soakPlay) run(ctx context.Context, rng *rand.Rand, faults []soakFault, signals []syscall.Signal) (results *fake.ClientResults, exit, err error) {
	if err := p.start(ctx); err != nil {
		return nil, nil, err
	}
	defer p.close()
	faulty, endFaults := context.WithTimeout(ctx, soakLoadTime)
	defer endFaults()
	load, endLoad := context.WithCancel(ctx)
	defer endLoad()
	var all sync.WaitGroup
	for _, f := range faults {
		begin := time.Duration(rng.Int64N(int64(soakLoadTime / 2)))
		all.Go(func() {
			if pause(faulty, begin) {
				f.inject(faulty, p)
			}
		})
	}
	all.Go(func() { results = mergeResults(runAll(load, p.clients())...) })
	pause(ctx, soakLoadTime)
	exit = p.shutDown(signals)
	endLoad()
	all.Wait()
	return results, exit, nil
}

// start starts the backends, discovery and the program.
func (p *soakPlay) start(ctx context.Context) (err error) {
	e := p.env
	if p.backends, err = e.startBackends("box", soakBackends, p.recorder, nil); err != nil {
		return err
	}
	if p.discovery, err = e.startDiscovery(p.recorder, p.backends); err != nil {
		return err
	}
	p.program, err = e.StartNamed(ctx, fmt.Sprintf("soak-%d", p.seed), fmt.Sprintf("%s[[listeners]]\nname = \"farm\"\naddress = \"127.0.0.1:0\"\n\n[pools.farm]\ndiscovery = %q\n\n%s",
		soakProcess, p.discovery.Addr(), classesTOML("farm")), 1)
	if err == nil {
		p.addr = p.program.Addr("farm")
	}
	return err
}

// close ends what start has started.
func (p *soakPlay) close() {
	p.program.Kill()
	p.discovery.Close()
	for _, b := range p.backends {
		b.Close()
	}
}

// clients returns the clients, which use open connections until the program ends.
func (p *soakPlay) clients() []fake.ClientConfig {
	keeping := farmClients(fmt.Sprintf("keep%d", p.seed), p.addr, soakRate, p.recorder, p.seed)
	once := farmClients(fmt.Sprintf("once%d", p.seed), p.addr, soakNewRate, p.recorder, p.seed+1)
	once.NewConnections = true
	return []fake.ClientConfig{keeping, once}
}

// shutDown sends the signals in series, and SIGKILL at the earliest time after the first SIGTERM. It returns the exit error of a program that
// ended before that.
func (p *soakPlay) shutDown(signals []syscall.Signal) error {
	var kill <-chan time.Time
	for _, s := range signals {
		if s == syscall.SIGTERM && kill == nil {
			kill = time.After(soakKillDelay)
		}
		p.program.Signal(s)
		time.Sleep(soakSignalInterval)
	}
	select {
	case <-p.program.ended:
		p.program.mu.Lock()
		defer p.program.mu.Unlock()
		return p.program.err
	case <-kill:
		p.program.Kill()
		return nil
	}
}
