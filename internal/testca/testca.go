// Package testca makes throw-away certificate authorities and certificates, for
// rehearsals, tests and a first look at the settings.
//
// It owns how such certificates are made. It must never be used to vouch for
// anybody: its keys lie beside its certificates, and no program of a site
// loads it.
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

// WithMustStaple is a change that has a certificate say that it never comes without
// an OCSP response (RFC 7633).
func WithMustStaple(c *x509.Certificate) {
	c.ExtraExtensions = append(c.ExtraExtensions, pkix.Extension{Id: asn1.ObjectIdentifier{1, 3, 6, 1, 5, 5, 7, 1, 24}, Value: []byte{0x30, 3, 2, 1, 5}})
}

// RevocationListPEM is an authority's list in PEM, with the next one due at a
// moment.
func RevocationListPEM(up *Issued, next time.Time, revoked ...*Issued) ([]byte, error) {
	l := &x509.RevocationList{Number: big.NewInt(time.Now().Unix()), ThisUpdate: time.Now().Add(-time.Hour), NextUpdate: next}
	for _, m := range revoked {
		l.RevokedCertificateEntries = append(l.RevokedCertificateEntries, x509.RevocationListEntry{SerialNumber: m.SerialNumber, RevocationTime: l.ThisUpdate})
	}
	der, err := x509.CreateRevocationList(rand.Reader, l, up.Certificate, up.Key)
	if err != nil {
		return nil, err
	}
	return pem.EncodeToMemory(&pem.Block{Type: "X509 CRL", Bytes: der}), nil
}

// KeyKind is a kind of key.
type KeyKind string

// Kinds of key.
const (
	P256    KeyKind = "p256"
	RSA2048 KeyKind = "rsa2048"
	Ed25519 KeyKind = "ed25519"
)

// NewKey makes a key.
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

// Template is what a certificate is made from.
type Template = x509.Certificate

// Issued is a certificate with its key, and those above it.
type Issued struct {
	*x509.Certificate
	Key    crypto.Signer
	Parent *Issued // who signed it; nil for itself
}

// AsAuthority is a change that makes a certificate one that may sign others.
func AsAuthority(c *x509.Certificate) {
	c.IsCA, c.DNSNames, c.IPAddresses, c.ExtKeyUsage = true, nil, nil, nil
	c.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
}

// WithNames is a change of the names that a certificate is for: host names and
// addresses.
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

// WithValidity is a change of the time for which a certificate is good.
func WithValidity(from, to time.Time) func(*x509.Certificate) {
	return func(c *x509.Certificate) { c.NotBefore, c.NotAfter = from, to }
}

// Issue makes a certificate with a key of its own, or with key where that is not
// nil. up signs it; where that is nil it signs itself. Unless changed it is for
// servers and clients alike, and good for an hour each way.
func Issue(up *Issued, name string, key crypto.Signer, changes ...func(*x509.Certificate)) (*Issued, error) {
	if key == nil {
		var err error
		if key, err = NewKey(P256); err != nil {
			return nil, err
		}
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 126))
	if err != nil {
		return nil, err
	}
	now := time.Now()
	c := &x509.Certificate{SerialNumber: serial.Add(serial, big.NewInt(1)), Subject: pkix.Name{CommonName: name}, NotBefore: now.Add(-time.Hour),
		NotAfter: now.Add(time.Hour), KeyUsage: x509.KeyUsageDigitalSignature, BasicConstraintsValid: true, DNSNames: []string{name},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	for _, f := range changes {
		f(c)
	}
	c.Subject.SerialNumber = c.SerialNumber.Text(36) // two authorities of one name stay apart
	parent, signer := c, key
	if up != nil {
		parent, signer = up.Certificate, up.Key
	}
	der, err := x509.CreateCertificate(rand.Reader, c, parent, key.Public(), signer)
	if err != nil {
		return nil, err
	}
	got, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &Issued{got, key, up}, nil
}

// Chain is the certificate and those above it but for the root, as a server
// shows them.
func (m *Issued) Chain() (der [][]byte) {
	for ; m != nil && (m.Parent != nil || len(der) == 0); m = m.Parent {
		der = append(der, m.Raw)
	}
	return der
}

// TLSCertificate is the certificate as crypto/tls wants it.
func (m *Issued) TLSCertificate() tls.Certificate {
	return tls.Certificate{Certificate: m.Chain(), PrivateKey: m.Key, Leaf: m.Certificate}
}

// CertPEM is the chain in PEM.
func (m *Issued) CertPEM() []byte {
	var b bytes.Buffer
	for _, der := range m.Chain() {
		pem.Encode(&b, &pem.Block{Type: "CERTIFICATE", Bytes: der})
	}
	return b.Bytes()
}

// KeyPEM is the private key in PEM (RFC 5958).
func (m *Issued) KeyPEM() ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(m.Key)
	if err != nil {
		return nil, err
	}
	return pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}), nil
}

// RootPool is a set of roots with this one alone.
func (m *Issued) RootPool() *x509.CertPool {
	p := x509.NewCertPool()
	p.AddCert(m.Certificate)
	return p
}

// WriteFiles puts NAME.pem and, with key, NAME.key into a folder, each in one move.
// It returns their paths.
func (m *Issued) WriteFiles(dir, name string, key bool) (cert, keyPath string, err error) {
	cert = filepath.Join(dir, name+".pem")
	if err := ReplaceFile(cert, m.CertPEM(), 0o644); err != nil || !key {
		return cert, "", err
	}
	text, err := m.KeyPEM()
	if err != nil {
		return "", "", err
	}
	keyPath = filepath.Join(dir, name+".key")
	return cert, keyPath, ReplaceFile(keyPath, text, 0o600)
}

// ReplaceFile writes a file beside its place and moves it there.
func ReplaceFile(path string, text []byte, mode os.FileMode) error {
	if err := os.WriteFile(path+".new", text, mode); err != nil {
		return err
	}
	if err := os.Chmod(path+".new", mode); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
