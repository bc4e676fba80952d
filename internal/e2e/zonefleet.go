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

	// zoneSettings enable automatic zone shifts, with short steps of the recovery ramp.
	zoneSettings = "[tier.zones]\nautomatic = \"on\"\nstep = \"1s\"\nhold = \"1s\"\n"

	// At failoverStep of the recovery ramp a zone is not used, at lastRecoveryStep it is used in full.
	failoverStep     = 0
	lastRecoveryStep = 4

	zoneShiftMessage  = "zone shift decided"
	exclusionsMessage = "exclusions applied"
)

// zoneNames lists the zones. Members and backends are assigned to them round-robin.
var zoneNames = []string{"a", "b", "c"}

// unreachableFault is the fault of a backend whose machine has failed: requests and health checks get no response.
var unreachableFault = fake.Fault{Kind: fake.FaultUnreachable, Fraction: 1}

// zoneFleetConfig configures a fleet in three zones, with three backends in each.
type zoneFleetConfig struct {
	recorder         *fake.EffectRecorder
	alone            bool   // members share no state and decide about zones alone
	processes        int    // 0 means zoneProcesses
	voters           int    // 0 means zoneVoters
	poolSections     string // additional sections of the pool; if set, its backends are ordinary HTTP services
	zoneKeys         string // additional keys of [tier.zones]
	configureBackend func(*fake.BackendConfig)
}

// configureZoneBackend sets the default configuration of a backend in a zone.
func configureZoneBackend(b *fake.BackendConfig) {
	b.ServiceTime, b.Cores, b.QueueLimit = 40*time.Millisecond, 2, 200
}

// startZoneFleet starts a fleet. It waits until all members consider each other alive, or until all are ready if they share no state.
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
	return f, f.awaitCondition(ctx, 20*time.Second, "all members consider each other alive", func() bool {
		return f.allAlive(f.sharedStates(f.members))
	})
}

// zoneOf returns the zone of the member or backend with index i.
func zoneOf(i int) string { return zoneNames[i%len(zoneNames)] }

// backendsIn returns the backends in a zone.
func (f *fleet) backendsIn(zone string) (all []*fake.Backend) {
	for _, backend := range f.backends {
		if backend.Zone() == zone {
			all = append(all, backend)
		}
	}
	return all
}

// setFault sets the fault of several backends.
func setFault(backends []*fake.Backend, fault fake.Fault) {
	for _, backend := range backends {
		backend.SetFault(fault)
	}
}

// lostRequests returns the number of requests sent to backends while they were unreachable or crashed.
func (f *fleet) lostRequests() int64 {
	n := int64(0)
	for _, backend := range f.backends {
		n += backend.LostRequests()
	}
	return n
}

// exclusionTimes returns the times, after a moment, at which each member first had exactly the given number of backends excluded. The times
// are sorted. Members without such a time are omitted.
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

// awaitExclusions waits until each member has, after a moment, had exactly the given number of backends excluded.
func (f *fleet) awaitExclusions(ctx context.Context, timeout time.Duration, excluded int, after time.Time, what string) error {
	return f.awaitCondition(ctx, timeout, what, func() bool {
		return len(f.exclusionTimes(excluded, after)) == len(f.members)
	})
}

// backendsPerZone is the number of backends that a member excludes when it leaves a zone.
const backendsPerZone = zoneBackends / 3

// awaitZoneLeft waits until all members have left a zone after a moment.
func (f *fleet) awaitZoneLeft(ctx context.Context, timeout time.Duration, after time.Time) error {
	return f.awaitExclusions(ctx, timeout, backendsPerZone, after, "all members have left the zone")
}

// awaitZoneUsed waits until all members have no backend excluded any more after a moment.
func (f *fleet) awaitZoneUsed(ctx context.Context, timeout time.Duration, after time.Time) error {
	return f.awaitExclusions(ctx, timeout, 0, after, "all members use the zone again")
}

// zoneShifts returns the number of zone shifts that the current programs of the members have decided.
func (f *fleet) zoneShifts() (n int) {
	for _, member := range f.members {
		n += member.currentProgram().CountLog(zoneShiftMessage)
	}
	return n
}

// zoneShiftDeciders returns the number of members that have decided a zone shift.
func (f *fleet) zoneShiftDeciders() (n int) {
	for _, member := range f.members {
		if member.currentProgram().CountLog(zoneShiftMessage) > 0 {
			n++
		}
	}
	return n
}

// zoneCommand runs a zone command against the first member.
func (f *fleet) zoneCommand(args ...string) error {
	return f.mustCommandMember(f.members[0], append([]string{"zone"}, args...)...)
}

// expectZoneCommandRefused runs a zone command, and records a violation with the given message if the command succeeds.
func (f *fleet) expectZoneCommandRefused(message string, args ...string) {
	if out, err := f.commandMember(f.members[0], append([]string{"zone"}, args...)...); err == nil {
		f.env.Fail("%s: %s", message, out)
	}
}

// outage is the loss and the return of a zone. The times may be read once done is closed.
type outage struct {
	lost, restored time.Time
	done           chan struct{} // closed once the load has ended
}

// loseZone makes the backends of a zone unreachable after a delay, for the given length. They return in slow start. done is closed once
// ctx, which limits the load, has ended.
func (f *fleet) loseZone(ctx context.Context, zone string, after, length time.Duration) *outage {
	o := &outage{done: make(chan struct{})}
	go func() {
		defer close(o.done)
		pause(ctx, after)
		f.logEvent("backends of zone %s become unreachable", zone)
		o.lost = time.Now()
		setFault(f.backendsIn(zone), unreachableFault)
		pause(ctx, length)
		f.logEvent("backends of zone %s return in slow start", zone)
		o.restored = time.Now()
		f.restoreZone(zone)
		<-ctx.Done()
	}()
	return o
}

// restoreZone ends the faults of the backends in a zone and starts their slow start.
func (f *fleet) restoreZone(zone string) {
	for _, backend := range f.backendsIn(zone) {
		backend.RestartSlowStart()
		backend.SetFault(fake.Fault{})
	}
}

// comparisonName returns the prefix of the measures of a fleet that shares state, or of members that decide alone.
func comparisonName(together bool) string {
	if together {
		return "together"
	}
	return "alone"
}

// measureExclusions measures the time from the loss of a zone until the last member left it, and the time between the first and the last
// member.
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
