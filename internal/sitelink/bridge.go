// Package sitelink joins the process to its peers at other sites: it carries requests across that a pool's own servers do not
// serve, and takes in those of others. It is an extension of the gateway that only the product links. When work crosses, how
// much and of which class is decided by package spill, and whether an attempt is legal by the decision module, which sees
// the far site as the only member of a pool beside the others; this package carries that out.
package sitelink

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sorrelrudder/internal/downstream"
	"sorrelrudder/internal/gateway"
	"sorrelrudder/internal/settings"
	"sorrelrudder/internal/spillover"
)

// Config is what the operator says of this site and its peers.
type Config struct {
	Site  string // the name of this one
	Peers []Peer
	TLS   *TLS // nil: peers are known by the addresses that they come from
	Pools map[string]Pool
}

// Peer is the gateway of another site.
type Peer struct {
	Name            string       // of its site
	Address         string       // of its listener for other sites
	SourceAddresses []netip.Addr // that it connects from, without TLS
	Subject         string       // the common name of its certificate, with TLS
}

// zone is the zone of the far site as a member of a list. No server of this one is of it.
func (p *Peer) zone() string { return "site:" + p.Name }

// TLS are the files of the certificate that this site shows its peers, its key, and the authorities of theirs.
type TLS struct{ CertFile, KeyFile, CAFile string }

// Pool is what a pool has to do with other sites.
type Pool struct {
	Settings  settings.Settings
	Peer      string // the site that its requests may cross to; "": none
	Spillover spillover.Config
	Grant     spillover.GrantConfig
	// SharedDedupClasses are the keyed classes whose repeats the servers of both sites drop together.
	SharedDedupClasses []string
}

const (
	// idleCheckInterval is how often an open link that carries nothing is looked at, probeBusy how often one that does is.
	idleCheckInterval = 500 * time.Millisecond
	busyCheckInterval = 50 * time.Millisecond
	// baseStallTimeout is how long, beside two round trips, nothing may come back until a link that carries something counts as
	// stalled.
	baseStallTimeout = 200 * time.Millisecond
	// maxCheckTimeout bounds how long a probe may take.
	maxCheckTimeout = time.Second
)

// Extension is the extension of one process.
type Extension struct {
	cfg        Config
	log        *slog.Logger
	origin     time.Time
	serverTLS  *tls.Config // nil: no TLS
	clientTLS  *tls.Config
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	draining atomic.Bool

	links map[string]*poolLink
}

// New reads the certificates and returns the extension of a process. It connects to nothing yet.
func New(cfg Config, log *slog.Logger) (*Extension, error) {
	b := &Extension{cfg: cfg, log: log, origin: time.Now().Add(-time.Hour), links: map[string]*poolLink{}}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	if cfg.TLS != nil {
		cert, err := tls.LoadX509KeyPair(cfg.TLS.CertFile, cfg.TLS.KeyFile)
		if err != nil {
			return nil, fmt.Errorf("the site's certificate: %w", err)
		}
		text, err := os.ReadFile(cfg.TLS.CAFile)
		if err != nil {
			return nil, fmt.Errorf("the authorities of peers: %w", err)
		}
		all := x509.NewCertPool()
		if !all.AppendCertsFromPEM(text) {
			return nil, fmt.Errorf("the authorities of peers: %s holds no certificate", cfg.TLS.CAFile)
		}
		b.serverTLS = &tls.Config{
			MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}, ClientCAs: all, ClientAuth: tls.RequireAndVerifyClientCert,
			SessionTicketsDisabled: true, // what is sent unasked on an idle connection would have it taken for ended
		}
		b.clientTLS = &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}, RootCAs: all}
	}
	for name, p := range cfg.Pools {
		b.links[name] = newPoolLink(b, name, p)
	}
	return b, nil
}

// now is the clock of the pure modules.
func (b *Extension) now() time.Duration { return time.Since(b.origin) }

func (b *Extension) peer(name string) *Peer {
	i := slices.IndexFunc(b.cfg.Peers, func(p Peer) bool { return p.Name == name })
	if i < 0 {
		return nil
	}
	return &b.cfg.Peers[i]
}

// Start opens the links of g. It comes once g's pools have started.
func (b *Extension) Start(g *gateway.Gateway) error {
	for name, c := range b.links {
		if c.cfg.Peer == "" {
			continue
		}
		if err := c.start(g, b.peer(c.cfg.Peer)); err != nil {
			return fmt.Errorf("pool %q: %w", name, err)
		}
	}
	return nil
}

// Spillover is the method of gateway.Extension.
func (b *Extension) Spillover(pool string) gateway.Spillover {
	if c := b.links[pool]; c != nil {
		return c
	}
	return nil
}

// Handler is the method of gateway.Extension.
func (b *Extension) Handler(g *gateway.Gateway) downstream.Handler { return &handler{b, g} }

// PeerName is the method of gateway.Extension: the name of the peer at the other end, or "?".
func (b *Extension) PeerName(c net.Conn) string {
	if t, ok := c.(*tls.Conn); ok {
		chains := t.ConnectionState().VerifiedChains
		if len(chains) == 0 || len(chains[0]) == 0 {
			return "?"
		}
		subject := chains[0][0].Subject.CommonName
		for _, p := range b.cfg.Peers {
			if p.Subject == subject {
				return p.Name
			}
		}
		return "?"
	}
	from, err := netip.ParseAddrPort(c.RemoteAddr().String())
	if err != nil {
		return "?"
	}
	for _, p := range b.cfg.Peers {
		if slices.Contains(p.SourceAddresses, from.Addr().Unmap()) {
			return p.Name
		}
	}
	return "?"
}

// WrapListener is the method of gateway.Extension.
func (b *Extension) WrapListener(ln net.Listener) net.Listener {
	if b.serverTLS == nil {
		return ln
	}
	return tls.NewListener(ln, b.serverTLS)
}

// dial opens a connection to a peer.
func (b *Extension) dial(p *Peer) func(ctx context.Context, addr string) (net.Conn, error) {
	plain := net.Dialer{KeepAlive: -1}
	if b.clientTLS == nil {
		return func(ctx context.Context, addr string) (net.Conn, error) { return plain.DialContext(ctx, "tcp", addr) }
	}
	cfg := b.clientTLS.Clone()
	cfg.ServerName = p.Subject
	d := tls.Dialer{NetDialer: &plain, Config: cfg}
	return func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) }
}

// Drain is the method of gateway.Extension.
func (b *Extension) Drain() {
	b.draining.Store(true)
	for _, c := range b.links {
		c.drain()
	}
}

// Close is the method of gateway.Extension.
func (b *Extension) Close() {
	b.cancel()
	b.goroutines.Wait()
	for _, c := range b.links {
		c.close()
	}
}

// Validate returns what keeps cfg from being used.
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
