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

// Guards against lists that the package would misread: a delta list does not name all
// revoked certificates, so those it omits would count as good. A list without a next
// update would never expire; it is rejected too, but x509 cannot create one for this test.
func TestNewRevocationListsRejects(t *testing.T) {
	root := issue(t, nil, nil, authorityTemplate)
	encode := func(change func(*x509.RevocationList)) []byte {
		list := &x509.RevocationList{Number: big.NewInt(1), ThisUpdate: noon, NextUpdate: noon.Add(time.Hour)}
		change(list)
		der, err := x509.CreateRevocationList(rand.Reader, list, root.Certificate, root.Key)
		if err != nil {
			t.Fatal(err)
		}
		return der
	}
	tooMany := [][]byte{}
	for range maxRevocationLists + 1 {
		tooMany = append(tooMany, encode(func(*x509.RevocationList) {}))
	}
	for name, der := range map[string][][]byte{
		"invalid DER": {[]byte("rubbish")},
		"delta list": {encode(func(l *x509.RevocationList) {
			l.ExtraExtensions = []pkix.Extension{
				{Id: asn1.ObjectIdentifier{2, 5, 29, 27}, Critical: true, Value: []byte{2, 1, 1}},
			}
		})},
		"too many lists": tooMany,
	} {
		if _, err := NewRevocationLists(der...); err == nil {
			t.Errorf("%s: NewRevocationLists = nil error, want an error", name)
		}
	}
	lists, err := NewRevocationLists(
		tooMany[0], encode(func(l *x509.RevocationList) { l.NextUpdate = noon.Add(time.Minute) }))
	if err != nil || !lists.NextUpdate().Equal(noon.Add(time.Minute)) || lists.Len() != 2 {
		t.Errorf("two lists: NextUpdate() = %v, Len() = %d, error %v; want %v, 2, no error",
			lists.NextUpdate(), lists.Len(), err, noon.Add(time.Minute))
	}
}

func FuzzNewRevocationLists(f *testing.F) {
	root := issue(f, nil, nil, authorityTemplate)
	f.Add(revocationListDER(f, root, time.Hour, root))
	f.Add([]byte{0x30, 0})
	f.Fuzz(func(t *testing.T, der []byte) {
		if lists, err := NewRevocationLists(der); err == nil {
			lists.Status(root.Certificate, root.Certificate, noon)
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
			t.Error("stapledStatus accepted a response that the issuer did not sign")
		}
	})
}
