package config

import (
	"net/netip"
	"time"

	"sorrelrudder/internal/gateway"
	"sorrelrudder/internal/sitelink"
	"sorrelrudder/internal/spillover"
)

// initialStallTimeout applies until the round-trip time to the peer has been measured.
const initialStallTimeout = time.Second

// readSite reads the site of this process, and its peers at other sites.
func (f *File) readSite(r *reader) {
	root := f.root
	if !root.has("site") {
		if root.has("peers") {
			r.fail(root.nodeAt("peers"), "requires the table [site], which names this site")
		}
		return
	}
	cfg := &sitelink.Config{Pools: map[string]sitelink.Pool{}}
	s := root.table("site")
	cfg.Site = s.requiredText("name")
	if s.has("tls") {
		files := s.table("tls")
		cfg.TLS = &sitelink.TLS{
			CertFile: files.requiredText("certificate"),
			KeyFile:  files.requiredText("key"),
			CAFile:   files.requiredText("authorities"),
		}
		files.finish()
	}
	s.finish()
	seen := map[string]bool{cfg.Site: true}
	for _, p := range root.tables("peers") {
		peer := r.peer(p)
		switch {
		case seen[peer.Name] && peer.Name != "":
			r.fail(p.nodeAt("name"), "duplicate site %q", peer.Name)
		case cfg.TLS == nil && len(peer.SourceAddresses) == 0:
			r.fail(p.nodeAt("from"), "required key is missing: without [site.tls], a peer is identified by the addresses that it connects from")
		case cfg.TLS != nil && peer.Subject == "":
			r.fail(p.nodeAt("subject"), "required key is missing: with [site.tls], a peer is identified by the common name of its certificate")
		}
		seen[peer.Name] = true
		cfg.Peers = append(cfg.Peers, peer)
	}
	f.SiteLinks = cfg
}

func (r *reader) peer(s *section) sitelink.Peer {
	p := sitelink.Peer{
		Name:    s.requiredText("name"),
		Address: s.requiredText("address"),
		Subject: s.text("subject", ""),
	}
	if p.Address != "" {
		r.checkAddress(s.nodeAt("address"), p.Address, dialAddress)
	}
	for _, text := range s.texts("from") {
		address, err := netip.ParseAddr(text)
		if err != nil {
			r.fail(s.nodeAt("from"), "%q is not an IP address", text)
		}
		p.SourceAddresses = append(p.SourceAddresses, address.Unmap())
	}
	s.finish()
	return p
}

// readSpillover reads the settings for exchanging requests of a pool with other sites. Without the table spill, the pool exchanges none.
func (f *File) readSpillover(r *reader, s *section, p *gateway.Pool) {
	sharedDedupClasses := r.sharedDedupClasses
	r.sharedDedupClasses = nil
	if !s.has("spill") {
		return
	}
	if p.Dialect != nil {
		r.fail(s.nodeAt("spill"), "allowed only for pools with protocol = \"platform\": plain HTTP does not carry the data that must accompany a forwarded request")
		return
	}
	if f.SiteLinks == nil {
		r.fail(s.nodeAt("spill"), "requires the tables [site] and [[peers]]")
		return
	}
	t := s.table("spill")
	cfg := sitelink.Pool{Settings: p.Settings, Peer: t.text("to", ""), SharedDedupClasses: sharedDedupClasses}
	if cfg.Peer != "" {
		r.checkKnown(t.nodeAt("to"), "peer", cfg.Peer, f.peerNames())
	}
	cfg.Spillover = spillover.Config{
		Window:                 t.duration("window", 500*time.Millisecond, 10*time.Millisecond, time.Minute),
		StartRatio:             t.number("start", 0.02, 0, 1),
		StopRatio:              t.number("stop", 0.005, 0, 1),
		MaxForwardedRatio:      t.number("most_share", 1, 0, 1),
		HealthCheckInterval:    t.duration("probe_every", 100*time.Millisecond, time.Millisecond, time.Minute),
		MaxHealthCheckInterval: t.duration("most_probe_pause", 2*time.Second, time.Millisecond, time.Hour),
		HealthyThreshold:       int(t.integer("probes_to_open", 3, 1, 100)),
		StallTimeout:           initialStallTimeout,
	}
	if cfg.Spillover.StopRatio >= cfg.Spillover.StartRatio {
		r.fail(t.nodeAt("stop"), "%v is not less than start, which is %v", cfg.Spillover.StopRatio, cfg.Spillover.StartRatio)
	}
	cfg.Grant = spillover.GrantConfig{
		Window:           t.duration("grant_window", 200*time.Millisecond, 10*time.Millisecond, time.Minute),
		Initial:          int(t.integer("grant_first", 8, 0, maxCount)),
		Max:              int(t.integer("grant_most", 256, 0, maxCount)),
		MaxRejectedRatio: t.number("grant_short", 0.02, 0, 1),
	}
	t.finish()
	f.SiteLinks.Pools[p.Name] = cfg
}

// peerNames returns the names of the peers, in file order.
func (f *File) peerNames() []string {
	var names []string
	for _, p := range f.SiteLinks.Peers {
		names = append(names, p.Name)
	}
	return names
}
