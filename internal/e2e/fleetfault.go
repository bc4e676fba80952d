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

// fleetFaultKind is a kind of fault. Its value is its name in files of faults.
type fleetFaultKind string

// The kinds of faults.
const (
	faultKill      fleetFaultKind = "kill"     // a member is killed and restarted
	faultStop      fleetFaultKind = "stop"     // a member is paused by SIGSTOP and continued
	faultIsolate   fleetFaultKind = "cut"      // a member is partitioned from all others
	faultOneWay    fleetFaultKind = "oneway"   // messages from a member to one other are dropped
	faultStall     fleetFaultKind = "still"    // messages from and to a member are held back
	faultPartition fleetFaultKind = "split"    // the members are partitioned into two sides
	faultLoss      fleetFaultKind = "loss"     // a fraction of all messages is dropped
	faultReorder   fleetFaultKind = "storm"    // messages are delayed, reordered and duplicated
	faultTruncate  fleetFaultKind = "truncate" // one message is truncated in each direction of each proxy from and to a member
	faultLeave     fleetFaultKind = "leave"    // a member shuts down gracefully and is restarted
	faultSlowDisk  fleetFaultKind = "slowdisk" // the disk of a member is slow
	faultKillAll   fleetFaultKind = "killall"  // all members are killed at the same time and restarted
)

// fleetFaultKinds lists all kinds. Draws from a seed depend on their order.
var fleetFaultKinds = []fleetFaultKind{
	faultKill, faultStop, faultIsolate, faultOneWay, faultStall, faultPartition,
	faultLoss, faultReorder, faultTruncate, faultLeave, faultSlowDisk, faultKillAll,
}

const (
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = minFaultDuration + 3*leaseTTL
	slowDiskSetting  = "slow 60ms" // in the syntax of the disk fault file that the program reads
)

// FleetFault is one fault of a fleet, with the JSON form that files of faults have.
type FleetFault struct {
	At       time.Duration  `json:"at"` // since the start of the load
	Kind     fleetFaultKind `json:"kind"`
	Member   int            `json:"p"`
	Peer     int            `json:"q,omitempty"`
	Duration time.Duration  `json:"for,omitempty"`
	Fraction float64        `json:"share,omitempty"` // of the messages, for faultLoss
}

// String formats the fault for the event log, with the numbers of the member and the peer, counted from 1.
func (f FleetFault) String() string {
	return fmt.Sprintf("%s p%d q%d for %v share %.2f", f.Kind, f.Member+1, f.Peer+1, f.Duration.Round(time.Millisecond), f.Fraction)
}

// drawFaults draws n faults of the given kinds, at equal intervals within a time.
func drawFaults(rng *rand.Rand, kinds []fleetFaultKind, n, processes int, over time.Duration) []FleetFault {
	var all []FleetFault
	for i := range n {
		all = append(all, FleetFault{
			At:       over * time.Duration(i) / time.Duration(n),
			Kind:     kinds[rng.IntN(len(kinds))],
			Member:   rng.IntN(processes),
			Peer:     rng.IntN(processes),
			Duration: minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration))),
			Fraction: 0.1 + 0.4*rng.Float64(),
		})
	}
	return all
}

// chooseFaults returns the faults of the file Options.Faults, or the drawn ones if no file is given.
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
		return nil, fmt.Errorf("decoding the faults in %s: %w", e.options.Faults, err)
	}
	for _, fault := range all {
		if !slices.Contains(fleetFaultKinds, fault.Kind) {
			return nil, fmt.Errorf("reading the faults in %s: unknown kind %q", e.options.Faults, fault.Kind)
		}
	}
	return all, nil
}

// injectFaults injects faults at their times, and returns when all of them have ended. It adds the faults to the report.
func (f *fleet) injectFaults(ctx context.Context, faults []FleetFault) {
	if data, err := json.Marshal(faults); err == nil {
		f.env.report.Faults = data
	}
	began := time.Now()
	var running sync.WaitGroup
	defer running.Wait()
	for _, fault := range faults {
		if !pause(ctx, time.Until(began.Add(fault.At))) {
			return
		}
		f.logEvent("%v", fault)
		running.Go(func() { f.injectFault(ctx, fault) })
	}
}

// injectFault injects one fault, and returns when it has ended.
func (f *fleet) injectFault(ctx context.Context, fault FleetFault) {
	member := f.members[fault.Member%len(f.members)]
	peer := f.members[fault.Peer%len(f.members)]
	if fault.Kind == faultOneWay && member == peer {
		return // there is no proxy from a member to itself
	}
	switch fault.Kind {
	case faultKill:
		member.kill()
		pause(ctx, fault.Duration)
		f.restart(member)
	case faultKillAll:
		f.killAll()
		pause(ctx, fault.Duration)
		f.restart(f.members...)
	case faultLeave:
		f.shutDownAndRestart(ctx, member, fault.Duration)
	case faultStop:
		program := member.currentProgram()
		program.Signal(syscall.SIGSTOP)
		pause(ctx, fault.Duration)
		program.Signal(syscall.SIGCONT)
	case faultSlowDisk:
		if err := os.WriteFile(member.diskFaultFile, []byte(slowDiskSetting), 0o600); err != nil {
			return // without the file the fault is not injected
		}
		pause(ctx, fault.Duration)
		os.Remove(member.diskFaultFile)
	case faultTruncate:
		f.configureProxies(connectsTo(member), func(w *fake.FrameFaults) { w.TruncateCount++ }, func(*fake.FrameFaults) {})
	default:
		restore := f.injectNetworkFault(fault, member, peer)
		pause(ctx, fault.Duration)
		restore()
	}
}

// restart starts members that are not running. A failed start is a violation.
func (f *fleet) restart(members ...*fleetMember) {
	for _, member := range members {
		if err := member.start(); err != nil {
			f.env.Fail("%s does not start: %v", member.name, err)
		}
	}
}

// shutDownAndRestart shuts a member down gracefully and starts it again after a delay.
func (f *fleet) shutDownAndRestart(ctx context.Context, member *fleetMember, after time.Duration) {
	if program, wasRunning := member.markStopped(); wasRunning {
		if err := member.awaitReady(ctx); err != nil {
			f.env.Fail("%s is not ready: %v", member.name, err)
			return
		}
		if err := program.Stop(); err != nil {
			f.env.Fail("%s ended with %v", member.name, err)
		}
	}
	pause(ctx, after)
	f.restart(member)
}

// injectNetworkFault injects a fault of the connections between members, and returns the function that ends it.
func (f *fleet) injectNetworkFault(fault FleetFault, member, peer *fleetMember) (restore func()) {
	everywhere := func(int, int) bool { return true }
	switch fault.Kind {
	case faultIsolate:
		return f.partition(connectsTo(member))
	case faultPartition:
		side := func(i int) bool { return (i+fault.Member)%len(f.members) < len(f.members)*2/5 }
		return f.partition(func(from, to int) bool { return side(from) != side(to) })
	case faultOneWay:
		return f.dropOneWay(member, peer)
	case faultStall:
		return f.configureProxies(connectsTo(member),
			func(w *fake.FrameFaults) { w.Stalled = true },
			func(w *fake.FrameFaults) { w.Stalled = false })
	case faultLoss:
		return f.configureProxies(everywhere,
			func(w *fake.FrameFaults) { w.DropFraction = fault.Fraction },
			func(w *fake.FrameFaults) { w.DropFraction = 0 })
	case faultReorder:
		return f.configureProxies(everywhere,
			func(w *fake.FrameFaults) {
				w.DuplicateFraction, w.Delay, w.Jitter = 0.1, 5*time.Millisecond, 150*time.Millisecond
			},
			func(w *fake.FrameFaults) { w.DuplicateFraction, w.Delay, w.Jitter = 0, 0, 0 })
	default:
		return func() {}
	}
}

// connectsTo returns a predicate that selects the proxies from and to a member.
func connectsTo(member *fleetMember) (selects func(from, to int) bool) {
	return func(from, to int) bool { return from == member.index || to == member.index }
}

// partition drops all messages on the selected proxies, and returns the function that ends the partition.
func (f *fleet) partition(selects func(from, to int) bool) (restore func()) {
	return f.configureProxies(selects, setPartitioned, clearPartitioned)
}

func setPartitioned(w *fake.FrameFaults)   { w.Partitioned = true }
func clearPartitioned(w *fake.FrameFaults) { w.Partitioned = false }

// dropOneWay drops the messages from one member to another, on the connections opened by either, and returns the function that ends it.
func (f *fleet) dropOneWay(from, to *fleetMember) (restore func()) {
	forward, reverse := f.proxies[[2]int{from.index, to.index}], f.proxies[[2]int{to.index, from.index}]
	forward.Configure(fake.ToTarget, setPartitioned)
	reverse.Configure(fake.FromTarget, setPartitioned)
	return func() {
		forward.Configure(fake.ToTarget, clearPartitioned)
		reverse.Configure(fake.FromTarget, clearPartitioned)
	}
}

// configureProxies applies change to both directions of the selected proxies, and returns the function that applies undo to them.
func (f *fleet) configureProxies(selects func(from, to int) bool, change, undo func(*fake.FrameFaults)) (restore func()) {
	var selected []*fake.FrameProxy
	for pair, proxy := range f.proxies {
		if selects(pair[0], pair[1]) {
			selected = append(selected, proxy)
			proxy.Configure(fake.ToTarget, change)
			proxy.Configure(fake.FromTarget, change)
		}
	}
	return func() {
		for _, proxy := range selected {
			proxy.Configure(fake.ToTarget, undo)
			proxy.Configure(fake.FromTarget, undo)
		}
	}
}
