package sitelink

import (
	"bufio"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// certificateAuthority issues the certificates of a test and writes them to dir.
type certificateAuthority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	n    int64
}

func (a *certificateAuthority) make(name string, ca bool) (der []byte, key *ecdsa.PrivateKey) {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	a.n++
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(a.n), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name}, IsCA: ca, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	parent, signer := a.cert, a.key
	if parent == nil {
		parent, signer = tmpl, key
	}
	if der, err = x509.CreateCertificate(rand.Reader, tmpl, parent, &key.PublicKey, signer); err != nil {
		a.t.Fatal(err)
	}
	return der, key
}

func (a *certificateAuthority) write(name, kind string, der []byte) string {
	a.t.Helper()
	file := filepath.Join(a.dir, name)
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	return file
}

func newAuthority(t *testing.T) *certificateAuthority {
	t.Helper()
	a := &certificateAuthority{t: t, dir: t.TempDir()}
	der, key := a.make("authority", true)
	var err error
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	a.key = key
	a.write("ca.pem", "CERTIFICATE", der)
	return a
}

func (a *certificateAuthority) files(name string) *TLS {
	der, key := a.make(name, false)
	text, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	return &TLS{
		CertFile: a.write(name+".pem", "CERTIFICATE", der), KeyFile: a.write(name+".key", "EC PRIVATE KEY", text),
		CAFile: filepath.Join(a.dir, "ca.pem"),
	}
}

// TestMutualTLS guards the authentication of links with mutual TLS. Requests of a peer are served. A client with no certificate of the
// authority fails the handshake, and a client whose certificate has another name is rejected.
func TestMutualTLS(t *testing.T) {
	a := newAuthority(t)
	p := startPair(t, 0, [2]*TLS{a.files("near"), a.files("far")})
	p.untilServed(t, "order")
	p.untilServed(t, "book")
	p.checkRecorder(t)

	stranger, err := tls.LoadX509KeyPair(a.files("stranger").CertFile, filepath.Join(a.dir, "stranger.key"))
	if err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AddCert(a.cert)
	request := func(certs ...tls.Certificate) (int, error) {
		c, err := tls.Dial("tcp", p.far.addr("sites"), &tls.Config{RootCAs: roots, ServerName: "far", Certificates: certs})
		if err != nil {
			return 0, err
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(testTimeout))
		io.WriteString(c, "GET /hop HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return 0, err
		}
		return resp.StatusCode, nil
	}
	if status, err := request(stranger); err != nil || status != 403 {
		t.Errorf("certificate with another common name: status %d, error %v, want status 403", status, err)
	}
	if status, err := request(); err == nil {
		t.Errorf("no certificate: status %d, want an error of the handshake", status)
	}
}
