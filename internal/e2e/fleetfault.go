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

// fleetFaultKind is a kind of fault, by its name in files of faults.
type fleetFaultKind string

// The kinds of faults.
const (
	faultKill      fleetFaultKind = "kill"     // a member is killed, and started again
	faultStop      fleetFaultKind = "stop"     // a member is stopped by a signal, and continued
	faultIsolate   fleetFaultKind = "cut"      // a member is cut off from all others
	faultOneWay    fleetFaultKind = "oneway"   // what a member sends to a peer is lost
	faultStall     fleetFaultKind = "still"    // a member's messages are held, both ways
	faultPartition fleetFaultKind = "split"    // the members are cut into two sides
	faultLoss      fleetFaultKind = "loss"     // a fraction of all messages is lost
	faultReorder   fleetFaultKind = "storm"    // messages are delayed, reordered and duplicated
	faultTruncate  fleetFaultKind = "truncate" // a message on each connection of a member is cut short
	faultLeave     fleetFaultKind = "leave"    // a member shuts down gracefully, and is started again
	faultSlowDisk  fleetFaultKind = "slowdisk" // a member's disk is slow
	faultKillAll   fleetFaultKind = "killall"  // all members are killed at once, and started again
)

// fleetFaultKinds are all kinds, in the order in which they are drawn.
var fleetFaultKinds = []fleetFaultKind{
	faultKill, faultStop, faultIsolate, faultOneWay, faultStall, faultPartition,
	faultLoss, faultReorder, faultTruncate, faultLeave, faultSlowDisk, faultKillAll,
}

const (
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = minFaultDuration + 3*leaseTTL
	slowDiskSetting  = "slow 60ms" // as the program's store reads it
)

// FleetFault is one fault of a fleet, in the form of files of faults.
type FleetFault struct {
	At       time.Duration  `json:"at"` // from the beginning of the load
	Kind     fleetFaultKind `json:"kind"`
	Member   int            `json:"p"`
	Peer     int            `json:"q,omitempty"`
	Duration time.Duration  `json:"for,omitempty"`
	Fraction float64        `json:"share,omitempty"` // of the messages
}

// String describes the fault for the log.
func (f FleetFault) String() string {
	return fmt.Sprintf("%s p%d q%d for %v share %.2f", f.Kind, f.Member+1, f.Peer+1, f.Duration.Round(time.Millisecond), f.Fraction)
}

// drawFaults draws n faults of the kinds, evenly spread over a time.
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

// chooseFaults returns the faults of the file that the caller named, or else the drawn ones.
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
	for _, fault := range all {
		if !slices.Contains(fleetFaultKinds, fault.Kind) {
			return nil, fmt.Errorf("%s: no fault is named %q", e.options.Faults, fault.Kind)
		}
	}
	return all, nil
}

// injectFaults injects faults at their times, and returns once all are over.
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

// injectFault injects one fault, and returns once it is over.
func (f *fleet) injectFault(ctx context.Context, fault FleetFault) {
	member := f.members[fault.Member%len(f.members)]
	peer := f.members[fault.Peer%len(f.members)]
	if fault.Kind == faultOneWay && member == peer {
		return // a member has no link to itself
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
			return // without the file the disk is not slow
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

// restart starts members that do not run.
func (f *fleet) restart(members ...*fleetMember) {
	for _, member := range members {
		if err := member.start(); err != nil {
			f.env.Fail("%s does not start: %v", member.name, err)
		}
	}
}

// shutDownAndRestart shuts a member down gracefully and starts it again after a while.
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

// injectNetworkFault begins a fault of the links, and returns what ends it.
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

// connectsTo selects the links of a member, from it and to it.
func connectsTo(member *fleetMember) (selects func(from, to int) bool) {
	return func(from, to int) bool { return from == member.index || to == member.index }
}

// partition loses all messages on the links that selects, and returns what ends that.
func (f *fleet) partition(selects func(from, to int) bool) (restore func()) {
	return f.configureProxies(selects, setPartitioned, clearPartitioned)
}

func setPartitioned(w *fake.FrameFaults)   { w.Partitioned = true }
func clearPartitioned(w *fake.FrameFaults) { w.Partitioned = false }

// dropOneWay loses what a member sends to a peer, over the connections that either may have opened.
func (f *fleet) dropOneWay(from, to *fleetMember) (restore func()) {
	forward, reverse := f.proxies[[2]int{from.index, to.index}], f.proxies[[2]int{to.index, from.index}]
	forward.Configure(fake.ToTarget, setPartitioned)
	reverse.Configure(fake.FromTarget, setPartitioned)
	return func() {
		forward.Configure(fake.ToTarget, clearPartitioned)
		reverse.Configure(fake.FromTarget, clearPartitioned)
	}
}

// configureProxies changes both directions of the links that selects, and returns what undoes it.
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
