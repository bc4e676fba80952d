package policy

import (
	"strconv"
	"time"
)

// hedgeTimerPrefix begins the token of the timer that tells that an answer is slow.
const hedgeTimerPrefix = "h:"

type attempt struct {
	endpoint        *endpoint
	zone            string
	cell            int
	canceled        bool
	sentAt          Time
	queueAtSend     float64       // that the server had reported
	expectedLatency time.Duration // its delay, then
	inFlight        bool          // no outcome yet
	notExecuted     bool          // proven never to have run
	warmingUp       bool          // its server was
}

type request struct {
	Request
	class             *classState
	latencyLimit      time.Duration // an expected delay over it means refusal
	startedAt         Time          // when the client first asked, as far as can be told
	objectiveDeadline Time          // an answer after this has lost worth
	finalDeadline     Time          // a final answer is given then at the latest
	queuedUntil       Time          // while held: a refusal is given then
	sampled           []*endpoint   // by the round it has started
	sampleReplies     int           // of them, to all its rounds
	attempts          []attempt     // those made elsewhere first
	inFlight          int
	ended             bool
	responseStarted   bool // the answer has begun; the client has it
	bodyConsumed      bool // its body is gone, or going: no further attempt can be made
	bodyInTransfer    bool // it is going, at the client's pace
	timerResolution   time.Duration
}

// setDeadlines works out until when an answer is of full worth, and of any.
func (r *request) setDeadlines() {
	r.objectiveDeadline = min(r.startedAt+r.class.LatencyObjective, r.Expires) // nobody waits longer, however short that is
	r.finalDeadline = r.Expires
	if r.class.LateWeightFraction == 0 {
		r.finalDeadline = min(r.finalDeadline, r.objectiveDeadline-r.timerResolution)
	}
}

func timerToken(id RequestID) string { return strconv.FormatUint(uint64(id), 36) }
