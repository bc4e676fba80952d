package fleet

import (
	"cmp"
	"errors"
	"fmt"
	"time"

	"sorrelrudder/internal/consensus"

	"github.com/google/uuid"
)

const (
	inboxLength  = 1024 // queued functions for the consensus goroutine
	firstVoterID = 1    // raft ID of the first voter of a new fleet
)

// voter is this process's raft node in the consensus group, which is a voter or a learner. Only the consensus goroutine accesses it.
type voter struct {
	node          *consensus.Node // nil: not admitted yet, or stopped
	callbacks     map[uint64]func(consensus.Response)
	lastHandle    uint64
	nextAdmission time.Duration
	err           error // why the voter has stopped
}

// voterStore keeps the persistent state of a voter: on disk, or in memory for as long as the process runs.
type voterStore interface {
	consensus.Storage
	Identity() Identity
	// SaveIdentity saves the identity that the consensus group has assigned. It must return before the identity is used.
	SaveIdentity(fleet string, id uint64) error
	// Bootstrap initializes an empty store as that of the first voter of a new fleet.
	Bootstrap(names []string) error
	// Load returns the saved state.
	Load() (consensus.PersistentState, error)
	// Syncs returns the number of synced writes since the start.
	Syncs() int64
	Close() error
}

// enqueue queues f for the consensus goroutine. It waits while the inbox is full, and drops f if the host closes.
func (h *Host) enqueue(f func(*voter)) {
	select {
	case h.inbox <- f:
	case <-h.ctx.Done():
	}
}

// tryEnqueue is enqueue without waiting. It reports whether there was room.
func (h *Host) tryEnqueue(f func(*voter)) bool {
	select {
	case h.inbox <- f:
		return true
	default:
		return false
	}
}

// openVoter starts the raft node if the store has an identity in the consensus group.
func (h *Host) openVoter(v *voter) error {
	id := h.store.Identity()
	if id.ID == 0 {
		command := "tier init"
		if h.cfg.VotersInMemory {
			command = "tier found"
		}
		h.log.Warn("the store has no identity yet: requesting admission to the consensus group; to bootstrap a new fleet, run the command once",
			"store", cmp.Or(h.cfg.Store, "in memory"), "command", "sorrelrudder "+command)
		return nil
	}
	saved, err := h.store.Load()
	if err != nil {
		return err
	}
	v.node, err = consensus.New(consensus.Config{ID: id.ID, LeaseTiming: h.cfg.LeaseTiming, Persisted: saved})
	if err != nil {
		return storeDamagedError(h.cfg.Store, err)
	}
	h.log.Info("raft node of the consensus group started", "id", id.ID, "fleet", id.Fleet)
	return nil
}

// runConsensus runs the voter until the host closes.
func (h *Host) runConsensus(v *voter) {
	tick := time.NewTicker(h.cfg.Tick)
	defer tick.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-tick.C:
			h.tickVoter(v)
		case f := <-h.inbox:
			f(v)
			for n := len(h.inbox); n > 0; n-- { // functions queued meanwhile share one sync of the store
				(<-h.inbox)(v)
			}
		}
		h.processReady(v)
	}
}

// tickVoter advances the clock of the raft node. If there is no raft node yet, it requests admission to the consensus group.
func (h *Host) tickVoter(v *voter) {
	switch {
	case v.node != nil:
		v.node.Tick(h.clock.Now())
	case h.store != nil && v.err == nil:
		h.requestAdmission(v)
	}
}

// submitToVoter submits a request (a command, a read or a keepalive) to the raft node. onResponse is called from the consensus goroutine.
func (h *Host) submitToVoter(v *voter, request consensus.Request, onResponse func(consensus.Response)) {
	if v.node == nil {
		onResponse(consensus.Response{NotLeader: true})
		return
	}
	v.lastHandle++
	v.callbacks[v.lastHandle] = onResponse
	v.node.Submit(h.clock.Now(), v.lastHandle, request)
}

// requestAdmission requests an identity in the consensus group from the leader, once per keepalive interval.
func (h *Host) requestAdmission(v *voter) {
	now := h.clock.Now()
	if now < v.nextAdmission {
		return
	}
	v.nextAdmission = now + h.cfg.LeaseTiming.KeepAliveInterval()
	request := consensus.Request{Voter: &consensus.VoterCommand{
		Op: consensus.OpAdmit, Name: h.cfg.Name, StoreID: h.store.Identity().Store, Volatile: h.cfg.VotersInMemory,
	}}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leader.Unreachable(now, h.cfg.Name) // this process cannot be the leader before it is admitted
	h.submit(&pendingRequest{request: request, onResponse: func(r consensus.Response) {
		if r.Voter == nil {
			return
		}
		result := *r.Voter
		h.tryEnqueue(func(v *voter) { h.handleAdmission(v, result) })
	}})
}

// handleAdmission saves the identity that the consensus group has assigned, and starts the raft node.
func (h *Host) handleAdmission(v *voter, result consensus.VoterResult) {
	if v.node != nil || v.err != nil {
		return
	}
	if result.RaftID == 0 {
		h.log.Error("the consensus group refused admission: the request is repeated", "why", result.Refusal)
		return
	}
	err := h.store.SaveIdentity(result.FleetID, result.RaftID)
	if err == nil {
		err = h.openVoter(v)
	}
	if err != nil {
		v.err = err
		h.log.Error("joining the consensus group failed: this process has no vote until its next start", "err", err)
		return
	}
	h.mu.Lock()
	h.fleetID = result.FleetID
	h.mu.Unlock()
	if !result.Votes {
		h.log.Warn("admitted as a learner: another store had this voter's identity, and its votes and log are lost; "+
			"run 'sorrelrudder tier member replace' to let this store vote once the other is gone for good", "id", result.RaftID)
	}
}

// processReady calls Node.Process, which saves the state of the raft node. It then logs the events, sends the messages and responses, and
// notifies the members whose leases have changed.
func (h *Host) processReady(v *voter) {
	if v.node == nil {
		return
	}
	out, err := v.node.Process(h.clock.Now(), h.store)
	if err != nil {
		h.stopVoter(v, err)
		return
	}
	for _, e := range out.Events {
		h.log.Info(e.Message, e.Args...)
	}
	changed := h.publishOutput(v, out)
	for _, r := range out.Replies {
		if onResponse := v.callbacks[r.Handle]; onResponse != nil {
			delete(v.callbacks, r.Handle)
			onResponse(r.Response)
		}
	}
	for _, c := range changed {
		if c.write(kindWake, nil) != nil {
			c.Close()
		}
	}
}

// stopVoter stops the voter after an error. After a failed write, the contents of the store are unknown until the next start reads them
// again.
func (h *Host) stopVoter(v *voter, err error) {
	v.node, v.err = nil, err
	h.log.Error("the voter has stopped until the next start", "err", err)
	for _, onResponse := range v.callbacks {
		onResponse(consensus.Response{NotLeader: true})
	}
	clear(v.callbacks)
}

// publishOutput applies decisions, sends raft messages, and returns the connections from members whose leases have changed.
func (h *Host) publishOutput(v *voter, out consensus.Output) (changed []*conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.applyDecisions(v.node.StateMachine())
	for _, m := range out.Messages {
		l := h.linkTo(v.node.NameOf(m.GetTo()))
		if l == nil {
			continue
		}
		data, err := consensus.EncodeMessage(m)
		if err != nil {
			h.log.Error("raft message not sent: encoding failed", "err", err)
			continue
		}
		l.send(kindRaft, data)
	}
	for _, name := range out.ChangedMembers {
		if name == h.cfg.Name {
			h.session.Refresh()
			h.runDue()
		} else if c := h.inbound[name]; c != nil {
			changed = append(changed, c)
		}
	}
	return changed
}

// bootstrap makes this process the first voter of a new fleet whose voters keep their state in memory. It returns an error if a fleet is
// known already: two fleets of one configuration would each grant the same leases.
func (h *Host) bootstrap(v *voter) error {
	store, inMemory := h.store.(*memoryStore)
	h.mu.Lock()
	known := cmp.Or(h.fleetID, h.peerFleetID)
	h.mu.Unlock()
	switch {
	case h.store == nil:
		return fmt.Errorf("%q is not in the council", h.cfg.Name)
	case !inMemory:
		return errors.New("the council is on disk: 'tier init FILE' founds it")
	case v.node != nil || store.id.ID != 0:
		return fmt.Errorf("%q has the identity %d in the fleet %s already; nothing was changed", h.cfg.Name, store.id.ID, store.id.Fleet)
	case known != "":
		return fmt.Errorf("a member is of the fleet %s: as long as one runs that knows it, no other is founded; nothing was changed", known)
	}
	machine := consensus.NewStateMachine(uuid.NewString(), h.cfg.Name, store.id.Store, h.cfg.Voters)
	machine.Volatile = true
	snapshot, err := consensus.BootstrapSnapshot(machine)
	if err != nil {
		return err
	}
	initial := consensus.PersistentState{Snapshot: snapshot, HardState: consensus.BootstrapHardState()}
	v.node, err = consensus.New(consensus.Config{ID: firstVoterID, LeaseTiming: h.cfg.LeaseTiming, Persisted: initial})
	if err != nil {
		return err
	}
	if err := store.SaveIdentity(machine.FleetID, firstVoterID); err != nil {
		return err
	}
	h.mu.Lock()
	h.fleetID = machine.FleetID
	h.mu.Unlock()
	h.log.Info("bootstrapped a fleet whose voters keep their state in memory: the fleet is lost if a majority of them ends", "fleet", machine.FleetID)
	return nil
}
