package scenario

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"sorrelrudder/internal/emulator"
	"sorrelrudder/policy"
)

// Upper limits of an accepted scenario.
const (
	maxBackends          = 2000
	maxInstances         = 10000
	maxDuration          = time.Hour
	maxRequestsPerSecond = 100000
)

// Values of a scenario that a file cannot set.
const (
	startupWindow          = 100 * time.Millisecond
	handshakeDuration      = 2 * time.Millisecond
	collapseFactor         = 2.5
	collapseWindow         = time.Second
	rateSpread             = 1
	attemptTimeoutFraction = 0.5
	watchMaxQueueDelay     = 2 * time.Second
)

// validator collects the errors of the keys of a file.
type validator struct{ errs []error }

// reject adds an error about a key.
func (v *validator) reject(key, format string, args ...any) {
	v.errs = append(v.errs, fmt.Errorf(key+": "+format, args...))
}

// within rejects a value outside of the range from minimum to maximum, and NaN.
func (v *validator) within(key string, value, minimum, maximum float64) {
	if !(value >= minimum && value <= maximum) {
		v.reject(key, "invalid value %g, must be between %g and %g", value, minimum, maximum)
	}
}

// Scenario returns the scenario that the file describes. The error names every key with an invalid value.
func (f *File) Scenario() (emulator.Scenario, error) {
	v := &validator{}
	f.validateFleet(v)
	scenario := f.fleet()
	scenario.MachineTypes = f.machineTypes(v)
	scenario.Classes = f.classes(v)
	scenario.Events = f.events(v)
	return scenario, errors.Join(v.errs...)
}

// validateFleet checks all keys except those of machine types, classes and faults.
func (f *File) validateFleet(v *validator) {
	v.within("length", f.Duration.seconds(), 1, maxDuration.Seconds())
	v.within("instances", float64(f.InstanceCount), 1, maxInstances)
	v.within("servers", float64(f.BackendCount), 1, maxBackends)
	v.within("clients.rate", f.Clients.RequestsPerSecond, 0.001, maxRequestsPerSecond)
	v.within("clients.retries", float64(f.Clients.MaxRetries), 0, 10)
	v.within("discovery.calls", f.Discovery.WatchesPerSecond, 0.1, 1e6)
	v.within("cold_from", f.SlowStartMinCapacity, 0.01, 1)
	v.within("room", float64(f.MaxQueueLength), 0, 1e6)
	v.within("most_connections", float64(f.MaxConnections), 0, 1e6)
	if len(f.Zones) == 0 {
		v.reject("zones", "must name at least one zone")
	}
}

// fleet returns the scenario without machine types, classes and events.
func (f *File) fleet() emulator.Scenario {
	scenario := emulator.Scenario{
		Seed:                 f.Seed,
		Duration:             time.Duration(f.Duration),
		StartupWindow:        startupWindow,
		InstanceCount:        f.InstanceCount,
		BackendCount:         f.BackendCount,
		Zones:                f.Zones,
		SameZoneDelay:        time.Duration(f.SameZoneDelay),
		CrossZoneDelay:       time.Duration(f.CrossZoneDelay),
		HandshakeDuration:    handshakeDuration,
		MaxQueueLength:       f.MaxQueueLength,
		MaxConnections:       f.MaxConnections,
		LoadReportAge:        time.Duration(f.LoadReportAge),
		SlowStartMinCapacity: f.SlowStartMinCapacity,
		SlowStartDuration:    time.Duration(f.SlowStartDuration),
		CollapseFactor:       collapseFactor,
		CollapseWindow:       collapseWindow,
		Clients: emulator.Clients{
			RequestsPerSecond:      f.Clients.RequestsPerSecond,
			RateSpread:             rateSpread,
			MaxRetries:             f.Clients.MaxRetries,
			RetryDelay:             time.Duration(f.Clients.RetryDelay),
			AttemptTimeoutFraction: attemptTimeoutFraction,
			HonorRetryAfter:        f.Clients.HonorRetryAfter,
		},
		Discovery: emulator.Discovery{
			WatchesPerSecond:  f.Discovery.WatchesPerSecond,
			MaxQueueDelay:     watchMaxQueueDelay,
			NotificationDelay: time.Duration(f.Discovery.NotificationDelay),
		},
		Policy: emulator.DefaultPolicy(),
	}
	scenario.Policy.RetryAfterHonored = f.Clients.HonorRetryAfter
	return scenario
}

// machineTypes returns the machine types of the file, or a default one if the file has none.
func (f *File) machineTypes(v *validator) []emulator.MachineType {
	if len(f.MachineTypes) == 0 {
		return []emulator.MachineType{{Name: "even", Fraction: 1, Cores: 3, Speed: 1.2}}
	}
	var all []emulator.MachineType
	for i, machine := range f.MachineTypes {
		prefix := fmt.Sprintf("kinds[%d].", i+1)
		v.within(prefix+"cores", float64(machine.Cores), 1, 1024)
		v.within(prefix+"speed", machine.Speed, 0.001, 1000)
		v.within(prefix+"share", machine.Fraction, 0, 1)
		all = append(all, emulator.MachineType(machine))
	}
	return all
}

// classes returns the classes of the file, or defaultClass if the file has none.
func (f *File) classes(v *validator) []emulator.Class {
	if len(f.Classes) == 0 {
		return []emulator.Class{defaultClass()}
	}
	var all []emulator.Class
	for i, class := range f.Classes {
		all = append(all, class.convert(v, fmt.Sprintf("classes[%d].", i+1)))
	}
	return all
}

// defaultClass returns the class that is used if the file has none.
func defaultClass() emulator.Class {
	return emulator.Class{
		Class: policy.Class{
			Name:               "read",
			LatencyObjective:   450 * time.Millisecond,
			Deadline:           2 * time.Second,
			PriorityWeight:     1,
			LateWeightFraction: 0.3,
		},
		Fraction:      1,
		MeanWork:      90 * time.Millisecond,
		WorkVariation: 1,
	}
}

// Names of idempotencies and dedup scopes in a file.
var (
	idempotencies = map[string]policy.Idempotency{
		"":       policy.Idempotent,
		"safe":   policy.Idempotent,
		"keyed":  policy.IdempotentByKey,
		"unsafe": policy.NonIdempotent,
	}
	dedupScopes = map[string]policy.DedupScope{
		"":     policy.DedupEverywhere,
		"all":  policy.DedupEverywhere,
		"zone": policy.DedupZone,
		"cell": policy.DedupCell,
	}
)

// convert returns the class. prefix is prepended to the keys in errors.
func (c *Class) convert(v *validator, prefix string) emulator.Class {
	idempotency, known := idempotencies[c.Idempotency]
	if !known {
		v.reject(prefix+"effect", "invalid value %q, must be one of safe, keyed, unsafe", c.Idempotency)
	}
	scope, known := dedupScopes[c.DedupScope]
	if !known {
		v.reject(prefix+"repeats_dropped_by", "invalid value %q, must be one of all, zone, cell", c.DedupScope)
	}
	if c.Name == "" {
		v.reject(prefix+"name", "required key is missing or empty")
	}
	v.within(prefix+"aim", c.LatencyObjective.seconds(), 0.001, 60)
	v.within(prefix+"deadline", c.Deadline.seconds(), c.LatencyObjective.seconds(), 60)
	v.within(prefix+"work", c.MeanWork.seconds(), 1e-6, 60)
	v.within(prefix+"share", c.Fraction, 0, 1)
	v.within(prefix+"worth", c.PriorityWeight, 0, 1e6)
	v.within(prefix+"work_cv", c.WorkVariation, 0, 10)
	return emulator.Class{
		Class: policy.Class{
			Name:               c.Name,
			Idempotency:        idempotency,
			DedupScope:         scope,
			DedupWindow:        time.Duration(c.DedupWindow),
			LatencyObjective:   time.Duration(c.LatencyObjective),
			Deadline:           time.Duration(c.Deadline),
			PriorityWeight:     c.PriorityWeight,
			LateWeightFraction: c.LateWeightFraction,
		},
		Fraction:      c.Fraction,
		MeanWork:      time.Duration(c.MeanWork),
		WorkVariation: c.WorkVariation,
	}
}

// events returns the events of all faults in the order of the file.
func (f *File) events(v *validator) []emulator.ScheduledEvent {
	var all []emulator.ScheduledEvent
	for i, fault := range f.Faults {
		prefix := fmt.Sprintf("faults[%d].", i+1)
		events, known := faultKinds[fault.Kind]
		if !known {
			v.reject(prefix+"kind", "invalid value %q, must be one of %s", fault.Kind, strings.Join(slices.Sorted(maps.Keys(faultKinds)), ", "))
			continue
		}
		f.validateFault(v, prefix, &fault)
		all = append(all, events(fault)...)
	}
	return all
}

// validateFault checks the fields of a fault whose kind is known.
func (f *File) validateFault(v *validator, prefix string, fault *Fault) {
	v.within(prefix+"servers", float64(fault.Backends), 0, float64(f.BackendCount))
	v.within(prefix+"share", fault.Fraction, 0, 1)
	if fault.At > f.Duration {
		v.reject(prefix+"at", "invalid value %v, must not be later than the end of the scenario", time.Duration(fault.At))
	}
	if fault.readsZone() && !slices.Contains(f.Zones, fault.Zone) {
		v.reject(prefix+"zone", "invalid value %q, must be listed in zones", fault.Zone)
	}
}
