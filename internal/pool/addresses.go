package pool

import (
	"slices"

	"sorrelrudder/internal/discovery"
	"sorrelrudder/policy"
)

// addressOwners tells which endpoint of the list has an address. The list may name two for a while: one whose machine has vanished, which is
// noticed late, and a new process at its address. The one that was started later has it; the other is gone. Start times are those of the
// machines' clocks, which may be set back: if the owner leaves the list and the other stays, the other has the address after all.
type addressOwners struct {
	owners     map[string]discovery.Endpoint // by address
	superseded map[string]discovery.Endpoint // by address: the last endpoint that has lost it and is still listed
	addressOf  map[string]string             // by ID of owners and superseded endpoints
}

func newAddressOwners() addressOwners {
	return addressOwners{
		owners: map[string]discovery.Endpoint{}, superseded: map[string]discovery.Endpoint{}, addressOf: map[string]string{},
	}
}

// apply returns the entries of an update of the list, with those that have lost their address to another as removed, and adds entries for the
// endpoints that lose or regain it by this update. A complete list replaces all that was known.
func (o *addressOwners) apply(update []discovery.Endpoint, complete bool) []discovery.Endpoint {
	if complete {
		*o = newAddressOwners()
	}
	var changed []discovery.Endpoint
	for _, e := range update {
		if heir, found := o.release(e); found {
			changed = append(changed, heir)
		}
		if e.State() == policy.Removed {
			continue
		}
		if loser, found := o.claim(e); found {
			loser.Health = discovery.HealthLeft
			changed = append(changed, loser)
		}
	}
	if len(changed) == 0 {
		return update
	}
	entries := slices.Clone(update)
	for _, c := range changed {
		i := slices.IndexFunc(entries, func(e discovery.Endpoint) bool { return e.ID == c.ID })
		if i < 0 {
			entries = append(entries, c)
		} else {
			entries[i].Health = c.Health
		}
	}
	return entries
}

// release forgets the former address of an entry that has moved or left. If the endpoint had the address, release returns the one that has lost
// it before, which has it now.
func (o *addressOwners) release(e discovery.Endpoint) (heir discovery.Endpoint, found bool) {
	address, known := o.addressOf[e.ID]
	if !known || address == e.Address && e.State() != policy.Removed {
		return discovery.Endpoint{}, false
	}
	delete(o.addressOf, e.ID)
	heir, found = o.superseded[address]
	isOwner := o.owners[address].ID == e.ID
	if isOwner || heir.ID == e.ID {
		delete(o.superseded, address)
	}
	if !isOwner {
		return discovery.Endpoint{}, false
	}
	delete(o.owners, address)
	if found {
		o.owners[address] = heir
	}
	return heir, found
}

// claim records the address of an entry. It returns the endpoint that has lost the address by that, which may be the entry itself. Without
// start times, or with equal ones, it is not known which of two endpoints has an address, and none loses it.
func (o *addressOwners) claim(e discovery.Endpoint) (loser discovery.Endpoint, found bool) {
	o.addressOf[e.ID] = e.Address
	owner, taken := o.owners[e.Address]
	if !taken || owner.ID == e.ID {
		o.owners[e.Address] = e
		return discovery.Endpoint{}, false
	}
	if owner.StartedMs > e.StartedMs {
		o.superseded[e.Address] = e
		return e, true
	}
	o.owners[e.Address] = e
	if owner.StartedMs == e.StartedMs {
		return discovery.Endpoint{}, false
	}
	o.superseded[e.Address] = owner
	return owner, true
}
