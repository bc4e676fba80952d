//go:build review

// Command taskschedule changes the interval of a task as an operator does: the files are changed and the processes restarted one after the
// other. It plays a longer interval and, with a fleet of its own, a shorter one. Slots have to go on as the files say.
package main

import (
	"fmt"
	"syscall"
	"time"

	"sorrelrudder/review/programs-2/stage"
)

// play is one change of an interval.
type play struct {
	name          string
	before, after time.Duration // the key every
	missed        string
	watch         time.Duration // after the restarts
}

// slack is how many slots more, or less, may run: those at the ends of the time that is counted, and those of a term and an election in
// which no process could run any.
const slack = 5

func main() {
	s := stage.New()
	longer := play{name: "reconcile", before: time.Second, after: 3 * time.Second, missed: "once", watch: 30 * time.Second}
	shorter := play{name: "billing", before: 6 * time.Second, after: 2 * time.Second, missed: "each", watch: 15 * time.Second}
	// Both are played in any case, one after the other.
	tooFew, _ := longer.run(s)
	_, tooMany := shorter.run(s)
	if tooFew || tooMany {
		s.End(stage.Broken)
	}
	s.End(stage.Held)
}

// run plays the change and reports whether too few or too many slots have begun since the first restart.
func (p play) run(s *stage.Stage) (tooFew, tooMany bool) {
	server := s.StartServer(20 * time.Millisecond)
	file := func(every time.Duration) stage.FleetConfig {
		return stage.FleetConfig{
			Servers: []string{server.Address},
			Classes: fmt.Sprintf("[[pools.farm.classes]]\nname = %q\neffect = \"unsafe\"\ndeadline = \"1s\"\n", p.name),
			Tier:    "term = \"3s\"\n",
			Tasks: fmt.Sprintf("[[tasks]]\nname = %q\npool = \"farm\"\npath = \"/%s/run\"\nevery = %q\nmissed = %q\n",
				p.name, p.name, every.String(), p.missed),
		}
	}
	f := s.NewFleet(file(p.before))
	f.Start()
	s.WaitFor("three slots have run", 30*time.Second, func() bool { return len(server.Runs()) >= 3 })
	every := p.before
	if s.Trouble {
		every = p.after
		s.Log("the files say every = %v in place of %v from now on", p.after, p.before)
		f.Configure(file(p.after))
	}
	begin, before := time.Now(), len(server.Runs())
	for i := range f.Names {
		f.Procs[i].Signal(syscall.SIGTERM)
		if !f.Procs[i].Await(10 * time.Second) {
			s.NotRun("%s has not ended", f.Names[i])
		}
		f.StartMember(i)
		s.Log("%s is restarted", f.Names[i])
		time.Sleep(time.Second)
		f.AwaitHealthy()
	}
	restarted, atRestart := time.Now(), len(server.Runs())
	time.Sleep(p.watch)
	text, _ := s.Run(stage.Program, "tier", "tasks", f.Addresses[0], "--secret", f.Secret)
	s.Log("tier tasks:\n%s\ntier leases:\n%s", text, f.Leases(0))
	runs := len(server.Runs())
	least := int(time.Since(restarted)/every) - slack
	most := int(time.Since(begin)/min(p.before, every)) + slack
	s.Log("every %v: since all are restarted %d slots have begun, at least %d are expected; since the first restart %d, at most %d are expected",
		every, runs-atRestart, least, runs-before, most)
	for _, proc := range f.Procs {
		proc.Kill()
	}
	return runs-atRestart < least, runs-before > most
}
