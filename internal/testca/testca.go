// Package testca issues throw-away certificate authorities and certificates for
// rehearsals and tests, and for trying out the settings.
//
// The certificates are not fit for production, because their private keys are stored in the
// same folder. The relay does not link the package.
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

// Modes of the written files.
const (
	publicMode = 0o644 // certificates
	secretMode = 0o600 // private keys
)

const (
	serialBits      = 126       // size of the random serial numbers
	defaultValidity = time.Hour // before and after the time of issue
)

// WithMustStaple adds the extension by which a certificate requires a stapled OCSP
// response (RFC 7633).
func WithMustStaple(c *x509.Certificate) {
	c.ExtraExtensions = append(c.ExtraExtensions, pkix.Extension{
		Id:    asn1.ObjectIdentifier{1, 3, 6, 1, 5, 5, 7, 1, 24},
		Value: []byte{0x30, 3, 2, 1, 5}, // a sequence with one integer, 5 (status_request)
	})
}

// RevocationListPEM returns an authority's revocation list in PEM, with its next update at
// next.
func RevocationListPEM(authority *Issued, next time.Time, revoked ...*Issued) ([]byte, error) {
	list := &x509.RevocationList{
		Number:     big.NewInt(time.Now().Unix()),
		ThisUpdate: time.Now().Add(-time.Hour),
		NextUpdate: next,
	}
	for _, issued := range revoked {
		entry := x509.RevocationListEntry{SerialNumber: issued.SerialNumber, RevocationTime: list.ThisUpdate}
		list.RevokedCertificateEntries = append(list.RevokedCertificateEntries, entry)
	}
	der, err := x509.CreateRevocationList(rand.Reader, list, authority.Certificate, authority.Key)
	if err != nil {
		return nil, err
	}
	return pem.EncodeToMemory(&pem.Block{Type: pemRevocationList, Bytes: der}), nil
}

// KeyKind is the algorithm of a private key, with its size or curve.
type KeyKind string

// Kinds of key.
const (
	P256    KeyKind = "p256"
	RSA2048 KeyKind = "rsa2048"
	Ed25519 KeyKind = "ed25519"
)

// NewKey generates a key. The empty kind means P256.
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
	return nil, fmt.Errorf("unknown kind of key %q, want p256, rsa2048 or ed25519", k)
}

// Template is a certificate before it is issued, for the functions that Issue applies to it.
type Template = x509.Certificate

// Issued is a certificate with its key and its issuers.
type Issued struct {
	*x509.Certificate
	Key    crypto.Signer
	Parent *Issued // the issuer; nil if the certificate is self-signed
}

// AsAuthority turns a certificate into that of an authority, which may issue others.
func AsAuthority(c *x509.Certificate) {
	c.IsCA, c.DNSNames, c.IPAddresses, c.ExtKeyUsage = true, nil, nil, nil
	c.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
}

// WithNames sets the host names and IP addresses of a certificate.
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

// Issue issues a certificate for key, or for a new key if key is nil. It is signed by
// parent, or self-signed if parent is nil. By default, the certificate is for both servers
// and clients, and valid from an hour ago for two hours; the functions in changes, applied
// before it is signed, can change this.
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
	for _, change := range changes {
		change(c)
	}
	c.Subject.SerialNumber = c.SerialNumber.Text(36) // distinguishes authorities with the same name
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

// Chain returns the certificate and its issuers without the root, as a server sends them.
// For a self-signed certificate it returns that one.
func (i *Issued) Chain() (der [][]byte) {
	for ; i != nil && (i.Parent != nil || len(der) == 0); i = i.Parent {
		der = append(der, i.Raw)
	}
	return der
}

// TLSCertificate returns the certificate, its chain and its key for crypto/tls.
func (i *Issued) TLSCertificate() tls.Certificate {
	return tls.Certificate{Certificate: i.Chain(), PrivateKey: i.Key, Leaf: i.Certificate}
}

// CertPEM returns the chain in PEM.
func (i *Issued) CertPEM() []byte {
	var b bytes.Buffer
	for _, der := range i.Chain() {
		b.Write(pem.EncodeToMemory(&pem.Block{Type: pemCertificate, Bytes: der}))
	}
	return b.Bytes()
}

// KeyPEM returns the private key in PEM (RFC 5958).
func (i *Issued) KeyPEM() ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(i.Key)
	if err != nil {
		return nil, err
	}
	return pem.EncodeToMemory(&pem.Block{Type: pemPrivateKey, Bytes: der}), nil
}

// RootPool returns a pool of roots with only this certificate.
func (i *Issued) RootPool() *x509.CertPool {
	p := x509.NewCertPool()
	p.AddCert(i.Certificate)
	return p
}

// WriteFiles writes the chain to NAME.pem in a folder and, if withKey is set, the key to
// NAME.key. Each file is replaced atomically. It returns the paths.
func (i *Issued) WriteFiles(dir, name string, withKey bool) (certPath, keyPath string, err error) {
	certPath = filepath.Join(dir, name+".pem")
	if err := ReplaceFile(certPath, i.CertPEM(), publicMode); err != nil || !withKey {
		return certPath, "", err
	}
	text, err := i.KeyPEM()
	if err != nil {
		return "", "", err
	}
	keyPath = filepath.Join(dir, name+".key")
	return certPath, keyPath, ReplaceFile(keyPath, text, secretMode)
}

// ReplaceFile replaces a file atomically: it writes a temporary file and renames it.
func ReplaceFile(path string, text []byte, mode os.FileMode) error {
	if err := os.WriteFile(path+".new", text, mode); err != nil {
		return err
	}
	if err := os.Chmod(path+".new", mode); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
