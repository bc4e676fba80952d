package e2e

import (
	"context"
	"fmt"
	"strings"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "replica-liar", Duration: 10 * time.Second, Run: replicaLiar,
		Summary: "one, then two of twelve members falsely report that all backends have failed: the effect on the requests served",
	})
}

const (
	falseReportProcesses = 12
	falseReportBackends  = 9
)

// allBackendsFailed returns the false report that all backends have failed.
func allBackendsFailed() string {
	var names []string
	for i := range falseReportBackends {
		names = append(names, fmt.Sprintf("farm/box-%d", i+1))
	}
	return strings.Join(names, ",")
}

// replicaLiar has none, one and two members falsely report that all backends have failed. The other members must ignore the report of a
// single member.
func replicaLiar(ctx context.Context, e *Env) error {
	served := map[int]float64{}
	recorder := fake.NewEffectRecorder()
	for falseReporters := range 3 {
		f, err := e.startFleet(ctx, fleetConfig{
			processes: falseReportProcesses, voters: 3, backends: falseReportBackends, sharedState: defaultSharedState, recorder: recorder, subsets: true,
			configureBackend: func(b *fake.BackendConfig) { b.ServiceTime = 15 * time.Millisecond },
			falseReports: func(i int) string {
				if i >= falseReportProcesses-falseReporters {
					return allBackendsFailed()
				}
				return ""
			},
		})
		if err != nil {
			return err
		}
		if err := newVersionObserver(f).converge(ctx, fmt.Sprintf("started_%d", falseReporters)); err != nil {
			return err
		}
		e.Phase(fmt.Sprintf("%d members report falsely", falseReporters), e.Duration/3)
		results := f.runClientsFor(ctx, e.Duration/3, fmt.Sprintf("l%d", falseReporters), 15, recorder)
		served[falseReporters] = results.ServedFraction()
		hinted := f.hintCount()
		e.Measure(fmt.Sprintf("hints_%d", falseReporters), float64(hinted))
		e.Measure(fmt.Sprintf("served_%d", falseReporters), results.ServedFraction())
		f.drainAll()
		if falseReporters == 1 && hinted > 0 {
			e.Fail("one liar is believed: %d hints", hinted)
		}
		if falseReporters == 2 && hinted == 0 {
			e.Fail("nobody was lied to: nothing was shown")
		}
	}
	e.checkAnsweredOnce(recorder, "")
	e.AtMost("lost_to_one_liar", served[0]-served[1], 0.02)
	e.AtMost("lost_to_two_liars", served[0]-served[2], 0.1)
	return nil
}
