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

// issue makes a certificate signed by issuer, or a self-signed one if issuer is nil.
func issue(t testing.TB, issuer *issuedCert, key crypto.Signer, change func(*x509.Certificate)) *issuedCert {
	t.Helper()
	changes := []func(*x509.Certificate){
		testca.WithNames("pay.example.org"),
		testca.WithValidity(noon.Add(-time.Hour), noon.Add(time.Hour)),
	}
	if change != nil {
		changes = append(changes, change)
	}
	issued, err := testca.Issue(issuer, "c", key, changes...)
	if err != nil {
		t.Fatal(err)
	}
	return issued
}

func authorityTemplate(c *x509.Certificate) {
	testca.AsAuthority(c)
	c.NotBefore, c.NotAfter = noon.Add(-1000*time.Hour), noon.Add(1000*time.Hour)
}

func combine(changes ...func(*x509.Certificate)) func(*x509.Certificate) {
	return func(c *x509.Certificate) {
		for _, change := range changes {
			change(c)
		}
	}
}

// revocationListDER returns an authority's revocation list, with its next update at next
// after noon.
func revocationListDER(t testing.TB, issuer *issuedCert, next time.Duration, revoked ...*issuedCert) []byte {
	t.Helper()
	list := &x509.RevocationList{
		Number:     big.NewInt(7),
		ThisUpdate: noon.Add(-10 * time.Minute),
		NextUpdate: noon.Add(next),
	}
	for _, issued := range revoked {
		list.RevokedCertificateEntries = append(list.RevokedCertificateEntries,
			x509.RevocationListEntry{SerialNumber: issued.SerialNumber, RevocationTime: noon.Add(-time.Hour)})
	}
	der, err := x509.CreateRevocationList(rand.Reader, list, issuer.Certificate, issuer.Key)
	if err != nil {
		t.Fatal(err)
	}
	return der
}

func revocationEvidence(t testing.TB, der ...[]byte) *RevocationEvidence {
	t.Helper()
	lists, err := NewRevocationLists(der...)
	if err != nil {
		t.Fatal(err)
	}
	return &RevocationEvidence{Lists: lists}
}

// ocspStaple returns an OCSP response of issuer about subject, with its next update at next
// after noon.
func ocspStaple(t testing.TB, issuer, subject *issuedCert, status int, next time.Duration) []byte {
	t.Helper()
	der, err := ocsp.CreateResponse(issuer.Certificate, issuer.Certificate, ocsp.Response{
		Status: status, SerialNumber: subject.SerialNumber,
		ThisUpdate: noon.Add(-10 * time.Minute), NextUpdate: noon.Add(next), RevokedAt: noon.Add(-time.Hour),
	}, issuer.Key)
	if err != nil {
		t.Fatal(err)
	}
	return der
}

func withStaple(e *RevocationEvidence, staple []byte) *RevocationEvidence {
	return &RevocationEvidence{staple, e.Lists}
}

// Guards against accepting an invalid identity, rejecting a valid one, and reporting the
// wrong cause of a rejection.
func TestVerify(t *testing.T) {
	root, other := issue(t, nil, nil, authorityTemplate), issue(t, nil, nil, authorityTemplate)
	subCA := issue(t, root, nil, authorityTemplate)
	lowerCA := issue(t, subCA, nil, authorityTemplate)
	names := func(n ...string) func(*x509.Certificate) { return func(c *x509.Certificate) { c.DNSNames = n } }
	from := func(from, to time.Duration) func(*x509.Certificate) {
		return func(c *x509.Certificate) { c.NotBefore, c.NotAfter = noon.Add(from), noon.Add(to) }
	}
	weakRSA, err := rsa.GenerateKey(rand.Reader, 1024)
	if err != nil {
		t.Skip("this build does not generate weak keys: ", err)
	}
	goodRSA, err := rsa.GenerateKey(rand.Reader, 2048)
	if err != nil {
		t.Fatal(err)
	}
	weakCurve, err := ecdsa.GenerateKey(elliptic.P224(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	_, ed25519Key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	valid := issue(t, subCA, nil, nil)
	backup := issue(t, subCA, nil, nil)
	mustStapleLeaf := issue(t, subCA, nil, func(c *x509.Certificate) {
		c.ExtraExtensions = []pkix.Extension{{Id: tlsFeatureOID, Value: []byte{0x30, 3, 2, 1, 5}}}
	})
	expiredSubCA := issue(t, root, nil, combine(authorityTemplate, from(-100*time.Hour, -time.Hour)))
	futureSubCA := issue(t, root, nil, combine(authorityTemplate, from(time.Hour, 100*time.Hour)))
	notCA := issue(t, root, nil, combine(authorityTemplate, func(c *x509.Certificate) { c.IsCA = false }))
	weakSubCA := issue(t, root, weakRSA, authorityTemplate)
	constrainedCA := issue(t, root, nil, combine(authorityTemplate, func(c *x509.Certificate) {
		c.PermittedDNSDomains, c.PermittedDNSDomainsCritical = []string{"shop.example.org"}, true
	}))
	withoutSubCAs := func(c *x509.Certificate) { c.MaxPathLen, c.MaxPathLenZero = 0, true }
	leafOnlyCA := issue(t, root, nil, combine(authorityTemplate, withoutSubCAs))
	tooDeepCA := issue(t, leafOnlyCA, nil, authorityTemplate)
	chain := func(all ...*issuedCert) (certificates []*x509.Certificate) {
		for _, issued := range all {
			certificates = append(certificates, issued.Certificate)
		}
		return certificates
	}
	leaf := func(issuer *issuedCert, change func(*x509.Certificate)) *issuedCert {
		return issue(t, issuer, nil, change)
	}
	pins := func(all ...*issuedCert) (p []Pin) {
		for _, issued := range all {
			p = append(p, PinOf(issued.Certificate))
		}
		return p
	}
	for _, test := range []struct {
		name          string
		certs         []*x509.Certificate
		pins          []Pin
		requireStatus bool
		evidence      *RevocationEvidence
		want          FailureCause // 0: accepted
	}{
		{name: "valid", certs: chain(valid, subCA)},
		{name: "valid, two intermediates", certs: chain(leaf(lowerCA, nil), lowerCA, subCA)},
		{name: "valid, intermediates out of order", certs: chain(leaf(lowerCA, nil), subCA, lowerCA)},
		{name: "valid, the root is included", certs: chain(valid, subCA, root)},
		{name: "valid, with an unrelated certificate", certs: chain(valid, other, subCA)},
		{name: "valid, issued by the root", certs: chain(leaf(root, nil))},
		{name: "valid, wildcard name", certs: chain(leaf(subCA, names("*.example.org")), subCA)},
		{name: "valid, RSA 2048", certs: chain(issue(t, subCA, goodRSA, nil), subCA)},
		{name: "valid, Ed25519", certs: chain(issue(t, subCA, ed25519Key, nil), subCA)},
		{name: "valid, leaf pinned", certs: chain(valid, subCA), pins: pins(valid, backup)},
		{name: "valid, intermediate pinned", certs: chain(valid, subCA), pins: pins(subCA, backup)},
		{name: "valid, root pinned", certs: chain(valid, subCA), pins: pins(backup, root)},
		{
			name: "valid, status good and required", certs: chain(valid, subCA), requireStatus: true,
			evidence: revocationEvidence(
				t, revocationListDER(t, subCA, time.Hour), revocationListDER(t, root, time.Hour),
			),
		},
		{
			name: "valid, status unknown and not required", certs: chain(valid, subCA),
			evidence: revocationEvidence(t, revocationListDER(t, root, time.Hour)),
		},
		{name: "no certificate", want: NoCertificate},
		{name: "RSA key too short", certs: chain(issue(t, subCA, weakRSA, nil), subCA), want: WeakKey},
		{name: "curve too short", certs: chain(issue(t, subCA, weakCurve, nil), subCA), want: WeakKey},
		{name: "key of the intermediate too short", certs: chain(leaf(weakSubCA, nil), weakSubCA), want: WeakKey},
		{name: "not yet valid", certs: chain(leaf(subCA, from(time.Second, time.Hour)), subCA), want: NotYetValid},
		{name: "expired", certs: chain(leaf(subCA, from(-time.Hour, -time.Second)), subCA), want: Expired},
		{name: "expires at this moment", certs: chain(leaf(subCA, from(-time.Hour, 0)), subCA), want: Expired},
		{name: "intermediate expired", certs: chain(leaf(expiredSubCA, nil), expiredSubCA), want: Expired},
		{name: "intermediate not yet valid", certs: chain(leaf(futureSubCA, nil), futureSubCA), want: NotYetValid},
		{name: "another name", certs: chain(leaf(subCA, names("shop.example.org")), subCA), want: NameMismatch},
		{name: "no name", certs: chain(leaf(subCA, names()), subCA), want: NameMismatch},
		{
			name: "name only in the subject",
			certs: chain(
				leaf(subCA, func(c *x509.Certificate) { c.DNSNames, c.Subject.CommonName = nil, "pay.example.org" }),
				subCA,
			),
			want: NameMismatch,
		},
		{name: "wildcard for a top-level domain", certs: chain(leaf(subCA, names("*.org")), subCA), want: NameMismatch},
		{
			name:  "wildcard for subdomains of the name",
			certs: chain(leaf(subCA, names("*.pay.example.org")), subCA), want: NameMismatch,
		},
		{
			name: "IP address in place of the name",
			certs: chain(
				leaf(subCA, func(c *x509.Certificate) { c.DNSNames, c.IPAddresses = nil, []net.IP{{127, 0, 0, 1}} }),
				subCA,
			),
			want: NameMismatch,
		},
		{name: "another root", certs: chain(leaf(other, nil), other), want: UntrustedRoot},
		{name: "self-signed", certs: chain(issue(t, nil, nil, nil)), want: UntrustedRoot},
		{name: "intermediate missing", certs: chain(valid), want: UntrustedRoot},
		{name: "expired intermediate of another chain", certs: chain(valid, expiredSubCA), want: Expired},
		{name: "issuer is not an authority", certs: chain(leaf(notCA, nil), notCA), want: UntrustedRoot},
		{
			name: "certificate for clients only",
			certs: chain(
				leaf(subCA, func(c *x509.Certificate) {
					c.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
				}),
				subCA,
			),
			want: InvalidChain,
		},
		{
			name:  "name not permitted by the issuer's constraints",
			certs: chain(leaf(constrainedCA, nil), constrainedCA), want: InvalidChain,
		},
		{
			name: "chain longer than the issuer permits", certs: chain(leaf(tooDeepCA, nil), tooDeepCA, leafOnlyCA),
			want: InvalidChain,
		},
		{name: "no key pinned", certs: chain(valid, subCA), pins: pins(other, backup), want: PinMismatch},
		{
			name:  "pin of another certificate with the same name",
			certs: chain(leaf(subCA, nil), subCA), pins: pins(valid, backup),
			want: PinMismatch,
		},
		{
			name: "revoked", certs: chain(valid, subCA),
			evidence: revocationEvidence(t, revocationListDER(t, subCA, time.Hour, valid)), want: CertificateRevoked,
		},
		{
			name: "intermediate revoked", certs: chain(valid, subCA),
			evidence: revocationEvidence(t, revocationListDER(t, root, time.Hour, subCA)), want: CertificateRevoked,
		},
		{
			name: "revoked by an expired list", certs: chain(valid, subCA),
			evidence: revocationEvidence(t, revocationListDER(t, subCA, -time.Minute, valid)), want: CertificateRevoked,
		},
		{
			name: "good only by an expired list, status required", certs: chain(valid, subCA), requireStatus: true,
			evidence: revocationEvidence(
				t, revocationListDER(t, subCA, -time.Minute), revocationListDER(t, root, time.Hour),
			),
			want: RevocationUnresolved,
		},
		{
			name: "valid, serial in a list of another authority", certs: chain(valid, subCA),
			evidence: revocationEvidence(t, revocationListDER(t, other, time.Hour, valid)),
		},
		{
			name: "valid, serial in a list with a forged signature", certs: chain(valid, subCA),
			evidence: revocationEvidence(
				t, revocationListDER(t, &issuedCert{Certificate: subCA.Certificate, Key: other.Key}, time.Hour, valid),
			),
		},
		{
			name: "valid, good staple and status required", certs: chain(valid, subCA), requireStatus: true,
			evidence: withStaple(
				revocationEvidence(t, revocationListDER(t, root, time.Hour)),
				ocspStaple(t, subCA, valid, ocsp.Good, time.Hour),
			),
		},
		{
			name: "valid, must-staple with a good staple", certs: chain(mustStapleLeaf, subCA),
			evidence: &RevocationEvidence{Staple: ocspStaple(t, subCA, mustStapleLeaf, ocsp.Good, time.Hour)},
		},
		{
			name: "must-staple without a staple", certs: chain(mustStapleLeaf, subCA),
			evidence: revocationEvidence(t, revocationListDER(t, subCA, time.Hour)), want: RevocationUnresolved,
		},
		{
			name: "must-staple with an expired staple", certs: chain(mustStapleLeaf, subCA),
			evidence: &RevocationEvidence{Staple: ocspStaple(t, subCA, mustStapleLeaf, ocsp.Good, -time.Minute)},
			want:     RevocationUnresolved,
		},
		{
			name: "must-staple with a staple for another certificate", certs: chain(mustStapleLeaf, subCA),
			evidence: &RevocationEvidence{Staple: ocspStaple(t, subCA, valid, ocsp.Good, time.Hour)},
			want:     RevocationUnresolved,
		},
		{
			name: "must-staple with a malformed staple", certs: chain(mustStapleLeaf, subCA),
			evidence: &RevocationEvidence{Staple: []byte("\x30\x03\x0a\x01\x00")}, want: RevocationUnresolved,
		},
		{
			name: "revoked by the staple", certs: chain(valid, subCA),
			evidence: &RevocationEvidence{Staple: ocspStaple(t, subCA, valid, ocsp.Revoked, time.Hour)},
			want:     CertificateRevoked,
		},
		{
			name: "revoked by the staple, good by a list", certs: chain(valid, subCA),
			evidence: withStaple(
				revocationEvidence(t, revocationListDER(t, subCA, time.Hour)),
				ocspStaple(t, subCA, valid, ocsp.Revoked, time.Hour),
			),
			want: CertificateRevoked,
		},
		{
			name:  "staple signed by another authority, status required",
			certs: chain(valid, subCA), requireStatus: true,
			evidence: &RevocationEvidence{Staple: ocspStaple(t, other, valid, ocsp.Good, time.Hour)},
			want:     RevocationUnresolved,
		},
		{
			name:  "status unknown for the intermediate, status required",
			certs: chain(valid, subCA), requireStatus: true,
			evidence: revocationEvidence(t, revocationListDER(t, subCA, time.Hour)), want: RevocationUnresolved,
		},
		{
			name:  "no revocation evidence, status required",
			certs: chain(valid, subCA), requireStatus: true, want: RevocationUnresolved,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := &Rule{
				Name:                    "pay",
				ServerName:              "pay.example.org",
				Roots:                   root.RootPool(),
				Pins:                    test.pins,
				RequireRevocationStatus: test.requireStatus,
			}
			if err := r.Validate(); err != nil {
				t.Fatal(err)
			}
			verification, failure := r.Verify(test.certs, noon, test.evidence)
			switch {
			case (verification == nil) == (failure == nil):
				t.Errorf("Verify = verification %v, failure %v, want exactly one", verification, failure)
			case failure == nil && test.want != 0:
				t.Errorf("Verify = nil failure, want %s", test.want)
			case failure != nil && failure.Cause != test.want:
				t.Errorf("Verify = failure %v, want %s", failure, test.want)
			case verification != nil && !verification.ValidUntil.After(noon):
				t.Errorf("Verify: ValidUntil = %s, want after %s", verification.ValidUntil, noon)
			}
		})
	}
}

// Guards against a verification that outlasts a certificate of its chain.
func TestVerificationEndsWithEarliestCertificate(t *testing.T) {
	root := issue(t, nil, nil, authorityTemplate)
	endsSoon := func(c *x509.Certificate) { c.NotAfter = noon.Add(time.Minute) }
	subCA := issue(t, root, nil, combine(authorityTemplate, endsSoon))
	r := &Rule{Name: "pay", ServerName: "pay.example.org", Roots: root.RootPool()}
	verification, failure := r.Verify(
		[]*x509.Certificate{issue(t, subCA, nil, nil).Certificate, subCA.Certificate}, noon, nil)
	if failure != nil || !verification.ValidUntil.Equal(noon.Add(time.Minute)) {
		t.Errorf("Verify = %v, failure %v; want ValidUntil %v", verification, failure, noon.Add(time.Minute))
	}
}

func TestRuleValidate(t *testing.T) {
	pool := x509.NewCertPool()
	for name, r := range map[string]*Rule{
		"no server name":     {Roots: pool},
		"no roots":           {ServerName: "a"},
		"a single pin":       {ServerName: "a", Roots: pool, Pins: []Pin{{1}}},
		"the same pin twice": {ServerName: "a", Roots: pool, Pins: []Pin{{1}, {1}}},
	} {
		t.Run(name, func(t *testing.T) {
			if r.Validate() == nil {
				t.Error("Validate() = nil, want an error")
			}
		})
	}
	if err := (&Rule{ServerName: "a", Roots: pool, Pins: []Pin{{1}, {2}}}).Validate(); err != nil {
		t.Errorf("Validate() of a rule with two pins = %v, want nil", err)
	}
}

func FuzzParsePin(f *testing.F) {
	f.Add(Pin{1, 2, 3}.String())
	f.Add("")
	f.Add("AAAA")
	f.Fuzz(func(t *testing.T, s string) {
		if p, err := ParsePin(s); err == nil && p.String() != s {
			t.Errorf("ParsePin(%q).String() = %q, want the input", s, p)
		}
	})
}
