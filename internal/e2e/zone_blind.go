package e2e

import (
	"context"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "zone-blind", Duration: 16 * time.Second, Run: zoneBlind,
		Summary: "the council has no majority when a zone goes: each goes on by its own eyes, and it is left once there is one; an operator's word holds",
	})
}

// zoneBlind loses a zone while the consensus group has no majority, and has an operator's command outlast the zone's recovery.
func zoneBlind(ctx context.Context, e *Env) error {
	recorder := fake.NewEffectRecorder()
	f, err := e.startZoneFleet(ctx, zoneFleetConfig{recorder: recorder})
	if err != nil {
		return err
	}
	load, cancel := context.WithCancel(ctx)
	defer cancel()
	clients := f.startClients(load, f.members, 6, recorder)
	part := e.Duration / 4
	if err := f.loseZoneWithoutMajority(ctx, part); err != nil {
		return err
	}
	if err := f.overrideRecovery(ctx, part); err != nil {
		return err
	}
	cancel()
	e.measureResults("", <-clients)
	f.drainAll()
	e.checkAnsweredOnce(recorder, "")
	return nil
}

// loseZoneWithoutMajority loses a zone while two of three voters are down: it must be left only once they are back.
func (f *fleet) loseZoneWithoutMajority(ctx context.Context, part time.Duration) error {
	e := f.env
	e.Phase("no majority, and a zone goes", part)
	f.logEvent("two of three of the council are killed, and zone b is lost")
	minority := f.members[1:3]
	for _, voter := range minority {
		voter.kill()
	}
	lost := time.Now()
	setFault(f.backendsIn("b"), unreachableFault)
	pause(ctx, part)
	if n := len(f.exclusionTimes(backendsPerZone, lost)); n > 0 {
		e.Fail("%d processes have left the zone, though nobody could decide it", n)
	}
	e.Phase("the majority is back", part)
	for _, voter := range minority {
		if err := voter.start(); err != nil {
			return err
		}
	}
	restarted := time.Now()
	if err := f.awaitZoneLeft(ctx, 20*time.Second, lost); err != nil {
		return err
	}
	e.Measure("left_once_decided_s", time.Since(restarted).Seconds())
	return nil
}

// overrideRecovery has an operator leave the zone, which recovers: it must be used again only once the operator gives it back.
func (f *fleet) overrideRecovery(ctx context.Context, part time.Duration) error {
	e := f.env
	e.Phase("an operator's word against an automatic return", part)
	if err := f.zoneCommand("leave", "farm", "b"); err != nil {
		return err
	}
	setFault(f.backendsIn("b"), fake.Fault{})
	recovered := time.Now()
	pause(ctx, part)
	if n := len(f.exclusionTimes(0, recovered)); n > 0 {
		e.Fail("%d processes use the zone against an operator's word", n)
	}
	f.expectZoneCommandRefused("a return in one step was not refused", "return", "farm", "b")
	f.expectZoneCommandRefused("an unknown zone was left", "leave", "farm", "nowhere")
	if err := f.zoneCommand("auto", "farm", "b"); err != nil {
		return err
	}
	if err := f.awaitZoneUsed(ctx, 20*time.Second, recovered); err != nil {
		return err
	}
	e.Measure("returned_s", time.Since(recovered).Seconds())
	return nil
}
