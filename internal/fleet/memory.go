package fleet

import (
	"cmp"
	"context"
	"errors"
	"fmt"

	"github.com/google/uuid"

	"sorrelrudder/internal/consensus"
)

// voterStore keeps what a process has promised in the council: on a disk that outlives it, or for as long as it runs.
type voterStore interface {
	consensus.Storage
	Identity() Identity
	Admitted(fleet string, id uint64) error // it is kept before it is used
	Found(names []string) error
	Load() (consensus.PersistentState, error)
	Syncs() int64
	Close() error
}

// memoryStore keeps a process' promises for as long as it runs. The next start has another store, and so another identity: it can't break what
// this one has promised, since it never votes in its place.
type memoryStore struct{ id Identity }

func newMemory(name string) *memoryStore {
	return &memoryStore{Identity{Format: storeFormat, Name: name, Store: uuid.NewString()}}
}

func (m *memoryStore) Save(consensus.PersistentState, bool) error { return nil }
func (m *memoryStore) Identity() Identity                         { return m.id }
func (m *memoryStore) Syncs() int64                               { return 0 }
func (m *memoryStore) Close() error                               { return nil }

func (m *memoryStore) Admitted(fleet string, id uint64) error {
	m.id.Fleet, m.id.ID = fleet, id
	return nil
}

func (m *memoryStore) Found([]string) error {
	return errors.New("a council in memory is founded at a process that runs")
}

func (m *memoryStore) Load() (consensus.PersistentState, error) {
	return consensus.PersistentState{}, nil
}

// bootstrap makes this process, which keeps its promises in memory and has no identity yet, the first seat of a new fleet. One that has heard
// of a fleet refuses: two fleets of one file would each have a holder.
func (t *Host) bootstrap(s *voter) error {
	m, ok := t.store.(*memoryStore)
	t.mu.Lock()
	heard := cmp.Or(t.fleetID, t.peerFleetID)
	t.mu.Unlock()
	switch {
	case t.store == nil:
		return fmt.Errorf("%q is not in the council", t.cfg.Name)
	case !ok:
		return errors.New("the council is on disk: 'tier init FILE' founds it")
	case s.node != nil || m.id.ID != 0:
		return fmt.Errorf("%q has the identity %d in the fleet %s already; nothing was changed", t.cfg.Name, m.id.ID, m.id.Fleet)
	case heard != "":
		return fmt.Errorf("a member is of the fleet %s: as long as one runs that knows it, no other is founded; nothing was changed", heard)
	}
	fleet := consensus.NewStateMachine(uuid.NewString(), t.cfg.Name, m.id.Store, t.cfg.Voters)
	fleet.Volatile = true
	snap, err := consensus.BootstrapSnapshot(fleet)
	if err != nil {
		return err
	}
	s.node, err = consensus.New(consensus.Config{ID: 1, LeaseTiming: t.cfg.Rules, Persisted: consensus.PersistentState{Snapshot: snap, HardState: consensus.BootstrapHardState()}})
	if err != nil {
		return err
	}
	if err := m.Admitted(fleet.FleetID, 1); err != nil {
		return err
	}
	t.mu.Lock()
	t.fleetID = fleet.FleetID
	t.mu.Unlock()
	t.log.Info("a fleet was founded in memory: it ends with the majority of its council", "fleet", fleet.FleetID)
	return nil
}

// perform has the very process that is asked do something, and says why it did not.
func (o *Operator) perform(ctx context.Context, q rpc) error {
	a, err := o.roundTrip(ctx, q)
	if err == nil && a.Why != "" {
		err = errors.New(a.Why)
	}
	return err
}

// Bootstrap has the process found its fleet, whose council is in memory.
func (o *Operator) Bootstrap(ctx context.Context) error {
	return o.perform(ctx, rpc{Found: true})
}

// Handover has the process, which holds a lease, give it to a member as soon as nothing of it is out.
func (o *Operator) Handover(ctx context.Context, name, to string) error {
	return o.perform(ctx, rpc{Handover: &handoverRequest{name, to}})
}

// Forget has the process take back what it says under a key.
func (o *Operator) Forget(ctx context.Context, key string) error {
	return o.perform(ctx, rpc{Forget: key})
}

// handoverRequest is a lease that is to go to a member.
type handoverRequest struct {
	Name string `json:"name"`
	To   string `json:"to"`
}

// startHandover begins to give a lease to a member: its task begins no further slot, and once what is out has ended the lease goes. This
// process waits for it again then, behind all others.
func (t *Host) startHandover(h handoverRequest) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch _, _, held := t.session.Token(t.clock.Now(), h.Name); {
	case !held:
		return fmt.Errorf("%q is not held by %q", h.Name, t.cfg.Name)
	case h.To == t.cfg.Name, t.cfg.Members[h.To] == "":
		return fmt.Errorf("%q is no other member of the fleet", h.To)
	case t.leaving:
		return errors.New("the process is about to end")
	}
	t.handovers[h.Name] = h.To
	t.runDue()
	return nil
}

// pass gives away the leases that are to be handed over and of which nothing is out. The caller has mu.
func (t *Host) finishHandovers() {
	for name, to := range t.handovers {
		if r := t.runnerForLease(name); r != nil && r.core.Busy() {
			continue
		}
		delete(t.handovers, name)
		t.log.Info("lease handed over", "name", name, "to", to)
		t.session.Transfer(name, to)
	}
}

// runnerForLease is the runner of the task that a lease is for, nil if it is for none. The caller has mu.
func (t *Host) runnerForLease(lease string) *taskRunner {
	for _, r := range t.runners {
		if taskLeaseName(r.cfg.Name) == lease {
			return r
		}
	}
	return nil
}
