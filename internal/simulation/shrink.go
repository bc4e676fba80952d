package simulation

// Shrink removes faults from a run that has violated a rule, as long as the run still violates one, which may be another. It plays at most
// maxRuns runs, and returns the outcome with the fewest faults.
func Shrink(o Options, violated Outcome, maxRuns int) Outcome {
	best := violated
	for size := max(1, len(best.Faults)/2); size >= 1 && maxRuns > 0; {
		removed := false
		for start := 0; start < len(best.Faults) && maxRuns > 0; {
			maxRuns--
			outcome := Run(o.withFaults(without(best.Faults, start, size)))
			if outcome.Violation != "" {
				best, removed = outcome, true
				continue
			}
			start += size
		}
		if !removed || len(best.Faults) == 0 {
			size /= 2
		}
	}
	return best
}

// withFaults returns the options of a run with these faults, and without trace and history.
func (o Options) withFaults(faults []Fault) Options {
	return Options{Seed: o.Seed, Bug: o.Bug, Faults: faults, SharedState: o.SharedState, ZoneFailover: o.ZoneFailover}
}

// without returns a copy of the faults without those of a range, which may exceed them.
func without(faults []Fault, start, size int) []Fault {
	rest := append([]Fault{}, faults[:start]...)
	return append(rest, faults[min(len(faults), start+size):]...)
}
