package zonefailover

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestExcludedEndpoints checks for any size of a zone that each step has the endpoints of the one before, the first has one at
// least and the last all, and that the fraction is never above the step's by more than one endpoint.
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
				t.Fatal("an endpoint of another zone is excluded")
			}
			for name := range excluded {
				if !before[name] {
					t.Fatalf("step %d excludes %s, and the one before does not", step, name)
				}
			}
			used := size - len(excluded)
			switch {
			case step == 0 && used != 0, step > 0 && used == 0, step == FullStep && used != size:
				t.Fatalf("step %d of %d endpoints: %d in service", step, size, used)
			case float64(used) > rampFraction(step)*float64(size)+1:
				t.Fatalf("step %d of %d endpoints: %d in service, above its fraction", step, size, used)
			}
			before = excluded
		}
	})
}
