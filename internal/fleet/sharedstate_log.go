package fleet

import (
	"time"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/gossip"
)

// SharedStateLogMessage is the message of the log's line on shared state. 'sorrelrudder fleet' counts it over all processes.
const SharedStateLogMessage = "shared state"

// logSharedState tells the log what has become of the shared state. The caller has mu.
func (h *Host) logSharedState(now time.Duration) {
	shared := h.shared
	frames, bytes := h.traffic.gossipFrames.Load(), h.traffic.gossipBytes.Load()
	step, whole := shared.ages(now)
	dead, orders := 0, 0
	shared.node.Store().ForEach("", func(e *gossip.Entry) bool {
		if len(e.Values()) > 0 && gossip.KindOf(e.Key) == consensus.OperatorKind {
			orders++
		} else if len(e.Values()) > 0 {
			dead++
		}
		return true
	})
	h.log.Info(SharedStateLogMessage, "frames", frames-shared.loggedFrames, "bytes", bytes-shared.loggedBytes, "in_step_ms", step, "decided_ms", whole, "alive", shared.node.Count(gossip.Alive)+1,
		"suspect", shared.node.Count(gossip.Suspect), "gone", shared.node.Count(gossip.Dead), "dead", dead, "orders", orders, "hinted", shared.hinted, "differ", shared.node.Store().Counts.Conflicts)
	shared.loggedFrames, shared.loggedBytes, shared.loggedAt = frames, bytes, now
}

// ages are how many milliseconds ago the copies were seen to equal another's, and as of how long ago all that was decided is here; -1: neither
// is known since the start.
func (s *sharedState) ages(now time.Duration) (step, whole int64) {
	step, whole = -1, -1
	if ago, ok := s.node.InSync(now); ok {
		step = ago.Milliseconds()
	}
	if s.completeUntil >= 0 {
		whole = (now - s.completeUntil).Milliseconds()
	}
	return step, whole
}
