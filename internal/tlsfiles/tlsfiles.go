// Package tlsfiles has the certificates of a listener from files, by the names that they are for, and reads them again when the
// files change: connections that are open stay as they are, and what cannot be used leaves what was read before in force. It
// knows nothing of listeners or connections. A key never appears in what it says.
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

// Pair names the files of a certificate, with its chain, and its key.
type Pair struct{ CertFile, KeyFile string }

// Config is what a listener is to show and ask for.
type Config struct {
	Pairs             []Pair // the first is shown where none is for the name that a client asks for
	CAFile            string // file; empty: clients show no certificate
	RequireClientCert bool   // they must
	Protocols         []string
}

// Store is the certificates as they were read last.
type Store struct {
	cfg         Config
	log         *slog.Logger
	current     atomic.Pointer[tls.Config]
	fingerprint string // of the files
}

// Load reads all files.
func Load(cfg Config, log *slog.Logger) (*Store, error) {
	s := &Store{cfg: cfg, log: log, fingerprint: cfg.fingerprint()}
	c, err := cfg.load()
	if err != nil {
		return nil, err
	}
	s.current.Store(c)
	return s, nil
}

// Config is for a listener. What it shows changes with the files.
func (s *Store) Config() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return s.current.Load(), nil },
	}
}

// Watch looks at the files every so often until ctx ends.
func (s *Store) Watch(ctx context.Context, every time.Duration) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.ReloadIfChanged()
		}
	}
}

// ReloadIfChanged reads the files again if they have changed, and reports whether they are in force. It must not be called from two
// goroutines at once.
func (s *Store) ReloadIfChanged() bool {
	stamp := s.cfg.fingerprint()
	if stamp == s.fingerprint {
		return false
	}
	s.fingerprint = stamp // a file that is half written changes again
	c, err := s.cfg.load()
	if err != nil {
		s.log.Error("the certificates have changed and cannot be used; those read before stay in force", "err", err)
		return false
	}
	s.current.Store(c)
	s.log.Info("certificates read again", "first", s.cfg.Pairs[0].CertFile)
	return true
}

// fingerprint changes with the files.
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

func (c *Config) files() (all []string) {
	for _, p := range c.Pairs {
		all = append(all, p.CertFile, p.KeyFile)
	}
	if c.CAFile != "" {
		all = append(all, c.CAFile)
	}
	return all
}

// ExposedKeys are the key files that others than their owner can read.
func (c *Config) ExposedKeys() (all []string) {
	for _, p := range c.Pairs {
		if info, err := os.Stat(p.KeyFile); err == nil && info.Mode().Perm()&0o077 != 0 {
			all = append(all, p.KeyFile)
		}
	}
	return all
}

func (c *Config) load() (*tls.Config, error) {
	if len(c.Pairs) == 0 {
		return nil, errors.New("no certificate")
	}
	t := &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: c.Protocols}
	for _, p := range c.Pairs {
		pair, err := tls.LoadX509KeyPair(p.CertFile, p.KeyFile)
		if err != nil {
			return nil, fmt.Errorf("certificate %s with key %s: %w", p.CertFile, p.KeyFile, err)
		}
		t.Certificates = append(t.Certificates, pair)
	}
	if c.CAFile == "" {
		return t, nil
	}
	pem, err := os.ReadFile(c.CAFile)
	if err != nil {
		return nil, fmt.Errorf("authorities: %w", err)
	}
	t.ClientCAs = x509.NewCertPool()
	if !t.ClientCAs.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("authorities: %s holds no certificate", c.CAFile)
	}
	t.ClientAuth = tls.VerifyClientCertIfGiven
	if c.RequireClientCert {
		t.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return t, nil
}
