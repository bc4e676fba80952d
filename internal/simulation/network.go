package simulation

import (
	"fmt"
	"time"
)

// link is the direction from one process to another, by their indexes.
type link struct{ from, to int }

// transmit carries a message from one process to another, or loses it. What says what it is, in the trace of messages.
func (s *simulation) transmit(from, to *process, what string, receive func()) {
	s.counts["messages"]++
	if s.options.TraceMessages {
		s.trace("%s to %s: %s", from.name, to.name, what)
	}
	if s.loses(from, to) {
		s.counts["lost"]++
		return
	}
	copies := 1
	if s.delayFaults > 0 && s.networkRandom.IntN(100) < 10 {
		copies = 2
	}
	for range copies {
		s.after(s.drawDelay(), func() {
			if s.blockedLinks[link{from.index, to.index}] == 0 {
				to.deliver(receive)
			}
		})
	}
}

// loses reports whether a message is lost as it is sent.
func (s *simulation) loses(from, to *process) bool {
	return s.blockedLinks[link{from.index, to.index}] > 0 ||
		s.lossFaults > 0 && s.networkRandom.IntN(100) < 30 ||
		s.networkRandom.IntN(1000) < 2 && s.now < randomLossUntil
}

// drawDelay draws the time that a message takes.
func (s *simulation) drawDelay() time.Duration {
	delay := time.Duration(500+s.networkRandom.IntN(2500)) * time.Microsecond
	if s.delayFaults > 0 {
		delay += time.Duration(s.networkRandom.IntN(400)) * time.Millisecond
		if s.networkRandom.IntN(50) == 0 {
			delay += time.Duration(s.networkRandom.IntN(5000)) * time.Millisecond
		}
	}
	return delay
}

// block blocks the link from one process to another for a while. Links are blocked as long as one fault blocks them.
func (s *simulation) block(from, to int, duration time.Duration) {
	if from == to {
		return
	}
	l := link{from, to}
	s.blockedLinks[l]++
	s.after(duration, func() {
		if s.blockedLinks[l] > 0 {
			s.blockedLinks[l]--
		}
	})
}

// processName returns the name of the process of that index.
func processName(index int) string { return fmt.Sprintf("p%d", index) }
