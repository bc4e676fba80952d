package fleet

import (
	"time"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/gossip"
)

// SharedStateLogMessage is the message of the log line with the statistics of the shared state. 'sorrelrudder fleet' reads this line.
const SharedStateLogMessage = "shared state"

// logSharedState logs the statistics of the shared state since the last such line. The caller must hold mu.
func (h *Host) logSharedState(now time.Duration) {
	shared := h.shared
	frames, bytes := h.traffic.gossipFrames.Load(), h.traffic.gossipBytes.Load()
	inStep, decided := shared.ages(now)
	reports, decisions := shared.countEntries()
	h.log.Info(SharedStateLogMessage,
		"frames", frames-shared.loggedFrames, "bytes", bytes-shared.loggedBytes,
		"in_step_ms", inStep, "decided_ms", decided,
		"alive", shared.node.Count(gossip.Alive)+1, "suspect", shared.node.Count(gossip.Suspect), "gone", shared.node.Count(gossip.Dead),
		"dead", reports, "orders", decisions, "hinted", shared.hinted, "differ", shared.node.Store().Counts.Conflicts)
	shared.loggedFrames, shared.loggedBytes, shared.loggedAt = frames, bytes, now
}

// countEntries counts the entries that are not deleted: decisions of operators as decisions, all others as reports.
func (s *sharedState) countEntries() (reports, decisions int) {
	s.node.Store().ForEach("", func(e *gossip.Entry) bool {
		switch {
		case len(e.Values()) == 0:
		case gossip.KindOf(e.Key) == consensus.OperatorKind:
			decisions++
		default:
			reports++
		}
		return true
	})
	return reports, decisions
}

// ages returns two ages in milliseconds. inStep is the time since this copy was last seen to equal another member's (InSync). decided is
// the time since this copy was last known to contain all decisions. An age is -1 if it has been unknown since the start.
func (s *sharedState) ages(now time.Duration) (inStep, decided int64) {
	inStep, decided = -1, -1
	if ago, ok := s.node.InSync(now); ok {
		inStep = ago.Milliseconds()
	}
	if s.completeUntil >= 0 {
		decided = (now - s.completeUntil).Milliseconds()
	}
	return inStep, decided
}
