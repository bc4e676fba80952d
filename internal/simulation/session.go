package simulation

import (
	"time"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/lease"
	"sorrelrudder/internal/task"
)

const (
	// minAdvance and maxAdvance bound the time between two rounds of advance.
	minAdvance = time.Millisecond
	maxAdvance = 50 * time.Millisecond
	// actInterval is the time between two acts of a lease holder.
	actInterval = 30 * time.Millisecond
	// retryDelay is how long after its result a slot may be sent again.
	retryDelay = 20 * time.Millisecond
)

// advance does what is due for the process' leases and its task, and schedules its next round.
func (p *process) advance() {
	now := p.clock()
	requests, next := p.session.Next(now)
	for _, request := range requests {
		p.submitLeaseRequest(request)
	}
	if p.leaving {
		return
	}
	for _, l := range p.simulation.leases {
		p.act(l)
	}
	token, validUntil, _ := p.session.Token(now, taskLease)
	action, nextAction := p.runner.Next(now, p.wallClock(), token, validUntil)
	p.runTask(action)
	next = min(next, nextAction)
	if next <= now {
		next = now + time.Millisecond
	}
	p.scheduleAdvance(next - now)
}

// scheduleAdvance schedules the next round once the process' clock has advanced by d. It replaces those that are due.
func (p *process) scheduleAdvance(d time.Duration) {
	p.sessionRound++
	round, start := p.sessionRound, p.starts
	p.simulation.after(max(minAdvance, min(p.elapsing(d), maxAdvance)), func() {
		if p.starts == start && p.sessionRound == round {
			p.deliver(p.advance)
		}
	})
}

// submitLeaseRequest sends a request of the session to the consensus group.
func (p *process) submitLeaseRequest(request lease.Request) {
	start := p.simulation.now
	p.simulation.recordSubmission(p.index, request)
	p.call(consensus.Request{Lease: &request}, func(r consensus.Response) {
		if r.Lease != nil {
			p.simulation.recordOperation(p.index, request, *r.Lease, start)
			p.session.HandleResponse(*r.Lease)
			p.advance()
		}
	})
}

// act has a lease holder act on the resource that the lease protects. Now and then the act comes late, as if the process had been paused
// after it had looked at its lease.
func (p *process) act(l leaseSlots) {
	s, now := p.simulation, p.clock()
	token, _, held := p.session.Token(now, l.name)
	if !held || now < p.nextAct[l.name] {
		return
	}
	p.nextAct[l.name] = now + actInterval
	delay := time.Duration(0)
	if s.processRandom.IntN(20) == 0 {
		delay = time.Duration(s.processRandom.IntN(3000)) * time.Millisecond
	}
	s.after(delay, func() { s.observer.acted(l, p, token, delay > 0) })
}

// runTask carries out what the task's runner wants.
func (p *process) runTask(action task.Action) {
	switch {
	case action.FetchRecord:
		p.fetchTaskRecord()
	case action.Command != nil:
		p.submitTaskCommand(*action.Command)
	case action.Send != nil:
		p.sendSlot(*action.Send)
	}
}

// fetchTaskRecord fetches the task's record from the consensus group.
func (p *process) fetchTaskRecord() {
	fetchedAt := p.runner.FetchedAt()
	p.call(consensus.Request{TaskRecords: []string{p.simulation.task.Name}}, func(r consensus.Response) {
		if r.TaskRecords != nil {
			p.runner.HandleRecord(fetchedAt, r.TaskRecords[p.simulation.task.Name])
			p.advance()
		}
	})
}

// submitTaskCommand submits a command on a slot to the consensus group.
func (p *process) submitTaskCommand(c task.Command) {
	s := p.simulation
	s.trace("%s asks: %s slot %d by %d %s", p.name, c.Op, c.Slot, c.Token, c.Outcome)
	p.call(consensus.Request{Task: &c}, func(r consensus.Response) {
		if r.Task != nil {
			s.trace("%s hears of %s slot %d: %s", p.name, c.Op, c.Slot, r.Task.Refusal)
			token, _, _ := p.session.Token(p.clock(), taskLease)
			p.runner.HandleResult(p.clock(), c, *r.Task, token)
			p.advance()
		}
	})
}

// sendSlot sends the request of a slot to a server, which executes it or not, and whose answer may be lost.
func (p *process) sendSlot(slot task.SlotRequest) {
	s := p.simulation
	s.observer.slotSent()
	s.trace("%s sends slot %d by %d, attempt %d", p.name, slot.Slot, slot.Token, slot.Attempt)
	draw := s.networkRandom.IntN(100)
	took := time.Duration(5+s.networkRandom.IntN(60)) * time.Millisecond
	timeout := p.elapsing(slot.Deadline - p.clock())
	if s.options.Bug == BugEarlyCompletion {
		p.completeSlot(task.OutcomeDone, 0)
	}
	switch {
	case draw < 10: // the request is lost
		p.completeSlot(task.OutcomeUnknown, timeout)
	case draw < 20:
		p.completeSlot(task.OutcomeRejected, took)
	case draw < 30 || took >= timeout: // the answer is lost
		s.after(took, func() { s.observer.slotReceived(slot) })
		p.completeSlot(task.OutcomeUnknown, timeout)
	default:
		s.after(took, func() { s.observer.slotReceived(slot) })
		p.completeSlot(task.OutcomeDone, took+time.Millisecond)
	}
}

// completeSlot passes the outcome of the slot that was sent to the runner after a delay.
func (p *process) completeSlot(outcome task.Outcome, delay time.Duration) {
	p.schedule(delay, func() {
		p.runner.HandleOutcome(p.clock(), outcome, p.clock()+retryDelay)
		p.advance()
	})
}
