// Package certstore holds the certificates, private keys, roots and revocation lists of
// a site, as its files have them: loaded whole or not at all, reloaded while the relay
// serves, and kept as they were when the new files are bad.
//
// It owns the rules for these files. It must never put a secret into an error or a
// log, decide whom to trust, or show a pair of certificate and key that is half
// replaced.
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

// replacementGrace is how long a certificate and a key that do not match are not
// reported: they are replaced one after the other.
const replacementGrace = 5 * time.Second

// Files are the paths of one set of credentials; an empty path is not wanted.
type Files struct {
	Certificate     string // our own certificate, followed by its issuers
	Key             string // its private key, readable by its owner alone
	Roots           string // the certificates of the authorities that are trusted
	RevocationLists string // in PEM (RFC 7468 section 7), or one list in DER
}

// Credentials are what the files held at one moment.
type Credentials struct {
	Certificate      *tls.Certificate           // nil where no file is named
	Roots            *x509.CertPool             // nil where no file is named
	RootCertificates []*x509.Certificate        // those in Roots
	NotAfter         time.Time                  // the end of our own certificate, zero without one
	RevocationLists  *tlspolicy.RevocationLists // nil where no file is named

	// SHA-256 sums of the files, by which stored sessions are told apart.
	RootsSum, CertificateSum []byte
}

// fingerprint is the SHA-256 sum over the content of all files.
type fingerprint [sha256.Size]byte

// Load reads credentials, whole or not at all.
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
	mismatchSince   time.Time   // since when certificate and key do not match
}

// Open loads the first credentials, which must be good.
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

// Reload reads the files again. changed tells that new credentials are in use from here
// on; the error says why the files' content cannot be used, and is returned once for
// each reason. One goroutine calls it.
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

// inGrace reports whether the other file of a mismatched pair may still be replaced.
func (s *Store) inGrace(now time.Time) bool {
	if s.mismatchSince.IsZero() {
		s.mismatchSince = now
	}
	return now.Sub(s.mismatchSince) < replacementGrace
}
