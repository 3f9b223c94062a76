// Package testca makes throw-away certificate authorities and certificates for
// rehearsals and tests, and for trying out the settings.
//
// It must never issue certificates that anybody relies on: its keys lie beside its
// certificates. The relay does not link it.
package testca

import (
	"bytes"
	"crypto"
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/rsa"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/asn1"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

// Types of PEM blocks (RFC 7468).
const (
	pemCertificate    = "CERTIFICATE"
	pemPrivateKey     = "PRIVATE KEY"
	pemRevocationList = "X509 CRL"
)

// Modes of files.
const (
	publicMode = 0o644
	secretMode = 0o600
)

const (
	serialBits      = 126
	defaultValidity = time.Hour // before and after the time of issue
)

// WithMustStaple makes a certificate say that an OCSP response always comes with it
// (RFC 7633).
func WithMustStaple(c *x509.Certificate) {
	c.ExtraExtensions = append(c.ExtraExtensions, pkix.Extension{
		Id:    asn1.ObjectIdentifier{1, 3, 6, 1, 5, 5, 7, 1, 24},
		Value: []byte{0x30, 3, 2, 1, 5}, // a sequence of the one integer 5, status_request
	})
}

// RevocationListPEM returns an authority's revocation list in PEM, with the time of the
// next one.
func RevocationListPEM(authority *Issued, next time.Time, revoked ...*Issued) ([]byte, error) {
	list := &x509.RevocationList{
		Number:     big.NewInt(time.Now().Unix()),
		ThisUpdate: time.Now().Add(-time.Hour),
		NextUpdate: next,
	}
	for _, m := range revoked {
		entry := x509.RevocationListEntry{SerialNumber: m.SerialNumber, RevocationTime: list.ThisUpdate}
		list.RevokedCertificateEntries = append(list.RevokedCertificateEntries, entry)
	}
	der, err := x509.CreateRevocationList(rand.Reader, list, authority.Certificate, authority.Key)
	if err != nil {
		return nil, err
	}
	return pem.EncodeToMemory(&pem.Block{Type: pemRevocationList, Bytes: der}), nil
}

// KeyKind is a kind of key.
type KeyKind string

// Kinds of key.
const (
	P256    KeyKind = "p256"
	RSA2048 KeyKind = "rsa2048"
	Ed25519 KeyKind = "ed25519"
)

// NewKey generates a key.
func NewKey(k KeyKind) (crypto.Signer, error) {
	switch k {
	case P256, "":
		return ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	case RSA2048:
		return rsa.GenerateKey(rand.Reader, 2048)
	case Ed25519:
		_, key, err := ed25519.GenerateKey(rand.Reader)
		return key, err
	}
	return nil, fmt.Errorf("key of kind %q: want p256, rsa2048 or ed25519", k)
}

// Template is the certificate that the options of Issue change.
type Template = x509.Certificate

// Issued is a certificate with its key and its issuers.
type Issued struct {
	*x509.Certificate
	Key    crypto.Signer
	Parent *Issued // its issuer; nil where it is self-signed
}

// AsAuthority makes a certificate one that may issue others.
func AsAuthority(c *x509.Certificate) {
	c.IsCA, c.DNSNames, c.IPAddresses, c.ExtKeyUsage = true, nil, nil, nil
	c.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
}

// WithNames sets the host names and addresses that a certificate is for.
func WithNames(names ...string) func(*x509.Certificate) {
	return func(c *x509.Certificate) {
		c.DNSNames, c.IPAddresses = nil, nil
		for _, n := range names {
			if ip := net.ParseIP(n); ip != nil {
				c.IPAddresses = append(c.IPAddresses, ip)
			} else {
				c.DNSNames = append(c.DNSNames, n)
			}
		}
	}
}

// WithValidity sets the validity period of a certificate.
func WithValidity(from, to time.Time) func(*x509.Certificate) {
	return func(c *x509.Certificate) { c.NotBefore, c.NotAfter = from, to }
}

// Issue makes a certificate with a new key, or with key where that is not nil. parent
// issues it; where that is nil it is self-signed. Unless changed it is for servers and
// clients alike, and valid from an hour ago for two hours.
func Issue(parent *Issued, name string, key crypto.Signer, changes ...func(*x509.Certificate)) (*Issued, error) {
	if key == nil {
		var err error
		if key, err = NewKey(P256); err != nil {
			return nil, err
		}
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	now := time.Now()
	c := &x509.Certificate{
		SerialNumber:          serial.Add(serial, big.NewInt(1)),
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             now.Add(-defaultValidity),
		NotAfter:              now.Add(defaultValidity),
		KeyUsage:              x509.KeyUsageDigitalSignature,
		BasicConstraintsValid: true,
		DNSNames:              []string{name},
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	for _, f := range changes {
		f(c)
	}
	c.Subject.SerialNumber = c.SerialNumber.Text(36) // tells two authorities of one name apart
	issuer, signer := c, key
	if parent != nil {
		issuer, signer = parent.Certificate, parent.Key
	}
	der, err := x509.CreateCertificate(rand.Reader, c, issuer, key.Public(), signer)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &Issued{Certificate: certificate, Key: key, Parent: parent}, nil
}

// Chain returns the certificate and its issuers without the root, as a server shows
// them.
func (m *Issued) Chain() (der [][]byte) {
	for ; m != nil && (m.Parent != nil || len(der) == 0); m = m.Parent {
		der = append(der, m.Raw)
	}
	return der
}

// TLSCertificate returns the certificate in the form of crypto/tls.
func (m *Issued) TLSCertificate() tls.Certificate {
	return tls.Certificate{Certificate: m.Chain(), PrivateKey: m.Key, Leaf: m.Certificate}
}

// CertPEM returns the chain in PEM.
func (m *Issued) CertPEM() []byte {
	var b bytes.Buffer
	for _, der := range m.Chain() {
		b.Write(pem.EncodeToMemory(&pem.Block{Type: pemCertificate, Bytes: der}))
	}
	return b.Bytes()
}

// KeyPEM returns the private key in PEM (RFC 5958).
func (m *Issued) KeyPEM() ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(m.Key)
	if err != nil {
		return nil, err
	}
	return pem.EncodeToMemory(&pem.Block{Type: pemPrivateKey, Bytes: der}), nil
}

// RootPool returns a pool of roots with this certificate alone.
func (m *Issued) RootPool() *x509.CertPool {
	p := x509.NewCertPool()
	p.AddCert(m.Certificate)
	return p
}

// WriteFiles writes NAME.pem and, with key, NAME.key into a folder, each atomically, and
// returns their paths.
func (m *Issued) WriteFiles(dir, name string, key bool) (cert, keyPath string, err error) {
	cert = filepath.Join(dir, name+".pem")
	if err := ReplaceFile(cert, m.CertPEM(), publicMode); err != nil || !key {
		return cert, "", err
	}
	text, err := m.KeyPEM()
	if err != nil {
		return "", "", err
	}
	keyPath = filepath.Join(dir, name+".key")
	return cert, keyPath, ReplaceFile(keyPath, text, secretMode)
}

// ReplaceFile writes a file atomically: under another name first, which is then moved.
func ReplaceFile(path string, text []byte, mode os.FileMode) error {
	if err := os.WriteFile(path+".new", text, mode); err != nil {
		return err
	}
	if err := os.Chmod(path+".new", mode); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
