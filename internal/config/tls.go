package config

import (
	"strings"

	"sorrelrudder/internal/gateway"
	"sorrelrudder/internal/tlsfiles"
)

// listenerTLS reads what a listener speaks beside HTTP/1.1 without TLS.
func (r *reader) listenerTLS(f *File, l *section) (t gateway.TLS, plain bool) {
	plain = l.boolean("h2c", false)
	if !l.has("tls") {
		l.get("tls")
		return t, plain
	}
	if plain {
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
		return t, plain
	}
	if len(r.errs) > 0 {
		return t, plain
	}
	cfg := CertificateConfig(t)
	if _, err := tlsfiles.Load(cfg, nil); err != nil {
		r.fail(s.node, "%v", err)
	}
	for _, key := range cfg.Exposed() {
		f.Warnings = append(f.Warnings, key+" is a key that others than its owner can read")
	}
	return t, plain
}

// CertificateConfig are the files of a listener's TLS.
func CertificateConfig(t gateway.TLS) tlsfiles.Config {
	c := tlsfiles.Config{Authorities: t.ClientCAFile, Needed: t.RequireClientCert, Protocols: []string{"http/1.1"}}
	if t.HTTP2 {
		c.Protocols = []string{"h2", "http/1.1"}
	}
	for line := range strings.SplitSeq(t.KeyPairs, "\n") {
		certificate, key, _ := strings.Cut(line, "\t")
		c.Pairs = append(c.Pairs, tlsfiles.Pair{Certificate: certificate, Key: key})
	}
	return c
}
