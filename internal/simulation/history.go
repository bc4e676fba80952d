package simulation

import (
	"time"

	"sorrelrudder/internal/lease"
)

// Operation is an operation on the leases as its process saw it: a grant with its token, or a read (Token 0) of the largest token that had
// been granted.
type Operation struct {
	Process       int
	Start, End    time.Duration
	Token, LastID uint64
}

// commandID identifies a command on the leases; a retry has the same one.
type commandID struct {
	process           int
	session, sequence uint64
}

// history is the operations of a run, in the order of their ends.
type history struct {
	operations     []Operation
	firstSubmitted map[commandID]time.Duration
}

// recordSubmission records when a command was submitted first.
func (s *simulation) recordSubmission(process int, request lease.Request) {
	if !s.options.RecordHistory || request.Command == nil {
		return
	}
	id := commandID{process, request.SessionID, request.Command.Seq}
	if s.history.firstSubmitted[id] == 0 {
		s.history.firstSubmitted[id] = s.now
	}
}

// recordOperation records an answered request. A command that was submitted several times began with the first of them.
func (s *simulation) recordOperation(process int, request lease.Request, response lease.Response, start time.Duration) {
	if !s.options.RecordHistory {
		return
	}
	if request.Command == nil {
		if response.Refusal == "" {
			s.history.add(Operation{Process: process, Start: start, End: s.now, LastID: response.LastID})
		}
		return
	}
	if !granted(request, response) {
		return
	}
	if first, submitted := s.history.firstSubmitted[commandID{process, request.SessionID, request.Command.Seq}]; submitted {
		start = first
	}
	s.history.add(Operation{Process: process, Start: start, End: s.now, Token: response.Result.Token})
}

func (h *history) add(o Operation) { h.operations = append(h.operations, o) }

// granted reports whether a response is a new grant of a lease.
func granted(request lease.Request, response lease.Response) bool {
	result := response.Result
	return request.Command.Op == lease.OpAcquire && result != nil && result.Token != 0 && result.PreviousVersion != result.Version
}
