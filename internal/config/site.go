package config

import (
	"net/netip"
	"time"

	"sorrelrudder/internal/gateway"
	"sorrelrudder/internal/sitelink"
	"sorrelrudder/internal/spillover"
)

// readSite reads who this site is, and its peers.
func (f *File) readSite(r *reader) {
	s := f.root
	if !s.has("site") {
		if s.has("peers") {
			r.fail(s.nodeAt("peers"), "a site with peers has a name: [site] is missing")
		}
		return
	}
	b := &sitelink.Config{Pools: map[string]sitelink.Pool{}}
	t := s.table("site")
	b.Site = t.requiredText("name")
	if t.has("tls") {
		files := t.table("tls")
		b.TLS = &sitelink.TLS{CertFile: files.requiredText("certificate"), KeyFile: files.requiredText("key"), CAFile: files.requiredText("authorities")}
		files.finish()
	}
	t.finish()
	seen := map[string]bool{b.Site: true}
	for _, p := range s.tables("peers") {
		peer := sitelink.Peer{Name: p.requiredText("name"), Address: p.requiredText("address"), Subject: p.text("subject", "")}
		if peer.Address != "" {
			r.checkAddress(p.nodeAt("address"), peer.Address, false)
		}
		for _, text := range p.texts("from") {
			a, err := netip.ParseAddr(text)
			if err != nil {
				r.fail(p.nodeAt("from"), "%q is no IP address", text)
			}
			peer.SourceAddresses = append(peer.SourceAddresses, a.Unmap())
		}
		p.finish()
		switch {
		case seen[peer.Name] && peer.Name != "":
			r.fail(p.nodeAt("name"), "site %q is there twice", peer.Name)
		case b.TLS == nil && len(peer.SourceAddresses) == 0:
			r.fail(p.nodeAt("from"), "is missing: without [site.tls] a peer is known by the addresses that it connects from")
		case b.TLS != nil && peer.Subject == "":
			r.fail(p.nodeAt("subject"), "is missing: with [site.tls] a peer is known by the common name of its certificate")
		}
		seen[peer.Name] = true
		b.Peers = append(b.Peers, peer)
	}
	f.SiteLinks = b
}

// readSpillover reads what a pool has to do with other sites, and ends the reading of its table.
func (f *File) readSpillover(r *reader, name string, s *section, p *gateway.Pool) {
	defer s.finish()
	reaches := r.sharedDedupClasses
	r.sharedDedupClasses = nil
	if !s.has("spill") {
		return
	}
	if p.Dialect != nil {
		r.fail(s.nodeAt("spill"), "is for pools that speak the platform's protocol: plain HTTP does not tell what crosses with a request")
		return
	}
	if f.SiteLinks == nil {
		r.fail(s.nodeAt("spill"), "needs a [site] and its peers")
		return
	}
	t := s.table("spill")
	b := sitelink.Pool{Settings: p.Settings, Peer: t.text("to", ""), SharedDedupClasses: reaches}
	if b.Peer != "" {
		var peers []string
		for _, p := range f.SiteLinks.Peers {
			peers = append(peers, p.Name)
		}
		r.checkKnown(t.nodeAt("to"), "peer", b.Peer, peers)
	}
	b.Spillover = spillover.Config{
		Window:     t.duration("window", 500*time.Millisecond, 10*time.Millisecond, time.Minute),
		StartRatio: t.number("start", 0.02, 0, 1), StopRatio: t.number("stop", 0.005, 0, 1), MaxForwardedRatio: t.number("most_share", 1, 0, 1),
		HealthCheckInterval:    t.duration("probe_every", 100*time.Millisecond, time.Millisecond, time.Minute),
		MaxHealthCheckInterval: t.duration("most_probe_pause", 2*time.Second, time.Millisecond, time.Hour), HealthyThreshold: int(t.integer("probes_to_open", 3, 1, 100)),
		StallTimeout: time.Second, // until a round trip is known
	}
	if b.Spillover.StopRatio >= b.Spillover.StartRatio {
		r.fail(t.nodeAt("stop"), "is %v, not below start, which is %v", b.Spillover.StopRatio, b.Spillover.StartRatio)
	}
	b.Grant = spillover.GrantConfig{
		Window:  t.duration("grant_window", 200*time.Millisecond, 10*time.Millisecond, time.Minute),
		Initial: int(t.integer("grant_first", 8, 0, maxCount)), Max: int(t.integer("grant_most", 256, 0, maxCount)),
		MaxRejectedRatio: t.number("grant_short", 0.02, 0, 1),
	}
	t.finish()
	f.SiteLinks.Pools[name] = b
}
