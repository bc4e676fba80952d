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
		Summary: "the same faults at ordinary HTTP services, with ORCA and without reports, as by the platform's protocol",
	})
}

const (
	httpBackends = 5
	httpRate     = 250 // operations a second: some 0.4 of what the backends can serve while one of them is faulty
)

// httpFaults strike one backend after the other.
var httpFaults = []struct {
	name  string
	fault fake.Fault
}{
	{"answers late", fake.Fault{Kind: fake.FaultDelay, Fraction: 1, Delay: 400 * time.Millisecond}},
	{"stands still", fake.Fault{Kind: fake.FaultUnanswered, Fraction: 1}},
	{"answers garbage", fake.Fault{Kind: fake.FaultMalformed, Fraction: 1}},
	{"closes as requests come", fake.Fault{Kind: fake.FaultClose, Fraction: 0.5}},
}

// httpPoolTOML is a listener and a pool of the platform's backends, or of ordinary HTTP services whose classes are told by path.
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

// httpServices plays the same faults at backends of the platform and at ordinary HTTP services, with load reports and without.
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

// playHTTPServices plays the faults at backends of one kind.
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
	e.Phase("services of the kind "+name, length)
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

// injectHTTPFaults injects one fault at a backend after the other, with as long without between them, and kills the last backend.
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
