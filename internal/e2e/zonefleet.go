package e2e

import (
	"context"
	"slices"
	"strings"
	"time"

	"sorrelrudder/internal/fake"
)

var zoneNames = []string{"a", "b", "c"}

const (
	zoneBackends  = 9
	zoneProcesses = 12
	zoneSettings  = "[tier.zones]\nautomatic = \"on\"\nstep = \"1s\"\nhold = \"1s\"\n"
)

// startZoneFleet starts twelve processes in three zones, with three backends in each, which are cold at their start.
func (e *Env) startZoneFleet(ctx context.Context, recorder *fake.EffectRecorder, zones bool, voters int) (*fleet, error) {
	return e.startZoneFleetOf(ctx, recorder, zones, zoneProcesses, voters, "", configureZoneBackend)
}

func configureZoneBackend(b *fake.BackendConfig) {
	b.ServiceTime, b.Cores, b.QueueLimit = 40*time.Millisecond, 2, 200
}

// startZoneFleetWith is the usual one with further keys of [tier.zones], or of processes each for itself.
func (e *Env) startZoneFleetWith(ctx context.Context, recorder *fake.EffectRecorder, zones bool, more string) (*fleet, error) {
	return e.startZoneFleetWithKeys(ctx, recorder, zones, zoneProcesses, 3, "", more, configureZoneBackend)
}

func (e *Env) startZoneFleetOf(ctx context.Context, recorder *fake.EffectRecorder, zones bool, processes, voters int, pool string, backend func(*fake.BackendConfig)) (*fleet, error) {
	return e.startZoneFleetWithKeys(ctx, recorder, zones, processes, voters, pool, "", backend)
}

func (e *Env) startZoneFleetWithKeys(ctx context.Context, recorder *fake.EffectRecorder, zones bool, processes, voters int, pool, more string, backend func(*fake.BackendConfig)) (*fleet, error) {
	n := 0
	cfg := fleetConfig{
		processes: processes, voters: voters, backends: zoneBackends, recorder: recorder, subsets: true, sharedState: defaultSharedState, poolSections: pool, ordinaryHTTP: pool != "",
		zone: func(i int) string { return zoneNames[i%3] },
		configureBackend: func(b *fake.BackendConfig) {
			b.Zone = zoneNames[n%3]
			backend(b)
			n++
		},
	}
	if zones {
		cfg.sharedState += zoneSettings + more
	} else {
		cfg.sharedState = "" // each for itself
	}
	f, err := e.startFleet(ctx, cfg)
	if err != nil {
		return nil, err
	}
	if !zones {
		for _, p := range f.members {
			if err := p.awaitReady(ctx); err != nil {
				return nil, err
			}
		}
		return f, nil
	}
	return f, f.awaitCondition(ctx, 20*time.Second, "all are there to each other", func() bool {
		got := f.sharedStates(f.members)
		for _, s := range got {
			for _, state := range s.Members {
				if state != "alive" {
					return false
				}
			}
		}
		return len(got) == len(f.members)
	})
}

// backendsIn are the backends of a zone.
func (f *fleet) backendsIn(zone string) (all []*fake.Backend) {
	for _, b := range f.backends {
		if b.Zone() == zone {
			all = append(all, b)
		}
	}
	return all
}

// exclusionTimes is when each process has carried out that so many servers are avoided, after a moment; one that has not is left out.
func (f *fleet) exclusionTimes(avoided int, after time.Time) (at []time.Time) {
	for _, p := range f.members {
		for _, line := range p.program.LogLines() {
			if LogField(line, "msg") != "exclusions applied" || !logTime(line).After(after) {
				continue
			}
			if n := len(strings.Fields(strings.Trim(LogField(line, "avoided"), "[]"))); n == avoided {
				at = append(at, logTime(line))
				break
			}
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	return at
}

// shiftDeciders is how many processes have ever avoided anything.
func (f *fleet) shiftDeciders() (n int) {
	for _, p := range f.members {
		if p.program.CountLog("zone shift decided") > 0 {
			n++
		}
	}
	return n
}

// outage is a zone that is lost and comes back, and when.
type outage struct {
	lost, restored time.Time
	done           chan struct{} // closed once the load has ended
}

// loseZone has a zone's backends vanish after a while, and come back cold after another, under a load that ends with ctx.
func (f *fleet) loseZone(ctx context.Context, zone string, after, length time.Duration) *outage {
	o := &outage{done: make(chan struct{})}
	go func() {
		defer close(o.done)
		pause(ctx, after)
		f.logEvent("zone %s is lost", zone)
		o.lost = time.Now()
		for _, b := range f.backendsIn(zone) {
			b.SetFault(fake.Fault{Kind: fake.FaultUnreachable, Fraction: 1})
		}
		pause(ctx, length)
		f.logEvent("zone %s is back, cold", zone)
		o.restored = time.Now()
		for _, b := range f.backendsIn(zone) {
			b.RestartSlowStart()
			b.SetFault(fake.Fault{})
		}
		<-ctx.Done()
	}()
	return o
}
