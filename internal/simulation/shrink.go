package simulation

// Shrink takes faults away from a run that broke as long as it still breaks, whatever then breaks first. It plays no more than most runs.
func Shrink(o Options, broken Outcome, most int) Outcome {
	best := broken
	for size := max(1, len(best.Faults)/2); size >= 1 && most > 0; {
		took := false
		for at := 0; at < len(best.Faults) && most > 0; {
			fewer := append(append([]Fault{}, best.Faults[:at]...), best.Faults[min(len(best.Faults), at+size):]...)
			most--
			if out := Run(Options{Seed: o.Seed, Bug: o.Bug, Faults: fewer, SharedState: o.SharedState, ZoneFailover: o.ZoneFailover}); out.Violation != "" {
				best, took = out, true
				continue
			}
			at += size
		}
		if !took || len(best.Faults) == 0 {
			size /= 2
		}
	}
	return best
}
