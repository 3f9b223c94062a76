package tlspolicy

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/rsa"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"testing"
	"time"

	"golang.org/x/crypto/ocsp"

	"troutusher/internal/testca"
)

var noon = time.Date(2026, 6, 7, 12, 0, 0, 0, time.UTC)

type issuedCert = testca.Issued

// issue makes a certificate that up signs; nil signs itself.
func issue(t testing.TB, up *issuedCert, key crypto.Signer, change func(*x509.Certificate)) *issuedCert {
	t.Helper()
	changes := []func(*x509.Certificate){
		testca.WithNames("pay.example.org"),
		testca.WithValidity(noon.Add(-time.Hour), noon.Add(time.Hour)),
	}
	if change != nil {
		changes = append(changes, change)
	}
	m, err := testca.Issue(up, "c", key, changes...)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func authorityTemplate(c *x509.Certificate) {
	testca.AsAuthority(c)
	c.NotBefore, c.NotAfter = noon.Add(-1000*time.Hour), noon.Add(1000*time.Hour)
}

func combine(fs ...func(*x509.Certificate)) func(*x509.Certificate) {
	return func(c *x509.Certificate) {
		for _, f := range fs {
			f(c)
		}
	}
}

// revocationListDER is an authority's revocation list, with the next one due in some time.
func revocationListDER(t testing.TB, up *issuedCert, next time.Duration, revoked ...*issuedCert) []byte {
	t.Helper()
	l := &x509.RevocationList{
		Number:     big.NewInt(7),
		ThisUpdate: noon.Add(-10 * time.Minute),
		NextUpdate: noon.Add(next),
	}
	for _, m := range revoked {
		l.RevokedCertificateEntries = append(l.RevokedCertificateEntries,
			x509.RevocationListEntry{SerialNumber: m.SerialNumber, RevocationTime: noon.Add(-time.Hour)})
	}
	der, err := x509.CreateRevocationList(rand.Reader, l, up.Certificate, up.Key)
	if err != nil {
		t.Fatal(err)
	}
	return der
}

func revocationEvidence(t testing.TB, der ...[]byte) *RevocationEvidence {
	t.Helper()
	l, err := NewRevocationLists(der...)
	if err != nil {
		t.Fatal(err)
	}
	return &RevocationEvidence{Lists: l}
}

// ocspStaple is an OCSP response of up's about m.
func ocspStaple(t testing.TB, up, m *issuedCert, status int, next time.Duration) []byte {
	t.Helper()
	der, err := ocsp.CreateResponse(up.Certificate, up.Certificate, ocsp.Response{
		Status: status, SerialNumber: m.SerialNumber,
		ThisUpdate: noon.Add(-10 * time.Minute), NextUpdate: noon.Add(next), RevokedAt: noon.Add(-time.Hour),
	}, up.Key)
	if err != nil {
		t.Fatal(err)
	}
	return der
}

func withStaple(e *RevocationEvidence, staple []byte) *RevocationEvidence {
	return &RevocationEvidence{staple, e.Lists}
}

// Each rejection has its cause, and nothing else is rejected.
func TestVerify(t *testing.T) {
	root, other := issue(t, nil, nil, authorityTemplate), issue(t, nil, nil, authorityTemplate)
	mid := issue(t, root, nil, authorityTemplate)
	deep := issue(t, mid, nil, authorityTemplate)
	names := func(n ...string) func(*x509.Certificate) { return func(c *x509.Certificate) { c.DNSNames = n } }
	from := func(from, to time.Duration) func(*x509.Certificate) {
		return func(c *x509.Certificate) { c.NotBefore, c.NotAfter = noon.Add(from), noon.Add(to) }
	}
	weakRSA, err := rsa.GenerateKey(rand.Reader, 1024)
	if err != nil {
		t.Skip("this build makes no weak keys: ", err)
	}
	goodRSA, err := rsa.GenerateKey(rand.Reader, 2048)
	if err != nil {
		t.Fatal(err)
	}
	weakCurve, err := ecdsa.GenerateKey(elliptic.P224(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	_, ed, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	good := issue(t, mid, nil, nil)
	backup := issue(t, mid, nil, nil)
	must := issue(t, mid, nil, func(c *x509.Certificate) {
		c.ExtraExtensions = []pkix.Extension{{Id: featureOID, Value: []byte{0x30, 3, 2, 1, 5}}}
	})
	oldMid := issue(t, root, nil, combine(authorityTemplate, from(-100*time.Hour, -time.Hour)))
	youngMid := issue(t, root, nil, combine(authorityTemplate, from(time.Hour, 100*time.Hour)))
	noCA := issue(t, root, nil, combine(authorityTemplate, func(c *x509.Certificate) { c.IsCA = false }))
	weakMid := issue(t, root, weakRSA, authorityTemplate)
	narrow := issue(t, root, nil, combine(authorityTemplate, func(c *x509.Certificate) {
		c.PermittedDNSDomains, c.PermittedDNSDomainsCritical = []string{"shop.example.org"}, true
	}))
	noPath := func(c *x509.Certificate) { c.MaxPathLen, c.MaxPathLenZero = 0, true }
	short := issue(t, root, nil, combine(authorityTemplate, noPath))
	underShort := issue(t, short, nil, authorityTemplate)
	chain := func(all ...*issuedCert) (c []*x509.Certificate) {
		for _, m := range all {
			c = append(c, m.Certificate)
		}
		return c
	}
	leaf := func(up *issuedCert, change func(*x509.Certificate)) *issuedCert { return issue(t, up, nil, change) }
	pins := func(all ...*issuedCert) (p []Pin) {
		for _, m := range all {
			p = append(p, PinOf(m.Certificate))
		}
		return p
	}
	for _, x := range []struct {
		name  string
		shown []*x509.Certificate
		pins  []Pin
		hard  bool
		known *RevocationEvidence
		want  FailureCause // 0: accepted
	}{
		{name: "sound", shown: chain(good, mid)},
		{name: "sound, three deep", shown: chain(leaf(deep, nil), deep, mid)},
		{name: "sound, the chain in disorder", shown: chain(leaf(deep, nil), mid, deep)},
		{name: "sound, the root shown as well", shown: chain(good, mid, root)},
		{name: "sound, with one that has no part in it", shown: chain(good, other, mid)},
		{name: "sound, straight from the root", shown: chain(leaf(root, nil))},
		{name: "sound, a wildcard", shown: chain(leaf(mid, names("*.example.org")), mid)},
		{name: "sound, RSA 2048", shown: chain(issue(t, mid, goodRSA, nil), mid)},
		{name: "sound, Ed25519", shown: chain(issue(t, mid, ed, nil), mid)},
		{name: "sound, pinned", shown: chain(good, mid), pins: pins(good, backup)},
		{name: "sound, one above it pinned", shown: chain(good, mid), pins: pins(mid, backup)},
		{name: "sound, the root pinned", shown: chain(good, mid), pins: pins(backup, root)},
		{
			name: "sound, known to be good", shown: chain(good, mid), hard: true,
			known: revocationEvidence(t, revocationListDER(t, mid, time.Hour), revocationListDER(t, root, time.Hour)),
		},
		{
			name: "sound, unknown and soft", shown: chain(good, mid),
			known: revocationEvidence(t, revocationListDER(t, root, time.Hour)),
		},
		{name: "none", want: NoCertificate},
		{name: "weak RSA", shown: chain(issue(t, mid, weakRSA, nil), mid), want: WeakKey},
		{name: "weak curve", shown: chain(issue(t, mid, weakCurve, nil), mid), want: WeakKey},
		{name: "weak above", shown: chain(leaf(weakMid, nil), weakMid), want: WeakKey},
		{name: "not yet", shown: chain(leaf(mid, from(time.Second, time.Hour)), mid), want: NotYetValid},
		{name: "expired", shown: chain(leaf(mid, from(-time.Hour, -time.Second)), mid), want: Expired},
		{name: "expired this moment", shown: chain(leaf(mid, from(-time.Hour, 0)), mid), want: Expired},
		{name: "expired above", shown: chain(leaf(oldMid, nil), oldMid), want: Expired},
		{name: "not yet above", shown: chain(leaf(youngMid, nil), youngMid), want: NotYetValid},
		{name: "another name", shown: chain(leaf(mid, names("shop.example.org")), mid), want: NameMismatch},
		{name: "no name", shown: chain(leaf(mid, names()), mid), want: NameMismatch},
		{
			name: "the name in the subject alone",
			shown: chain(
				leaf(mid, func(c *x509.Certificate) { c.DNSNames, c.Subject.CommonName = nil, "pay.example.org" }), mid,
			),
			want: NameMismatch,
		},
		{name: "a wildcard too wide", shown: chain(leaf(mid, names("*.org")), mid), want: NameMismatch},
		{name: "a wildcard one level up", shown: chain(leaf(mid, names("*.pay.example.org")), mid), want: NameMismatch},
		{
			name: "its address, not its name",
			shown: chain(
				leaf(mid, func(c *x509.Certificate) { c.DNSNames, c.IPAddresses = nil, []net.IP{{127, 0, 0, 1}} }), mid,
			),
			want: NameMismatch,
		},
		{name: "another root", shown: chain(leaf(other, nil), other), want: UntrustedRoot},
		{name: "signed by itself", shown: chain(issue(t, nil, nil, nil)), want: UntrustedRoot},
		{name: "what is between is missing", shown: chain(good), want: UntrustedRoot},
		{name: "what is between is another's", shown: chain(good, oldMid), want: Expired},
		{name: "no authority above", shown: chain(leaf(noCA, nil), noCA), want: UntrustedRoot},
		{
			name: "for clients",
			shown: chain(
				leaf(mid, func(c *x509.Certificate) { c.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth} }),
				mid,
			),
			want: InvalidChain,
		},
		{name: "outside what its authority may name", shown: chain(leaf(narrow, nil), narrow), want: InvalidChain},
		{
			name: "deeper than its authority may go", shown: chain(leaf(underShort, nil), underShort, short),
			want: InvalidChain,
		},
		{name: "not pinned", shown: chain(good, mid), pins: pins(other, backup), want: PinMismatch},
		{
			name: "another's pin of the same name", shown: chain(leaf(mid, nil), mid), pins: pins(good, backup),
			want: PinMismatch,
		},
		{
			name: "revoked", shown: chain(good, mid),
			known: revocationEvidence(t, revocationListDER(t, mid, time.Hour, good)), want: CertificateRevoked,
		},
		{
			name: "revoked above", shown: chain(good, mid),
			known: revocationEvidence(t, revocationListDER(t, root, time.Hour, mid)), want: CertificateRevoked,
		},
		{
			name: "revoked by a list past its time", shown: chain(good, mid),
			known: revocationEvidence(t, revocationListDER(t, mid, -time.Minute, good)), want: CertificateRevoked,
		},
		{
			name: "acquitted by a list past its time, and hard", shown: chain(good, mid), hard: true,
			known: revocationEvidence(
				t, revocationListDER(t, mid, -time.Minute), revocationListDER(t, root, time.Hour),
			),
			want: RevocationUnresolved,
		},
		{
			name: "sound, another authority's list has its serial", shown: chain(good, mid),
			known: revocationEvidence(t, revocationListDER(t, other, time.Hour, good)),
		},
		{
			name: "sound, a forged list of its authority's name", shown: chain(good, mid),
			known: revocationEvidence(
				t, revocationListDER(t, &issuedCert{Certificate: mid.Certificate, Key: other.Key}, time.Hour, good),
			),
		},
		{
			name: "sound, a good staple and hard", shown: chain(good, mid), hard: true,
			known: withStaple(
				revocationEvidence(t, revocationListDER(t, root, time.Hour)),
				ocspStaple(t, mid, good, ocsp.Good, time.Hour),
			),
		},
		{
			name: "sound, must staple and does", shown: chain(must, mid),
			known: &RevocationEvidence{Staple: ocspStaple(t, mid, must, ocsp.Good, time.Hour)},
		},
		{
			name: "must staple and does not", shown: chain(must, mid),
			known: revocationEvidence(t, revocationListDER(t, mid, time.Hour)), want: RevocationUnresolved,
		},
		{
			name: "must staple, an old one", shown: chain(must, mid),
			known: &RevocationEvidence{Staple: ocspStaple(t, mid, must, ocsp.Good, -time.Minute)},
			want:  RevocationUnresolved,
		},
		{
			name: "must staple, another's", shown: chain(must, mid),
			known: &RevocationEvidence{Staple: ocspStaple(t, mid, good, ocsp.Good, time.Hour)},
			want:  RevocationUnresolved,
		},
		{
			name: "must staple, rubbish", shown: chain(must, mid),
			known: &RevocationEvidence{Staple: []byte("\x30\x03\x0a\x01\x00")}, want: RevocationUnresolved,
		},
		{
			name: "a staple that says revoked", shown: chain(good, mid),
			known: &RevocationEvidence{Staple: ocspStaple(t, mid, good, ocsp.Revoked, time.Hour)},
			want:  CertificateRevoked,
		},
		{
			name: "a staple that says revoked, a list that does not", shown: chain(good, mid),
			known: withStaple(
				revocationEvidence(t, revocationListDER(t, mid, time.Hour)),
				ocspStaple(t, mid, good, ocsp.Revoked, time.Hour),
			),
			want: CertificateRevoked,
		},
		{
			name: "a staple signed by another, and hard", shown: chain(good, mid), hard: true,
			known: &RevocationEvidence{Staple: ocspStaple(t, other, good, ocsp.Good, time.Hour)},
			want:  RevocationUnresolved,
		},
		{
			name: "unknown and hard", shown: chain(good, mid), hard: true,
			known: revocationEvidence(t, revocationListDER(t, mid, time.Hour)), want: RevocationUnresolved,
		},
		{name: "nothing known and hard", shown: chain(good, mid), hard: true, want: RevocationUnresolved},
	} {
		t.Run(x.name, func(t *testing.T) {
			r := &Rule{
				Name:                    "pay",
				ServerName:              "pay.example.org",
				Roots:                   root.RootPool(),
				Pins:                    x.pins,
				RequireRevocationStatus: x.hard,
			}
			if err := r.Validate(); err != nil {
				t.Fatal(err)
			}
			verification, failure := r.Verify(x.shown, noon, x.known)
			switch {
			case (verification == nil) == (failure == nil):
				t.Errorf("verification %v, failure %v", verification, failure)
			case failure == nil && x.want != 0:
				t.Error("accepted")
			case failure != nil && failure.Cause != x.want:
				t.Errorf("%v, want %s", failure, x.want)
			case verification != nil && !verification.ValidUntil.After(noon):
				t.Errorf("valid until %s", verification.ValidUntil)
			}
		})
	}
}

// A verification ends with the first certificate of its chain that does.
func TestVerificationEndsWithEarliestCertificate(t *testing.T) {
	root := issue(t, nil, nil, authorityTemplate)
	endsSoon := func(c *x509.Certificate) { c.NotAfter = noon.Add(time.Minute) }
	mid := issue(t, root, nil, combine(authorityTemplate, endsSoon))
	r := &Rule{Name: "pay", ServerName: "pay.example.org", Roots: root.RootPool()}
	p, f := r.Verify([]*x509.Certificate{issue(t, mid, nil, nil).Certificate, mid.Certificate}, noon, nil)
	if f != nil || !p.ValidUntil.Equal(noon.Add(time.Minute)) {
		t.Errorf("%v, %v", p, f)
	}
}

func TestRuleValidate(t *testing.T) {
	pool := x509.NewCertPool()
	for name, r := range map[string]*Rule{
		"no name":       {Roots: pool},
		"no roots":      {ServerName: "a"},
		"one pin":       {ServerName: "a", Roots: pool, Pins: []Pin{{1}}},
		"one pin twice": {ServerName: "a", Roots: pool, Pins: []Pin{{1}, {1}}},
	} {
		t.Run(name, func(t *testing.T) {
			if r.Validate() == nil {
				t.Error("accepted")
			}
		})
	}
	if err := (&Rule{ServerName: "a", Roots: pool, Pins: []Pin{{1}, {2}}}).Validate(); err != nil {
		t.Error(err)
	}
}

func FuzzParsePin(f *testing.F) {
	f.Add(Pin{1, 2, 3}.String())
	f.Add("")
	f.Add("AAAA")
	f.Fuzz(func(t *testing.T, s string) {
		if p, err := ParsePin(s); err == nil && p.String() != s {
			t.Errorf("%q becomes %s", s, p)
		}
	})
}
