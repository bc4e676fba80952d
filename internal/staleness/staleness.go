// Package staleness decides how old a pool's endpoint list may get: how long a watch may send nothing, how long a call to
// discovery may take, and how long a backoff may last, so that a change is received before the platform's rules take the process for
// notified of it. It reads no clock.
package staleness

import "time"

const (
	// NotifiedAfter is the platform's term: a process counts as notified of a change so long after discovery knew it and could be
	// reached, whether or not it received it.
	NotifiedAfter = 6 * time.Second
	// HeartbeatInterval is how often a watch sends something at least: an empty line while nothing changes.
	HeartbeatInterval = 2 * time.Second
)

const (
	// defaultGrace is used where the settings give none.
	defaultGrace = 500 * time.Millisecond
	// watchSlack is by how much a heartbeat may be late before the watch counts as broken.
	watchSlack = time.Second

	// Limits for a list that is polled. Discovery rejects a call that has waited too long by itself; discoveryCallTimeout is a
	// little longer.
	discoveryCallTimeout     = 3250 * time.Millisecond
	discoveryRetryDelay      = 500 * time.Millisecond
	discoveryRejectedBackoff = 1500 * time.Millisecond

	// minAgentCallTimeout keeps the calls to an agent apart where the grace is very short.
	minAgentCallTimeout = 50 * time.Millisecond

	// firstPollSpread is the fraction of the poll interval over which a group's first polls are spread. Package policy spreads them so
	// (firstPollTenths).
	firstPollSpread = 0.6
)

// Bound holds the limits that keep a list from growing older than it may.
type Bound struct {
	// WatchTimeout is how long a watch may send nothing before it counts as broken.
	WatchTimeout time.Duration
	// CallTimeout is how long a call may take until its first message, the connection included.
	CallTimeout time.Duration
	// RetryDelay is the longest time from the end of a watch, or of a call that timed out, to the next call.
	RetryDelay time.Duration
	// RejectedBackoff is the longest time from a call that discovery rejected to the next.
	RejectedBackoff time.Duration
	// PollInterval is how long a process that neither watches nor has polled may keep its list.
	PollInterval time.Duration
}

// BoundFor returns the bound for a list that is polled from discovery or, if it is pushed, from an agent beside the process. An
// agent responds at once and at no cost, and the process counts as notified of what the agent has from the first moment on, so that
// the grace alone is left to receive it. A grace of 0 or less stands for the default.
func BoundFor(pushed bool, pollInterval, grace time.Duration) Bound {
	if grace <= 0 {
		grace = defaultGrace
	}
	const watchTimeout = HeartbeatInterval + watchSlack
	if !pushed {
		return Bound{
			WatchTimeout:    watchTimeout,
			CallTimeout:     discoveryCallTimeout,
			RetryDelay:      discoveryRetryDelay,
			RejectedBackoff: discoveryRejectedBackoff,
			PollInterval:    pollInterval,
		}
	}
	callTimeout := max(minAgentCallTimeout, min(grace, HeartbeatInterval)*2/5) // a call, its retry delay and another fit into the grace
	return Bound{
		WatchTimeout:    watchTimeout,
		CallTimeout:     callTimeout,
		RetryDelay:      callTimeout / 2,
		RejectedBackoff: callTimeout,
		PollInterval:    callTimeout,
	}
}

// PollAtOnce reports whether the response to a first poll within the spread could be too late: then it is made at once.
func (b Bound) PollAtOnce() bool {
	return b.CallTimeout > time.Duration((1-firstPollSpread)*float64(b.PollInterval))
}

// AfterStart is the longest time from the start of a process to the response to its first call.
func (b Bound) AfterStart() time.Duration {
	if b.PollAtOnce() {
		return b.RetryDelay + b.CallTimeout
	}
	return time.Duration(firstPollSpread*float64(b.PollInterval)) + b.CallTimeout
}

// The methods below are the longest times that each way of missing a change takes until the call that brings it. What is left of
// NotifiedAfter and the grace is for the response.

// AfterSilence is from the moment in which a watch broke without a sign, which was just after a message.
func (b Bound) AfterSilence() time.Duration { return b.WatchTimeout + b.RetryDelay }

// AfterUnansweredCall is from the moment in which discovery could be reached again, just after a call that gets no response.
func (b Bound) AfterUnansweredCall() time.Duration { return b.CallTimeout + b.RetryDelay }

// AfterRejection is the same where the call was rejected just before.
func (b Bound) AfterRejection() time.Duration { return b.RejectedBackoff }
