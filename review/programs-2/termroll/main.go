//go:build review

// Command termroll gives a fleet a shorter lease term, as an operator does: the files are changed and the members restarted one after the
// other. It checks that no two of them act on the lease of a task at once.
package main

import (
	"strings"
	"syscall"
	"time"

	"sorrelrudder/review/programs-2/stage"
)

const lease = "task/stocktake"

// pause is how long the operator looks at the fleet after each restart.
const pause = 12 * time.Second

func main() {
	s := stage.New()
	server := s.StartServer(2 * time.Second)
	file := func(term string) stage.FleetConfig {
		return stage.FleetConfig{
			Servers: []string{server.Address},
			Classes: "[[pools.farm.classes]]\nname = \"stocktake\"\neffect = \"unsafe\"\naim = \"15s\"\ndeadline = \"20s\"\n",
			Tier:    "term = \"" + term + "\"\n",
			Tasks:   "[[tasks]]\nname = \"stocktake\"\npool = \"farm\"\npath = \"/stocktake/all\"\nevery = \"1s\"\ndeadline = \"4s\"\n",
		}
	}
	f := s.NewFleet(file("20s"))
	f.Start()
	s.WaitFor("a first slot has ended", 40*time.Second, func() bool {
		runs := server.Runs()
		return len(runs) > 0 && !runs[0].End.IsZero()
	})
	if s.Trouble {
		s.Log("the files say term = 3s in place of 20s from now on")
		f.Configure(file("3s"))
	}
	first := f.Leader()
	restart(s, f, first)
	second := -1
	s.WaitFor("a leader that is not restarted yet", 10*time.Second, func() bool { second = f.Leader(); return second >= 0 })
	if second == first {
		second = (first + 1) % len(f.Names)
	}
	third := len(f.Names) - first - second // the sum of all is 3
	if holder := f.Holder(lease); holder >= 0 && holder != third {
		// The lease goes to a member that runs on, so that the next restart cuts no slot short.
		text, ok := s.Run(stage.Program, "tier", "lease", "handover", lease, f.Names[third], f.Addresses[holder], "--secret", f.Secret)
		s.Log("%s (%t)", strings.TrimSpace(text), ok)
		s.WaitFor("the lease is handed over", 15*time.Second, func() bool {
			time.Sleep(200 * time.Millisecond)
			return f.Holder(lease) == third
		})
	}
	restart(s, f, second)
	restart(s, f, third)
	time.Sleep(time.Second)
	if server.Overlap() {
		s.End(stage.Broken)
	}
	s.End(stage.Held)
}

// restart restarts a member in order.
func restart(s *stage.Stage, f *stage.Fleet, i int) {
	f.Procs[i].Signal(syscall.SIGTERM)
	if !f.Procs[i].Await(15 * time.Second) {
		s.NotRun("%s has not ended", f.Names[i])
	}
	f.StartMember(i)
	s.Log("%s is restarted", f.Names[i])
	time.Sleep(time.Second)
	f.AwaitHealthy()
	time.Sleep(pause)
	s.Log("holder of the lease of the task: %s\n%s", name(f), f.Leases(i))
}

func name(f *stage.Fleet) string {
	if holder := f.Holder(lease); holder >= 0 {
		return f.Names[holder]
	}
	return "none"
}
