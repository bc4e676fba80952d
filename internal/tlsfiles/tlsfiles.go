// Package tlsfiles loads the certificates of a listener from files, and reloads them when the files change. Open connections keep their
// certificates. If changed files cannot be loaded, the previous certificates stay in force. The package does not depend on listeners or
// connections. Its errors and log lines never contain key material.
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

// errNoCertificate is returned for a configuration without a certificate and key pair.
var errNoCertificate = errors.New("no certificate is configured")

// Pair names the PEM files of a certificate, which includes its chain, and of its private key.
type Pair struct{ CertFile, KeyFile string }

// Config describes the TLS of a listener.
type Config struct {
	Pairs             []Pair   // at least one; the first is the default for server names without a matching certificate
	CAFile            string   // CA file for client certificates; "": client certificates are not requested
	RequireClientCert bool     // reject clients without a certificate; requires CAFile
	Protocols         []string // ALPN protocol names
}

// Store holds the TLS configuration that was loaded last. Config may be called concurrently with all other methods. Watch and
// ReloadIfChanged must not run concurrently with each other.
type Store struct {
	cfg         Config
	log         *slog.Logger
	current     atomic.Pointer[tls.Config]
	fingerprint string // fingerprint of the files at the last attempt to load them
}

// Load loads all files. The results of later loads are written to log, which may be nil if Watch and ReloadIfChanged are never called. The
// error names the file.
func Load(cfg Config, log *slog.Logger) (*Store, error) {
	s := &Store{cfg: cfg, log: log, fingerprint: cfg.fingerprint()}
	c, err := cfg.load()
	if err != nil {
		return nil, err
	}
	s.current.Store(c)
	return s, nil
}

// Config returns a TLS configuration for a listener. Handshakes with it always use the certificates that were loaded last. It is safe for
// concurrent use.
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

// ReloadIfChanged reloads the files if they have changed, and reports whether the new certificates are now in force. It must not be called
// concurrently, nor while Watch runs.
func (s *Store) ReloadIfChanged() bool {
	fingerprint := s.cfg.fingerprint()
	if fingerprint == s.fingerprint {
		return false
	}
	s.fingerprint = fingerprint // also if the load fails: a half-written file will change again
	c, err := s.cfg.load()
	if err != nil {
		s.log.Error("failed to load changed certificates; the previous certificates stay in force", "err", err)
		return false
	}
	s.current.Store(c)
	s.log.Info("certificates reloaded", "first", s.cfg.Pairs[0].CertFile)
	return true
}

// fingerprint returns a text that changes when the size or the modification time of a file changes, or when a file appears or disappears.
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

// ExposedKeys returns the key files whose mode grants a permission to users other than their owner.
func (c *Config) ExposedKeys() (names []string) {
	for _, p := range c.Pairs {
		if info, err := os.Stat(p.KeyFile); err == nil && info.Mode().Perm()&0o077 != 0 {
			names = append(names, p.KeyFile)
		}
	}
	return names
}

// load loads the files and returns the TLS configuration.
func (c *Config) load() (*tls.Config, error) {
	if len(c.Pairs) == 0 {
		return nil, errNoCertificate
	}
	t := &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: c.Protocols}
	for _, p := range c.Pairs {
		pair, err := tls.LoadX509KeyPair(p.CertFile, p.KeyFile)
		if err != nil {
			return nil, fmt.Errorf("load certificate %s with key %s: %w", p.CertFile, p.KeyFile, err)
		}
		t.Certificates = append(t.Certificates, pair)
	}
	if c.CAFile != "" {
		if err := c.loadAuthorities(t); err != nil {
			return nil, fmt.Errorf("load client certificate authorities: %w", err)
		}
	}
	return t, nil
}

// loadAuthorities makes t verify client certificates with the authorities of CAFile.
func (c *Config) loadAuthorities(t *tls.Config) error {
	pem, err := os.ReadFile(c.CAFile)
	if err != nil {
		return err
	}
	t.ClientCAs = x509.NewCertPool()
	if !t.ClientCAs.AppendCertsFromPEM(pem) {
		return fmt.Errorf("%s contains no PEM certificate", c.CAFile)
	}
	t.ClientAuth = tls.VerifyClientCertIfGiven
	if c.RequireClientCert {
		t.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return nil
}
