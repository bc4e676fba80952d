package e2e

import (
	"context"
	"fmt"
	"time"

	"sorrelrudder/internal/fake"
)

var grayFailures = []struct {
	name  string
	fault fake.Fault
}{
	{"errors", fake.Fault{Kind: fake.FaultError, Fraction: 0.125}},
	{"lost", fake.Fault{Kind: fake.FaultUnanswered, Fraction: 0.125}},
	{"slow", fake.Fault{Kind: fake.FaultDelay, Fraction: 1, Delay: 360 * time.Millisecond}},
	{"half", fake.Fault{Kind: fake.FaultError, Fraction: 0.5}},
}

func init() {
	Register(Scenario{
		Name: "zone-grey", Duration: 48 * time.Second, Run: zoneGray,
		Summary: "a zone that fails by half (slow by ten, one in eight answers an error, lost or late), used by each process as it sees fit, and left by order: what leaving it is worth",
	})
}

// zoneGray measures what it would be worth to leave a zone that fails by half: the same load on it as each process uses it, and with it left by an
// operator's order.
func zoneGray(ctx context.Context, e *Env) error {
	recorder := fake.NewEffectRecorder()
	f, err := e.startZoneFleet(ctx, recorder, true, 3)
	if err != nil {
		return err
	}
	zone := func(args ...string) error {
		out, err := f.runCommand(append([]string{"tier", "zone"}, append(args, f.members[0].addr, "--secret", f.secret)...)...)
		if err != nil {
			return fmt.Errorf("zone %v: %w: %s", args, err, out)
		}
		return nil
	}
	part := e.Duration / time.Duration(2*len(grayFailures)+2)
	gain := 0.0
	for _, load := range []float64{10, 20} { // some 0.3 and 0.6 of what all bear
		for _, k := range grayFailures {
			served := map[bool]float64{}
			for _, left := range []bool{false, true} {
				at := time.Now()
				if left {
					if err := zone("leave", "farm", "b"); err != nil {
						return err
					}
					if err := f.awaitCondition(ctx, 10*time.Second, "all have left the zone", func() bool { return len(f.exclusionTimes(3, at)) == len(f.members) }); err != nil {
						return err
					}
				}
				name := fmt.Sprintf("%s_%.0f_%v", k.name, load, left)
				e.Phase(name, part/2)
				for _, b := range f.backendsIn("b") {
					b.SetFault(k.fault)
				}
				run, cancel := context.WithTimeout(ctx, part/2)
				clients := f.runClients(run, name, load, recorder)
				cancel()
				served[left] = clients.ServedFraction()
				for _, b := range f.backendsIn("b") {
					b.SetFault(fake.Fault{})
				}
				if left {
					back := time.Now()
					if err := zone("return", "farm", "b", "--step", "4", "--force"); err != nil {
						return err
					}
					if err := f.awaitCondition(ctx, 10*time.Second, "all use the zone again", func() bool { return len(f.exclusionTimes(0, back)) == len(f.members) }); err != nil {
						return err
					}
					if err := zone("auto", "farm", "b"); err != nil {
						return err
					}
				}
				calm, cancel := context.WithTimeout(ctx, part/4) // what was learnt of it is forgotten, as far as it can be
				f.runClients(calm, name+"calm", load, recorder)
				cancel()
			}
			e.Measure(fmt.Sprintf("%s_%.0f_used", k.name, load), served[false])
			e.Measure(fmt.Sprintf("%s_%.0f_left", k.name, load), served[true])
			gain = max(gain, served[true]-served[false])
		}
	}
	e.Measure("most_gain", gain)
	f.drainAll()
	e.checkAnsweredOnce(recorder, "")
	return nil
}

func init() {
	Register(Scenario{
		Name: "zone-grey-auto", Duration: 48 * time.Second, Run: zoneGrayAuto,
		Summary: "the same kinds of failing by half, found and left by the fleet itself, and used by each process as it sees fit, on the same seed",
	})
}

// zoneGrayAuto has the fleet find out by itself which zone fails by half.
func zoneGrayAuto(ctx context.Context, e *Env) error {
	const load = 12 // some four requests a second at each zone, by each process
	gain := 0.0
	part := e.Duration / time.Duration(2*len(grayFailures))
	for _, k := range grayFailures {
		served := map[bool]float64{}
		for _, auto := range []bool{false, true} {
			recorder := fake.NewEffectRecorder()
			f, err := e.startZoneFleetWith(ctx, recorder, auto, "grey = true\n")
			if err != nil {
				return err
			}
			e.Phase(fmt.Sprintf("%s, by itself: %v", k.name, auto), part)
			calm, cancel := context.WithTimeout(ctx, 5*time.Second) // what is usual
			f.runClients(calm, k.name+"calm", load, recorder)
			cancel()
			at := time.Now()
			for _, b := range f.backendsIn("b") {
				b.SetFault(k.fault)
			}
			run, cancel := context.WithTimeout(ctx, 2*part)
			clients := f.runClients(run, k.name, load, recorder)
			cancel()
			served[auto] = clients.ServedFraction()
			if auto {
				left := f.exclusionTimes(3, at)
				e.Measure(k.name+"_followed", float64(len(left)))
				if len(left) > 0 {
					e.Measure(k.name+"_left_s", left[len(left)-1].Sub(at).Seconds())
				}
				for _, p := range f.members {
					for _, line := range p.program.LogLines() {
						if LogField(line, "msg") == "zone shift decided" && LogField(line, "zone") != "b" {
							e.Fail("zone %s is decided, and zone b fails", LogField(line, "zone"))
						}
					}
				}
			}
			f.drainAll()
			v := e.CheckRules(recorder)
			e.AtLeast(fmt.Sprintf("%s_%v_answered_once", k.name, auto), float64(v.Answered)/float64(max(1, v.Attempts)), 1)
			e.AtMost(fmt.Sprintf("%s_%v_duplicates", k.name, auto), float64(v.DuplicateEffects), 0)
		}
		e.Measure(k.name+"_served_alone", served[false])
		e.Measure(k.name+"_served", served[true])
		gain += served[true] - served[false]
	}
	e.AtLeast("gain", gain/float64(len(grayFailures)), 0)
	return nil
}
