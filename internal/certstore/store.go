// Package certstore loads certificates, private keys, roots and revocation lists from
// files and reloads them while the relay runs. A set of files is loaded completely or not
// at all. While the files are invalid, or only one file of a pair of certificate and key
// has been replaced, the credentials loaded before stay in use.
//
// The package defines what the files must contain; package tlspolicy decides whom to
// trust. No error text quotes a key file.
package certstore

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"sync/atomic"
	"time"

	"troutusher/internal/tlspolicy"
)

// replacementGrace is how long Reload reports no error for a certificate and a key that
// do not match, because the two files are replaced one after the other.
const replacementGrace = 5 * time.Second

// Files holds the paths of one set of credentials. A file with an empty path is not loaded.
type Files struct {
	Certificate     string // the relay's own certificate, followed by its issuers
	Key             string // its private key, which only the file's owner may have access to
	Roots           string // the certificates of the trusted authorities
	RevocationLists string // in PEM (RFC 7468 section 7), or one list in DER
}

// Credentials is the content of a set of files at one moment.
type Credentials struct {
	Certificate      *tls.Certificate           // nil where no file is named
	Roots            *x509.CertPool             // nil where no file is named
	RootCertificates []*x509.Certificate        // the certificates in Roots
	NotAfter         time.Time                  // of the relay's own certificate; zero without one
	RevocationLists  *tlspolicy.RevocationLists // nil where no file is named

	// SHA-256 hashes of the roots file and of the certificate file. They are part of the
	// identity under which TLS sessions are cached (see tlspolicy.SessionIdentity), so that no
	// session is resumed after one of the files has changed.
	RootsSum, CertificateSum []byte
}

// fingerprint is the SHA-256 hash of the content of all files.
type fingerprint [sha256.Size]byte

// Load returns the credentials in a set of files, or an error if any of them is invalid.
func Load(f Files, now time.Time) (*Credentials, error) {
	credentials, _, err := load(f, now)
	return credentials, err
}

// Store keeps credentials and reloads them when their files change.
type Store struct {
	files           Files
	current         atomic.Pointer[Credentials]
	lastFingerprint fingerprint // of current
	lastError       string      // the last error that Reload returned
	mismatchSince   time.Time   // since when certificate and key do not match; zero if they do
}

// Open returns a Store with the files loaded. It returns an error if any of them is invalid.
func Open(f Files, now time.Time) (*Store, error) {
	credentials, sum, err := load(f, now)
	if err != nil {
		return nil, err
	}
	s := &Store{files: f, lastFingerprint: sum}
	s.current.Store(credentials)
	return s, nil
}

// Current returns the credentials in use. Any goroutine may call it.
func (s *Store) Current() *Credentials { return s.current.Load() }

// Reload reads the files again. It returns true if they have changed and the new
// credentials are in use from now on. It returns an error if the files cannot be used, but
// not the same error twice in a row. Only one goroutine may call it.
func (s *Store) Reload(now time.Time) (changed bool, err error) {
	credentials, sum, err := load(s.files, now)
	if err == nil {
		s.mismatchSince, s.lastError = time.Time{}, ""
		if sum == s.lastFingerprint {
			return false, nil
		}
		s.lastFingerprint = sum
		s.current.Store(credentials)
		return true, nil
	}
	if errors.Is(err, errKeyMismatch) && s.inGrace(now) {
		return false, nil
	}
	if err.Error() == s.lastError {
		return false, nil
	}
	s.lastError = err.Error()
	return false, err
}

// inGrace reports whether certificate and key have been mismatched for less than
// replacementGrace, so that the second file may still be replaced.
func (s *Store) inGrace(now time.Time) bool {
	if s.mismatchSince.IsZero() {
		s.mismatchSince = now
	}
	return now.Sub(s.mismatchSince) < replacementGrace
}
