// Package staleness limits the age of a pool's endpoint list: how long a watch may send no message, how long a call to discovery may
// take, and how long a backoff may last. Within these limits a process receives a change before the platform counts the process as
// notified of the change. The package reads no clock.
package staleness

import "time"

const (
	// NotifiedAfter is a time set by the platform. A process counts as notified of a change this long after discovery knew the change
	// and could be reached, whether or not the process received the change.
	NotifiedAfter = 6 * time.Second
	// HeartbeatInterval is the longest time between two messages of a watch. While the list does not change, the message is an empty
	// line.
	HeartbeatInterval = 2 * time.Second
)

const (
	// defaultGrace is the grace if the settings give none.
	defaultGrace = 500 * time.Millisecond
	// watchSlack is how late a heartbeat may be before the watch counts as broken.
	watchSlack = time.Second

	// Limits for a list that is polled from discovery. Discovery rejects a call that has waited in discovery for too long.
	// discoveryCallTimeout is a little longer than this wait.
	discoveryCallTimeout     = 3250 * time.Millisecond
	discoveryRetryDelay      = 500 * time.Millisecond
	discoveryRejectedBackoff = 1500 * time.Millisecond

	// minAgentCallTimeout is the shortest call timeout for an agent. It prevents calls in quick succession if the grace is very short.
	minAgentCallTimeout = 50 * time.Millisecond

	// firstPollSpread is the fraction of the poll interval over which the first polls of a group's instances are spread. It must match
	// firstPollTenths of package policy, which spreads the polls.
	firstPollSpread = 0.6
)

// Bound holds the time limits that determine how old a list can get.
type Bound struct {
	// WatchTimeout is the time without a message after which a watch counts as broken.
	WatchTimeout time.Duration
	// CallTimeout is the longest time from the start of a call, including the connection setup, to its first message.
	CallTimeout time.Duration
	// RetryDelay is the longest time from the end of a watch, or of a call that timed out, to the next call.
	RetryDelay time.Duration
	// RejectedBackoff is the longest time from a call that discovery rejected to the next call.
	RejectedBackoff time.Duration
	// PollInterval is the longest time for which a process may keep its list before it has a watch or has polled.
	PollInterval time.Duration
}

// BoundFor returns the bound for a list that is polled from discovery or, if pushed is true, from an agent beside the process. An agent
// responds at once and at no cost. The process counts as notified of a change as soon as the agent has the change, so that only the
// grace is left to receive it. A grace of 0 or less stands for the default of 500 ms.
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
	callTimeout := max(minAgentCallTimeout, min(grace, HeartbeatInterval)*2/5) // a call, its retry delay and a second call fit into the grace
	return Bound{
		WatchTimeout:    watchTimeout,
		CallTimeout:     callTimeout,
		RetryDelay:      callTimeout / 2,
		RejectedBackoff: callTimeout,
		PollInterval:    callTimeout,
	}
}

// PollAtOnce reports whether the first poll must be made at once, because its response could be too late at the end of the spread.
func (b Bound) PollAtOnce() bool {
	return b.CallTimeout > time.Duration((1-firstPollSpread)*float64(b.PollInterval))
}

// AfterStart returns the longest time from the start of a process to the response to its first call.
func (b Bound) AfterStart() time.Duration {
	if b.PollAtOnce() {
		return b.RetryDelay + b.CallTimeout
	}
	return time.Duration(firstPollSpread*float64(b.PollInterval)) + b.CallTimeout
}

// Each method below returns, for one way to miss a change, the longest time until the call that receives the change. The rest of
// NotifiedAfter and the grace is left for the response.

// AfterSilence returns the longest time from the moment at which a watch broke without an error, just after a message, to the next
// call.
func (b Bound) AfterSilence() time.Duration { return b.WatchTimeout + b.RetryDelay }

// AfterUnansweredCall returns the longest time from the moment at which discovery could be reached again to the next call, if a call
// without a response began just before that moment.
func (b Bound) AfterUnansweredCall() time.Duration { return b.CallTimeout + b.RetryDelay }

// AfterRejection returns the longest time from the moment at which discovery could be reached again to the next call, if discovery
// rejected a call just before that moment.
func (b Bound) AfterRejection() time.Duration { return b.RejectedBackoff }
