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

// mostServers and mostInstances bound a day, mostLength its length and mostRate its requests a second.
const (
	mostServers   = 2000
	mostInstances = 10000
	mostLength    = time.Hour
	mostRate      = 100000
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
	Seed      uint64    `toml:"seed"`
	Length    Duration  `toml:"length"`
	Instances int       `toml:"instances"`
	Servers   int       `toml:"servers"`
	Zones     []string  `toml:"zones"`
	Near      Duration  `toml:"near"`
	Far       Duration  `toml:"far"`
	Room      int       `toml:"room"`
	MostConns int       `toml:"most_connections"`
	ReportLag Duration  `toml:"report_lag"`
	ColdFrom  float64   `toml:"cold_from"`
	ColdFor   Duration  `toml:"cold_for"`
	Clients   Clients   `toml:"clients"`
	Discovery Discovery `toml:"discovery"`
	Kinds     []Kind    `toml:"kinds"`
	Classes   []Class   `toml:"classes"`
	Faults    []Fault   `toml:"faults"`
}

// Clients is how clients behave.
type Clients struct {
	Rate    float64  `toml:"rate"`
	Retries int      `toml:"retries"`
	Pause   Duration `toml:"pause"`
	Heed    bool     `toml:"heed_retry_after"`
}

// Discovery is the service of the list.
type Discovery struct {
	Calls  float64  `toml:"calls"`
	Notice Duration `toml:"notice"`
}

// Kind is a kind of machine.
type Kind struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
	Cores int     `toml:"cores"`
	Speed float64 `toml:"speed"`
}

// Class is a class of requests.
type Class struct {
	Name     string   `toml:"name"`
	Effect   string   `toml:"effect"`
	Group    string   `toml:"repeats_dropped_by"`
	KeyTTL   Duration `toml:"repeats_dropped_for"`
	Aim      Duration `toml:"aim"`
	Deadline Duration `toml:"deadline"`
	Worth    float64  `toml:"worth"`
	Late     float64  `toml:"late_worth"`
	Share    float64  `toml:"share"`
	Work     Duration `toml:"work"`
	CV       float64  `toml:"work_cv"`
}

// Fault is something that happens.
type Fault struct {
	At      Duration `toml:"at"`
	Kind    string   `toml:"kind"`
	Zone    string   `toml:"zone"`
	Servers int      `toml:"servers"`
	Share   float64  `toml:"share"`
	Over    Duration `toml:"over"`
}

// The kinds of faults: what each does to the world.
var faults = map[string]func(Fault) []emulator.ScheduledEvent{
	"zone-lost": func(f Fault) []emulator.ScheduledEvent {
		return once(f, func(w *emulator.Emulation) { w.FailSilently(func(_ int, zone string) bool { return zone == f.Zone }) })
	},
	"cut-off": func(f Fault) []emulator.ScheduledEvent { // a zone, or a share of the servers, and back after a while
		back := f
		back.At += f.Over
		off := func(w *emulator.Emulation) {
			w.Partition(func(place int, zone string) bool {
				return f.Zone != "" && zone == f.Zone || f.Zone == "" && float64(place*7919%1000) < f.Share*1000
			})
		}
		return append(once(f, off), once(back, (*emulator.Emulation).HealPartition)...)
	},
	"lost-answers": func(f Fault) []emulator.ScheduledEvent {
		return once(f, func(w *emulator.Emulation) { w.DropResponses(f.Share) })
	},
	"resets": func(f Fault) []emulator.ScheduledEvent {
		return once(f, func(w *emulator.Emulation) { w.ResetConnections(f.Share) })
	},
	"zone-back": func(f Fault) []emulator.ScheduledEvent { return once(f, (*emulator.Emulation).RestoreSilent) },
	"all-cold":  func(f Fault) []emulator.ScheduledEvent { return once(f, (*emulator.Emulation).RestartAllBackends) },
	"fail-fast": func(f Fault) []emulator.ScheduledEvent {
		return once(f, func(w *emulator.Emulation) {
			for i := range f.Servers {
				w.InjectErrors(i, f.Share)
			}
		})
	},
	"restart": func(f Fault) []emulator.ScheduledEvent { // of a share of the instances
		return once(f, func(w *emulator.Emulation) {
			w.RestartInstances(func(o int) bool { return float64(o*7919%1000) < f.Share*1000 }, time.Duration(f.Over))
		})
	},
	"replace": func(f Fault) []emulator.ScheduledEvent {
		var all []emulator.ScheduledEvent
		for i := range f.Servers {
			at := time.Duration(f.At) + time.Duration(i)*time.Duration(f.Over)/time.Duration(max(f.Servers, 1))
			all = append(all, emulator.ScheduledEvent{At: at, Apply: func(w *emulator.Emulation) { w.ReplaceBackend(i, 3*time.Second) }})
		}
		return all
	},
}

func once(f Fault, do func(*emulator.Emulation)) []emulator.ScheduledEvent {
	return []emulator.ScheduledEvent{{At: time.Duration(f.At), Apply: do}}
}

// Usual is a day of a middling fleet without faults.
func Usual() File {
	ms := func(n int) Duration { return Duration(time.Duration(n) * time.Millisecond) }
	return File{
		Seed: 1, Length: ms(20000), Instances: 20, Servers: 16, Zones: []string{"a", "b"}, Near: Duration(500 * time.Microsecond), Far: ms(7),
		Room: 300, MostConns: 400, ReportLag: ms(150), ColdFrom: 0.35, ColdFor: ms(8000),
		Clients: Clients{Rate: 350, Retries: 3, Pause: ms(20), Heed: true}, Discovery: Discovery{Calls: 60, Notice: ms(1500)},
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
	f := Usual()
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return emulator.Scenario{}, explain(name, err)
	}
	if times != 1 {
		whole := func(n int) int { return int(math.Round(float64(n) * times)) }
		f.Instances, f.Servers, f.Clients.Rate, f.Discovery.Calls = whole(f.Instances), whole(f.Servers), f.Clients.Rate*times, f.Discovery.Calls*times
		for i := range f.Faults {
			f.Faults[i].Servers = whole(f.Faults[i].Servers)
		}
	}
	day, err := f.Day()
	if err != nil {
		return emulator.Scenario{}, fmt.Errorf("%s: %w", name, err)
	}
	return day, nil
}

// explain names line and key of an error of the reader.
func explain(name string, err error) error {
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

// Day is the day that f describes; the error names every key that cannot be used.
func (f *File) Day() (emulator.Scenario, error) {
	var errs []error
	bad := func(key, format string, args ...any) { errs = append(errs, fmt.Errorf(key+": "+format, args...)) }
	within := func(key string, v, least, most float64) {
		if !(v >= least && v <= most) {
			bad(key, "is %g, outside %g to %g", v, least, most)
		}
	}
	within("length", time.Duration(f.Length).Seconds(), 1, mostLength.Seconds())
	within("instances", float64(f.Instances), 1, mostInstances)
	within("servers", float64(f.Servers), 1, mostServers)
	within("clients.rate", f.Clients.Rate, 0.001, mostRate)
	within("clients.retries", float64(f.Clients.Retries), 0, 10)
	within("discovery.calls", f.Discovery.Calls, 0.1, 1e6)
	within("cold_from", f.ColdFrom, 0.01, 1)
	within("room", float64(f.Room), 0, 1e6)
	within("most_connections", float64(f.MostConns), 0, 1e6)
	if len(f.Zones) == 0 {
		bad("zones", "names none")
	}
	day := emulator.Scenario{
		Seed: f.Seed, Duration: time.Duration(f.Length), InstanceCount: f.Instances, BackendCount: f.Servers, Zones: f.Zones, StartupWindow: 100 * time.Millisecond,
		SameZoneDelay: time.Duration(f.Near), CrossZoneDelay: time.Duration(f.Far), MaxQueueLength: f.Room, MaxConnections: f.MostConns, HandshakeDuration: 2 * time.Millisecond,
		LoadReportAge: time.Duration(f.ReportLag), SlowStartMinCapacity: f.ColdFrom, SlowStartDuration: time.Duration(f.ColdFor), CollapseFactor: 2.5, CollapseWindow: time.Second,
		Clients: emulator.Clients{
			RequestsPerSecond: f.Clients.Rate, RateSpread: 1, MaxRetries: f.Clients.Retries, RetryDelay: time.Duration(f.Clients.Pause), AttemptTimeoutFraction: 0.5, HonorRetryAfter: f.Clients.Heed,
		},
		Discovery: emulator.Discovery{WatchesPerSecond: f.Discovery.Calls, MaxQueueDelay: 2 * time.Second, NotificationDelay: time.Duration(f.Discovery.Notice)},
		Policy:    emulator.DefaultPolicy(),
	}
	day.Policy.RetryAfterHonored = f.Clients.Heed
	for i, k := range f.Kinds {
		at := fmt.Sprintf("kinds[%d].", i+1)
		within(at+"cores", float64(k.Cores), 1, 1024)
		within(at+"speed", k.Speed, 0.001, 1000)
		within(at+"share", k.Share, 0, 1)
		day.MachineTypes = append(day.MachineTypes, emulator.MachineType{Name: k.Name, Fraction: k.Share, Cores: k.Cores, Speed: k.Speed})
	}
	if len(f.Kinds) == 0 {
		day.MachineTypes = []emulator.MachineType{{Name: "even", Fraction: 1, Cores: 3, Speed: 1.2}}
	}
	effects := map[string]policy.Idempotency{"": policy.Idempotent, "safe": policy.Idempotent, "keyed": policy.IdempotentByKey, "unsafe": policy.NonIdempotent}
	groups := map[string]policy.DedupScope{"": policy.DedupEverywhere, "all": policy.DedupEverywhere, "zone": policy.DedupZone, "cell": policy.DedupCell}
	for i, c := range f.Classes {
		at := fmt.Sprintf("classes[%d].", i+1)
		effect, known := effects[c.Effect]
		if !known {
			bad(at+"effect", "is %q, none of safe, keyed, unsafe", c.Effect)
		}
		group, known := groups[c.Group]
		if !known {
			bad(at+"repeats_dropped_by", "is %q, none of all, zone, cell", c.Group)
		}
		if c.Name == "" {
			bad(at+"name", "is missing")
		}
		within(at+"aim", time.Duration(c.Aim).Seconds(), 0.001, 60)
		within(at+"deadline", time.Duration(c.Deadline).Seconds(), time.Duration(c.Aim).Seconds(), 60)
		within(at+"work", time.Duration(c.Work).Seconds(), 1e-6, 60)
		within(at+"share", c.Share, 0, 1)
		within(at+"worth", c.Worth, 0, 1e6)
		within(at+"work_cv", c.CV, 0, 10)
		day.Classes = append(day.Classes, emulator.Class{
			Class: policy.Class{
				Name: c.Name, Idempotency: effect, DedupScope: group, DedupWindow: time.Duration(c.KeyTTL), LatencyObjective: time.Duration(c.Aim),
				Deadline: time.Duration(c.Deadline), PriorityWeight: c.Worth, LateWeightFraction: c.Late,
			}, Fraction: c.Share, MeanWork: time.Duration(c.Work), WorkVariation: c.CV,
		})
	}
	if len(f.Classes) == 0 {
		day.Classes = []emulator.Class{{
			Class: policy.Class{Name: "read", LatencyObjective: 450 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 1, LateWeightFraction: 0.3}, Fraction: 1, MeanWork: 90 * time.Millisecond, WorkVariation: 1,
		}}
	}
	for i, x := range f.Faults {
		at := fmt.Sprintf("faults[%d].", i+1)
		steps, known := faults[x.Kind]
		if !known {
			bad(at+"kind", "is %q, none of %s", x.Kind, strings.Join(slices.Sorted(maps.Keys(faults)), ", "))
			continue
		}
		within(at+"servers", float64(x.Servers), 0, float64(f.Servers))
		within(at+"share", x.Share, 0, 1)
		if x.At > f.Length {
			bad(at+"at", "is %v, after the day's end", time.Duration(x.At))
		}
		if (x.Kind == "zone-lost" || x.Kind == "cut-off" && x.Zone != "") && !slices.Contains(f.Zones, x.Zone) {
			bad(at+"zone", "is %q, none of zones", x.Zone)
		}
		day.Events = append(day.Events, steps(x)...)
	}
	return day, errors.Join(errs...)
}
