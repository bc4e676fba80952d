// Package scenario reads a day of the emulator from TOML: every error with file, line and key. What is left out has the value of Usual.
package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"math"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"sorrelrudder/internal/emulator"
	"sorrelrudder/policy"
)

// maxBackends and mostInstances bound a day, mostLength its length and mostRate its requests a second.
const (
	maxBackends          = 2000
	maxInstances         = 10000
	maxDuration          = time.Hour
	maxRequestsPerSecond = 100000
)

// Duration is a time as it is written.
type Duration time.Duration

// UnmarshalText is the method of encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err == nil && v < 0 {
		err = fmt.Errorf("%q is below 0", text)
	}
	*d = Duration(v)
	return err
}

// MarshalText is the method of encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// File is a day as it is written down.
type File struct {
	Seed                 uint64        `toml:"seed"`
	Duration             Duration      `toml:"length"`
	InstanceCount        int           `toml:"instances"`
	BackendCount         int           `toml:"servers"`
	Zones                []string      `toml:"zones"`
	SameZoneDelay        Duration      `toml:"near"`
	CrossZoneDelay       Duration      `toml:"far"`
	MaxQueueLength       int           `toml:"room"`
	MaxConnections       int           `toml:"most_connections"`
	LoadReportAge        Duration      `toml:"report_lag"`
	SlowStartMinCapacity float64       `toml:"cold_from"`
	SlowStartDuration    Duration      `toml:"cold_for"`
	Clients              Clients       `toml:"clients"`
	Discovery            Discovery     `toml:"discovery"`
	MachineTypes         []MachineType `toml:"kinds"`
	Classes              []Class       `toml:"classes"`
	Faults               []Fault       `toml:"faults"`
}

// Clients is how clients behave.
type Clients struct {
	RequestsPerSecond float64  `toml:"rate"`
	MaxRetries        int      `toml:"retries"`
	RetryDelay        Duration `toml:"pause"`
	HonorRetryAfter   bool     `toml:"heed_retry_after"`
}

// Discovery is the service of the list.
type Discovery struct {
	WatchesPerSecond  float64  `toml:"calls"`
	NotificationDelay Duration `toml:"notice"`
}

// MachineType is a kind of machine.
type MachineType struct {
	Name     string  `toml:"name"`
	Fraction float64 `toml:"share"`
	Cores    int     `toml:"cores"`
	Speed    float64 `toml:"speed"`
}

// Class is a class of requests.
type Class struct {
	Name               string   `toml:"name"`
	Idempotency        string   `toml:"effect"`
	DedupScope         string   `toml:"repeats_dropped_by"`
	DedupWindow        Duration `toml:"repeats_dropped_for"`
	LatencyObjective   Duration `toml:"aim"`
	Deadline           Duration `toml:"deadline"`
	PriorityWeight     float64  `toml:"worth"`
	LateWeightFraction float64  `toml:"late_worth"`
	Fraction           float64  `toml:"share"`
	MeanWork           Duration `toml:"work"`
	WorkVariation      float64  `toml:"work_cv"`
}

// Fault is something that happens.
type Fault struct {
	At       Duration `toml:"at"`
	Kind     string   `toml:"kind"`
	Zone     string   `toml:"zone"`
	Backends int      `toml:"servers"`
	Fraction float64  `toml:"share"`
	Duration Duration `toml:"over"`
}

// The kinds of faults: what each does to the world.
var faultKinds = map[string]func(Fault) []emulator.ScheduledEvent{
	"zone-lost": func(f Fault) []emulator.ScheduledEvent {
		return once(f, func(w *emulator.Emulation) { w.FailSilently(func(_ int, zone string) bool { return zone == f.Zone }) })
	},
	"cut-off": func(f Fault) []emulator.ScheduledEvent { // a zone, or a share of the servers, and back after a while
		back := f
		back.At += f.Duration
		off := func(w *emulator.Emulation) {
			w.Partition(func(place int, zone string) bool {
				return f.Zone != "" && zone == f.Zone || f.Zone == "" && float64(place*7919%1000) < f.Fraction*1000
			})
		}
		return append(once(f, off), once(back, (*emulator.Emulation).HealPartition)...)
	},
	"lost-answers": func(f Fault) []emulator.ScheduledEvent {
		return once(f, func(w *emulator.Emulation) { w.DropResponses(f.Fraction) })
	},
	"resets": func(f Fault) []emulator.ScheduledEvent {
		return once(f, func(w *emulator.Emulation) { w.ResetConnections(f.Fraction) })
	},
	"zone-back": func(f Fault) []emulator.ScheduledEvent { return once(f, (*emulator.Emulation).RestoreSilent) },
	"all-cold":  func(f Fault) []emulator.ScheduledEvent { return once(f, (*emulator.Emulation).RestartAllBackends) },
	"fail-fast": func(f Fault) []emulator.ScheduledEvent {
		return once(f, func(w *emulator.Emulation) {
			for i := range f.Backends {
				w.InjectErrors(i, f.Fraction)
			}
		})
	},
	"restart": func(f Fault) []emulator.ScheduledEvent { // of a share of the instances
		return once(f, func(w *emulator.Emulation) {
			w.RestartInstances(func(o int) bool { return float64(o*7919%1000) < f.Fraction*1000 }, time.Duration(f.Duration))
		})
	},
	"replace": func(f Fault) []emulator.ScheduledEvent {
		var all []emulator.ScheduledEvent
		for i := range f.Backends {
			at := time.Duration(f.At) + time.Duration(i)*time.Duration(f.Duration)/time.Duration(max(f.Backends, 1))
			all = append(all, emulator.ScheduledEvent{At: at, Apply: func(w *emulator.Emulation) { w.ReplaceBackend(i, 3*time.Second) }})
		}
		return all
	},
}

func once(f Fault, do func(*emulator.Emulation)) []emulator.ScheduledEvent {
	return []emulator.ScheduledEvent{{At: time.Duration(f.At), Apply: do}}
}

// Default is a day of a middling fleet without faults.
func Default() File {
	ms := func(n int) Duration { return Duration(time.Duration(n) * time.Millisecond) }
	return File{
		Seed: 1, Duration: ms(20000), InstanceCount: 20, BackendCount: 16, Zones: []string{"a", "b"}, SameZoneDelay: Duration(500 * time.Microsecond), CrossZoneDelay: ms(7),
		MaxQueueLength: 300, MaxConnections: 400, LoadReportAge: ms(150), SlowStartMinCapacity: 0.35, SlowStartDuration: ms(8000),
		Clients: Clients{RequestsPerSecond: 350, MaxRetries: 3, RetryDelay: ms(20), HonorRetryAfter: true}, Discovery: Discovery{WatchesPerSecond: 60, NotificationDelay: ms(1500)},
	}
}

// Load reads a day's file.
func Load(path string) (emulator.Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return emulator.Scenario{}, err
	}
	return Parse(path, text)
}

// LoadScaled reads a day's file for times as many instances, servers, requests and calls.
func LoadScaled(path string, times float64) (emulator.Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return emulator.Scenario{}, err
	}
	return parse(path, text, times)
}

// Parse reads a day's text; name is what errors call it.
func Parse(name string, text []byte) (emulator.Scenario, error) { return parse(name, text, 1) }

func parse(name string, text []byte, times float64) (emulator.Scenario, error) {
	f := Default()
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return emulator.Scenario{}, locate(name, err)
	}
	if times != 1 {
		whole := func(n int) int { return int(math.Round(float64(n) * times)) }
		f.InstanceCount, f.BackendCount, f.Clients.RequestsPerSecond, f.Discovery.WatchesPerSecond = whole(f.InstanceCount), whole(f.BackendCount), f.Clients.RequestsPerSecond*times, f.Discovery.WatchesPerSecond*times
		for i := range f.Faults {
			f.Faults[i].Backends = whole(f.Faults[i].Backends)
		}
	}
	day, err := f.Scenario()
	if err != nil {
		return emulator.Scenario{}, fmt.Errorf("%s: %w", name, err)
	}
	return day, nil
}

// locate names line and key of an error of the reader.
func locate(name string, err error) error {
	var unknown *toml.StrictMissingError
	var bad *toml.DecodeError
	switch {
	case errors.As(err, &unknown) && len(unknown.Errors) > 0:
		var all []error
		for _, e := range unknown.Errors {
			line, _ := e.Position()
			all = append(all, fmt.Errorf("%s:%d: %s: unknown key", name, line, strings.Join(e.Key(), ".")))
		}
		return errors.Join(all...)
	case errors.As(err, &bad):
		line, _ := bad.Position()
		return fmt.Errorf("%s:%d: %s: %w", name, line, strings.Join(bad.Key(), "."), err)
	}
	return fmt.Errorf("%s: %w", name, err)
}

// Scenario is the day that f describes; the error names every key that cannot be used.
func (f *File) Scenario() (emulator.Scenario, error) {
	var errs []error
	bad := func(key, format string, args ...any) { errs = append(errs, fmt.Errorf(key+": "+format, args...)) }
	within := func(key string, v, least, most float64) {
		if !(v >= least && v <= most) {
			bad(key, "is %g, outside %g to %g", v, least, most)
		}
	}
	within("length", time.Duration(f.Duration).Seconds(), 1, maxDuration.Seconds())
	within("instances", float64(f.InstanceCount), 1, maxInstances)
	within("servers", float64(f.BackendCount), 1, maxBackends)
	within("clients.rate", f.Clients.RequestsPerSecond, 0.001, maxRequestsPerSecond)
	within("clients.retries", float64(f.Clients.MaxRetries), 0, 10)
	within("discovery.calls", f.Discovery.WatchesPerSecond, 0.1, 1e6)
	within("cold_from", f.SlowStartMinCapacity, 0.01, 1)
	within("room", float64(f.MaxQueueLength), 0, 1e6)
	within("most_connections", float64(f.MaxConnections), 0, 1e6)
	if len(f.Zones) == 0 {
		bad("zones", "names none")
	}
	day := emulator.Scenario{
		Seed: f.Seed, Duration: time.Duration(f.Duration), InstanceCount: f.InstanceCount, BackendCount: f.BackendCount, Zones: f.Zones, StartupWindow: 100 * time.Millisecond,
		SameZoneDelay: time.Duration(f.SameZoneDelay), CrossZoneDelay: time.Duration(f.CrossZoneDelay), MaxQueueLength: f.MaxQueueLength, MaxConnections: f.MaxConnections, HandshakeDuration: 2 * time.Millisecond,
		LoadReportAge: time.Duration(f.LoadReportAge), SlowStartMinCapacity: f.SlowStartMinCapacity, SlowStartDuration: time.Duration(f.SlowStartDuration), CollapseFactor: 2.5, CollapseWindow: time.Second,
		Clients: emulator.Clients{
			RequestsPerSecond: f.Clients.RequestsPerSecond, RateSpread: 1, MaxRetries: f.Clients.MaxRetries, RetryDelay: time.Duration(f.Clients.RetryDelay), AttemptTimeoutFraction: 0.5, HonorRetryAfter: f.Clients.HonorRetryAfter,
		},
		Discovery: emulator.Discovery{WatchesPerSecond: f.Discovery.WatchesPerSecond, MaxQueueDelay: 2 * time.Second, NotificationDelay: time.Duration(f.Discovery.NotificationDelay)},
		Policy:    emulator.DefaultPolicy(),
	}
	day.Policy.RetryAfterHonored = f.Clients.HonorRetryAfter
	for i, k := range f.MachineTypes {
		at := fmt.Sprintf("kinds[%d].", i+1)
		within(at+"cores", float64(k.Cores), 1, 1024)
		within(at+"speed", k.Speed, 0.001, 1000)
		within(at+"share", k.Fraction, 0, 1)
		day.MachineTypes = append(day.MachineTypes, emulator.MachineType{Name: k.Name, Fraction: k.Fraction, Cores: k.Cores, Speed: k.Speed})
	}
	if len(f.MachineTypes) == 0 {
		day.MachineTypes = []emulator.MachineType{{Name: "even", Fraction: 1, Cores: 3, Speed: 1.2}}
	}
	effects := map[string]policy.Idempotency{"": policy.Idempotent, "safe": policy.Idempotent, "keyed": policy.IdempotentByKey, "unsafe": policy.NonIdempotent}
	groups := map[string]policy.DedupScope{"": policy.DedupEverywhere, "all": policy.DedupEverywhere, "zone": policy.DedupZone, "cell": policy.DedupCell}
	for i, c := range f.Classes {
		at := fmt.Sprintf("classes[%d].", i+1)
		effect, known := effects[c.Idempotency]
		if !known {
			bad(at+"effect", "is %q, none of safe, keyed, unsafe", c.Idempotency)
		}
		group, known := groups[c.DedupScope]
		if !known {
			bad(at+"repeats_dropped_by", "is %q, none of all, zone, cell", c.DedupScope)
		}
		if c.Name == "" {
			bad(at+"name", "is missing")
		}
		within(at+"aim", time.Duration(c.LatencyObjective).Seconds(), 0.001, 60)
		within(at+"deadline", time.Duration(c.Deadline).Seconds(), time.Duration(c.LatencyObjective).Seconds(), 60)
		within(at+"work", time.Duration(c.MeanWork).Seconds(), 1e-6, 60)
		within(at+"share", c.Fraction, 0, 1)
		within(at+"worth", c.PriorityWeight, 0, 1e6)
		within(at+"work_cv", c.WorkVariation, 0, 10)
		day.Classes = append(day.Classes, emulator.Class{
			Class: policy.Class{
				Name: c.Name, Idempotency: effect, DedupScope: group, DedupWindow: time.Duration(c.DedupWindow), LatencyObjective: time.Duration(c.LatencyObjective),
				Deadline: time.Duration(c.Deadline), PriorityWeight: c.PriorityWeight, LateWeightFraction: c.LateWeightFraction,
			}, Fraction: c.Fraction, MeanWork: time.Duration(c.MeanWork), WorkVariation: c.WorkVariation,
		})
	}
	if len(f.Classes) == 0 {
		day.Classes = []emulator.Class{{
			Class: policy.Class{Name: "read", LatencyObjective: 450 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 1, LateWeightFraction: 0.3}, Fraction: 1, MeanWork: 90 * time.Millisecond, WorkVariation: 1,
		}}
	}
	for i, x := range f.Faults {
		at := fmt.Sprintf("faults[%d].", i+1)
		steps, known := faultKinds[x.Kind]
		if !known {
			bad(at+"kind", "is %q, none of %s", x.Kind, strings.Join(slices.Sorted(maps.Keys(faultKinds)), ", "))
			continue
		}
		within(at+"servers", float64(x.Backends), 0, float64(f.BackendCount))
		within(at+"share", x.Fraction, 0, 1)
		if x.At > f.Duration {
			bad(at+"at", "is %v, after the day's end", time.Duration(x.At))
		}
		if (x.Kind == "zone-lost" || x.Kind == "cut-off" && x.Zone != "") && !slices.Contains(f.Zones, x.Zone) {
			bad(at+"zone", "is %q, none of zones", x.Zone)
		}
		day.Events = append(day.Events, steps(x)...)
	}
	return day, errors.Join(errs...)
}
