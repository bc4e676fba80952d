package zonefailover

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestExcludedEndpoints checks for random zone sizes that each step keeps the endpoints of the previous step in service, that the
// first step has at least one endpoint and the last step all, and that a step exceeds its fraction by at most one endpoint.
func TestExcludedEndpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 40).Draw(t, "endpoints")
		var endpoints []Endpoint
		for i := range size {
			endpoints = append(endpoints, Endpoint{fmt.Sprint("s", i), "z"})
		}
		endpoints = append(endpoints, Endpoint{"other", "y"})
		before := map[string]bool{}
		for _, endpoint := range endpoints[:size] {
			before[endpoint.Name] = true
		}
		for step := 0; step <= FullStep; step++ {
			excluded := ExcludedEndpoints(endpoints, map[string]State{"z": {Step: step}})
			if excluded["other"] {
				t.Fatal("endpoint of another zone is excluded")
			}
			for name := range excluded {
				if !before[name] {
					t.Fatalf("step %d excludes %s, which the previous step did not exclude", step, name)
				}
			}
			used := size - len(excluded)
			switch {
			case step == 0 && used != 0, step > 0 && used == 0, step == FullStep && used != size:
				t.Fatalf("step %d of %d endpoints: %d in service", step, size, used)
			case float64(used) > rampFraction(step)*float64(size)+1:
				t.Fatalf("step %d of %d endpoints: %d in service, above the fraction of the step", step, size, used)
			}
			before = excluded
		}
	})
}
