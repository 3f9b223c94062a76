package certstore

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"hash"
	"io"
	"os"
	"syscall"
	"time"

	"troutusher/internal/tlspolicy"
)

// Limits of one file.
const (
	maxFileBytes    = 1 << 20
	maxCertificates = 1000
)

// groupAndOtherBits are the permission bits of all users other than a file's owner.
const groupAndOtherBits = 0o077

// Types of PEM blocks (RFC 7468).
const (
	pemCertificate    = "CERTIFICATE"
	pemRevocationList = "X509 CRL"
)

// errKeyMismatch reports that the key does not belong to the certificate. The cause may be
// that only one of the two files has been replaced yet.
var errKeyMismatch = errors.New("the key does not belong to the certificate")

// loader loads the credentials of one set of files: first the relay's certificate and key,
// then the roots, then the revocation lists.
type loader struct {
	files       Files
	now         time.Time
	sum         hash.Hash // over the content of the files read so far
	credentials *Credentials
}

// load returns the credentials in a set of files, and the fingerprint of the files.
func load(f Files, now time.Time) (*Credentials, fingerprint, error) {
	l := &loader{files: f, now: now, sum: sha256.New(), credentials: &Credentials{}}
	for _, step := range []func() error{l.loadKeyPair, l.loadRoots, l.loadRevocationLists} {
		if err := step(); err != nil {
			return nil, fingerprint{}, err
		}
	}
	return l.credentials, fingerprint(l.sum.Sum(nil)), nil
}

// read reads a file that is not secret and adds its content to the fingerprint.
func (l *loader) read(path string) ([]byte, error) {
	content, err := readFile(path, false)
	if err != nil {
		return nil, err
	}
	l.sum.Write(content)
	return content, nil
}

func (l *loader) loadKeyPair() error {
	if (l.files.Certificate == "") != (l.files.Key == "") {
		return errors.New("keys: only one of certificate and key is named, want both together or neither")
	}
	if l.files.Certificate == "" {
		return nil
	}
	certificate, err := l.read(l.files.Certificate)
	if err != nil {
		return err
	}
	key, err := readFile(l.files.Key, true)
	if err != nil {
		return err
	}
	defer clear(key)
	l.sum.Write(key)
	own, err := parseKeyPair(l.files, certificate, key, l.now)
	if err != nil {
		return err
	}
	certificateSum := sha256.Sum256(certificate)
	l.credentials.Certificate = own
	l.credentials.NotAfter = own.Leaf.NotAfter
	l.credentials.CertificateSum = certificateSum[:]
	return nil
}

func (l *loader) loadRoots() error {
	if l.files.Roots == "" {
		return nil
	}
	content, err := l.read(l.files.Roots)
	if err != nil {
		return err
	}
	certificates, err := parseCertificates(l.files.Roots, content)
	if err != nil {
		return err
	}
	pool := x509.NewCertPool()
	for i, c := range certificates {
		if !c.IsCA {
			return fmt.Errorf("keys: %s: certificate %d (%s) is not an authority", l.files.Roots, i+1, c.Subject)
		}
		pool.AddCert(c)
	}
	rootsSum := sha256.Sum256(content)
	l.credentials.Roots = pool
	l.credentials.RootCertificates = certificates
	l.credentials.RootsSum = rootsSum[:]
	return nil
}

func (l *loader) loadRevocationLists() error {
	if l.files.RevocationLists == "" {
		return nil
	}
	content, err := l.read(l.files.RevocationLists)
	if err != nil {
		return err
	}
	l.credentials.RevocationLists, err = parseRevocationLists(l.files.RevocationLists, content)
	return err
}

// parseKeyPair parses and checks the relay's own certificate, its issuers and its key.
func parseKeyPair(f Files, certificate, key []byte, now time.Time) (*tls.Certificate, error) {
	chain, err := parseCertificates(f.Certificate, certificate)
	if err != nil {
		return nil, err
	}
	leaf := chain[0]
	switch {
	case leaf.IsCA && len(chain) > 1:
		return nil, fmt.Errorf("keys: %s: an authority (%s) comes first, want our own certificate first",
			f.Certificate, leaf.Subject)
	case now.Before(leaf.NotBefore):
		return nil, fmt.Errorf("keys: %s: certificate is valid from %s",
			f.Certificate, leaf.NotBefore.UTC().Format(time.RFC3339))
	case !now.Before(leaf.NotAfter):
		return nil, fmt.Errorf("keys: %s: certificate was valid until %s",
			f.Certificate, leaf.NotAfter.UTC().Format(time.RFC3339))
	}
	for i := range chain[1:] { // each must certify the one before (RFC 8446 section 4.4.2)
		if err := chain[i].CheckSignatureFrom(chain[i+1]); err != nil {
			return nil, fmt.Errorf("keys: %s: certificate %d does not certify the one before it", f.Certificate, i+2)
		}
	}
	own, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		// The error of crypto/tls is not returned, because it may quote the key file.
		if block, _ := pem.Decode(key); block == nil {
			return nil, fmt.Errorf("keys: %s: no PEM block found", f.Key)
		}
		return nil, fmt.Errorf("keys: %s: %w", f.Key, errKeyMismatch)
	}
	own.Leaf = leaf
	return &own, nil
}

// parseCertificates parses the certificates of a file. It returns an error if there is none.
func parseCertificates(path string, content []byte) (certificates []*x509.Certificate, err error) {
	for n := 1; ; n++ {
		block, rest := pem.Decode(content)
		if block == nil {
			break
		}
		content = rest
		if block.Type != pemCertificate {
			return nil, fmt.Errorf("keys: %s: PEM block %d is not a certificate", path, n)
		}
		c, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, fmt.Errorf("keys: %s: certificate %d: %w", path, n, err)
		}
		certificates = append(certificates, c)
		if len(certificates) > maxCertificates {
			return nil, fmt.Errorf("keys: %s: more than %d certificates", path, maxCertificates)
		}
	}
	if len(certificates) == 0 {
		return nil, fmt.Errorf("keys: %s: no certificate in it", path)
	}
	return certificates, nil
}

// parseRevocationLists parses the revocation lists of a file: PEM blocks, or one list in DER.
func parseRevocationLists(path string, content []byte) (*tlspolicy.RevocationLists, error) {
	var der [][]byte
	for rest := content; ; {
		var block *pem.Block
		if block, rest = pem.Decode(rest); block == nil {
			break
		}
		if block.Type != pemRevocationList {
			return nil, fmt.Errorf("keys: %s: PEM block %d is not a revocation list", path, len(der)+1)
		}
		der = append(der, block.Bytes)
	}
	if len(der) == 0 {
		der = [][]byte{content}
	}
	lists, err := tlspolicy.NewRevocationLists(der...)
	if err != nil {
		return nil, fmt.Errorf("keys: %s: %w", path, err)
	}
	return lists, nil
}

// readFile reads a regular file. It returns an error for a secret file that users other
// than the owner have access to.
func readFile(path string, secret bool) ([]byte, error) {
	// Without O_NONBLOCK, opening a named pipe would block.
	file, err := os.OpenFile(path, os.O_RDONLY|syscall.O_NONBLOCK, 0)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	defer func() { _ = file.Close() }()
	info, err := file.Stat()
	switch {
	case err != nil:
		return nil, fmt.Errorf("keys: %w", err)
	case !info.Mode().IsRegular():
		return nil, fmt.Errorf("keys: %s: not a regular file", path)
	case secret && info.Mode().Perm()&groupAndOtherBits != 0:
		return nil, fmt.Errorf("keys: %s: mode %04o gives access to users other than the owner, want 0600",
			path, info.Mode().Perm())
	}
	content, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	if len(content) > maxFileBytes {
		return nil, fmt.Errorf("keys: %s: file has more than %d bytes", path, maxFileBytes)
	}
	return content, nil
}
