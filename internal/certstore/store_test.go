package certstore

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/x509"
	"encoding/pem"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"troutusher/internal/testca"
)

var noon = time.Date(2026, 6, 7, 12, 0, 0, 0, time.UTC)

type issuedCert = testca.Issued

// issue makes a certificate, or an authority's if isCA is set, signed by issuer or
// self-signed if issuer is nil. Its validity period is relative to noon.
func issue(t testing.TB, issuer *issuedCert, isCA bool, from, to time.Duration) *issuedCert {
	t.Helper()
	changes := []func(*x509.Certificate){testca.WithValidity(noon.Add(from), noon.Add(to))}
	if isCA {
		changes = append(changes, testca.AsAuthority)
	}
	issued, err := testca.Issue(issuer, "c", nil, changes...)
	if err != nil {
		t.Fatal(err)
	}
	return issued
}

func certPEM(issued *issuedCert) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: issued.Raw})
}

func keyPEM(t testing.TB, issued *issuedCert) []byte {
	t.Helper()
	text, err := issued.KeyPEM()
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func replaceFile(t testing.TB, path string, mode os.FileMode, parts ...[]byte) {
	t.Helper()
	if err := os.WriteFile(path+".new", bytes.Join(parts, nil), mode); err != nil {
		t.Fatal(err)
	}
	if err := os.Chmod(path+".new", mode); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

func TestLoad(t *testing.T) {
	root := issue(t, nil, true, -time.Hour, time.Hour)
	subCA := issue(t, root, true, -time.Hour, time.Hour)
	own, other := issue(t, subCA, false, -time.Hour, time.Hour), issue(t, subCA, false, -time.Hour, time.Hour)
	expired, future := issue(t, subCA, false, -2*time.Hour, -time.Hour), issue(t, subCA, false, time.Hour, 2*time.Hour)
	invalidCert := []byte("-----BEGIN CERTIFICATE-----\nAAAA\n-----END CERTIFICATE-----\n")
	for _, test := range []struct {
		name             string
		cert, key, roots []byte
		keyMode          os.FileMode
		want             string // in the error; empty for none
	}{
		{name: "all files", cert: append(certPEM(own), certPEM(subCA)...), key: keyPEM(t, own), roots: certPEM(root)},
		{name: "only roots", roots: append(certPEM(root), certPEM(subCA)...)},
		{name: "key of another certificate", cert: certPEM(own), key: keyPEM(t, other), want: "does not belong"},
		{name: "key without certificate", key: keyPEM(t, own), want: "together"},
		{name: "key readable by the group", cert: certPEM(own), key: keyPEM(t, own), keyMode: 0o640, want: "mode 0640"},
		{name: "key readable by all users", cert: certPEM(own), key: keyPEM(t, own), keyMode: 0o644, want: "mode 0644"},
		{name: "expired", cert: certPEM(expired), key: keyPEM(t, expired), want: "valid until"},
		{name: "not yet valid", cert: certPEM(future), key: keyPEM(t, future), want: "valid from"},
		{
			name: "chain out of order", cert: slices.Concat(certPEM(own), certPEM(root), certPEM(subCA)),
			key: keyPEM(t, own), want: "certificate 2",
		},
		{
			name: "authority first", cert: slices.Concat(certPEM(subCA), certPEM(own)), key: keyPEM(t, subCA),
			want: "comes first",
		},
		{name: "no certificate", cert: []byte("nothing"), key: keyPEM(t, own), want: "no certificate"},
		{name: "key in the certificate file", cert: keyPEM(t, own), key: keyPEM(t, own), want: "is not a certificate"},
		{name: "truncated certificate", cert: certPEM(own)[:200], key: keyPEM(t, own), want: "no certificate"},
		{name: "invalid certificate in PEM", cert: invalidCert, key: keyPEM(t, own), want: "certificate 1"},
		{name: "no key in the key file", cert: certPEM(own), key: []byte("nothing"), want: "no PEM"},
		{name: "root that is not an authority", roots: certPEM(own), want: "not an authority"},
		{name: "file too long", roots: bytes.Repeat([]byte{'\n'}, maxFileBytes+1), want: "bytes"},
	} {
		t.Run(test.name, func(t *testing.T) {
			dir := t.TempDir()
			f := Files{}
			write := func(path *string, name string, content []byte, mode os.FileMode) {
				if content != nil {
					*path = filepath.Join(dir, name)
					replaceFile(t, *path, mode, content)
				}
			}
			if test.keyMode == 0 {
				test.keyMode = 0o600
			}
			write(&f.Certificate, "cert", test.cert, 0o644)
			write(&f.Key, "key", test.key, test.keyMode)
			write(&f.Roots, "roots", test.roots, 0o644)
			credentials, err := Load(f, noon)
			switch {
			case (err == nil) != (credentials != nil):
				t.Errorf("Load = %v, error %v, want exactly one", credentials, err)
			case test.want == "" && err != nil ||
				test.want != "" && (err == nil || !strings.Contains(err.Error(), test.want)):
				t.Errorf("Load = error %v, want one that contains %q, or nil if that is empty", err, test.want)
			}
			if err != nil && bytes.Contains(test.key, []byte("PRIVATE")) {
				secret := strings.Split(string(test.key), "\n")[1]
				if strings.Contains(err.Error(), secret[:16]) {
					t.Errorf("Load = error %q, want one without the key", err)
				}
			}
		})
	}
	pipe := filepath.Join(t.TempDir(), "pipe")
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(Files{Roots: pipe}, noon); err == nil || !strings.Contains(err.Error(), "regular") {
		t.Errorf("Load of a named pipe = error %v, want one that contains \"regular\"", err)
	}
}

// Guards against a mismatched pair in use and against needless errors. Certificate and key
// are replaced one after the other: the old pair must stay in use until both are replaced,
// without an error. A pair that stays mismatched must be reported once, and the last valid
// pair must stay in use.
func TestReloadReplacedFiles(t *testing.T) {
	dir := t.TempDir()
	f := Files{Certificate: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key")}
	a, b := issue(t, nil, false, -time.Hour, time.Hour), issue(t, nil, false, -time.Hour, time.Hour)
	replaceFile(t, f.Certificate, 0o644, certPEM(a))
	replaceFile(t, f.Key, 0o600, keyPEM(t, a))
	s, err := Open(f, noon)
	if err != nil {
		t.Fatal(err)
	}
	expectInUse := func(want *issuedCert) {
		t.Helper()
		current := s.Current().Certificate
		public := want.Key.(*ecdsa.PrivateKey).PublicKey
		if !current.Leaf.Equal(want.Certificate) || !public.Equal(current.PrivateKey.(*ecdsa.PrivateKey).Public()) {
			t.Errorf("certificate with serial %x is in use, or another key; want the pair with serial %x",
				current.Leaf.SerialNumber, want.SerialNumber)
		}
	}
	expectReload := func(after time.Duration, changed bool, want string) {
		t.Helper()
		got, err := s.Reload(noon.Add(after))
		if got != changed || (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("Reload at %v = %v, error %v, want %v, error with %q", after, got, err, changed, want)
		}
	}
	expectReload(0, false, "")
	replaceFile(t, f.Certificate, 0o644, certPEM(b))
	expectReload(time.Second, false, "")
	expectInUse(a)
	replaceFile(t, f.Key, 0o600, keyPEM(t, b))
	expectReload(2*time.Second, true, "")
	expectInUse(b)
	replaceFile(t, f.Key, 0o600, keyPEM(t, a))
	expectReload(3*time.Second, false, "")
	expectReload(9*time.Second, false, "does not belong")
	expectReload(10*time.Second, false, "")
	expectInUse(b)
	replaceFile(t, f.Key, 0o600, keyPEM(t, b))
	expectReload(11*time.Second, false, "")
	if err := os.Remove(f.Certificate); err != nil {
		t.Fatal(err)
	}
	expectReload(12*time.Second, false, "no such file")
	expectInUse(b)
}

func FuzzParseCertificates(f *testing.F) {
	issued := issue(f, nil, true, -time.Hour, time.Hour)
	f.Add(certPEM(issued))
	f.Add(append(certPEM(issued), certPEM(issued)...))
	f.Add([]byte("-----BEGIN CERTIFICATE-----\n-----END CERTIFICATE-----\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if certs, err := parseCertificates("f", text); err == nil && len(certs) == 0 {
			t.Error("parseCertificates = no certificates, nil error, want one of the two")
		}
	})
}
