package fake

import (
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
)

const (
	certificateBackdate = time.Hour
	certificateValidity = 24 * time.Hour
	certificateFileMode = 0o600
	caCertificateFile   = "ca.pem"
	pemCertificate      = "CERTIFICATE"
	pemPrivateKey       = "EC PRIVATE KEY"
)

// CertificateAuthority issues certificates that are valid for a day and writes them as files to a directory. It is not safe for
// concurrent use.
type CertificateAuthority struct {
	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
	dir    string
	serial int64 // of the last certificate issued
}

// NewCertificateAuthority creates a certificate authority and writes its own certificate to ca.pem in dir.
func NewCertificateAuthority(dir string) (*CertificateAuthority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	a := &CertificateAuthority{key: key, dir: dir}
	template := a.nextTemplate("stand-in")
	template.IsCA, template.BasicConstraintsValid, template.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		return nil, err
	}
	return a, a.writePEM(caCertificateFile, pemCertificate, der)
}

// nextTemplate returns the fields that all certificates share, with the next serial number.
func (a *CertificateAuthority) nextTemplate(commonName string) *x509.Certificate {
	a.serial++
	return &x509.Certificate{
		SerialNumber: big.NewInt(a.serial),
		Subject:      pkix.Name{CommonName: commonName},
		NotBefore:    time.Now().Add(-certificateBackdate),
		NotAfter:     time.Now().Add(certificateValidity),
	}
}

// Path returns the path of a file that the authority has written.
func (a *CertificateAuthority) Path(name string) string { return filepath.Join(a.dir, name) }

// CertPool returns a pool that trusts only this authority.
func (a *CertificateAuthority) CertPool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return pool
}

// Issue writes NAME.key and then NAME.pem for a host. Each file is replaced atomically. Between the two replacements, the key
// and the certificate do not match.
func (a *CertificateAuthority) Issue(name, host string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	template := a.nextTemplate(host)
	template.DNSNames = []string{host}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	cert, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return err
	}
	privateKey, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return err
	}
	if err := a.writePEM(name+".key", pemPrivateKey, privateKey); err != nil {
		return err
	}
	return a.writePEM(name+".pem", pemCertificate, cert)
}

// writePEM writes a PEM block to a file, which it replaces atomically.
func (a *CertificateAuthority) writePEM(name, blockType string, der []byte) error {
	path := a.Path(name)
	text := pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
	if err := os.WriteFile(path+".new", text, certificateFileMode); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
