package simulation

import (
	"time"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/lease"
	"sorrelrudder/internal/task"
)

const (
	// minAdvance and maxAdvance bound the time between two calls of advance.
	minAdvance = time.Millisecond
	maxAdvance = 50 * time.Millisecond
	// accessInterval is the least time between two accesses of a lease holder to the protected resource.
	accessInterval = 30 * time.Millisecond
	// retryDelay is the delay after the outcome of a slot before the runner may send the slot again.
	retryDelay = 20 * time.Millisecond
)

// advance sends the due lease requests, accesses the protected resources, runs the due task action, and schedules its next call.
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
		p.accessResource(l)
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

// scheduleAdvance schedules the next call of advance for when the process's clock has advanced by d, within minAdvance and maxAdvance. It
// replaces the call that is already scheduled.
func (p *process) scheduleAdvance(d time.Duration) {
	p.advanceRound++
	round, start := p.advanceRound, p.startCount
	p.simulation.After(max(minAdvance, min(p.virtualDuration(d), maxAdvance)), func() {
		if p.startCount == start && p.advanceRound == round {
			p.deliver(p.advance)
		}
	})
}

// submitLeaseRequest sends a request of the lease client to the consensus group, and passes the response back.
func (p *process) submitLeaseRequest(request lease.Request) {
	start := p.simulation.Now()
	p.simulation.recordSubmission(p.index, request)
	p.call(consensus.Request{Lease: &request}, func(r consensus.Response) {
		if r.Lease != nil {
			p.simulation.recordOperation(p.index, request, *r.Lease, start)
			p.session.HandleResponse(*r.Lease)
			p.advance()
		}
	})
}

// accessResource has a lease holder access the resource that the lease protects. One access in 20 is delayed, as if the process had been
// paused after checking its lease.
func (p *process) accessResource(l leaseSlots) {
	s, now := p.simulation, p.clock()
	token, _, held := p.session.Token(now, l.name)
	if !held || now < p.nextAccess[l.name] {
		return
	}
	p.nextAccess[l.name] = now + accessInterval
	delay := time.Duration(0)
	if s.processRandom.IntN(20) == 0 {
		delay = time.Duration(s.processRandom.IntN(3000)) * time.Millisecond
	}
	s.After(delay, func() { s.observer.checkAccess(l, p, token, delay > 0) })
}

// runTask executes an action that the task's runner has returned.
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

// submitTaskCommand submits a command on a slot to the consensus group, and passes the result to the runner.
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

// sendSlot sends the request for a slot to a server. The request may be lost, the server may reject it, and the response may be lost or too
// late.
func (p *process) sendSlot(slot task.SlotRequest) {
	s := p.simulation
	s.observer.slotSent()
	s.trace("%s sends slot %d by %d, attempt %d", p.name, slot.Slot, slot.Token, slot.Attempt)
	draw := s.networkRandom.IntN(100)
	latency := time.Duration(5+s.networkRandom.IntN(60)) * time.Millisecond
	timeout := p.virtualDuration(slot.Deadline - p.clock())
	if s.options.Bug == BugEarlyCompletion {
		p.completeSlot(task.OutcomeDone, 0)
	}
	switch {
	case draw < 10: // the request is lost
		p.completeSlot(task.OutcomeUnknown, timeout)
	case draw < 20:
		p.completeSlot(task.OutcomeRejected, latency)
	case draw < 30 || latency >= timeout: // the response is lost or late
		s.After(latency, func() { s.observer.slotReceived(slot) })
		p.completeSlot(task.OutcomeUnknown, timeout)
	default:
		s.After(latency, func() { s.observer.slotReceived(slot) })
		p.completeSlot(task.OutcomeDone, latency+time.Millisecond)
	}
}

// completeSlot passes the outcome of the sent slot to the task's runner after a delay.
func (p *process) completeSlot(outcome task.Outcome, delay time.Duration) {
	p.schedule(delay, func() {
		p.runner.HandleOutcome(p.clock(), outcome, p.clock()+retryDelay)
		p.advance()
	})
}
