package policy

import (
	"strconv"
	"strings"
	"time"
)

// request is a client's request and what became of it so far.
type request struct {
	Request
	class           *classState
	timerResolution time.Duration

	startedAt         Time // when the client first asked, as far as can be told
	objectiveDeadline Time // a later response misses the latency objective
	finalDeadline     Time // the client is answered by then, whatever happens
	latencyLimit      time.Duration

	// While it waits for a sample.
	queuedUntil   Time        // zero: it does not wait
	sampled       []*endpoint // by its latest sampling round
	sampleReplies int         // to all its rounds

	attempts        []attempt // those made elsewhere first
	inFlight        int       // attempts
	ended           bool
	responseStarted bool // the client has part of the response
	bodyConsumed    bool // a streamed body is being sent, or was: it cannot be sent again
	bodyInTransfer  bool // it is being sent, at the client's pace
}

// attempt is one attempt of a request.
type attempt struct {
	endpoint    *endpoint // nil if it was made elsewhere
	zone        string
	cell        int
	sentAt      Time
	inFlight    bool
	canceled    bool
	notExecuted bool // proven

	// What was known when it was sent.
	queueAtSend     float64
	expectedLatency time.Duration
	warmingUp       bool
}

// setDeadlines works out until when a response meets the objective, and until when it is of any use. Nobody waits longer
// than the client does.
func (r *request) setDeadlines() {
	r.objectiveDeadline = min(r.startedAt+r.class.LatencyObjective, r.Expires)
	r.finalDeadline = r.Expires
	if r.class.LateWeightFraction == 0 {
		r.finalDeadline = min(r.finalDeadline, r.objectiveDeadline-r.timerResolution)
	}
}

// attemptInFlight returns the attempt of that number if it is in flight, else nil.
func (r *request) attemptInFlight(number int) *attempt {
	if r == nil || number < 0 || number >= len(r.attempts) || !r.attempts[number].inFlight {
		return nil
	}
	return &r.attempts[number]
}

// hedgeTimerPrefix begins the token of the timer for a hedged request.
const hedgeTimerPrefix = "h:"

// tokenBase is the base of the request's number in a token.
const tokenBase = 36

// timerToken returns the token of timers of a request.
func timerToken(id RequestID) string { return strconv.FormatUint(uint64(id), tokenBase) }

// parseTimerToken returns the request that a token names, and whether the timer is for a hedged request.
func parseTimerToken(token string) (id RequestID, hedge bool) {
	digits, hedge := strings.CutPrefix(token, hedgeTimerPrefix)
	number, _ := strconv.ParseUint(digits, tokenBase, 64)
	return RequestID(number), hedge
}
