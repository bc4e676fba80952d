package fleet

import (
	"cmp"
	"errors"
	"fmt"
	"time"

	"sorrelrudder/internal/consensus"

	"github.com/google/uuid"
)

// inboxLength bounds the work that waits for the consensus goroutine.
const inboxLength = 1024

// voter is this process' part in the council. Only the council's goroutine has it.
type voter struct {
	node          *consensus.Node
	callbacks     map[uint64]func(consensus.Response)
	lastHandle    uint64
	nextAdmission time.Duration
	err           error
}

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

// enqueue has the council's goroutine do something; it waits for room.
func (h *Host) enqueue(f func(*voter)) {
	select {
	case h.inbox <- f:
	case <-h.ctx.Done():
	}
}

func (h *Host) tryEnqueue(f func(*voter)) bool {
	select {
	case h.inbox <- f:
		return true
	default:
		return false
	}
}

// openVoter begins to take part in the council, if the store has an identity there.
func (h *Host) openVoter(s *voter) error {
	id := h.store.Identity()
	if id.ID == 0 {
		found := "tier init"
		if h.cfg.VotersInMemory {
			found = "tier found"
		}
		h.log.Warn("this process' store has no identity: it asks the council for one, and votes only once it is admitted "+
			"('sorrelrudder "+found+"' founds a fleet, once)", "store", cmp.Or(h.cfg.Store, "in memory"))
		return nil
	}
	saved, err := h.store.Load()
	if err != nil {
		return err
	}
	s.node, err = consensus.New(consensus.Config{ID: id.ID, LeaseTiming: h.cfg.Rules, Persisted: saved})
	if err != nil {
		return damaged(h.cfg.Store, err)
	}
	h.log.Info("a seat in the council", "id", id.ID, "fleet", id.Fleet)
	return nil
}

// runConsensus has the council's node work until the end.
func (h *Host) runConsensus(s *voter) {
	tick := time.NewTicker(h.cfg.Tick)
	defer tick.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-tick.C:
			if s.node != nil {
				s.node.Tick(h.clock.Now())
			} else if h.store != nil && s.err == nil {
				h.requestAdmission(s)
			}
		case f := <-h.inbox:
			f(s)
			// All that has come meanwhile shares one sync.
			for n := len(h.inbox); n > 0; n-- {
				(<-h.inbox)(s)
			}
		}
		h.processReady(s)
	}
}

// propose hands the node a request.
func (h *Host) propose(s *voter, q consensus.Request, then func(consensus.Response)) {
	if s.node == nil {
		then(consensus.Response{NotLeader: true})
		return
	}
	s.lastHandle++
	s.callbacks[s.lastHandle] = then
	s.node.Submit(h.clock.Now(), s.lastHandle, q)
}

// requestAdmission asks the council for an identity.
func (h *Host) requestAdmission(s *voter) {
	now := h.clock.Now()
	if now < s.nextAdmission {
		return
	}
	s.nextAdmission = now + h.cfg.Rules.KeepAliveInterval()
	q := consensus.Request{Voter: &consensus.VoterCommand{Op: consensus.OpAdmit, Name: h.cfg.Name, StoreID: h.store.Identity().Store, Volatile: h.cfg.VotersInMemory}}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leader.Unreachable(now, h.cfg.Name) // no seat yet
	h.submit(&pendingRequest{request: q, onResponse: func(r consensus.Response) {
		if r.Voter == nil {
			return
		}
		got := *r.Voter
		h.tryEnqueue(func(s *voter) { h.handleAdmission(s, got) })
	}})
}

func (h *Host) handleAdmission(s *voter, r consensus.VoterResult) {
	if s.node != nil || s.err != nil {
		return
	}
	if r.RaftID == 0 {
		h.log.Error("the council gives this process no seat", "why", r.Refusal)
		return
	}
	err := h.store.Admitted(r.FleetID, r.RaftID)
	if err == nil {
		err = h.openVoter(s)
	}
	if err != nil {
		s.err = err
		h.log.Error("no part in the council", "err", err)
		return
	}
	h.mu.Lock()
	h.fleetID = r.FleetID
	h.mu.Unlock()
	if !r.Votes {
		h.log.Warn("this process' seat was that of another store: it listens and does not vote, since what the other store promised is lost; "+
			"'sorrelrudder tier member replace' has it vote once the other is gone for good", "id", r.RaftID)
	}
}

// processReady carries out what the node wants.
func (h *Host) processReady(s *voter) {
	if s.node == nil {
		return
	}
	out, err := s.node.Process(h.clock.Now(), h.store)
	if err != nil {
		// After a failed write nobody knows what the disk holds: the file is read again, or not at all, by the next start.
		s.node, s.err = nil, err
		h.log.Error("this process has no part in the council until its next start", "err", err)
		for _, then := range s.callbacks {
			then(consensus.Response{NotLeader: true})
		}
		clear(s.callbacks)
		return
	}
	for _, e := range out.Events {
		h.log.Info(e.Message, e.Args...)
	}
	h.mu.Lock()
	h.applyDecisions(s.node.StateMachine())
	for _, m := range out.Messages {
		l := h.linkTo(s.node.NameOf(m.GetTo()))
		if l == nil {
			continue
		}
		data, err := consensus.EncodeMessage(m)
		if err != nil {
			h.log.Error("a message that can't be written", "err", err)
			continue
		}
		l.send(kindRaft, data)
	}
	var wakes []*conn
	for _, name := range out.ChangedMembers {
		if name == h.cfg.Name {
			h.session.Refresh()
			h.runDue()
		} else if c := h.inbound[name]; c != nil {
			wakes = append(wakes, c)
		}
	}
	h.mu.Unlock()
	for _, r := range out.Replies {
		if then := s.callbacks[r.Handle]; then != nil {
			delete(s.callbacks, r.Handle)
			then(r.Response)
		}
	}
	for _, c := range wakes {
		if c.write(kindWake, nil) != nil {
			c.Close()
		}
	}
}

// bootstrap makes this process, which keeps its promises in memory and has no identity yet, the first seat of a new fleet. One that has heard
// of a fleet refuses: two fleets of one file would each have a holder.
func (h *Host) bootstrap(s *voter) error {
	m, ok := h.store.(*memoryStore)
	h.mu.Lock()
	heard := cmp.Or(h.fleetID, h.peerFleetID)
	h.mu.Unlock()
	switch {
	case h.store == nil:
		return fmt.Errorf("%q is not in the council", h.cfg.Name)
	case !ok:
		return errors.New("the council is on disk: 'tier init FILE' founds it")
	case s.node != nil || m.id.ID != 0:
		return fmt.Errorf("%q has the identity %d in the fleet %s already; nothing was changed", h.cfg.Name, m.id.ID, m.id.Fleet)
	case heard != "":
		return fmt.Errorf("a member is of the fleet %s: as long as one runs that knows it, no other is founded; nothing was changed", heard)
	}
	fleet := consensus.NewStateMachine(uuid.NewString(), h.cfg.Name, m.id.Store, h.cfg.Voters)
	fleet.Volatile = true
	snap, err := consensus.BootstrapSnapshot(fleet)
	if err != nil {
		return err
	}
	s.node, err = consensus.New(consensus.Config{ID: 1, LeaseTiming: h.cfg.Rules, Persisted: consensus.PersistentState{Snapshot: snap, HardState: consensus.BootstrapHardState()}})
	if err != nil {
		return err
	}
	if err := m.Admitted(fleet.FleetID, 1); err != nil {
		return err
	}
	h.mu.Lock()
	h.fleetID = fleet.FleetID
	h.mu.Unlock()
	h.log.Info("a fleet was founded in memory: it ends with the majority of its council", "fleet", fleet.FleetID)
	return nil
}
