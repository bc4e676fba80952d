package policy

import (
	"strconv"
	"strings"
	"time"
)

// request is a client request with its state.
type request struct {
	Request
	class           *classState
	timerResolution time.Duration

	startedAt         Time // estimated time of the client's first try
	objectiveDeadline Time // a later response misses the latency objective
	finalDeadline     Time // the request is ended at this time at the latest
	latencyLimit      time.Duration

	// State of the wait for a load sample.
	queuedUntil   Time        // zero: the request does not wait
	sampled       []*endpoint // endpoints of the latest sampling round
	sampleReplies int         // replies to all sampling rounds of the request

	attempts        []attempt // attempts made elsewhere come first
	inFlight        int       // attempts
	ended           bool
	responseStarted bool // the client has part of the response
	bodyConsumed    bool // a streamed body is being sent or was sent, and cannot be sent again
	bodyInTransfer  bool // a streamed body is being sent, at the speed of the client
}

// attempt is one attempt of a request.
type attempt struct {
	endpoint    *endpoint // nil for an attempt made elsewhere
	zone        string
	cell        int
	sentAt      Time
	inFlight    bool
	canceled    bool
	notExecuted bool // proven not to have been executed

	// State of the endpoint when the attempt was sent.
	queueAtSend     float64
	expectedLatency time.Duration
	warmingUp       bool
}

// setDeadlines sets the time until which a response meets the objective and the time until which a response is of use. Both are at most
// Request.Expires, when the client gives up.
func (r *request) setDeadlines() {
	r.objectiveDeadline = min(r.startedAt+r.class.LatencyObjective, r.Expires)
	r.finalDeadline = r.Expires
	if r.class.LateWeightFraction == 0 {
		r.finalDeadline = min(r.finalDeadline, r.objectiveDeadline-r.timerResolution)
	}
}

// attemptInFlight returns the attempt with the given number if it is in flight, nil otherwise. r may be nil.
func (r *request) attemptInFlight(number int) *attempt {
	if r == nil || number < 0 || number >= len(r.attempts) || !r.attempts[number].inFlight {
		return nil
	}
	return &r.attempts[number]
}

// hedgeTimerPrefix is the prefix of the timer token for a hedged request.
const hedgeTimerPrefix = "h:"

// tokenBase is the number base of the request ID in a timer token.
const tokenBase = 36

// timerToken returns the token for timers of a request.
func timerToken(id RequestID) string { return strconv.FormatUint(uint64(id), tokenBase) }

// parseTimerToken returns the request ID in a timer token, and whether the timer is for a hedged request.
func parseTimerToken(token string) (id RequestID, hedge bool) {
	digits, hedge := strings.CutPrefix(token, hedgeTimerPrefix)
	number, _ := strconv.ParseUint(digits, tokenBase, 64)
	return RequestID(number), hedge
}
