package fake

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/net/http2/hpack"
)

// CertificateAuthority issues certificates that are good for a day, as files of a folder.
type CertificateAuthority struct {
	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
	dir    string
	serial int64
}

// NewCertificateAuthority makes one, and writes ca.pem, who trusts it.
func NewCertificateAuthority(dir string) (*CertificateAuthority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "stand-in"}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(24 * time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	a := &CertificateAuthority{cert: cert, key: key, dir: dir, serial: 1}
	return a, a.writePEM("ca.pem", "CERTIFICATE", der)
}

// Path is one of the files that it has written.
func (a *CertificateAuthority) Path(name string) string { return filepath.Join(a.dir, name) }

// CertPool is who trusts it.
func (a *CertificateAuthority) CertPool() *x509.CertPool {
	p := x509.NewCertPool()
	p.AddCert(a.cert)
	return p
}

// Issue writes NAME.key and NAME.pem for a host, in this order, each whole at once: between the two they do not match.
func (a *CertificateAuthority) Issue(name, host string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	a.serial++
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: host}, DNSNames: []string{host}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(24 * time.Hour), ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return err
	}
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return err
	}
	if err := a.writePEM(name+".key", "EC PRIVATE KEY", raw); err != nil {
		return err
	}
	return a.writePEM(name+".pem", "CERTIFICATE", der)
}

func (a *CertificateAuthority) writePEM(name, kind string, der []byte) error {
	path := a.Path(name)
	if err := os.WriteFile(path+".new", pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// EncodeRequestHeaders are the fields of a request without a body as HTTP/2 writes them, for a connection on which nothing else was.
func EncodeRequestHeaders(method, host, path, id string) []byte {
	var b bytes.Buffer
	e := hpack.NewEncoder(&b)
	e.SetMaxDynamicTableSizeLimit(0)
	for _, f := range [][2]string{{":method", method}, {":scheme", "https"}, {":authority", host}, {":path", path}, {"x-request-id", id}} {
		e.WriteField(hpack.HeaderField{Name: f[0], Value: f[1], Sensitive: true})
	}
	return b.Bytes()
}
