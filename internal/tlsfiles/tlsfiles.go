// Package tlsfiles loads the certificates of a listener from files, and loads them again when the files change. Open connections keep
// theirs, and files that cannot be used leave the certificates loaded before in force. It does not know listeners or connections. No
// key appears in its errors and logs.
package tlsfiles

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"sync/atomic"
	"time"
)

// errNoCertificate says that a configuration has no pair.
var errNoCertificate = errors.New("no certificate")

// Pair names the PEM files of a certificate, with its chain, and of its key.
type Pair struct{ CertFile, KeyFile string }

// Config describes the TLS of a listener.
type Config struct {
	Pairs             []Pair   // at least one; the first is the default for names that none is for
	CAFile            string   // authorities of client certificates; "": no client certificates are requested
	RequireClientCert bool     // with CAFile: a client without a certificate is rejected
	Protocols         []string // for ALPN
}

// Store holds the TLS configuration that was loaded last.
type Store struct {
	cfg         Config
	log         *slog.Logger
	current     atomic.Pointer[tls.Config]
	fingerprint string // of the files when they were last loaded
}

// Load loads all files. log gets the results of later loads; it may be nil if there are none. The error names the file.
func Load(cfg Config, log *slog.Logger) (*Store, error) {
	s := &Store{cfg: cfg, log: log, fingerprint: cfg.fingerprint()}
	c, err := cfg.load()
	if err != nil {
		return nil, err
	}
	s.current.Store(c)
	return s, nil
}

// Config returns a configuration for a listener, which follows what is loaded later. It is safe for concurrent use.
func (s *Store) Config() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return s.current.Load(), nil },
	}
}

// Watch calls ReloadIfChanged at an interval until ctx ends.
func (s *Store) Watch(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.ReloadIfChanged()
		}
	}
}

// ReloadIfChanged loads the files again if they have changed, and reports whether the new ones are in force now. It is not safe for
// concurrent use, nor beside Watch.
func (s *Store) ReloadIfChanged() bool {
	fingerprint := s.cfg.fingerprint()
	if fingerprint == s.fingerprint {
		return false
	}
	s.fingerprint = fingerprint // also after an error: a half-written file changes again
	c, err := s.cfg.load()
	if err != nil {
		s.log.Error("the certificates have changed and cannot be used; those read before stay in force", "err", err)
		return false
	}
	s.current.Store(c)
	s.log.Info("certificates read again", "first", s.cfg.Pairs[0].CertFile)
	return true
}

// fingerprint returns a text that changes with the sizes and times of the files.
func (c *Config) fingerprint() string {
	text := ""
	for _, file := range c.files() {
		info, err := os.Stat(file)
		if err != nil {
			text += err.Error()
			continue
		}
		text += fmt.Sprintf("%s %d %d\n", file, info.Size(), info.ModTime().UnixNano())
	}
	return text
}

// files returns the names of all files.
func (c *Config) files() (names []string) {
	for _, p := range c.Pairs {
		names = append(names, p.CertFile, p.KeyFile)
	}
	if c.CAFile != "" {
		names = append(names, c.CAFile)
	}
	return names
}

// ExposedKeys returns the key files that others than their owner can access.
func (c *Config) ExposedKeys() (names []string) {
	for _, p := range c.Pairs {
		if info, err := os.Stat(p.KeyFile); err == nil && info.Mode().Perm()&0o077 != 0 {
			names = append(names, p.KeyFile)
		}
	}
	return names
}

// load loads the files.
func (c *Config) load() (*tls.Config, error) {
	if len(c.Pairs) == 0 {
		return nil, errNoCertificate
	}
	t := &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: c.Protocols}
	for _, p := range c.Pairs {
		pair, err := tls.LoadX509KeyPair(p.CertFile, p.KeyFile)
		if err != nil {
			return nil, fmt.Errorf("certificate %s with key %s: %w", p.CertFile, p.KeyFile, err)
		}
		t.Certificates = append(t.Certificates, pair)
	}
	if c.CAFile != "" {
		if err := c.loadAuthorities(t); err != nil {
			return nil, fmt.Errorf("authorities: %w", err)
		}
	}
	return t, nil
}

// loadAuthorities makes t verify client certificates.
func (c *Config) loadAuthorities(t *tls.Config) error {
	pem, err := os.ReadFile(c.CAFile)
	if err != nil {
		return err
	}
	t.ClientCAs = x509.NewCertPool()
	if !t.ClientCAs.AppendCertsFromPEM(pem) {
		return fmt.Errorf("%s holds no certificate", c.CAFile)
	}
	t.ClientAuth = tls.VerifyClientCertIfGiven
	if c.RequireClientCert {
		t.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return nil
}
