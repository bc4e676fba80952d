package e2e

import (
	"context"
	"fmt"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "zone-blind", Duration: 16 * time.Second, Run: zoneBlind,
		Summary: "the council has no majority when a zone goes: each goes on by its own eyes, and it is left once there is one; an operator's word holds",
	})
}

func zoneBlind(ctx context.Context, e *Env) error {
	recorder := fake.NewEffectRecorder()
	f, err := e.startZoneFleet(ctx, recorder, true, 3)
	if err != nil {
		return err
	}
	load, cancel := context.WithCancel(ctx)
	defer cancel()
	clients := make(chan *fake.ClientResults, 1)
	go func() { clients <- f.runClients(load, "farm", 6, recorder) }()
	part := e.Duration / 4
	e.Phase("no majority, and a zone goes", part)
	f.logEvent("two of three of the council are killed, and zone b is lost")
	f.members[1].kill()
	f.members[2].kill()
	at := time.Now()
	for _, b := range f.backendsIn("b") {
		b.SetFault(fake.Fault{Kind: fake.FaultUnreachable, Fraction: 1})
	}
	pause(ctx, part)
	if n := len(f.exclusionTimes(3, at)); n > 0 {
		e.Fail("%d processes have left the zone, though nobody could decide it", n)
	}
	e.Phase("the majority is back", part)
	for _, p := range f.members[1:3] {
		if err := p.start(); err != nil {
			return err
		}
	}
	back := time.Now()
	if err := f.awaitCondition(ctx, 20*time.Second, "all have left the zone", func() bool { return len(f.exclusionTimes(3, at)) == len(f.members) }); err != nil {
		return err
	}
	e.Measure("left_once_decided_s", time.Since(back).Seconds())
	e.Phase("an operator's word against an automatic return", part)
	if out, err := f.runCommand("tier", "zone", "leave", "farm", "b", f.members[0].addr, "--secret", f.secret); err != nil {
		return fmt.Errorf("zone leave: %w: %s", err, out)
	}
	for _, b := range f.backendsIn("b") {
		b.SetFault(fake.Fault{})
	}
	pinned := time.Now()
	pause(ctx, part)
	if n := len(f.exclusionTimes(0, pinned)); n > 0 {
		e.Fail("%d processes use the zone against an operator's word", n)
	}
	if out, err := f.runCommand("tier", "zone", "return", "farm", "b", f.members[0].addr, "--secret", f.secret); err == nil {
		e.Fail("a return in one step was not refused: %s", out)
	}
	if out, err := f.runCommand("tier", "zone", "leave", "farm", "nowhere", f.members[0].addr, "--secret", f.secret); err == nil {
		e.Fail("an unknown zone was left: %s", out)
	}
	if out, err := f.runCommand("tier", "zone", "auto", "farm", "b", f.members[0].addr, "--secret", f.secret); err != nil {
		return fmt.Errorf("zone auto: %w: %s", err, out)
	}
	if err := f.awaitCondition(ctx, 20*time.Second, "all use the zone again", func() bool { return len(f.exclusionTimes(0, pinned)) == len(f.members) }); err != nil {
		return err
	}
	e.Measure("returned_s", time.Since(pinned).Seconds())
	cancel()
	c := <-clients
	e.measureResults("", c)
	f.drainAll()
	e.checkAnsweredOnce(recorder, "")
	return nil
}
