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
	Site  string // name of this site
	Peers []Peer
	TLS   *TLS            // nil: no TLS; peers are identified by their source addresses
	Pools map[string]Pool // by name
}

// Peer is the gateway of another site.
type Peer struct {
	Name            string       // name of the peer's site
	Address         string       // host:port of the peer's inter-site listener
	SourceAddresses []netip.Addr // addresses that the peer connects from; identify the peer without TLS
	Subject         string       // common name of the peer's certificate; identifies the peer with TLS
}

// zone returns the zone of the peer's endpoint. No endpoint of this site is in that zone.
func (p *Peer) zone() string { return "site:" + p.Name }

// TLS holds the paths of PEM files: the certificate that this site presents to its peers, the private key of that certificate, and the
// CA certificates that verify the certificates of the peers.
type TLS struct{ CertFile, KeyFile, CAFile string }

// Pool configures how one pool exchanges requests with other sites.
type Pool struct {
	Settings  settings.Settings
	Peer      string // site to which rejected requests may be forwarded; "": none
	Spillover spillover.Config
	Grant     spillover.GrantConfig
	// SharedDedupClasses are the classes with idempotency keys whose requests the servers of both sites deduplicate together.
	SharedDedupClasses []string
}

// Validate returns all errors of cfg, joined, or nil if cfg is valid.
func (cfg *Config) Validate() error {
	var errs []error
	seen := map[string]bool{cfg.Site: true}
	for _, p := range cfg.Peers {
		if seen[p.Name] {
			errs = append(errs, fmt.Errorf("duplicate site %q", p.Name))
		}
		seen[p.Name] = true
		if cfg.TLS == nil && len(p.SourceAddresses) == 0 {
			errs = append(errs, fmt.Errorf("peer %q cannot be identified: without TLS it needs at least one source address", p.Name))
		}
		if cfg.TLS != nil && p.Subject == "" {
			errs = append(errs, fmt.Errorf("peer %q has no subject: with TLS it is identified by the common name of its certificate", p.Name))
		}
	}
	for name, p := range cfg.Pools {
		if p.Peer != "" && (!seen[p.Peer] || p.Peer == cfg.Site) {
			errs = append(errs, fmt.Errorf("pool %q forwards requests to %q, which is not a configured peer", name, p.Peer))
		}
	}
	return errors.Join(errs...)
}
