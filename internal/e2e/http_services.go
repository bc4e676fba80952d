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
		Name: "http-plain", Duration: 24 * time.Second, Run: httpServices,
		Summary: "the same faults at backends of the platform and at ordinary HTTP services, with ORCA load reports and without reports",
	})
}

const (
	httpBackends = 5
	httpRate     = 250 // operations per second: about 0.4 of the capacity while one backend is faulty
)

// httpFaults are the faults of the scenario. They are injected one after the other, each into a different backend.
var httpFaults = []struct {
	name  string
	fault fake.Fault
}{
	{"late responses", fake.Fault{Kind: fake.FaultDelay, Fraction: 1, Delay: 400 * time.Millisecond}},
	{"unanswered requests", fake.Fault{Kind: fake.FaultUnanswered, Fraction: 1}},
	{"malformed responses", fake.Fault{Kind: fake.FaultMalformed, Fraction: 1}},
	{"connections closed on requests", fake.Fault{Kind: fake.FaultClose, Fraction: 0.5}},
}

// httpPoolTOML returns a listener and a pool. The backends speak the platform's protocol or are ordinary HTTP services, whose classes are
// matched by path.
func httpPoolTOML(reporting fake.LoadReporting, backends []*fake.Backend) string {
	var b strings.Builder
	b.WriteString("[process]\ndescriptors = 512\n\n[[listeners]]\nname = \"farm\"\naddress = \"127.0.0.1:0\"\n\n[pools.farm]\n")
	classes := classesTOML("farm")
	if reporting != fake.ReportPlatform {
		load := "none"
		if reporting == fake.ReportORCA {
			load = "orca"
		}
		fmt.Fprintf(&b, "protocol = \"http\"\n[pools.farm.http]\ndeadline_from = [\"X-Timeout-Ms\"]\ncheck = \"/healthz\"\nload = %q\n", load)
		for _, c := range farmClasses {
			name := fmt.Sprintf("name = %q\n", c.Name)
			classes = strings.Replace(classes, name, name+fmt.Sprintf("match = [\"/%s/\"]\n", c.Name), 1)
		}
	}
	b.WriteString(serversTOML("farm", backends))
	b.WriteString(classes)
	return b.String()
}

// httpServices injects the same faults into backends of the platform and into ordinary HTTP services, with load reports and without.
func httpServices(ctx context.Context, e *Env) error {
	served := map[fake.LoadReporting]float64{}
	answered, attempts, duplicates := 0, 0, 0
	for _, kind := range []struct {
		name      string
		reporting fake.LoadReporting
	}{{"platform", fake.ReportPlatform}, {"orca", fake.ReportORCA}, {"silent", fake.ReportNone}} {
		results, verdict, err := e.playHTTPServices(ctx, kind.name, kind.reporting)
		if err != nil {
			return err
		}
		served[kind.reporting] = results.ServedFraction()
		answered, attempts, duplicates = answered+verdict.Answered, attempts+verdict.Attempts, duplicates+verdict.DuplicateEffects
		e.Measure(kind.name+"_served", results.ServedFraction())
		e.measureResults(kind.name+"_", results)
	}
	e.AtLeast("answered_once", float64(answered)/float64(max(1, attempts)), 1)
	e.AtMost("duplicates", float64(duplicates), 0)
	e.AtMost("retried_unsafely", float64(duplicates), 0)
	e.AtLeast("served", served[fake.ReportORCA], 0.9)
	e.AtMost("lost_with_orca", served[fake.ReportPlatform]-served[fake.ReportORCA], 0.02)
	e.Measure("lost_without_reports", served[fake.ReportPlatform]-served[fake.ReportNone])
	return nil
}

// playHTTPServices injects the faults into backends of one kind.
func (e *Env) playHTTPServices(ctx context.Context, name string, reporting fake.LoadReporting) (*fake.ClientResults, fake.Verdict, error) {
	recorder := fake.NewEffectRecorder()
	backends, err := e.startBackends(name, httpBackends, recorder, func(c *fake.BackendConfig) { c.LoadReporting = reporting })
	if err != nil {
		return nil, fake.Verdict{}, err
	}
	program, err := e.StartNamed(ctx, name, httpPoolTOML(reporting, backends), 1)
	if err != nil {
		return nil, fake.Verdict{}, err
	}
	length := e.Duration / 3
	e.Phase("backends of kind "+name, length)
	load, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	go injectHTTPFaults(load, backends, length)
	results := fake.RunClients(load, farmClients(name, program.Addr("farm"), httpRate, recorder, e.Seed))
	cancel()
	if err := program.Stop(); err != nil {
		e.Fail("%s: the program ended with %v", name, err)
	}
	return results, e.CheckRules(recorder), nil
}

// injectHTTPFaults injects the faults one after the other, each into a different backend. Before each fault there is a time without faults
// of the same length. Finally it closes the last backend.
func injectHTTPFaults(ctx context.Context, backends []*fake.Backend, length time.Duration) {
	step := length / time.Duration(2*len(httpFaults)+2)
	for i, f := range httpFaults {
		if !pause(ctx, step) {
			return
		}
		backends[i].SetFault(f.fault)
		if !pause(ctx, step) {
			return
		}
		backends[i].SetFault(fake.Fault{})
	}
	if pause(ctx, step) {
		backends[len(backends)-1].Close()
	}
}
