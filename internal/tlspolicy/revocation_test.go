package tlspolicy

import (
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/asn1"
	"math/big"
	"testing"
	"time"
)

// A list that is not understood as a whole is refused: a delta, or one without
// an end, would acquit what it does not tell of.
func TestNewRevocationListsRejects(t *testing.T) {
	root := issue(t, nil, nil, authorityTemplate)
	encode := func(change func(*x509.RevocationList)) []byte {
		l := &x509.RevocationList{Number: big.NewInt(1), ThisUpdate: noon, NextUpdate: noon.Add(time.Hour)}
		change(l)
		der, err := x509.CreateRevocationList(rand.Reader, l, root.Certificate, root.Key)
		if err != nil {
			t.Fatal(err)
		}
		return der
	}
	many := [][]byte{}
	for range maxRevocationLists + 1 {
		many = append(many, encode(func(*x509.RevocationList) {}))
	}
	for name, der := range map[string][][]byte{
		"rubbish": {[]byte("rubbish")},
		"a delta": {encode(func(l *x509.RevocationList) {
			l.ExtraExtensions = []pkix.Extension{
				{Id: asn1.ObjectIdentifier{2, 5, 29, 27}, Critical: true, Value: []byte{2, 1, 1}},
			}
		})},
		"too many": many,
	} {
		if _, err := NewRevocationLists(der...); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	l, err := NewRevocationLists(many[0], encode(func(l *x509.RevocationList) { l.NextUpdate = noon.Add(time.Minute) }))
	if err != nil || !l.NextUpdate().Equal(noon.Add(time.Minute)) || l.Len() != 2 {
		t.Errorf("two lists end at %v, %v", l.NextUpdate(), err)
	}
}

func FuzzNewRevocationLists(f *testing.F) {
	root := issue(f, nil, nil, authorityTemplate)
	f.Add(revocationListDER(f, root, time.Hour, root))
	f.Add([]byte{0x30, 0})
	f.Fuzz(func(t *testing.T, der []byte) {
		if l, err := NewRevocationLists(der); err == nil {
			l.Status(root.Certificate, root.Certificate, noon)
		}
	})
}

func FuzzStapledStatus(f *testing.F) {
	root, other := issue(f, nil, nil, authorityTemplate), issue(f, nil, nil, authorityTemplate)
	leaf := issue(f, root, nil, nil)
	f.Add(ocspStaple(f, root, leaf, 0, time.Hour))
	f.Add([]byte{0x30, 3, 0x0a, 1, 0})
	f.Fuzz(func(t *testing.T, response []byte) {
		if stapledStatus(response, leaf.Certificate, other.Certificate, noon) != StatusUnknown {
			t.Error("a response speaks for an issuer that did not sign it")
		}
	})
}
