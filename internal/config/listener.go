package config

import (
	"net"
	"net/netip"
	"strconv"
	"strings"

	"sorrelrudder/internal/gateway"
	"sorrelrudder/internal/tlsfiles"
)

// addressUse is the use of an address, which determines the values that are valid.
type addressUse int

const (
	// dialAddress is an address to connect to: its host must not be empty, and its port not 0.
	dialAddress addressUse = iota
	// listenAddress is an address to listen on: an empty host means all interfaces, and port 0 any free port.
	listenAddress
)

// readListeners reads the listeners.
func (f *File) readListeners(r *reader) {
	listeners := f.root.tables("listeners")
	if len(listeners) == 0 {
		r.fail(f.root.nodeAt("listeners"), "at least one listener is required for clients to connect to")
	}
	byName := map[string]*section{}
	for _, s := range listeners {
		l := f.readListener(r, s)
		if other := byName[l.Name]; other != nil && l.Name != "" {
			r.fail(s.nodeAt("name"), "%q is already the name of the listener in line %d", l.Name, other.node.line)
		}
		byName[l.Name] = s
		f.Gateway.Listeners = append(f.Gateway.Listeners, l)
	}
}

func (f *File) readListener(r *reader, s *section) gateway.Listener {
	l := gateway.Listener{
		Name:      s.requiredText("name"),
		Address:   s.requiredText("address"),
		InterSite: s.boolean("sites", false),
	}
	l.TLS, l.H2C = f.readListenerTLS(r, s)
	s.finish()
	if l.InterSite && (l.TLS != gateway.TLS{} || l.H2C) {
		r.fail(s.nodeAt("sites"), "must not be combined with tls or h2c: [site.tls] configures TLS for connections from peers")
	}
	if l.InterSite && !f.root.has("site") {
		r.fail(s.nodeAt("sites"), "requires the table [site]: the listener is for connections from peers")
	}
	if l.Address != "" {
		r.checkAddress(s.nodeAt("address"), l.Address, listenAddress)
	}
	return l
}

// checkAddress checks an address of the form host:port. The host must be an IP address, so that no name resolution is needed.
func (r *reader) checkAddress(n *node, text string, use addressUse) {
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		r.fail(n, "invalid address %q; expected an IP address and a port, such as 127.0.0.1:8080", text)
		return
	}
	listen := use == listenAddress
	if _, err := netip.ParseAddr(host); err != nil && (!listen || host != "") {
		r.fail(n, "host %q is not an IP address", host)
	}
	if p, err := strconv.ParseUint(port, 10, 16); err != nil || p == 0 && !listen {
		r.fail(n, "port %q is not a number from 1 to 65535", port)
	}
}

// readListenerTLS reads the TLS settings of a listener, and whether it accepts HTTP/2 without TLS (h2c) beside HTTP/1.1. It loads the
// certificates once to check them, unless the file already has errors.
func (f *File) readListenerTLS(r *reader, l *section) (t gateway.TLS, h2c bool) {
	h2c = l.boolean("h2c", false)
	if !l.has("tls") {
		l.get("tls")
		return t, h2c
	}
	if h2c {
		r.fail(l.nodeAt("h2c"), "must not be combined with tls: h2c is HTTP/2 without TLS")
	}
	s := l.table("tls")
	t.HTTP2 = s.boolean("http2", true)
	t.ClientCAFile = s.text("authorities", "")
	t.RequireClientCert = s.choice("clients", "ask", "ask", "need") == "need"
	if t.RequireClientCert && t.ClientCAFile == "" {
		r.fail(s.nodeAt("clients"), "requires the key authorities: client certificates are verified against its CA certificates")
	}
	var pairs []string
	for _, c := range s.tables("certificates") {
		pairs = append(pairs, c.requiredText("certificate")+"\t"+c.requiredText("key"))
		c.finish()
	}
	s.finish()
	t.KeyPairs = strings.Join(pairs, "\n")
	if len(pairs) == 0 {
		r.fail(s.nodeAt("certificates"), "at least one certificate is required: the listener presents it to clients")
		return t, h2c
	}
	if len(r.errs) == 0 {
		f.checkCertificates(r, s, t)
	}
	return t, h2c
}

// checkCertificates loads the certificates of a listener, and adds a warning for each private key that users other than its owner can
// access.
func (f *File) checkCertificates(r *reader, s *section, t gateway.TLS) {
	cfg := CertificateConfig(t)
	if _, err := tlsfiles.Load(cfg, nil); err != nil {
		r.fail(s.node, "%v", err)
	}
	for _, key := range cfg.ExposedKeys() {
		f.Warnings = append(f.Warnings, key+": users other than the owner can access this private key file")
	}
}

// CertificateConfig returns the certificate files and the ALPN protocols of a listener's TLS.
func CertificateConfig(t gateway.TLS) tlsfiles.Config {
	c := tlsfiles.Config{CAFile: t.ClientCAFile, RequireClientCert: t.RequireClientCert, Protocols: []string{"http/1.1"}}
	if t.HTTP2 {
		c.Protocols = []string{"h2", "http/1.1"}
	}
	for line := range strings.SplitSeq(t.KeyPairs, "\n") {
		certificate, key, _ := strings.Cut(line, "\t")
		c.Pairs = append(c.Pairs, tlsfiles.Pair{CertFile: certificate, KeyFile: key})
	}
	return c
}
