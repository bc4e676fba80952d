package sitelink

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"net/netip"
	"os"
	"slices"
)

// unknownPeer stands for the name of a client that is not a peer of this site.
const unknownPeer = "?"

// loadTLS loads the certificates for connections from and to peers.
func (e *Extension) loadTLS(files *TLS) error {
	cert, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
	if err != nil {
		return fmt.Errorf("load certificate of this site: %w", err)
	}
	text, err := os.ReadFile(files.CAFile)
	if err != nil {
		return fmt.Errorf("read CA certificates of peers: %w", err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(text) {
		return fmt.Errorf("read CA certificates of peers: %s contains no PEM certificate", files.CAFile)
	}
	e.serverTLS = &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		ClientCAs:    authorities,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		// A session ticket is unsolicited data on an idle connection, so the peer would treat the connection as closed.
		SessionTicketsDisabled: true,
	}
	e.clientTLS = &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}, RootCAs: authorities}
	return nil
}

// peer returns the peer with the given name, or nil.
func (e *Extension) peer(name string) *Peer {
	return e.findPeer(func(p *Peer) bool { return p.Name == name })
}

// findPeer returns the first peer that matches, or nil.
func (e *Extension) findPeer(matches func(*Peer) bool) *Peer {
	for i := range e.cfg.Peers {
		if p := &e.cfg.Peers[i]; matches(p) {
			return p
		}
	}
	return nil
}

// PeerName implements gateway.Extension. It returns "?" if the connection is not from a peer.
func (e *Extension) PeerName(c net.Conn) string {
	var peer *Peer
	if t, ok := c.(*tls.Conn); ok {
		peer = e.peerOfCertificate(t.ConnectionState().VerifiedChains)
	} else {
		peer = e.peerOfAddress(c.RemoteAddr())
	}
	if peer == nil {
		return unknownPeer
	}
	return peer.Name
}

func (e *Extension) peerOfCertificate(chains [][]*x509.Certificate) *Peer {
	if len(chains) == 0 || len(chains[0]) == 0 {
		return nil
	}
	subject := chains[0][0].Subject.CommonName
	return e.findPeer(func(p *Peer) bool { return p.Subject == subject })
}

func (e *Extension) peerOfAddress(remote net.Addr) *Peer {
	source, err := netip.ParseAddrPort(remote.String())
	if err != nil {
		return nil
	}
	address := source.Addr().Unmap()
	return e.findPeer(func(p *Peer) bool { return slices.Contains(p.SourceAddresses, address) })
}

// WrapListener implements gateway.Extension.
func (e *Extension) WrapListener(ln net.Listener) net.Listener {
	if e.serverTLS == nil {
		return ln
	}
	return tls.NewListener(ln, e.serverTLS)
}

// dialFunc opens a connection to an address of the form host:port.
type dialFunc func(ctx context.Context, address string) (net.Conn, error)

// dialer returns a function that connects to p, with TLS if the site has certificates.
func (e *Extension) dialer(p *Peer) dialFunc {
	tcp := net.Dialer{KeepAlive: -1}
	if e.clientTLS == nil {
		return func(ctx context.Context, address string) (net.Conn, error) {
			return tcp.DialContext(ctx, "tcp", address)
		}
	}
	cfg := e.clientTLS.Clone()
	cfg.ServerName = p.Subject
	d := tls.Dialer{NetDialer: &tcp, Config: cfg}
	return func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
}
