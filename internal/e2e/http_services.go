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

// httpBackends is how many backends each play has, and plainRate the operations a second of its clients: some 0.4 of what the backends
// can do while one of them is out of order.
const (
	httpBackends = 5
	httpRate     = 250
)

// httpFaults befall one backend after the other, each for an eighth of a play, with as long in good order between them.
var httpFaults = []struct {
	name  string
	fault fake.Fault
}{
	{"answers late", fake.Fault{Kind: fake.FaultDelay, Fraction: 1, Delay: 400 * time.Millisecond}},
	{"stands still", fake.Fault{Kind: fake.FaultUnanswered, Fraction: 1}},
	{"answers garbage", fake.Fault{Kind: fake.FaultMalformed, Fraction: 1}},
	{"closes as requests come", fake.Fault{Kind: fake.FaultClose, Fraction: 0.5}},
}

// plainPools is the pool of a play: by the platform's protocol, or by plain HTTP with the classes by rule.
func httpPoolTOML(reports fake.LoadReporting, backends []*fake.Backend) string {
	var b strings.Builder
	b.WriteString("[process]\ndescriptors = 512\n\n[[listeners]]\nname = \"farm\"\naddress = \"127.0.0.1:0\"\n\n[pools.farm]\n")
	classes := classesTOML("farm")
	if reports != fake.ReportPlatform {
		load := "none"
		if reports == fake.ReportORCA {
			load = "orca"
		}
		fmt.Fprintf(&b, "protocol = \"http\"\n[pools.farm.http]\ndeadline_from = [\"X-Timeout-Ms\"]\ncheck = \"/healthz\"\nload = %q\n", load)
		for _, c := range []fake.ClassLoad{deliveryOrder, meterBooking, allocationCheck} {
			name := fmt.Sprintf("name = %q\n", c.Name)
			classes = strings.Replace(classes, name, name+fmt.Sprintf("match = [\"/%s/\"]\n", c.Name), 1)
		}
	}
	b.WriteString(serversTOML("farm", backends))
	b.WriteString(classes)
	return b.String()
}

func httpServices(ctx context.Context, e *Env) error {
	served := map[fake.LoadReporting]float64{}
	answered, tries, doubled := 0, 0, 0
	for _, play := range []struct {
		name    string
		reports fake.LoadReporting
	}{{"platform", fake.ReportPlatform}, {"orca", fake.ReportORCA}, {"silent", fake.ReportNone}} {
		recorder := fake.NewEffectRecorder()
		backends, err := e.startBackends(play.name, httpBackends, recorder, func(c *fake.BackendConfig) { c.LoadReporting = play.reports })
		if err != nil {
			return err
		}
		p, err := e.StartNamed(ctx, play.name, httpPoolTOML(play.reports, backends), 1)
		if err != nil {
			return err
		}
		length := e.Duration / 3
		e.Phase("services of the kind "+play.name, length)
		load, cancel := context.WithTimeout(ctx, length)
		go func() {
			step := length / time.Duration(2*len(httpFaults)+2)
			for i, f := range httpFaults {
				if !pause(load, step) {
					return
				}
				backends[i].SetFault(f.fault)
				if !pause(load, step) {
					return
				}
				backends[i].SetFault(fake.Fault{})
			}
			if pause(load, step) {
				backends[httpBackends-1].Close()
			}
		}()
		clients := fake.RunClients(load, fake.ClientConfig{
			Name: play.name, Addr: p.Addr("farm"), Host: "farm.example.org", Rate: httpRate, MaxAttempts: 3, Backoff: 30 * time.Millisecond, HonorRetryAfter: true,
			Classes: []fake.ClassLoad{deliveryOrder, meterBooking, allocationCheck}, Recorder: recorder, Seed: e.Seed,
		})
		cancel()
		if err := p.Stop(); err != nil {
			e.Fail("%s: the program ended with %v", play.name, err)
		}
		v := e.CheckRules(recorder)
		served[play.reports] = clients.ServedFraction()
		answered, tries, doubled = answered+v.Answered, tries+v.Attempts, doubled+v.DuplicateEffects
		e.Measure(play.name+"_served", clients.ServedFraction())
		e.measureResults(play.name+"_", clients)
	}
	e.AtLeast("answered_once", float64(answered)/float64(max(1, tries)), 1)
	e.AtMost("duplicates", float64(doubled), 0)
	e.AtMost("retried_unsafely", float64(doubled), 0)
	e.AtLeast("served", served[fake.ReportORCA], 0.9)
	e.AtMost("lost_with_orca", served[fake.ReportPlatform]-served[fake.ReportORCA], 0.02)
	e.Measure("lost_without_reports", served[fake.ReportPlatform]-served[fake.ReportNone])
	return nil
}

// pause waits, and reports whether ctx goes on.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
