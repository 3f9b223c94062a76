package tlspolicy

import (
	"crypto/sha256"
	"crypto/x509"
	"encoding/base64"
	"fmt"
)

// Pin is the SHA-256 hash of a key's SubjectPublicKeyInfo (RFC 7469 section 2.4).
type Pin [sha256.Size]byte

// PinOf returns the pin of a certificate's key.
func PinOf(c *x509.Certificate) Pin { return sha256.Sum256(c.RawSubjectPublicKeyInfo) }

// String returns the pin in base64, as in the operator's settings.
func (p Pin) String() string { return base64.StdEncoding.EncodeToString(p[:]) }

// ParsePin parses a pin in base64.
func ParsePin(s string) (p Pin, err error) {
	b, err := base64.StdEncoding.Strict().DecodeString(s)
	if err != nil || len(b) != len(p) {
		return p, fmt.Errorf("pin %.60q: want %d bytes in base64", s, len(p))
	}
	return Pin(b), nil
}
