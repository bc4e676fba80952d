package pool

import (
	"testing"
)

// FuzzParseLoadReport guards against a panic and against values that are negative, too high or not a number.
func FuzzParseLoadReport(f *testing.F) {
	for _, text := range []string{"TEXT inflight=7, queue=2, util=0.61", "queue=2", "queue=-1", "queue=NaN, inflight=1e300", "=,=", "TEXT "} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		load := parseLoadReport(text, []string{"queue", "inflight"})
		if load == nil {
			return
		}
		for _, v := range []float64{load.Queue, load.InFlight} {
			if !(v == -1 || v >= 0 && v <= maxLoadValue) {
				t.Fatalf("%q is parsed as %+v, want each value -1 or from 0 to maxLoadValue", text, load)
			}
		}
	})
}
