package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"sorrelrudder/internal/fake"
)

// FleetFault is one thing that is done to a fleet.
type FleetFault struct {
	At       time.Duration `json:"at"`
	Kind     string        `json:"kind"`
	Member   int           `json:"p"`
	Peer     int           `json:"q,omitempty"`
	Duration time.Duration `json:"for,omitempty"`
	Fraction float64       `json:"share,omitempty"`
}

func (t FleetFault) String() string {
	return fmt.Sprintf("%s p%d q%d for %v share %.2f", t.Kind, t.Member+1, t.Peer+1, t.Duration.Round(time.Millisecond), t.Fraction)
}

var fleetFaultKinds = []string{"kill", "stop", "cut", "oneway", "still", "split", "loss", "storm", "truncate", "leave", "slowdisk", "killall"}

// drawFaults draws n faults of the kinds over a time.
func drawFaults(rng *rand.Rand, kinds []string, n, processes int, over time.Duration) []FleetFault {
	var all []FleetFault
	for i := range n {
		all = append(all, FleetFault{
			At: over * time.Duration(i) / time.Duration(n), Kind: kinds[rng.IntN(len(kinds))], Member: rng.IntN(processes), Peer: rng.IntN(processes),
			Duration: 200*time.Millisecond + time.Duration(rng.Int64N(int64(3*leaseTTL))), Fraction: 0.1 + 0.4*rng.Float64(),
		})
	}
	return all
}

// chooseFaults are those that the caller gave in a file, or else the drawn ones.
func (e *Env) chooseFaults(drawn []FleetFault) ([]FleetFault, error) {
	if e.options.Faults == "" {
		return drawn, nil
	}
	text, err := os.ReadFile(e.options.Faults)
	if err != nil {
		return nil, err
	}
	var all []FleetFault
	if err := json.Unmarshal(text, &all); err != nil {
		return nil, fmt.Errorf("%s: %w", e.options.Faults, err)
	}
	for _, t := range all {
		if !slices.Contains(fleetFaultKinds, t.Kind) {
			return nil, fmt.Errorf("%s: no fault is named %q", e.options.Faults, t.Kind)
		}
	}
	return all, nil
}

// injectFaults does faults to a fleet, and ends once all are over and mended.
func (f *fleet) injectFaults(ctx context.Context, faults []FleetFault) {
	if data, err := json.Marshal(faults); err == nil {
		f.env.report.Faults = data
	}
	began := time.Now()
	var over sync.WaitGroup
	defer over.Wait()
	for _, t := range faults {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(began.Add(t.At))):
		}
		f.logEvent("%v", t)
		over.Go(func() { f.injectFault(ctx, t) })
	}
}

// configureProxies changes both ways of links, and returns what undoes it.
func (f *fleet) configureProxies(pick func(from, to int) bool, change, undo func(*fake.FrameFaults)) (restore func()) {
	var picked []*fake.FrameProxy
	for pair, l := range f.proxies {
		if pick(pair[0], pair[1]) {
			picked = append(picked, l)
			l.Configure(fake.ToTarget, change)
			l.Configure(fake.FromTarget, change)
		}
	}
	return func() {
		for _, l := range picked {
			l.Configure(fake.ToTarget, undo)
			l.Configure(fake.FromTarget, undo)
		}
	}
}

// injectFault does one fault, and mends it after its time.
func (f *fleet) injectFault(ctx context.Context, t FleetFault) {
	p := f.members[t.Member%len(f.members)]
	q := f.members[t.Peer%len(f.members)]
	rest := func() {
		select {
		case <-ctx.Done():
		case <-time.After(t.Duration):
		}
	}
	cut, join := func(w *fake.FrameFaults) { w.Partitioned = true }, func(w *fake.FrameFaults) { w.Partitioned = false }
	restore := func() {}
	switch t.Kind {
	case "kill":
		p.kill()
		rest()
		if err := p.start(); err != nil {
			f.env.Fail("%s does not start: %v", p.name, err)
		}
		return
	case "killall":
		f.killAll()
		rest()
		for _, q := range f.members {
			if err := q.start(); err != nil {
				f.env.Fail("%s does not start: %v", q.name, err)
			}
		}
		return
	case "leave":
		p.mu.Lock()
		program := p.program
		was := p.running
		p.running = false
		p.mu.Unlock()
		if was {
			if err := p.awaitReady(ctx); err != nil {
				f.env.Fail("%s is not ready: %v", p.name, err)
				return
			}
			if err := program.Stop(); err != nil {
				f.env.Fail("%s ended with %v", p.name, err)
			}
		}
		rest()
		if err := p.start(); err != nil {
			f.env.Fail("%s does not start: %v", p.name, err)
		}
		return
	case "stop":
		p.mu.Lock()
		program := p.program
		p.mu.Unlock()
		program.Signal(syscall.SIGSTOP)
		rest()
		program.Signal(syscall.SIGCONT)
		return
	case "cut":
		restore = f.configureProxies(func(a, b int) bool { return a == p.index || b == p.index }, cut, join)
	case "oneway": // what p says to q is lost, over both connections that there may be
		there, back := f.proxies[[2]int{p.index, q.index}], f.proxies[[2]int{q.index, p.index}]
		if there == nil {
			return
		}
		there.Configure(fake.ToTarget, cut)
		back.Configure(fake.FromTarget, cut)
		restore = func() {
			there.Configure(fake.ToTarget, join)
			back.Configure(fake.FromTarget, join)
		}
	case "still":
		restore = f.configureProxies(func(a, b int) bool { return a == p.index || b == p.index }, func(w *fake.FrameFaults) { w.Stalled = true }, func(w *fake.FrameFaults) { w.Stalled = false })
	case "split":
		side := func(i int) bool { return (i+t.Member)%len(f.members) < len(f.members)*2/5 }
		restore = f.configureProxies(func(a, b int) bool { return side(a) != side(b) }, cut, join)
	case "loss":
		restore = f.configureProxies(func(int, int) bool { return true }, func(w *fake.FrameFaults) { w.DropFraction = t.Fraction }, func(w *fake.FrameFaults) { w.DropFraction = 0 })
	case "storm":
		restore = f.configureProxies(func(int, int) bool { return true },
			func(w *fake.FrameFaults) {
				w.DuplicateFraction, w.Delay, w.Jitter = 0.1, 5*time.Millisecond, 150*time.Millisecond
			},
			func(w *fake.FrameFaults) { w.DuplicateFraction, w.Delay, w.Jitter = 0, 0, 0 })
	case "truncate":
		f.configureProxies(func(a, b int) bool { return a == p.index || b == p.index }, func(w *fake.FrameFaults) { w.TruncateCount++ }, func(*fake.FrameFaults) {})
		return
	case "slowdisk":
		if err := os.WriteFile(p.diskFaultFile, []byte("slow 60ms"), 0o600); err != nil {
			return // without it the disk is not slow
		}
		restore = func() { os.Remove(p.diskFaultFile) }
	}
	rest()
	restore()
}
