package tlspolicy

import (
	"bytes"
	"crypto/x509"
	"encoding/asn1"
	"errors"
	"fmt"
	"slices"
	"time"

	"golang.org/x/crypto/ocsp"
)

// RevocationStatus says whether a certificate is known to be revoked or good.
type RevocationStatus uint8

// Values of RevocationStatus.
const (
	StatusUnknown RevocationStatus = iota
	StatusGood
	StatusRevoked
)

const (
	maxRevocationLists = 64
	// removeFromCRL is the reason code of an entry that cancels an earlier revocation
	// (RFC 5280 section 5.3.1).
	removeFromCRL = 8
	// statusRequest is the number of the TLS extension that requests a stapled OCSP response.
	statusRequest = 5
)

// tlsFeatureOID is the TLS Feature extension of certificates (RFC 7633 section 4.1).
var tlsFeatureOID = asn1.ObjectIdentifier{1, 3, 6, 1, 5, 5, 7, 1, 24}

// RevocationEvidence holds the sources of the revocation status of the certificates that
// an endpoint presented.
type RevocationEvidence struct {
	Staple []byte           // the OCSP response sent in the handshake (RFC 6066 section 8); empty for none
	Lists  *RevocationLists // the operator's revocation lists; nil for none
}

// status returns the revocation status of one certificate: revoked if any source says so,
// else good if any source says so.
func (e *RevocationEvidence) status(c, issuer *x509.Certificate, isLeaf bool, now time.Time) RevocationStatus {
	if e == nil {
		return StatusUnknown
	}
	status := e.Lists.Status(c, issuer, now)
	if isLeaf && status != StatusRevoked {
		if s := stapledStatus(e.Staple, c, issuer, now); s != StatusUnknown {
			status = s
		}
	}
	return status
}

// hasGoodStaple reports whether the stapled OCSP response says that a certificate is good.
func (e *RevocationEvidence) hasGoodStaple(c, issuer *x509.Certificate, now time.Time) bool {
	return e != nil && stapledStatus(e.Staple, c, issuer, now) == StatusGood
}

// stapledStatus returns the status of a certificate in an OCSP response (RFC 6960). It is
// unknown if the response is outside its validity period, is for another certificate or
// is not signed on behalf of the issuer.
func stapledStatus(response []byte, c, issuer *x509.Certificate, now time.Time) RevocationStatus {
	if len(response) == 0 {
		return StatusUnknown
	}
	r, err := ocsp.ParseResponseForCert(response, c, issuer)
	// A response without NextUpdate would be valid for ever. The comparison excludes it,
	// since its zero time is before now.
	if err != nil || now.Before(r.ThisUpdate) || !now.Before(r.NextUpdate) {
		return StatusUnknown
	}
	switch r.Status {
	case ocsp.Good:
		return StatusGood
	case ocsp.Revoked:
		return StatusRevoked
	}
	return StatusUnknown
}

// mustStaple reports whether a certificate requires a stapled OCSP response (RFC 7633).
func mustStaple(c *x509.Certificate) bool {
	for _, extension := range c.Extensions {
		if !extension.Id.Equal(tlsFeatureOID) {
			continue
		}
		var features []int
		if rest, err := asn1.Unmarshal(extension.Value, &features); err != nil || len(rest) > 0 {
			return true // malformed, so the stricter interpretation applies
		}
		if slices.Contains(features, statusRequest) {
			return true
		}
	}
	return false
}

// RevocationLists is a set of certificate revocation lists (RFC 5280 section 5).
type RevocationLists struct{ lists []revocationList }

type revocationList struct {
	crl            *x509.RevocationList
	revokedSerials map[string]bool // serials as big-endian bytes
}

// NewRevocationLists parses lists in DER. It does not verify their signatures: Status
// does, once the issuer is known.
func NewRevocationLists(der ...[]byte) (*RevocationLists, error) {
	if len(der) > maxRevocationLists {
		return nil, fmt.Errorf("%d revocation lists, want at most %d", len(der), maxRevocationLists)
	}
	l := &RevocationLists{}
	for i, encoded := range der {
		list, err := parseRevocationList(i+1, encoded)
		if err != nil {
			return nil, err
		}
		l.lists = append(l.lists, list)
	}
	return l, nil
}

// parseRevocationList parses one list. number is its position, for errors.
func parseRevocationList(number int, der []byte) (revocationList, error) {
	crl, err := x509.ParseRevocationList(der)
	if err != nil {
		return revocationList{}, fmt.Errorf("revocation list %d: parse: %w", number, err)
	}
	if crl.NextUpdate.IsZero() {
		return revocationList{}, fmt.Errorf(
			"revocation list %d: nextUpdate is missing (RFC 5280 section 5.1.2.5)", number)
	}
	for _, extension := range crl.Extensions {
		// Critical extensions mark delta lists and lists that cover only some certificates,
		// neither of which is supported (RFC 5280 section 5.2).
		if extension.Critical {
			return revocationList{}, fmt.Errorf(
				"revocation list %d: critical extension %s is not supported", number, extension.Id)
		}
	}
	list := revocationList{crl: crl, revokedSerials: make(map[string]bool, len(crl.RevokedCertificateEntries))}
	for _, entry := range crl.RevokedCertificateEntries {
		if entry.SerialNumber == nil {
			return revocationList{}, errors.New("revocation list: an entry has no serial number")
		}
		if entry.ReasonCode != removeFromCRL {
			list.revokedSerials[string(entry.SerialNumber.Bytes())] = true
		}
	}
	return list, nil
}

// Status returns the status of a certificate by the lists of its issuer. A list past its
// next update still proves that a certificate is revoked, but not that one is good.
func (l *RevocationLists) Status(c, issuer *x509.Certificate, now time.Time) RevocationStatus {
	if l == nil {
		return StatusUnknown
	}
	status := StatusUnknown
	for i := range l.lists {
		crl := l.lists[i].crl
		if !bytes.Equal(crl.RawIssuer, issuer.RawSubject) || crl.CheckSignatureFrom(issuer) != nil {
			continue
		}
		if l.lists[i].revokedSerials[string(c.SerialNumber.Bytes())] {
			return StatusRevoked
		}
		if !now.Before(crl.ThisUpdate) && now.Before(crl.NextUpdate) {
			status = StatusGood
		}
	}
	return status
}

// NextUpdate returns when the first of the lists expires; zero if there is none.
func (l *RevocationLists) NextUpdate() (first time.Time) {
	if l == nil {
		return first
	}
	for i := range l.lists {
		if next := l.lists[i].crl.NextUpdate; first.IsZero() || next.Before(first) {
			first = next
		}
	}
	return first
}

// Len returns the number of lists.
func (l *RevocationLists) Len() int {
	if l == nil {
		return 0
	}
	return len(l.lists)
}
