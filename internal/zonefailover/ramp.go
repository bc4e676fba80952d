package zonefailover

import (
	"cmp"
	"slices"
)

// FullStep is the step of the recovery ramp at which a zone is fully in service.
const FullStep = 4

// recoveryRamp is the fraction of a zone's endpoints that is in service, by step.
var recoveryRamp = []float64{0, 0.1, 0.25, 0.5, 1}

// rampFraction returns the fraction of a zone's endpoints that is in service at a step, from 0 to 1.
func rampFraction(step int) float64 { return recoveryRamp[min(max(step, 0), FullStep)] }

// inService reports whether the endpoint with the given rank, counted from 0, is in service at a step. Each step includes the
// endpoints of the previous step. Each step above 0 has at least one endpoint in service.
func inService(rank, zoneSize, step int) bool {
	if step >= FullStep || step > 0 && rank == 0 {
		return true
	}
	return float64(rank) < rampFraction(step)*float64(zoneSize)
}

// ExcludedEndpoints returns the names of the endpoints that the states of their zones take out of service. The result depends
// only on the arguments, so that all processes exclude the same endpoints.
func ExcludedEndpoints(endpoints []Endpoint, states map[string]State) map[string]bool {
	excluded := map[string]bool{}
	for zone, state := range states {
		if state.Step >= FullStep {
			continue
		}
		ranked := rankedNames(endpoints, zone)
		for rank, name := range ranked {
			if !inService(rank, len(ranked), state.Step) {
				excluded[name] = true
			}
		}
	}
	return excluded
}

// rankedNames returns the names of a zone's endpoints in the order in which they return to service.
func rankedNames(endpoints []Endpoint, zone string) []string {
	var names []string
	for _, endpoint := range endpoints {
		if endpoint.Zone == zone {
			names = append(names, endpoint.Name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(fnv1a(a), fnv1a(b)), cmp.Compare(a, b))
	})
	return names
}

// fnv1a returns the 64-bit FNV-1a hash of s.
func fnv1a(s string) uint64 {
	const (
		offsetBasis = 14695981039346656037
		prime       = 1099511628211
	)
	hash := uint64(offsetBasis)
	for i := range len(s) {
		hash = (hash ^ uint64(s[i])) * prime
	}
	return hash
}
