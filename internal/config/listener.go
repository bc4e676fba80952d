package config

import (
	"net"
	"net/netip"
	"strconv"
	"strings"

	"sorrelrudder/internal/gateway"
	"sorrelrudder/internal/tlsfiles"
)

// addressUse says what an address is for.
type addressUse int

const (
	// dialAddress is connected to: it has a host and a port.
	dialAddress addressUse = iota
	// listenAddress is listened on: the host may be empty, for all interfaces, and the port 0, for any.
	listenAddress
)

// readListeners reads the listeners.
func (f *File) readListeners(r *reader) {
	listeners := f.root.tables("listeners")
	if len(listeners) == 0 {
		r.fail(f.root.nodeAt("listeners"), "is missing: clients could not connect")
	}
	byName := map[string]*section{}
	for _, s := range listeners {
		l := f.readListener(r, s)
		if other := byName[l.Name]; other != nil && l.Name != "" {
			r.fail(s.nodeAt("name"), "is %q, as that of the listener in line %d", l.Name, other.node.line)
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
		r.fail(s.nodeAt("sites"), "is for peers, whose TLS [site.tls] says")
	}
	if l.InterSite && !f.root.has("site") {
		r.fail(s.nodeAt("sites"), "is for peers, and there is no [site]")
	}
	if l.Address != "" {
		r.checkAddress(s.nodeAt("address"), l.Address, listenAddress)
	}
	return l
}

// checkAddress checks a host and port. The host is an IP address, so that no name service is needed.
func (r *reader) checkAddress(n *node, text string, use addressUse) {
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		r.fail(n, "is %q, not an address and a port such as 127.0.0.1:8080", text)
		return
	}
	listen := use == listenAddress
	if _, err := netip.ParseAddr(host); err != nil && (!listen || host != "") {
		r.fail(n, "has the host %q, which is no IP address", host)
	}
	if p, err := strconv.ParseUint(port, 10, 16); err != nil || p == 0 && !listen {
		r.fail(n, "has the port %q, which is no number from 1 to 65535", port)
	}
}

// readListenerTLS reads what a listener speaks beside HTTP/1.1 without TLS: TLS, or HTTP/2 without TLS. The certificates are loaded
// once to check them, unless there are errors already.
func (f *File) readListenerTLS(r *reader, l *section) (t gateway.TLS, h2c bool) {
	h2c = l.boolean("h2c", false)
	if !l.has("tls") {
		l.get("tls")
		return t, h2c
	}
	if h2c {
		r.fail(l.nodeAt("h2c"), "is HTTP/2 without TLS, and the listener has TLS")
	}
	s := l.table("tls")
	t.HTTP2 = s.boolean("http2", true)
	t.ClientCAFile = s.text("authorities", "")
	t.RequireClientCert = s.choice("clients", "ask", "ask", "need") == "need"
	if t.RequireClientCert && t.ClientCAFile == "" {
		r.fail(s.nodeAt("clients"), "needs authorities: whose certificates would be right")
	}
	var pairs []string
	for _, c := range s.tables("certificates") {
		pairs = append(pairs, c.requiredText("certificate")+"\t"+c.requiredText("key"))
		c.finish()
	}
	s.finish()
	t.KeyPairs = strings.Join(pairs, "\n")
	if len(pairs) == 0 {
		r.fail(s.nodeAt("certificates"), "is missing: there would be nothing to show")
		return t, h2c
	}
	if len(r.errs) == 0 {
		f.checkCertificates(r, s, t)
	}
	return t, h2c
}

// checkCertificates loads the certificates of a listener, and warns of keys that others can read.
func (f *File) checkCertificates(r *reader, s *section, t gateway.TLS) {
	cfg := CertificateConfig(t)
	if _, err := tlsfiles.Load(cfg, nil); err != nil {
		r.fail(s.node, "%v", err)
	}
	for _, key := range cfg.ExposedKeys() {
		f.Warnings = append(f.Warnings, key+" is a key that others than its owner can read")
	}
}

// CertificateConfig returns the files of a listener's TLS.
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
