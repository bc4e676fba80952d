package simulation

import (
	"time"

	"sorrelrudder/internal/consensus"
)

const (
	// maxPendingCalls is the number of newest calls that a process keeps pending. It ignores responses to older calls.
	maxPendingCalls = 64
	// maxRedirects bounds how often a call is redirected to another voter.
	maxRedirects = 3

	// A call's handle consists of the index of the process, the number of its start and the sequence number of the call. The constants are
	// the bit positions of the first two.
	handleProcessShift = 56
	handleStartShift   = 40
)

// call is a request to the consensus group without a response yet.
type call struct {
	request   consensus.Request
	done      func(consensus.Response)
	voter     string // voter that the latest attempt was sent to
	redirects int
}

// call sends a request to the presumed leader, and passes its response to done. done is not called if no response arrives or if the call is
// dropped after maxRedirects redirects.
func (p *process) call(request consensus.Request, done func(consensus.Response)) {
	p.lastCall++
	handle := uint64(p.index)<<handleProcessShift | uint64(p.startCount)<<handleStartShift | p.lastCall
	c := &call{request: request, done: done}
	p.calls[handle] = c
	delete(p.calls, handle-maxPendingCalls)
	p.sendCall(handle, c)
	p.schedule(leaseTiming.KeepAliveInterval()/2, func() {
		if p.calls[handle] == c {
			p.leaders.Unreachable(p.clock(), c.voter)
		}
	})
}

// sendCall sends a call to the presumed leader. A process that does not run a voter responds that it is not the leader.
func (p *process) sendCall(handle uint64, c *call) {
	s := p.simulation
	c.voter = p.leaders.Pick(p.clock())
	to := s.process(c.voter)
	s.transmit(p, to, "ask", func() {
		if to.node == nil {
			s.transmit(to, p, "elsewhere", func() { p.handleResponse(handle, consensus.Response{NotLeader: true}) })
			return
		}
		to.node.Submit(to.raftClock(), handle, c.request)
		to.processNode()
	})
}

// handleResponse handles the response to a call. If the voter is not the leader, it redirects the call, or drops the call if no other voter
// is to be tried or maxRedirects is reached.
func (p *process) handleResponse(handle uint64, response consensus.Response) {
	c := p.calls[handle]
	if c == nil {
		return
	}
	if response.NotLeader {
		if p.leaders.Redirected(p.clock(), c.voter, response.Leader) && c.redirects < maxRedirects {
			c.redirects++
			p.sendCall(handle, c)
			return
		}
		delete(p.calls, handle)
		return
	}
	p.leaders.LeaderConfirmed(c.voter)
	delete(p.calls, handle)
	c.done(response)
}

// sendOutput sends the output of the process's voter: messages to other voters, responses to calls, and notifications to members whose
// leases have changed.
func (p *process) sendOutput(out consensus.Output) {
	s := p.simulation
	for _, m := range out.Messages {
		to := s.process(p.node.NameOf(m.GetTo()))
		if to == nil {
			continue
		}
		data, err := consensus.EncodeMessage(m)
		if err != nil {
			panic(err)
		}
		from := m.GetFrom()
		s.transmit(p, to, m.GetType().String(), func() { to.stepNode(p, from, data) })
	}
	for _, reply := range out.Replies {
		to := s.processes[reply.Handle>>handleProcessShift]
		s.transmit(p, to, "answer", func() { to.handleResponse(reply.Handle, reply.Response) })
	}
	for _, name := range out.ChangedMembers {
		if to := s.process(name); to != nil {
			s.transmit(p, to, "wake", func() {
				to.session.Refresh()
				to.advance()
			})
		}
	}
}

// An operator resubmits a command every operatorInterval, at most maxOperatorCalls times in all.
const (
	operatorInterval = 200 * time.Millisecond
	maxOperatorCalls = 100
)

// submitUntilDone has an operator submit a request repeatedly until done returns true for a response. request is called for each attempt.
// An attempt is skipped while the process that the operator uses is down or paused.
func (s *simulation) submitUntilDone(request func() consensus.Request, done func(consensus.Response) bool) {
	from := s.processes[len(s.processes)-1]
	calls := 0
	var submit func()
	submit = func() {
		if calls++; calls > maxOperatorCalls {
			return
		}
		if from.up && s.Now() >= from.pausedUntil {
			from.call(request(), func(r consensus.Response) {
				if done(r) {
					calls = maxOperatorCalls
				}
			})
		}
		s.After(operatorInterval, submit)
	}
	submit()
}
