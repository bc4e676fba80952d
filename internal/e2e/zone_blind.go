package e2e

import (
	"context"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "zone-blind", Duration: 16 * time.Second, Run: zoneBlind,
		Summary: "a zone is lost while the consensus group has no majority: each member decides alone, and the fleet leaves the zone once there is a majority; an operator's command overrides the automatic return",
	})
}

// zoneBlind loses a zone while the consensus group has no majority. Then an operator's command to leave the zone must stay in force
// although the zone recovers.
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

// loseZoneWithoutMajority loses a zone while two of three voters are down. The fleet must leave the zone only once they are back.
func (f *fleet) loseZoneWithoutMajority(ctx context.Context, part time.Duration) error {
	e := f.env
	e.Phase("a zone is lost while there is no majority", part)
	f.logEvent("two of three voters are killed, and the backends of zone b become unreachable")
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
	e.Phase("the majority is restored", part)
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

// overrideRecovery has an operator leave the zone, which then recovers. The zone must be used again only once the operator returns it to
// automatic control.
func (f *fleet) overrideRecovery(ctx context.Context, part time.Duration) error {
	e := f.env
	e.Phase("an operator's command against the automatic return", part)
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
