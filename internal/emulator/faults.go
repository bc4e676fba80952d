package emulator

import (
	"time"

	"sorrelrudder/policy"
)

// FailSilently makes the backends that match neither answer nor accept connections from now on. What runs there is lost.
func (e *Emulation) FailSilently(match func(place int, zone string) bool) {
	for _, b := range e.backends {
		if !b.stopped && match(b.place, b.zone) {
			b.silent = true
			e.discovery.change(b, policy.Removed)
		}
	}
}

// RestoreSilent replaces the silent backends by new processes, which warm up. Every other one is a new machine with a new name.
func (e *Emulation) RestoreSilent() {
	for i, b := range e.backends {
		if !b.silent || b.stopped {
			continue
		}
		b.stopped = true
		id := b.id
		if i%2 == 1 {
			id += "n"
		}
		e.startBackend(id, b.place)
	}
}

// startBackend adds a backend that starts now.
func (e *Emulation) startBackend(id string, place int) *backend {
	started := e.newBackend(id, place, e.now)
	e.backends = append(e.backends, started)
	e.discovery.change(started, policy.Ready)
	return started
}

// ReplaceBackend drains the backend at a place, which stops after the grace period, and starts a new one under a new name.
func (e *Emulation) ReplaceBackend(place int, grace time.Duration) {
	for _, b := range e.backends {
		if b.place == place && !b.stopped && !b.draining {
			b.draining = true
			e.discovery.change(b, policy.Draining)
			e.after(grace, func() { e.StopBackend(b.id) })
			e.startBackend(b.id+"r", place)
			return
		}
	}
}

// StopBackend ends a backend's process, which resets its connections.
func (e *Emulation) StopBackend(id string) {
	for _, b := range e.backends {
		if b.id == id && !b.stopped {
			b.stopped = true
			e.discovery.change(b, policy.Removed)
			for _, in := range e.instances {
				in.resetConnections(b)
			}
		}
	}
}

// Partition separates all instances from the backends that match: connections stay open and silent, and none is established. The
// backends work on; discovery reports them as removed.
func (e *Emulation) Partition(match func(place int, zone string) bool) {
	for _, b := range e.backends {
		if !b.unreachable() && match(b.place, b.zone) {
			b.partitioned = true
			e.discovery.change(b, policy.Removed)
		}
	}
}

// HealPartition ends all partitions. Connections from before are reset.
func (e *Emulation) HealPartition() {
	for _, b := range e.backends {
		if b.partitioned {
			b.partitioned = false
			e.discovery.change(b, policy.Ready)
			for _, in := range e.instances {
				b.connections -= in.idleConnections[b]
				in.resetConnections(b)
			}
		}
	}
}

// DropResponses loses a fraction of the successful responses from now on.
func (e *Emulation) DropResponses(fraction float64) { e.dropFraction = fraction }

// ResetConnections resets the connection of a fraction of the attempts from now on, once the request has arrived. It runs all the same.
func (e *Emulation) ResetConnections(fraction float64) { e.resetFraction = fraction }

// InjectErrors makes the backend at a place answer a fraction of its requests with an error at once.
func (e *Emulation) InjectErrors(place int, fraction float64) {
	for _, b := range e.backends {
		if b.place == place {
			b.errorFraction = fraction
		}
	}
}

// RestartAllBackends starts all backends anew at once, under their names. They warm up.
func (e *Emulation) RestartAllBackends() { e.RestartBackends(1) }

// RestartBackends starts the backends of a fraction of the places anew at once, under their names. They warm up.
func (e *Emulation) RestartBackends(fraction float64) {
	for _, b := range e.backends {
		if !b.stopped && InFraction(b.place, fraction) {
			b.started = e.now
			e.discovery.change(b, policy.Ready)
		}
	}
}

// RestartInstances kills the instances that match, and starts them again after downtime. Their clients get no answer and retry.
func (e *Emulation) RestartInstances(match func(index int) bool, downtime time.Duration) {
	for _, in := range e.instances {
		if !match(in.index) || !in.up {
			continue
		}
		if err := in.kill(); err != nil {
			panic(err) // the same configuration was valid at the start
		}
		e.after(downtime, in.start)
	}
}
