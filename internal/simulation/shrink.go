package simulation

// Shrink reduces the faults of a run that has violated an invariant. It removes faults as long as the run still violates an invariant,
// which may be a different one. It runs at most maxRuns simulations, and returns the outcome with the fewest faults.
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

// withFaults returns the options with the given faults, without trace and history.
func (o Options) withFaults(faults []Fault) Options {
	return Options{Seed: o.Seed, Bug: o.Bug, Faults: faults, SharedState: o.SharedState, ZoneFailover: o.ZoneFailover}
}

// without returns a copy of the faults without size faults from index start on. The range may extend past the end.
func without(faults []Fault, start, size int) []Fault {
	rest := append([]Fault{}, faults[:start]...)
	return append(rest, faults[min(len(faults), start+size):]...)
}
