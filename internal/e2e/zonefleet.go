package e2e

import (
	"cmp"
	"context"
	"slices"
	"time"

	"sorrelrudder/internal/fake"
)

const (
	zoneBackends  = 9
	zoneProcesses = 12
	zoneVoters    = 3

	// zoneSettings have the fleet leave zones by itself, and return in short steps.
	zoneSettings = "[tier.zones]\nautomatic = \"on\"\nstep = \"1s\"\nhold = \"1s\"\n"

	// lastRecoveryStep is the step of the recovery ramp at which a zone is used in full, and failoverStep the one at which it is left.
	failoverStep     = 0
	lastRecoveryStep = 4

	zoneShiftMessage  = "zone shift decided"
	exclusionsMessage = "exclusions applied"
)

// zoneNames are the zones, over which members and backends are spread in turn.
var zoneNames = []string{"a", "b", "c"}

// unreachableFault is the fault of a backend whose machine has unreachableFault.
var unreachableFault = fake.Fault{Kind: fake.FaultUnreachable, Fraction: 1}

// zoneFleetConfig describes a fleet in three zones, with three backends in each.
type zoneFleetConfig struct {
	recorder         *fake.EffectRecorder
	alone            bool   // members share no state, and leave no zone together
	processes        int    // 0: zoneProcesses
	voters           int    // 0: zoneVoters
	poolSections     string // further sections of the pool, whose backends then are ordinary HTTP services
	zoneKeys         string // further keys of [tier.zones]
	configureBackend func(*fake.BackendConfig)
}

// configureZoneBackend makes the usual backend of a zone.
func configureZoneBackend(b *fake.BackendConfig) {
	b.ServiceTime, b.Cores, b.QueueLimit = 40*time.Millisecond, 2, 200
}

// startZoneFleet starts a fleet, and waits until all members hold each other for alive; until they are ready if they share no state.
func (e *Env) startZoneFleet(ctx context.Context, cfg zoneFleetConfig) (*fleet, error) {
	configure := configureZoneBackend
	if cfg.configureBackend != nil {
		configure = cfg.configureBackend
	}
	shared := ""
	if !cfg.alone {
		shared = defaultSharedState + zoneSettings + cfg.zoneKeys
	}
	n := 0
	f, err := e.startFleet(ctx, fleetConfig{
		processes: cmp.Or(cfg.processes, zoneProcesses), voters: cmp.Or(cfg.voters, zoneVoters), backends: zoneBackends,
		recorder: cfg.recorder, subsets: true, sharedState: shared,
		poolSections: cfg.poolSections, ordinaryHTTP: cfg.poolSections != "", zone: zoneOf,
		configureBackend: func(b *fake.BackendConfig) {
			b.Zone = zoneOf(n)
			configure(b)
			n++
		},
	})
	if err != nil {
		return nil, err
	}
	if cfg.alone {
		return f, f.awaitAllReady(ctx)
	}
	return f, f.awaitCondition(ctx, 20*time.Second, "all are there to each other", func() bool {
		return f.allAlive(f.sharedStates(f.members))
	})
}

// zoneOf returns the zone of the member or backend with an index.
func zoneOf(i int) string { return zoneNames[i%len(zoneNames)] }

// backendsIn returns the backends of a zone.
func (f *fleet) backendsIn(zone string) (all []*fake.Backend) {
	for _, backend := range f.backends {
		if backend.Zone() == zone {
			all = append(all, backend)
		}
	}
	return all
}

// setFault sets the fault of backends.
func setFault(backends []*fake.Backend, fault fake.Fault) {
	for _, backend := range backends {
		backend.SetFault(fault)
	}
}

// lostRequests returns how many requests went to backends that were unreachable.
func (f *fleet) lostRequests() int64 {
	n := int64(0)
	for _, backend := range f.backends {
		n += backend.LostRequests()
	}
	return n
}

// exclusionTimes returns when after a moment each member first excluded that many backends, in order. Members that did not are left out.
func (f *fleet) exclusionTimes(excluded int, after time.Time) (times []time.Time) {
	for _, member := range f.members {
		for _, line := range member.currentProgram().LogLines() {
			at := logTime(line)
			if LogField(line, "msg") == exclusionsMessage && at.After(after) && len(logList(line, "avoided")) == excluded {
				times = append(times, at)
				break
			}
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// awaitExclusions waits until all members have excluded that many backends after a moment.
func (f *fleet) awaitExclusions(ctx context.Context, timeout time.Duration, excluded int, after time.Time, what string) error {
	return f.awaitCondition(ctx, timeout, what, func() bool {
		return len(f.exclusionTimes(excluded, after)) == len(f.members)
	})
}

// backendsPerZone is how many backends members exclude as they leave a zone.
const backendsPerZone = zoneBackends / 3

// awaitZoneLeft waits until all members have left a zone after a moment.
func (f *fleet) awaitZoneLeft(ctx context.Context, timeout time.Duration, after time.Time) error {
	return f.awaitExclusions(ctx, timeout, backendsPerZone, after, "all have left the zone")
}

// awaitZoneUsed waits until all members exclude nothing again after a moment.
func (f *fleet) awaitZoneUsed(ctx context.Context, timeout time.Duration, after time.Time) error {
	return f.awaitExclusions(ctx, timeout, 0, after, "all use the zone again")
}

// zoneShifts returns how many zone shifts the members' present programs have decided.
func (f *fleet) zoneShifts() (n int) {
	for _, member := range f.members {
		n += member.currentProgram().CountLog(zoneShiftMessage)
	}
	return n
}

// zoneShiftDeciders returns how many members have decided a zone shift.
func (f *fleet) zoneShiftDeciders() (n int) {
	for _, member := range f.members {
		if member.currentProgram().CountLog(zoneShiftMessage) > 0 {
			n++
		}
	}
	return n
}

// zoneCommand runs an operator's command about a zone at the first member.
func (f *fleet) zoneCommand(args ...string) error {
	return f.mustCommandMember(f.members[0], append([]string{"zone"}, args...)...)
}

// expectZoneCommandRefused runs such a command, and fails with a message if it is not refused.
func (f *fleet) expectZoneCommandRefused(message string, args ...string) {
	if out, err := f.commandMember(f.members[0], append([]string{"zone"}, args...)...); err == nil {
		f.env.Fail("%s: %s", message, out)
	}
}

// outage is the loss and the return of a zone. The moments may be read once done is closed.
type outage struct {
	lost, restored time.Time
	done           chan struct{} // closed once the load has ended
}

// loseZone has a zone's backends vanish after a while, and return after another, warming up. The load ends with ctx.
func (f *fleet) loseZone(ctx context.Context, zone string, after, length time.Duration) *outage {
	o := &outage{done: make(chan struct{})}
	go func() {
		defer close(o.done)
		pause(ctx, after)
		f.logEvent("zone %s is lost", zone)
		o.lost = time.Now()
		setFault(f.backendsIn(zone), unreachableFault)
		pause(ctx, length)
		f.logEvent("zone %s is back, cold", zone)
		o.restored = time.Now()
		f.restoreZone(zone)
		<-ctx.Done()
	}()
	return o
}

// restoreZone ends the faults of a zone's backends, which warm up.
func (f *fleet) restoreZone(zone string) {
	for _, backend := range f.backendsIn(zone) {
		backend.RestartSlowStart()
		backend.SetFault(fake.Fault{})
	}
}

// comparisonName names the measures of a fleet that shares state, or of members each alone.
func comparisonName(together bool) string {
	if together {
		return "together"
	}
	return "alone"
}

// measureExclusions measures when all members had left a zone and how far they were apart, from a moment on.
func (f *fleet) measureExclusions(lost time.Time) {
	times := f.exclusionTimes(backendsPerZone, lost)
	if len(times) < len(f.members) {
		f.env.Fail("%d of %d processes have left the zone", len(times), len(f.members))
	}
	if len(times) > 0 {
		first, last := times[0], times[len(times)-1]
		f.env.AtMost("left_s", last.Sub(lost).Seconds(), 4)
		f.env.AtMost("apart_s", last.Sub(first).Seconds(), 1)
	}
}
