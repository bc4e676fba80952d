package pool

import (
	"testing"
)

// FuzzParseLoadReport guards against a panic and against figures that are none.
func FuzzParseLoadReport(f *testing.F) {
	for _, text := range []string{"TEXT inflight=7, queue=2, util=0.61", "queue=2", "queue=-1", "queue=NaN, inflight=1e300", "=,=", "TEXT "} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		l := parseLoadReport(text, []string{"queue", "inflight"})
		if l == nil {
			return
		}
		for _, v := range []float64{l.Queue, l.InFlight} {
			if !(v == -1 || v >= 0 && v <= maxLoadValue) {
				t.Fatalf("%q gives %+v", text, l)
			}
		}
	})
}
