// Package staleness is the one reckoning of how old a pool's list of servers may get: for how long a watch may be silent,
// a call may go unanswered and a pause may last, so that what discovery has to tell is heard before the platform's rules
// take it for told. It reads no clock.
package staleness

import "time"

const (
	// NotifiedAfter is the platform's term: a change counts as told so long after discovery had it and could be reached, whether or not it
	// was heard; after a watch fell silent, as after a call that failed or was given up.
	NotifiedAfter = 6 * time.Second
	// HeartbeatInterval is how often a watch says something at least: an empty line while nothing changes.
	HeartbeatInterval = 2 * time.Second
	// defaultGrace is taken where the settings give none: the least that is known of any deployment.
	defaultGrace = 500 * time.Millisecond
	// minCallTimeout keeps the calls to an agent apart where the settings give no time at all.
	minCallTimeout = 50 * time.Millisecond
)

// Bound says how a list is kept from growing older than it may.
type Bound struct {
	// WatchTimeout is how long a watch may say nothing before it is taken for broken.
	WatchTimeout time.Duration
	// CallTimeout is how long a call may take until its first message, the connection included. Discovery turns away what has waited
	// too long by itself; it does not tell after how long, and 3 s is the most that is known of any deployment.
	CallTimeout time.Duration
	// RetryDelay is the most from the end of a watch, or of a call that was given up, to the next call.
	RetryDelay time.Duration
	// RejectedBackoff is the same from a call that discovery turned away.
	RejectedBackoff time.Duration
	// PollInterval is for how long a process that has neither watched nor asked may hold on to its list.
	PollInterval time.Duration
}

// BoundFor returns the bound for a list that discovery is asked for, or, if it is pushed, that an agent beside the process has:
// the agent answers at once and at no cost, and what it has counts as told from the first moment on, so that the grace
// alone is there to hear it. askEvery and grace are what the settings give; a grace of 0 is none.
func BoundFor(pushed bool, askEvery, grace time.Duration) Bound {
	if grace <= 0 {
		grace = defaultGrace
	}
	if !pushed {
		return Bound{
			WatchTimeout: HeartbeatInterval + time.Second, CallTimeout: 3250 * time.Millisecond, RetryDelay: 500 * time.Millisecond, RejectedBackoff: 1500 * time.Millisecond,
			PollInterval: askEvery,
		}
	}
	call := max(minCallTimeout, min(grace, HeartbeatInterval)*2/5)
	return Bound{WatchTimeout: HeartbeatInterval + time.Second, CallTimeout: call, RetryDelay: call / 2, RejectedBackoff: call, PollInterval: call}
}

// firstPollSpread is the part of AskEvery over which the module spreads a group's first calls.
const firstPollSpread = 0.6

// PollAtOnce reports whether the first call, made within that part, could be answered too late: then it is made at once.
func (b Bound) PollAtOnce() bool {
	return b.CallTimeout > time.Duration((1-firstPollSpread)*float64(b.PollInterval))
}

// AfterStart is from the start of a process to the answer of its first call, at worst.
func (b Bound) AfterStart() time.Duration {
	if b.PollAtOnce() {
		return b.RetryDelay + b.CallTimeout
	}
	return time.Duration(firstPollSpread*float64(b.PollInterval)) + b.CallTimeout
}

// The worst that each way of missing a change takes until the call that hears of it: what is left of the term and the grace is
// for the answer.

// AfterSilence is from the moment in which a watch fell silent: the last that it said may have come just then.
func (b Bound) AfterSilence() time.Duration { return b.WatchTimeout + b.RetryDelay }

// AfterUnansweredCall is from the moment in which discovery could be reached again, just after a call had set out that nothing answers.
func (b Bound) AfterUnansweredCall() time.Duration { return b.CallTimeout + b.RetryDelay }

// AfterRejection is the same where the call was turned away just before.
func (b Bound) AfterRejection() time.Duration { return b.RejectedBackoff }
