package sitelink

import (
	"errors"
	"fmt"
	"net/netip"

	"sorrelrudder/internal/settings"
	"sorrelrudder/internal/spillover"
)

// Config describes this site and its peers.
type Config struct {
	Site  string // the name of this site
	Peers []Peer
	TLS   *TLS            // nil: no TLS; peers are identified by their source addresses
	Pools map[string]Pool // by name
}

// Peer is the gateway of another site.
type Peer struct {
	Name            string       // of its site
	Address         string       // host:port of its listener for other sites
	SourceAddresses []netip.Addr // from which it connects; identify it without TLS
	Subject         string       // common name of its certificate; identifies it with TLS
}

// zone is the zone of the peer's endpoint. No endpoint of this site is in it.
func (p *Peer) zone() string { return "site:" + p.Name }

// TLS names PEM files: the certificate that this site presents to its peers, its key, and the authorities of the peers' certificates.
type TLS struct{ CertFile, KeyFile, CAFile string }

// Pool configures how one pool exchanges requests with other sites.
type Pool struct {
	Settings  settings.Settings
	Peer      string // the site to which rejected requests may be forwarded; "": none
	Spillover spillover.Config
	Grant     spillover.GrantConfig
	// SharedDedupClasses are the classes with idempotency keys whose repeats the servers of both sites drop together.
	SharedDedupClasses []string
}

// Validate returns all errors of cfg, joined; nil if there are none.
func (cfg *Config) Validate() error {
	var errs []error
	seen := map[string]bool{cfg.Site: true}
	for _, p := range cfg.Peers {
		if seen[p.Name] {
			errs = append(errs, fmt.Errorf("site %q is there twice", p.Name))
		}
		seen[p.Name] = true
		if cfg.TLS == nil && len(p.SourceAddresses) == 0 {
			errs = append(errs, fmt.Errorf("peer %q can be known neither by a certificate nor by an address", p.Name))
		}
		if cfg.TLS != nil && p.Subject == "" {
			errs = append(errs, fmt.Errorf("peer %q has no subject", p.Name))
		}
	}
	for name, p := range cfg.Pools {
		if p.Peer != "" && (!seen[p.Peer] || p.Peer == cfg.Site) {
			errs = append(errs, fmt.Errorf("pool %q spills to %q, which is no peer", name, p.Peer))
		}
	}
	return errors.Join(errs...)
}
