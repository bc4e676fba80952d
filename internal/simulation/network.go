package simulation

import (
	"fmt"
	"time"
)

// link is the one-way connection between two processes, identified by their indexes.
type link struct{ from, to int }

// transmit sends a message from one process to another: it calls receive in the receiving process after a random delay. The message may be
// lost or, while delay faults are active, duplicated. description names the message in the trace.
func (s *simulation) transmit(from, to *process, description string, receive func()) {
	s.counts["messages"]++
	if s.options.TraceMessages {
		s.trace("%s to %s: %s", from.name, to.name, description)
	}
	if s.dropsMessage(from, to) {
		s.counts["lost"]++
		return
	}
	copies := 1
	if s.delayFaults > 0 && s.networkRandom.IntN(100) < 10 {
		copies = 2
	}
	for range copies {
		s.After(s.drawDelay(), func() {
			if s.blockedLinks[link{from.index, to.index}] == 0 {
				to.deliver(receive)
			}
		})
	}
}

// dropsMessage reports whether a message is lost when it is sent.
func (s *simulation) dropsMessage(from, to *process) bool {
	return s.blockedLinks[link{from.index, to.index}] > 0 ||
		s.lossFaults > 0 && s.networkRandom.IntN(100) < 30 ||
		s.networkRandom.IntN(1000) < 2 && s.Now() < randomLossUntil
}

// drawDelay draws the transmission delay of a message.
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

// block blocks the link from one process to another for a duration. A link stays blocked as long as any fault blocks it.
func (s *simulation) block(from, to int, duration time.Duration) {
	if from == to {
		return
	}
	l := link{from, to}
	s.blockedLinks[l]++
	s.After(duration, func() {
		if s.blockedLinks[l] > 0 {
			s.blockedLinks[l]--
		}
	})
}

// processName returns the name of the process with the given index.
func processName(index int) string { return fmt.Sprintf("p%d", index) }
