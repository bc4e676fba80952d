package emulator

import (
	"time"

	"sorrelrudder/policy"
)

// FailSilently makes the backends that match stop responding and accepting connections. Requests in execution there are lost. Discovery
// reports the backends as removed.
func (e *Emulation) FailSilently(match func(index int, zone string) bool) {
	for _, b := range e.backends {
		if !b.stopped && match(b.index, b.zone) {
			b.silent = true
			e.discovery.change(b, policy.Removed)
		}
	}
}

// RestoreSilent replaces each silent backend by a new process, which warms up. Every other replacement is a new machine with a new name.
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
		e.startBackend(id, b.index)
	}
}

// startBackend adds a backend that starts at the current time.
func (e *Emulation) startBackend(id string, index int) *backend {
	started := e.newBackend(id, index, e.scheduler.Now())
	e.backends = append(e.backends, started)
	e.discovery.change(started, policy.Ready)
	return started
}

// ReplaceBackend drains the backend at an index, which stops after the grace period, and starts a replacement under a new name.
func (e *Emulation) ReplaceBackend(index int, grace time.Duration) {
	for _, b := range e.backends {
		if b.index == index && !b.stopped && !b.draining {
			b.draining = true
			e.discovery.change(b, policy.Draining)
			e.scheduler.After(grace, func() { e.StopBackend(b.id) })
			e.startBackend(b.id+"r", index)
			return
		}
	}
}

// StopBackend ends the process of a backend, which resets the connections to it.
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

// Partition separates all instances from the backends that match. Connections stay open without traffic, and no new ones are established.
// The backends continue to work. Discovery reports them as removed.
func (e *Emulation) Partition(match func(index int, zone string) bool) {
	for _, b := range e.backends {
		if !b.unreachable() && match(b.index, b.zone) {
			b.partitioned = true
			e.discovery.change(b, policy.Removed)
		}
	}
}

// HealPartition ends all partitions. Connections from before the partition are reset.
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

// DropResponses drops the given fraction of successful responses from now on.
func (e *Emulation) DropResponses(fraction float64) { e.dropFraction = fraction }

// ResetConnections resets the connections of the given fraction of attempts from now on, after the request has arrived. The backend
// executes the request nevertheless.
func (e *Emulation) ResetConnections(fraction float64) { e.resetFraction = fraction }

// InjectErrors makes the backend at an index respond to the given fraction of its requests with an immediate error.
func (e *Emulation) InjectErrors(index int, fraction float64) {
	for _, b := range e.backends {
		if b.index == index {
			b.errorFraction = fraction
		}
	}
}

// RestartAllBackends restarts all backends at the same time, as RestartBackends does.
func (e *Emulation) RestartAllBackends() { e.RestartBackends(1) }

// RestartBackends gives the given fraction of backends a new start time, all at once, so that they warm up. Their names, connections and
// queued requests stay.
func (e *Emulation) RestartBackends(fraction float64) {
	for _, b := range e.backends {
		if !b.stopped && InFraction(b.index, fraction) {
			b.started = e.scheduler.Now()
			e.discovery.change(b, policy.Ready)
		}
	}
}

// RestartInstances kills the instances that match and starts them again after downtime. Their clients get no answer and retry.
func (e *Emulation) RestartInstances(match func(index int) bool, downtime time.Duration) {
	for _, in := range e.instances {
		if !match(in.index) || !in.up {
			continue
		}
		if err := in.kill(); err != nil {
			panic(err) // impossible: New has accepted the same configuration
		}
		e.scheduler.After(downtime, in.start)
	}
}
