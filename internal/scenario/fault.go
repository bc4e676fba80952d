package scenario

import (
	"time"

	"sorrelrudder/internal/emulator"
)

// replacementGrace is the time for which a backend that is being replaced drains.
const replacementGrace = 3 * time.Second

// Kinds of faults as named in a file.
const (
	faultZoneLost        = "zone-lost"    // the backends of a zone fail silently
	faultZoneBack        = "zone-back"    // the silent backends are replaced by new processes, which warm up
	faultCutOff          = "cut-off"      // a zone, or a fraction of the backends, is partitioned for a duration
	faultLostAnswers     = "lost-answers" // a fraction of the responses is lost
	faultResets          = "resets"       // a fraction of the connections is reset after transmission
	faultAllCold         = "all-cold"     // all backends restart at once
	faultFailFast        = "fail-fast"    // some backends answer a fraction of their requests with an error
	faultRestart         = "restart"      // a fraction of the instances is down for a duration
	faultReplaceBackends = "replace"      // some backends are replaced, spread over a duration
)

// faultKinds maps each kind of fault to the function that returns its events.
var faultKinds = map[string]func(Fault) []emulator.ScheduledEvent{
	faultZoneLost:        Fault.loseZone,
	faultZoneBack:        func(f Fault) []emulator.ScheduledEvent { return f.once((*emulator.Emulation).RestoreSilent) },
	faultCutOff:          Fault.partition,
	faultLostAnswers:     Fault.dropResponses,
	faultResets:          Fault.resetConnections,
	faultAllCold:         func(f Fault) []emulator.ScheduledEvent { return f.once((*emulator.Emulation).RestartAllBackends) },
	faultFailFast:        Fault.injectErrors,
	faultRestart:         Fault.restartInstances,
	faultReplaceBackends: Fault.replaceBackends,
}

// readsZone reports whether the fault affects only the zone that it names.
func (f Fault) readsZone() bool {
	return f.Kind == faultZoneLost || f.Kind == faultCutOff && f.Zone != ""
}

// once returns a single event at the time of the fault.
func (f Fault) once(apply func(*emulator.Emulation)) []emulator.ScheduledEvent {
	return []emulator.ScheduledEvent{{At: time.Duration(f.At), Apply: apply}}
}

func (f Fault) loseZone() []emulator.ScheduledEvent {
	return f.once(func(e *emulator.Emulation) {
		e.FailSilently(func(_ int, zone string) bool { return zone == f.Zone })
	})
}

func (f Fault) partition() []emulator.ScheduledEvent {
	partitioned := func(index int, zone string) bool {
		if f.Zone != "" {
			return zone == f.Zone
		}
		return emulator.InFraction(index, f.Fraction)
	}
	end := f
	end.At += f.Duration
	return append(f.once(func(e *emulator.Emulation) { e.Partition(partitioned) }), end.once((*emulator.Emulation).HealPartition)...)
}

func (f Fault) dropResponses() []emulator.ScheduledEvent {
	return f.once(func(e *emulator.Emulation) { e.DropResponses(f.Fraction) })
}

func (f Fault) resetConnections() []emulator.ScheduledEvent {
	return f.once(func(e *emulator.Emulation) { e.ResetConnections(f.Fraction) })
}

func (f Fault) injectErrors() []emulator.ScheduledEvent {
	return f.once(func(e *emulator.Emulation) {
		for index := range f.Backends {
			e.InjectErrors(index, f.Fraction)
		}
	})
}

func (f Fault) restartInstances() []emulator.ScheduledEvent {
	return f.once(func(e *emulator.Emulation) {
		e.RestartInstances(func(index int) bool { return emulator.InFraction(index, f.Fraction) }, time.Duration(f.Duration))
	})
}

func (f Fault) replaceBackends() []emulator.ScheduledEvent {
	var all []emulator.ScheduledEvent
	for index := range f.Backends {
		at := time.Duration(f.At) + time.Duration(index)*time.Duration(f.Duration)/time.Duration(max(f.Backends, 1))
		all = append(all, emulator.ScheduledEvent{At: at, Apply: func(e *emulator.Emulation) { e.ReplaceBackend(index, replacementGrace) }})
	}
	return all
}
