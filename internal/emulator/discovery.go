package emulator

import (
	"time"

	"sorrelrudder/policy"
)

// discoveryService serves the endpoint list and its changes to the instances.
type discoveryService struct {
	emulation *Emulation
	revision  int // revision of the newest change
	changes   []listChange
	idleAt    policy.Time // time at which all accepted watch requests have been served
	watches   []*endpointWatch
}

// listChange is a new state of an endpoint. Changes of revision 0 form the list at the start of the run.
type listChange struct {
	revision    int
	visibleFrom policy.Time
	endpoint    policy.Endpoint
}

// endpointWatch is an instance's watch of the endpoint list.
type endpointWatch struct {
	instance *instance
	canceled bool
}

func newDiscoveryService(e *Emulation) *discoveryService {
	d := &discoveryService{emulation: e}
	for _, b := range e.backends {
		d.changes = append(d.changes, listChange{0, startTime, b.endpoint(policy.Ready)})
	}
	return d
}

// endpoint returns the backend's entry in the endpoint list.
func (b *backend) endpoint(state policy.EndpointState) policy.Endpoint {
	return policy.Endpoint{
		ID:          policy.EndpointID(b.id),
		State:       state,
		Zone:        b.zone,
		Cell:        b.cell,
		MachineType: b.machine.Name,
		Weight:      1,
		Started:     b.started,
	}
}

// change records a new state of a backend and notifies the watches after the notification delay.
func (d *discoveryService) change(b *backend, state policy.EndpointState) {
	e := d.emulation
	d.revision++
	change := listChange{d.revision, e.scheduler.Now() + e.scenario.Discovery.NotificationDelay, b.endpoint(state)}
	d.changes = append(d.changes, change)
	e.scheduler.After(e.scenario.Discovery.NotificationDelay, func() {
		for _, watch := range d.watches {
			if !watch.canceled {
				e.scheduler.After(e.scenario.SameZoneDelay, func() {
					watch.instance.receiveUpdate(policy.UpdateDelta, []policy.Endpoint{change.endpoint})
				})
			}
		}
	})
}

// initialEndpoints returns the list at the start of the run.
func (d *discoveryService) initialEndpoints() []policy.Endpoint {
	var initial []policy.Endpoint
	for _, change := range d.changes {
		if change.revision == 0 {
			initial = append(initial, change.endpoint)
		}
	}
	return initial
}

// endpoints returns the currently visible list, in the order in which the endpoints were first listed.
func (d *discoveryService) endpoints() []policy.Endpoint {
	positions := map[policy.EndpointID]int{}
	var all []policy.Endpoint
	for _, change := range d.changes {
		if change.visibleFrom > d.emulation.scheduler.Now() {
			continue
		}
		if position, listed := positions[change.endpoint.ID]; listed {
			all[position] = change.endpoint
		} else {
			positions[change.endpoint.ID] = len(all)
			all = append(all, change.endpoint)
		}
	}
	present := all[:0]
	for _, endpoint := range all {
		if endpoint.State != policy.Removed {
			present = append(present, endpoint)
		}
	}
	return present
}

// watch handles an instance's request to watch the list. Requests are served one after the other. A request that would wait for longer than
// MaxQueueDelay is rejected.
func (d *discoveryService) watch(in *instance) *endpointWatch {
	e := d.emulation
	watch := &endpointWatch{instance: in}
	e.counts().WatchRequests++
	serviceTime := time.Duration(float64(time.Second) / e.scenario.Discovery.WatchesPerSecond)
	servedAt := max(d.idleAt, e.scheduler.Now()) + serviceTime
	if servedAt-e.scheduler.Now() > e.scenario.Discovery.MaxQueueDelay {
		d.reject(watch)
		return watch
	}
	d.idleAt = servedAt
	e.scheduler.After(servedAt-e.scheduler.Now()+e.scenario.SameZoneDelay, func() {
		if !watch.canceled {
			d.watches = append(d.watches, watch)
			in.receiveUpdate(policy.UpdateFull, d.endpoints())
		}
	})
	return watch
}

// reject rejects a watch request, which ends the watch.
func (d *discoveryService) reject(watch *endpointWatch) {
	e := d.emulation
	e.counts().WatchRequestsRejected++
	e.scheduler.After(2*e.scenario.SameZoneDelay, func() {
		if !watch.canceled {
			watch.canceled = true
			watch.instance.watchFailed()
		}
	})
}
