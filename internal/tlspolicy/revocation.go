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

// RevocationStatus is what is known about a certificate's revocation.
type RevocationStatus uint8

// What can be known.
const (
	StatusUnknown RevocationStatus = iota
	StatusGood
	StatusRevoked
)

const (
	maxRevocationLists = 64
	// removeFromCRL is the reason of an entry that takes an earlier one back (RFC 5280
	// section 5.3.1).
	removeFromCRL = 8
	// statusRequest is the number of the TLS extension that asks for a staple.
	statusRequest = 5
)

// featureOID is the certificate extension of RFC 7633 section 4.1.
var featureOID = asn1.ObjectIdentifier{1, 3, 6, 1, 5, 5, 7, 1, 24}

// RevocationEvidence is what is known about the revocation of the certificates that an
// endpoint showed.
type RevocationEvidence struct {
	Staple []byte           // an OCSP response sent with the handshake (RFC 6066 section 8), empty for none
	Lists  *RevocationLists // the operator's revocation lists, nil for none
}

// status returns what is known about one certificate. Revoked counts from any source;
// else good from one source is enough.
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

// hasGoodStaple reports whether a good OCSP response came with a certificate.
func (e *RevocationEvidence) hasGoodStaple(c, issuer *x509.Certificate, now time.Time) bool {
	return e != nil && stapledStatus(e.Staple, c, issuer, now) == StatusGood
}

// stapledStatus reads an OCSP response (RFC 6960). One outside its validity, or for
// another certificate, or not signed for the issuer, says nothing.
func stapledStatus(response []byte, c, issuer *x509.Certificate, now time.Time) RevocationStatus {
	if len(response) == 0 {
		return StatusUnknown
	}
	r, err := ocsp.ParseResponseForCert(response, c, issuer)
	// Without a next update it would be good for ever: its zero time is before now.
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

// mustStaple reports whether a certificate says that an OCSP response always comes with
// it (RFC 7633).
func mustStaple(c *x509.Certificate) bool {
	for _, extension := range c.Extensions {
		if !extension.Id.Equal(featureOID) {
			continue
		}
		var features []int
		if rest, err := asn1.Unmarshal(extension.Value, &features); err != nil || len(rest) > 0 {
			return true // not understood: the stricter reading
		}
		if slices.Contains(features, statusRequest) {
			return true
		}
	}
	return false
}

// RevocationLists are revocation lists (RFC 5280 section 5).
type RevocationLists struct{ lists []revocationList }

type revocationList struct {
	crl            *x509.RevocationList
	revokedSerials map[string]bool // serials as big-endian bytes
}

// NewRevocationLists parses lists in DER. Whether a list is signed by the issuer that
// it names is checked when the issuer is known.
func NewRevocationLists(der ...[]byte) (*RevocationLists, error) {
	if len(der) > maxRevocationLists {
		return nil, fmt.Errorf("%d revocation lists, want %d at most", len(der), maxRevocationLists)
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

// parseRevocationList parses the list with a number, which errors name.
func parseRevocationList(number int, der []byte) (revocationList, error) {
	crl, err := x509.ParseRevocationList(der)
	if err != nil {
		return revocationList{}, fmt.Errorf("revocation list %d: %w", number, err)
	}
	if crl.NextUpdate.IsZero() {
		return revocationList{}, fmt.Errorf(
			"revocation list %d: no time of the next one (RFC 5280 section 5.1.2.5)", number)
	}
	for _, extension := range crl.Extensions {
		// A delta, or a list of some certificates alone: not understood (section 5.2).
		if extension.Critical {
			return revocationList{}, fmt.Errorf("revocation list %d: critical extension %s", number, extension.Id)
		}
	}
	list := revocationList{crl: crl, revokedSerials: make(map[string]bool, len(crl.RevokedCertificateEntries))}
	for _, entry := range crl.RevokedCertificateEntries {
		if entry.SerialNumber == nil {
			return revocationList{}, errors.New("revocation list: an entry without a serial")
		}
		if entry.ReasonCode != removeFromCRL {
			list.revokedSerials[string(entry.SerialNumber.Bytes())] = true
		}
	}
	return list, nil
}

// Status returns what the lists say about a certificate. A list past its next update
// still says what is revoked, and no longer what is good.
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

// NextUpdate is when the first of the lists expires; zero without a list.
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

// Len is the number of lists.
func (l *RevocationLists) Len() int {
	if l == nil {
		return 0
	}
	return len(l.lists)
}
