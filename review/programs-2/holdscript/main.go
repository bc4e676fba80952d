//go:build review

// Command holdscript plays two scripts that take turns under one lease by 'sorrelrudder tier lease hold', while the member that the first
// is connected to is paused.
package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"

	"sorrelrudder/review/programs-2/stage"
)

const (
	lease  = "nightly-export"
	rounds = 5
	// tolerance is the slack of the protocol page for limits of time.
	tolerance = 50 * time.Millisecond
)

func main() {
	s := stage.New()
	f := s.NewFleet(stage.FleetConfig{
		Servers: s.Ports(1), // no request goes there
		Classes: "[[pools.farm.classes]]\nname = \"delivery-order\"\neffect = \"keyed\"\ndeadline = \"1500ms\"\nrepeats_dropped_for = \"30s\"\n",
		Tier:    "term = \"3s\"\n",
	})
	f.Start()
	broken := 0
	for round := range rounds {
		if playRound(s, f, round) {
			broken++
		}
	}
	s.Log("two scripts held the lease at once in %d of %d rounds", broken, rounds)
	if broken > 0 {
		s.End(stage.Broken)
	}
	s.End(stage.Held)
}

// playRound reports whether the second script held the lease while the first had not lost it.
func playRound(s *stage.Stage, f *stage.Fleet, round int) (broken bool) {
	var leader int
	s.WaitFor("a leader", 15*time.Second, func() bool { leader = f.Leader(); return leader >= 0 })
	follower := (leader + 1) % len(f.Names)
	first := f.Hold(fmt.Sprintf("first-%d", round), lease, follower)
	s.WaitFor("the first script holds the lease", 10*time.Second, func() bool { return first.Output() != "" })
	s.Log("round %d: the first script, connected to %s, holds the lease with token %s", round, f.Names[follower], strings.TrimSpace(first.Output()))
	time.Sleep(time.Duration(100+140*round) * time.Millisecond) // the second script comes at another time in each round
	second := f.Hold(fmt.Sprintf("second-%d", round), lease, leader)
	time.Sleep(1500*time.Millisecond + rand.N(800*time.Millisecond))
	if second.Output() != "" {
		s.Log("the second script holds the lease as well, without any disruption")
		return true
	}
	if s.Trouble {
		f.Stop(follower)
		s.Log("%s is paused (SIGSTOP)", f.Names[follower])
	}
	var grantedAt time.Time
	end := time.Now().Add(6 * time.Second)
	for time.Now().Before(end) {
		_, _, firstEnded := first.Ended()
		if grantedAt.IsZero() && second.Output() != "" {
			grantedAt = time.Now()
			s.Log("the second script holds the lease with token %s; the first has ended: %t", strings.TrimSpace(second.Output()), firstEnded)
		}
		if firstEnded && !grantedAt.IsZero() {
			break
		}
		time.Sleep(2 * time.Millisecond)
	}
	if s.Trouble {
		f.Continue(follower)
		s.Log("%s continues (SIGCONT)", f.Names[follower])
		if !first.Await(10 * time.Second) {
			s.NotRun("the first script has not ended")
		}
	}
	if at, status, ended := first.Ended(); ended {
		s.Log("the first script has ended with status %d: %s", status, strings.TrimSpace(first.Tail(1)))
		if !grantedAt.IsZero() {
			overlap := at.Sub(grantedAt)
			s.Log("from the token of the second to the end of the first: %d ms", overlap.Milliseconds())
			broken = overlap > tolerance
		}
	} else if !grantedAt.IsZero() {
		s.Log("the second script was granted the lease while the first holds it")
		broken = true
	}
	first.Signal(syscall.SIGTERM)
	second.Signal(syscall.SIGTERM)
	if !first.Await(10*time.Second) || !second.Await(10*time.Second) {
		s.NotRun("a script has not ended after SIGTERM")
	}
	return broken
}
