package e2e

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "zone-grey", Duration: 48 * time.Second, Run: zoneGray,
		Summary: "a zone with a gray failure (errors or no response for one in eight requests, errors for half of them, or tenfold latency), used as each member decides alone, and left by an operator's command: the gain of leaving it",
	})
	Register(Scenario{
		Name: "zone-grey-auto", Duration: 48 * time.Second, Run: zoneGrayAuto,
		Summary: "the same gray failures, detected and left by the fleet itself, and used as each member decides alone, on the same seed",
	})
}

// grayFailure is a fault of a zone's backends at which some requests still succeed in time.
type grayFailure struct {
	name  string
	fault fake.Fault
}

var grayFailures = []grayFailure{
	{"errors", fake.Fault{Kind: fake.FaultError, Fraction: 0.125}},
	{"lost", fake.Fault{Kind: fake.FaultUnanswered, Fraction: 0.125}},
	{"slow", fake.Fault{Kind: fake.FaultDelay, Fraction: 1, Delay: 360 * time.Millisecond}},
	{"half", fake.Fault{Kind: fake.FaultError, Fraction: 0.5}},
}

// grayZoneRates are in operations per second at each member: about 0.3 and 0.6 of the capacity of all zones.
var grayZoneRates = []float64{10, 20}

// zoneGray measures the gain of leaving a zone with a gray failure. It runs the same load with the zone used as each member decides, and
// with the zone left by an operator's command.
func zoneGray(ctx context.Context, e *Env) error {
	recorder := fake.NewEffectRecorder()
	f, err := e.startZoneFleet(ctx, zoneFleetConfig{recorder: recorder})
	if err != nil {
		return err
	}
	length := e.Duration / time.Duration(2*len(grayFailures)+2)
	maxGain := 0.0
	for _, rate := range grayZoneRates {
		for _, failure := range grayFailures {
			used, err := f.playGrayFailure(ctx, failure, rate, false, length, recorder)
			if err != nil {
				return err
			}
			left, err := f.playGrayFailure(ctx, failure, rate, true, length, recorder)
			if err != nil {
				return err
			}
			e.Measure(fmt.Sprintf("%s_%.0f_used", failure.name, rate), used)
			e.Measure(fmt.Sprintf("%s_%.0f_left", failure.name, rate), left)
			maxGain = max(maxGain, left-used)
		}
	}
	e.Measure("most_gain", maxGain)
	f.drainAll()
	e.checkAnsweredOnce(recorder, "")
	return nil
}

// playGrayFailure returns the fraction served while a zone has a gray failure. With leave, the zone is left by an operator's command during
// the failure.
func (f *fleet) playGrayFailure(ctx context.Context, failure grayFailure, rate float64, leave bool, length time.Duration, recorder *fake.EffectRecorder) (served float64, err error) {
	zone := f.backendsIn("b")
	if leave {
		if err := f.leaveZoneByCommand(ctx); err != nil {
			return 0, err
		}
	}
	name := fmt.Sprintf("%s_%.0f_%v", failure.name, rate, leave)
	f.env.Phase(name, length/2)
	setFault(zone, failure.fault)
	results := f.runClientsFor(ctx, length/2, name, rate, recorder)
	setFault(zone, fake.Fault{})
	if leave {
		if err := f.returnZoneByCommand(ctx); err != nil {
			return 0, err
		}
	}
	f.runClientsFor(ctx, length/4, name+"calm", rate, recorder) // gives members time to drop their observations of the failure
	return results.ServedFraction(), nil
}

func (f *fleet) leaveZoneByCommand(ctx context.Context) error {
	at := time.Now()
	if err := f.zoneCommand("leave", "farm", "b"); err != nil {
		return err
	}
	return f.awaitZoneLeft(ctx, 10*time.Second, at)
}

func (f *fleet) returnZoneByCommand(ctx context.Context) error {
	at := time.Now()
	if err := f.zoneCommand("return", "farm", "b", "--step", strconv.Itoa(lastRecoveryStep), "--force"); err != nil {
		return err
	}
	if err := f.awaitZoneUsed(ctx, 10*time.Second, at); err != nil {
		return err
	}
	return f.zoneCommand("auto", "farm", "b")
}

// zoneGrayAuto compares a fleet that detects a gray failure of a zone and leaves the zone together, with members that each detect it alone.
func zoneGrayAuto(ctx context.Context, e *Env) error {
	gain := 0.0
	for _, failure := range grayFailures {
		alone, err := e.playGrayFailureAuto(ctx, failure, false)
		if err != nil {
			return err
		}
		together, err := e.playGrayFailureAuto(ctx, failure, true)
		if err != nil {
			return err
		}
		e.Measure(failure.name+"_served_alone", alone)
		e.Measure(failure.name+"_served", together)
		gain += together - alone
	}
	e.AtLeast("gain", gain/float64(len(grayFailures)), 0)
	return nil
}

// playGrayFailureAuto returns the fraction served while a zone has a gray failure. With auto, the fleet may leave the zone by itself.
func (e *Env) playGrayFailureAuto(ctx context.Context, failure grayFailure, auto bool) (served float64, err error) {
	const rate = 12 // about four requests per second from each member to each zone
	const calmTime = 5 * time.Second
	length := e.Duration / time.Duration(2*len(grayFailures))
	recorder := fake.NewEffectRecorder()
	f, err := e.startZoneFleet(ctx, zoneFleetConfig{recorder: recorder, alone: !auto, zoneKeys: "grey = true\n"})
	if err != nil {
		return 0, err
	}
	e.Phase(fmt.Sprintf("%s, zone shifts by the fleet: %v", failure.name, auto), length)
	f.runClientsFor(ctx, calmTime, failure.name+"calm", rate, recorder) // members learn the normal latency and error rate
	failed := time.Now()
	setFault(f.backendsIn("b"), failure.fault)
	results := f.runClientsFor(ctx, 2*length, failure.name, rate, recorder)
	if auto {
		f.measureGrayFailover(failure, failed)
	}
	f.drainAll()
	v := e.CheckRules(recorder)
	e.AtLeast(fmt.Sprintf("%s_%v_answered_once", failure.name, auto), float64(v.Answered)/float64(max(1, v.Attempts)), 1)
	e.AtMost(fmt.Sprintf("%s_%v_duplicates", failure.name, auto), float64(v.DuplicateEffects), 0)
	return results.ServedFraction(), nil
}

// measureGrayFailover measures how many members have left the failed zone, and when the last one did. No other zone may be left.
func (f *fleet) measureGrayFailover(failure grayFailure, failed time.Time) {
	e := f.env
	left := f.exclusionTimes(backendsPerZone, failed)
	e.Measure(failure.name+"_followed", float64(len(left)))
	if len(left) > 0 {
		e.Measure(failure.name+"_left_s", left[len(left)-1].Sub(failed).Seconds())
	}
	for _, member := range f.members {
		for _, line := range member.currentProgram().LogLines() {
			if zone := LogField(line, "zone"); LogField(line, "msg") == zoneShiftMessage && zone != "b" {
				e.Fail("zone %s is decided, and zone b fails", zone)
			}
		}
	}
}
