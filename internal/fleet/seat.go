package fleet

import (
	"cmp"
	"context"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/task"
)

// openVoter begins to take part in the council, if the store has an identity there.
func (t *Host) openVoter(s *voter) error {
	id := t.store.Identity()
	if id.ID == 0 {
		found := "tier init"
		if t.cfg.VotersInMemory {
			found = "tier found"
		}
		t.log.Warn("this process' store has no identity: it asks the council for one, and votes only once it is admitted "+
			"('sorrelrudder "+found+"' founds a fleet, once)", "store", cmp.Or(t.cfg.Store, "in memory"))
		return nil
	}
	saved, err := t.store.Load()
	if err != nil {
		return err
	}
	s.node, err = consensus.New(consensus.Config{ID: id.ID, LeaseTiming: t.cfg.Rules, Persisted: saved})
	if err != nil {
		return damaged(t.cfg.Store, err)
	}
	t.log.Info("a seat in the council", "id", id.ID, "fleet", id.Fleet)
	return nil
}

// runConsensus has the council's node work until the end.
func (t *Host) runConsensus(s *voter) {
	tick := time.NewTicker(t.cfg.Tick)
	defer tick.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-tick.C:
			if s.node != nil {
				s.node.Tick(t.clock.Now())
			} else if t.store != nil && s.err == nil {
				t.requestAdmission(s)
			}
		case f := <-t.inbox:
			f(s)
			// All that has come meanwhile shares one sync.
			for n := len(t.inbox); n > 0; n-- {
				(<-t.inbox)(s)
			}
		}
		t.processReady(s)
	}
}

// propose hands the node a request.
func (t *Host) propose(s *voter, q consensus.Request, then func(consensus.Response)) {
	if s.node == nil {
		then(consensus.Response{NotLeader: true})
		return
	}
	s.lastHandle++
	s.callbacks[s.lastHandle] = then
	s.node.Submit(t.clock.Now(), s.lastHandle, q)
}

// requestAdmission asks the council for an identity.
func (t *Host) requestAdmission(s *voter) {
	now := t.clock.Now()
	if now < s.nextAdmission {
		return
	}
	s.nextAdmission = now + t.cfg.Rules.KeepAliveInterval()
	q := consensus.Request{Voter: &consensus.VoterCommand{Op: consensus.OpAdmit, Name: t.cfg.Name, StoreID: t.store.Identity().Store, Volatile: t.cfg.VotersInMemory}}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leader.Unreachable(now, t.cfg.Name) // no seat yet
	t.submit(&pendingRequest{request: q, onResponse: func(r consensus.Response) {
		if r.Voter == nil {
			return
		}
		got := *r.Voter
		t.tryEnqueue(func(s *voter) { t.handleAdmission(s, got) })
	}})
}

func (t *Host) handleAdmission(s *voter, r consensus.VoterResult) {
	if s.node != nil || s.err != nil {
		return
	}
	if r.RaftID == 0 {
		t.log.Error("the council gives this process no seat", "why", r.Refusal)
		return
	}
	err := t.store.Admitted(r.FleetID, r.RaftID)
	if err == nil {
		err = t.openVoter(s)
	}
	if err != nil {
		s.err = err
		t.log.Error("no part in the council", "err", err)
		return
	}
	t.mu.Lock()
	t.fleetID = r.FleetID
	t.mu.Unlock()
	if !r.Votes {
		t.log.Warn("this process' seat was that of another store: it listens and does not vote, since what the other store promised is lost; "+
			"'sorrelrudder tier member replace' has it vote once the other is gone for good", "id", r.RaftID)
	}
}

// processReady carries out what the node wants.
func (t *Host) processReady(s *voter) {
	if s.node == nil {
		return
	}
	out, err := s.node.Process(t.clock.Now(), t.store)
	if err != nil {
		// After a failed write nobody knows what the disk holds: the file is read again, or not at all, by the next start.
		s.node, s.err = nil, err
		t.log.Error("this process has no part in the council until its next start", "err", err)
		for _, then := range s.callbacks {
			then(consensus.Response{NotLeader: true})
		}
		clear(s.callbacks)
		return
	}
	for _, e := range out.Events {
		t.log.Info(e.Message, e.Args...)
	}
	t.mu.Lock()
	t.applyOperatorCommands(s.node.StateMachine())
	for _, m := range out.Messages {
		l := t.linkTo(s.node.NameOf(m.GetTo()))
		if l == nil {
			continue
		}
		data, err := consensus.EncodeMessage(m)
		if err != nil {
			t.log.Error("a message that can't be written", "err", err)
			continue
		}
		l.send(kindRaft, data)
	}
	var wakes []*conn
	for _, name := range out.ChangedMembers {
		if name == t.cfg.Name {
			t.session.Refresh()
			t.runDue()
		} else if c := t.inbound[name]; c != nil {
			wakes = append(wakes, c)
		}
	}
	t.mu.Unlock()
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

// sendTaskRequest sends the request of a slot through its pool, and notes what came of it.
func (t *Host) sendTaskRequest(r *taskRunner, s task.SlotRequest) {
	deadline := t.clock.Real(s.Deadline - t.clock.Now())
	ctx, cancel := context.WithTimeout(t.ctx, deadline)
	defer cancel()
	name := s.Key + "-" + strconv.FormatUint(s.Token, 10) + "-" + strconv.Itoa(s.Attempt)
	header := http.Header{
		"X-Request-Id": {name}, "X-Timeout-Ms": {strconv.FormatInt(max(1, deadline.Milliseconds()), 10)},
		"Fencing-Token": {strconv.FormatUint(s.Token, 10)}, "Task-Slot": {s.Key},
	}
	if r.cfg.Idempotency == task.IdempotentByKey {
		header.Set("Idempotency-Key", s.Key)
	}
	if r.cfg.Tenant != "" {
		header.Set("X-Tenant-Id", r.cfg.Tenant)
	}
	path, _, _ := strings.Cut(r.cfg.Path, "?")
	a, err := t.sender.Do(ctx, r.cfg.Pool, &httpmsg.Request{
		Method: r.cfg.Method, URI: r.cfg.Path, Path: path, Host: cmp.Or(r.cfg.Host, r.cfg.Pool), Header: header, Length: int64(len(r.cfg.Body)), Body: []byte(r.cfg.Body),
	})
	outcome := outcomeOf(a, err, r.cfg.Plain)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	r.core.HandleOutcome(now, outcome, now+max(a.RetryAfter, 20*time.Millisecond))
	t.runDue()
}

// outcomeOf is what an answer says of a slot: a refusal promises that nothing has run, a failure promises nothing. The refusal of a server
// that speaks plain HTTP promises nothing either; its answer bears the mark of having been passed on, and this process' own does not.
func outcomeOf(a httpmsg.Response, err error, plain bool) task.Outcome {
	bad, isBad := err.(httpmsg.RejectionError)
	switch {
	case isBad && bad.Retryable():
		return task.OutcomeRejected
	case isBad:
		return task.OutcomeFailed
	case err != nil:
		return task.OutcomeUnknown
	case a.Status >= 200 && a.Status < 300:
		return task.OutcomeDone
	case plain && a.Header.Get("Via") != "":
		return task.OutcomeFailed
	case a.Status == http.StatusServiceUnavailable, a.Status == http.StatusTooManyRequests:
		return task.OutcomeRejected
	}
	return task.OutcomeFailed
}

// Status is what a process tells operators.
type Status struct {
	Name        string                 `json:"name"`
	Incarnation string                 `json:"incarnation"`
	Session     uint64                 `json:"session"`
	Superseded  bool                   `json:"superseded,omitempty"`
	Holds       map[string]HeldLease   `json:"holds,omitempty"`
	Running     map[string]int64       `json:"running,omitempty"` // slots whose request is out, by task
	Fleet       string                 `json:"fleet,omitempty"`
	Leader      string                 `json:"leader,omitempty"`
	LinkErrors  map[string]string      `json:"link_errors,omitempty"`
	SentFrames  int64                  `json:"sent_frames"`
	SentBytes   int64                  `json:"sent_bytes"`
	Syncs       int64                  `json:"syncs,omitempty"`   // of the store, since the start
	Council     *consensus.Status      `json:"council,omitempty"` // at those that have a seat
	Failed      string                 `json:"failed,omitempty"`
	Tasks       map[string]task.Record `json:"tasks,omitempty"`
	Copies      *SharedStateStatus     `json:"copies,omitempty"`
}

// HeldLease is a lease that a process may act on.
type HeldLease struct {
	Token  uint64 `json:"token"`
	LeftMs int64  `json:"left_ms"`
}

// status tells what this process knows, without asking others.
func (t *Host) status(then func(*Status)) {
	t.mu.Lock()
	now := t.clock.Now()
	s := &Status{
		Name: t.cfg.Name, Incarnation: t.session.Incarnation(), Session: t.session.SessionID(), Superseded: t.session.Superseded(), Holds: map[string]HeldLease{},
		Running: map[string]int64{}, Fleet: t.fleetID, Leader: t.leader.Leader(), LinkErrors: maps.Clone(t.linkErrors),
		SentFrames: t.traffic.frames.Load(), SentBytes: t.traffic.bytes.Load(),
	}
	if t.store != nil {
		s.Syncs = t.store.Syncs()
	}
	for _, name := range slices.Clone(t.session.Held(now)) {
		if token, until, ok := t.session.Token(now, name); ok {
			s.Holds[name] = HeldLease{token, (until - now).Milliseconds()}
		}
	}
	for name, r := range t.runners {
		if slot := r.core.InFlightSlot(); slot != 0 {
			s.Running[name] = slot
		}
	}
	s.Copies = t.sharedStateStatus(now)
	t.mu.Unlock()
	if t.store == nil {
		then(s)
		return
	}
	t.enqueue(func(st *voter) {
		if st.err != nil {
			s.Failed = st.err.Error()
		}
		if st.node != nil {
			s.Council = st.node.Status()
			s.Council.StateMachine = s.Council.StateMachine.Clone()
		}
		then(s)
	})
}
