package simulation

import (
	"time"

	"sorrelrudder/internal/lease"
)

// Operation is a completed operation on the leases, as the process that requested it saw it. It is either a grant with its fencing token,
// or, with Token 0, a read of the largest token granted so far. Start and End are virtual times since the start of the run.
type Operation struct {
	Process       int
	Start, End    time.Duration
	Token, LastID uint64
}

// commandID identifies a command on the leases. A retry has the same ID.
type commandID struct {
	process           int
	session, sequence uint64
}

// history records the operations of a run, in the order in which they ended.
type history struct {
	operations     []Operation
	firstSubmitted map[commandID]time.Duration
}

// recordSubmission records the time of the first submission of a command.
func (s *simulation) recordSubmission(process int, request lease.Request) {
	if !s.options.RecordHistory || request.Command == nil {
		return
	}
	id := commandID{process, request.SessionID, request.Command.Seq}
	if s.history.firstSubmitted[id] == 0 {
		s.history.firstSubmitted[id] = s.Now()
	}
}

// recordOperation records a request whose response has arrived. A command that was submitted several times starts at its first submission.
func (s *simulation) recordOperation(process int, request lease.Request, response lease.Response, start time.Duration) {
	if !s.options.RecordHistory {
		return
	}
	if request.Command == nil {
		if response.Refusal == "" {
			s.history.add(Operation{Process: process, Start: start, End: s.Now(), LastID: response.LastID})
		}
		return
	}
	if !granted(request, response) {
		return
	}
	if first, submitted := s.history.firstSubmitted[commandID{process, request.SessionID, request.Command.Seq}]; submitted {
		start = first
	}
	s.history.add(Operation{Process: process, Start: start, End: s.Now(), Token: response.Result.Token})
}

func (h *history) add(o Operation) { h.operations = append(h.operations, o) }

// granted reports whether a response newly grants a lease.
func granted(request lease.Request, response lease.Response) bool {
	result := response.Result
	return request.Command.Op == lease.OpAcquire && result != nil && result.Token != 0 && result.PreviousVersion != result.Version
}
