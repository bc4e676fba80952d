package e2e

import (
	"context"
	"fmt"
	"strings"
	"time"

	"sorrelrudder/internal/fake"
)

const (
	siteDelay       = 8 * time.Millisecond  // of the link, one way
	siteServiceTime = 12 * time.Millisecond // default of a backend
	siteBackends    = 6                     // of each site
	siteRate        = 300                   // operations per second of a site's clients: about 0.6 of the capacity of its backends
)

// twoSites are two programs, each with backends, a discovery server and a link to the other site. The arrays are indexed by site.
type twoSites struct {
	recorder    *fake.EffectRecorder
	names       [2]string
	backends    [2][]*fake.Backend
	discoveries [2]*fake.Discovery
	proxies     [2]*fake.Proxy // link from the site to the other
	programs    [2]*Program
}

// siteTOML returns the configuration of a site. peerListener is the address on which the site listens for its peer, and peerAddress the
// address at which it reaches the peer. Without a peerAddress the site has no peer.
func siteTOML(name, peerListener, discovery, peer, peerAddress string) string {
	classes := strings.ReplaceAll(classesTOML("farm"), "repeats_dropped_for", "repeats_dropped_at_both_sites = true\nrepeats_dropped_for")
	to := fmt.Sprintf("[pools.farm.spill]\nto = %q\n", peer)
	if peerAddress == "" {
		return fmt.Sprintf("[[listeners]]\nname = \"farm\"\naddress = \"127.0.0.1:0\"\n\n[pools.farm]\ndiscovery = %q\n%s", discovery, classes)
	}
	return fmt.Sprintf(`[site]
name = %q

[[peers]]
name = %q
address = %q
from = ["127.0.0.1"]

[[listeners]]
name = "farm"
address = "127.0.0.1:0"

[[listeners]]
name = "sites"
address = %q
sites = true

[pools.farm]
discovery = %q
zone = %q
%s
%s`, name, peer, peerAddress, peerListener, discovery, name, to, classes)
}

// startSites starts two sites. They are peers of each other if gateway is set; otherwise they are independent.
func startSites(ctx context.Context, e *Env, gateway bool) (*twoSites, error) {
	return startSitesOf(ctx, e, gateway, siteServiceTime)
}

// startSitesOf is like startSites, with another service time of the backends.
func startSitesOf(ctx context.Context, e *Env, gateway bool, serviceTime time.Duration) (*twoSites, error) {
	t := &twoSites{recorder: fake.NewEffectRecorder(), names: [2]string{"clare-pump", "giru-office"}}
	if err := t.startBackends(e, serviceTime); err != nil {
		return nil, err
	}
	listeners, err := t.startProxies(e)
	if err != nil {
		return nil, err
	}
	if err := t.startPrograms(ctx, e, listeners, gateway); err != nil {
		return nil, err
	}
	if !gateway {
		return t, nil
	}
	return t, t.awaitLinks(ctx)
}

// startBackends starts the backends and discovery servers of both sites. All backends share a deduplicator.
func (t *twoSites) startBackends(e *Env, serviceTime time.Duration) error {
	deduplicator := fake.NewDeduplicator(time.Minute)
	for i, name := range t.names {
		var err error
		t.backends[i], err = e.startBackends(name, siteBackends, t.recorder, func(c *fake.BackendConfig) {
			c.Zone, c.Deduplicator, c.Cores, c.ServiceTime = name, deduplicator, 1, serviceTime
			c.Seed += uint64(i) << 32
		})
		if err != nil {
			return err
		}
		if t.discoveries[i], err = e.startDiscovery(t.recorder, t.backends[i]); err != nil {
			return err
		}
	}
	return nil
}

// startProxies starts the links between the sites. It returns the addresses on which the sites must listen for each other.
func (t *twoSites) startProxies(e *Env) (listeners [2]string, err error) {
	for i := range t.names {
		if listeners[i], err = freeAddressAt("127.0.0.1"); err != nil {
			return listeners, err
		}
	}
	for i := range t.names {
		if t.proxies[i], err = fake.StartProxy(listeners[1-i]); err != nil {
			return listeners, err
		}
		e.Defer(t.proxies[i].Close)
		t.proxies[i].SetDelay(siteDelay)
	}
	return listeners, nil
}

func (t *twoSites) startPrograms(ctx context.Context, e *Env, listeners [2]string, gateway bool) (err error) {
	for i, name := range t.names {
		peerAddress, listenerCount := "", 1
		if gateway {
			peerAddress, listenerCount = t.proxies[i].Addr(), 2
		}
		text := siteTOML(name, listeners[i], t.discoveries[i].Addr(), t.names[1-i], peerAddress)
		if t.programs[i], err = e.StartNamed(ctx, name, text, listenerCount); err != nil {
			return err
		}
	}
	return nil
}

// awaitLinks waits until each site has an open link to the other.
func (t *twoSites) awaitLinks(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, program := range t.programs {
		if _, err := program.AwaitLog(ctx, "to=open", 1); err != nil {
			return fmt.Errorf("waiting for a site link to open: %w\n%s", err, program.LogTail(20))
		}
	}
	return nil
}

// runClients sends requests to both sites until ctx ends, and returns the results by site. The rates are in operations per second.
func (t *twoSites) runClients(ctx context.Context, e *Env, phase string, rates [2]float64, classes ...fake.ClassLoad) [2]*fake.ClientResults {
	var configs []fake.ClientConfig
	for i, name := range t.names {
		cfg := farmClients(phase+"-"+name, t.programs[i].Addr("farm"), rates[i], t.recorder, e.Seed+uint64(i)<<8)
		cfg.Classes = classes
		configs = append(configs, cfg)
	}
	return [2]*fake.ClientResults(runAll(ctx, configs))
}

// drainFraction drains a fraction of the backends of the first site, at least one unless the fraction is 0. With restore it ends the
// draining of that fraction.
func (t *twoSites) drainFraction(fraction float64, restore bool) {
	const site = 0
	n := int(fraction*siteBackends + 0.5)
	if fraction > 0 && n == 0 {
		n = 1
	}
	for _, backend := range t.backends[site][:n] {
		backend.Drain(!restore)
	}
	t.discoveries[site].SetEndpoints(endpoints(t.backends[site])...)
}

// drainAll shuts both programs down gracefully. An exit error is a violation.
func (t *twoSites) drainAll(e *Env) {
	for _, program := range t.programs {
		if err := program.Stop(); err != nil {
			e.Fail("a program ended with %v", err)
		}
	}
}

// finish shuts the programs down, checks the rules and measures the requests forwarded between the sites. prefix is that of the measures'
// names.
func (t *twoSites) finish(e *Env, prefix string) {
	t.drainAll(e)
	v := e.CheckRules(t.recorder)
	e.Measure(prefix+"answered_once", float64(v.Answered)/float64(max(1, v.Attempts)))
	e.AtMost(prefix+"duplicates", float64(v.DuplicateEffects), 0)
	e.AtMost(prefix+"amplification", float64(v.Arrivals)/float64(max(1, v.Operations)), 3)
	crossed := 0
	for i, backends := range t.backends {
		crossed += t.recorder.ArrivalsAt(backendNames(backends), t.names[1-i])
	}
	e.Measure(prefix+"crossed_share", float64(crossed)/float64(max(1, v.Operations)))
}

// backendNames returns the set of the names of backends.
func backendNames(backends []*fake.Backend) map[string]bool {
	names := map[string]bool{}
	for _, backend := range backends {
		names[backend.Name()] = true
	}
	return names
}
