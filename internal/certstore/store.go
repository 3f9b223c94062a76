// Package certstore holds the certificates, private keys, roots and revocation lists of a site, as its
// files have them: loaded whole or not at all, looked at again while the relay
// serves, the last good ones kept when the new ones are bad.
//
// It owns the files' rules. It must never put a secret into an error or a log,
// decide whom to trust, or let a half replaced pair be seen.
package certstore

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"troutusher/internal/tlspolicy"
)

// Bounds.
const (
	maxFileBytes    = 1 << 20
	maxCertificates = 1000
	// Key and certificate are replaced one after the other: a pair that does not
	// match is no error before that.
	replacementGrace = 5 * time.Second
)

// Files are the paths of one set; an empty one is not wanted.
type Files struct {
	Certificate     string // our own certificate, then those above it
	Key             string // its private key, readable by its owner alone
	Roots           string // whom we trust
	RevocationLists string // revocation lists, in PEM (RFC 7468 section 7) or one in DER
}

// Credentials is what the files held at one moment.
type Credentials struct {
	Certificate      *tls.Certificate           // nil where none is named
	Roots            *x509.CertPool             // nil where none is named
	RootCertificates []*x509.Certificate        // the roots
	NotAfter         time.Time                  // the end of our own certificate, zero without one
	RevocationLists  *tlspolicy.RevocationLists // nil where none is named

	RootsSum, CertificateSum []byte // what stands for them where sessions are told apart
}

// Load reads a set, whole or not at all.
func Load(f Files, now time.Time) (*Credentials, error) {
	set, _, err := load(f, now)
	return set, err
}

type fingerprint [sha256.Size]byte

func load(f Files, now time.Time) (*Credentials, fingerprint, error) {
	var all fingerprint
	sum := sha256.New()
	set := &Credentials{}
	if (f.Certificate == "") != (f.Key == "") {
		return nil, all, errors.New("keys: certificate and key are named together or not at all")
	}
	if f.Certificate != "" {
		cert, err := readFile(f.Certificate, false)
		if err != nil {
			return nil, all, err
		}
		key, err := readFile(f.Key, true)
		if err != nil {
			return nil, all, err
		}
		sum.Write(cert)
		sum.Write(key)
		defer clear(key)
		copy(all[:], sum.Sum(nil))
		if set.Certificate, err = parseKeyPair(f, cert, key, now); err != nil {
			return nil, all, err
		}
		set.NotAfter = set.Certificate.Leaf.NotAfter
		own := sha256.Sum256(cert)
		set.CertificateSum = own[:]
	}
	if f.Roots != "" {
		text, err := readFile(f.Roots, false)
		if err != nil {
			return nil, all, err
		}
		sum.Write(text)
		copy(all[:], sum.Sum(nil))
		certs, err := parseCertificates(f.Roots, text)
		if err != nil {
			return nil, all, err
		}
		set.Roots = x509.NewCertPool()
		for i, c := range certs {
			if !c.IsCA {
				return nil, all, fmt.Errorf("keys: %s: certificate %d (%s) is no authority", f.Roots, i+1, c.Subject)
			}
			set.Roots.AddCert(c)
		}
		set.RootCertificates = certs
		roots := sha256.Sum256(text)
		set.RootsSum = roots[:]
	}
	if f.RevocationLists != "" {
		text, err := readFile(f.RevocationLists, false)
		if err != nil {
			return nil, all, err
		}
		sum.Write(text)
		copy(all[:], sum.Sum(nil))
		if set.RevocationLists, err = parseRevocationLists(f.RevocationLists, text); err != nil {
			return nil, all, err
		}
	}
	return set, all, nil
}

// errKeyMismatch is a key that is not the certificate's: it may be about to be.
var errKeyMismatch = errors.New("the key is not the certificate's")

// parseKeyPair makes our own certificate of its parts.
func parseKeyPair(f Files, cert, key []byte, now time.Time) (*tls.Certificate, error) {
	certs, err := parseCertificates(f.Certificate, cert)
	if err != nil {
		return nil, err
	}
	leaf := certs[0]
	switch {
	case leaf.IsCA && len(certs) > 1:
		return nil, fmt.Errorf("keys: %s: an authority (%s) comes first; our own certificate belongs there", f.Certificate, leaf.Subject)
	case now.Before(leaf.NotBefore):
		return nil, fmt.Errorf("keys: %s: valid from %s on", f.Certificate, leaf.NotBefore.UTC().Format(time.RFC3339))
	case !now.Before(leaf.NotAfter):
		return nil, fmt.Errorf("keys: %s: valid until %s", f.Certificate, leaf.NotAfter.UTC().Format(time.RFC3339))
	}
	for i := range certs[1:] { // RFC 8446 section 4.4.2: each certifies the one before
		if err := certs[i].CheckSignatureFrom(certs[i+1]); err != nil {
			return nil, fmt.Errorf("keys: %s: certificate %d does not certify the one before it", f.Certificate, i+2)
		}
	}
	own, err := tls.X509KeyPair(cert, key)
	if err != nil {
		// The library's words are not passed on: they are of what the key file
		// holds.
		if block, _ := pem.Decode(key); block == nil {
			return nil, fmt.Errorf("keys: %s: no PEM in it", f.Key)
		}
		return nil, fmt.Errorf("keys: %s: %w", f.Key, errKeyMismatch)
	}
	own.Leaf = leaf
	return &own, nil
}

// parseCertificates reads the certificates of a file.
func parseCertificates(path string, text []byte) (certs []*x509.Certificate, err error) {
	for n := 1; ; n++ {
		block, rest := pem.Decode(text)
		if block == nil {
			break
		}
		text = rest
		if block.Type != "CERTIFICATE" {
			return nil, fmt.Errorf("keys: %s: block %d is no certificate", path, n)
		}
		c, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, fmt.Errorf("keys: %s: certificate %d: %w", path, n, err)
		}
		if certs = append(certs, c); len(certs) > maxCertificates {
			return nil, fmt.Errorf("keys: %s: more than %d certificates", path, maxCertificates)
		}
	}
	if len(certs) == 0 {
		return nil, fmt.Errorf("keys: %s: no certificate in it", path)
	}
	return certs, nil
}

// parseRevocationLists reads the revocation lists of a file.
func parseRevocationLists(path string, text []byte) (*tlspolicy.RevocationLists, error) {
	var der [][]byte
	for rest := text; ; {
		var block *pem.Block
		if block, rest = pem.Decode(rest); block == nil {
			break
		}
		if block.Type != "X509 CRL" {
			return nil, fmt.Errorf("keys: %s: block %d is no revocation list", path, len(der)+1)
		}
		der = append(der, block.Bytes)
	}
	if len(der) == 0 {
		der = [][]byte{text}
	}
	l, err := tlspolicy.NewRevocationLists(der...)
	if err != nil {
		return nil, fmt.Errorf("keys: %s: %w", path, err)
	}
	return l, nil
}

// readFile reads a file; a secret one must be its owner's alone.
func readFile(path string, secret bool) ([]byte, error) {
	// A pipe in a file's place would hold up whoever opens it.
	file, err := os.OpenFile(path, os.O_RDONLY|syscall.O_NONBLOCK, 0)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	defer file.Close()
	info, err := file.Stat()
	switch {
	case err != nil:
		return nil, fmt.Errorf("keys: %w", err)
	case !info.Mode().IsRegular():
		return nil, fmt.Errorf("keys: %s: no regular file", path)
	case secret && info.Mode().Perm()&0o077 != 0:
		return nil, fmt.Errorf("keys: %s: mode %04o: others than its owner may use it, want 0600", path, info.Mode().Perm())
	}
	text, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	if len(text) > maxFileBytes {
		return nil, fmt.Errorf("keys: %s: over %d bytes", path, maxFileBytes)
	}
	return text, nil
}

// Store keeps a set and looks whether its files have changed.
type Store struct {
	files           Files
	current         atomic.Pointer[Credentials]
	lastFingerprint fingerprint // of the set in use
	lastError       string      // the last error that was told
	mismatchSince   time.Time   // since when the pair does not match
}

// Open loads the first set, which must be good.
func Open(f Files, now time.Time) (*Store, error) {
	set, p, err := load(f, now)
	if err != nil {
		return nil, err
	}
	s := &Store{files: f, lastFingerprint: p}
	s.current.Store(set)
	return s, nil
}

// Current is the set in use, for any goroutine.
func (s *Store) Current() *Credentials { return s.current.Load() }

// Reload reads the files again. changed tells that another set is in use from here
// on; an error why what the files hold now is not, told once.
// One goroutine calls it.
func (s *Store) Reload(now time.Time) (changed bool, err error) {
	set, p, err := load(s.files, now)
	if err == nil {
		s.mismatchSince, s.lastError = time.Time{}, ""
		if p == s.lastFingerprint {
			return false, nil
		}
		s.lastFingerprint = p
		s.current.Store(set)
		return true, nil
	}
	if errors.Is(err, errKeyMismatch) {
		if s.mismatchSince.IsZero() {
			s.mismatchSince = now
		}
		if now.Sub(s.mismatchSince) < replacementGrace {
			return false, nil // the other file may come yet
		}
	}
	if err.Error() == s.lastError {
		return false, nil
	}
	s.lastError = err.Error()
	return false, err
}
