package tlspolicy

import (
	"bytes"
	"crypto/x509"
	"encoding/asn1"
	"errors"
	"fmt"
	"time"

	"golang.org/x/crypto/ocsp"
)

// RevocationEvidence is what is known of the revocation of what a partner showed.
type RevocationEvidence struct {
	Staple []byte           // an OCSP response sent with the handshake (RFC 6066 section 8), empty for none
	Lists  *RevocationLists // the operator's revocation lists, nil for none
}

// status tells what is known of one certificate. A word that it is revoked
// counts from wherever it comes; else a good word from one place is enough.
func (e *RevocationEvidence) status(c, issuer *x509.Certificate, leaf bool, now time.Time) RevocationStatus {
	if e == nil {
		return StatusUnknown
	}
	known := e.Lists.Status(c, issuer, now)
	if leaf && known != StatusRevoked {
		if s := stapledStatus(e.Staple, c, issuer, now); s != StatusUnknown {
			known = s
		}
	}
	return known
}

// stapledStatus reads an OCSP response (RFC 6960). One that is out of time, or does
// not belong to the certificate, or is not signed for its issuer, tells nothing.
func stapledStatus(response []byte, c, issuer *x509.Certificate, now time.Time) RevocationStatus {
	if len(response) == 0 {
		return StatusUnknown
	}
	r, err := ocsp.ParseResponseForCert(response, c, issuer)
	if err != nil || now.Before(r.ThisUpdate) || !now.Before(r.NextUpdate) { // one without an end would be good for ever
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

var featureOID = asn1.ObjectIdentifier{1, 3, 6, 1, 5, 5, 7, 1, 24} // RFC 7633 section 4.1

const statusRequest = 5 // the number of the TLS extension that asks for a staple

// mustStaple reports whether a certificate says that it never comes without a
// staple (RFC 7633).
func mustStaple(c *x509.Certificate) bool {
	for _, x := range c.Extensions {
		if !x.Id.Equal(featureOID) {
			continue
		}
		var features []int
		if rest, err := asn1.Unmarshal(x.Value, &features); err != nil || len(rest) > 0 {
			return true // it asks for something that is not understood: the stricter reading
		}
		for _, f := range features {
			if f == statusRequest {
				return true
			}
		}
	}
	return false
}

// RevocationLists are revocation lists (RFC 5280 section 5).
type RevocationLists struct{ lists []revocationList }

type revocationList struct {
	crl            *x509.RevocationList
	revokedSerials map[string]bool // serials, as big-endian bytes
}

const maxRevocationLists = 64

// NewRevocationLists takes lists as files have them, in DER. Whether one was signed by the
// issuer that it names is looked at when the issuer is known.
func NewRevocationLists(der ...[]byte) (*RevocationLists, error) {
	if len(der) > maxRevocationLists {
		return nil, fmt.Errorf("%d revocation lists, want %d at most", len(der), maxRevocationLists)
	}
	l := &RevocationLists{}
	for i, b := range der {
		crl, err := x509.ParseRevocationList(b)
		if err != nil {
			return nil, fmt.Errorf("revocation list %d: %w", i+1, err)
		}
		if crl.NextUpdate.IsZero() {
			return nil, fmt.Errorf("revocation list %d: no time of the next one (RFC 5280 section 5.1.2.5)", i+1)
		}
		for _, x := range crl.Extensions {
			if x.Critical { // a delta, or one of a part of the certificates: not understood as a whole (section 5.2)
				return nil, fmt.Errorf("revocation list %d: critical extension %s", i+1, x.Id)
			}
		}
		x := revocationList{crl: crl, revokedSerials: make(map[string]bool, len(crl.RevokedCertificateEntries))}
		for _, r := range crl.RevokedCertificateEntries {
			if r.SerialNumber == nil {
				return nil, errors.New("revocation list: an entry without a serial")
			}
			if r.ReasonCode != removeFromCRL {
				x.revokedSerials[string(r.SerialNumber.Bytes())] = true
			}
		}
		l.lists = append(l.lists, x)
	}
	return l, nil
}

const removeFromCRL = 8 // RFC 5280 section 5.3.1

// Status is what the lists tell of a certificate. A list past its time still
// convicts; it acquits nobody.
func (l *RevocationLists) Status(c, issuer *x509.Certificate, now time.Time) RevocationStatus {
	if l == nil {
		return StatusUnknown
	}
	known := StatusUnknown
	for i := range l.lists {
		x := &l.lists[i]
		if !bytes.Equal(x.crl.RawIssuer, issuer.RawSubject) || x.crl.CheckSignatureFrom(issuer) != nil {
			continue
		}
		if x.revokedSerials[string(c.SerialNumber.Bytes())] {
			return StatusRevoked
		}
		if !now.Before(x.crl.ThisUpdate) && now.Before(x.crl.NextUpdate) {
			known = StatusGood
		}
	}
	return known
}

// NextUpdate is when the first of the lists is out of time; zero without one.
func (l *RevocationLists) NextUpdate() (t time.Time) {
	if l == nil {
		return t
	}
	for i := range l.lists {
		if n := l.lists[i].crl.NextUpdate; t.IsZero() || n.Before(t) {
			t = n
		}
	}
	return t
}

// Len is how many lists there are.
func (l *RevocationLists) Len() int {
	if l == nil {
		return 0
	}
	return len(l.lists)
}
