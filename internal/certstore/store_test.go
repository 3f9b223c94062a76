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

func issue(t testing.TB, up *issuedCert, ca bool, from, to time.Duration) *issuedCert {
	t.Helper()
	changes := []func(*x509.Certificate){testca.WithValidity(noon.Add(from), noon.Add(to))}
	if ca {
		changes = append(changes, testca.AsAuthority)
	}
	m, err := testca.Issue(up, "c", nil, changes...)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func certPEM(m *issuedCert) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: m.Raw})
}

func keyPEM(t testing.TB, m *issuedCert) []byte {
	t.Helper()
	text, err := m.KeyPEM()
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
	mid := issue(t, root, true, -time.Hour, time.Hour)
	own, other := issue(t, mid, false, -time.Hour, time.Hour), issue(t, mid, false, -time.Hour, time.Hour)
	old, young := issue(t, mid, false, -2*time.Hour, -time.Hour), issue(t, mid, false, time.Hour, 2*time.Hour)
	rubbish := []byte("-----BEGIN CERTIFICATE-----\nAAAA\n-----END CERTIFICATE-----\n")
	for _, x := range []struct {
		name             string
		cert, key, roots []byte
		keyMode          os.FileMode
		want             string // in the error; empty for none
	}{
		{name: "all", cert: append(certPEM(own), certPEM(mid)...), key: keyPEM(t, own), roots: certPEM(root)},
		{name: "roots alone", roots: append(certPEM(root), certPEM(mid)...)},
		{name: "key of another", cert: certPEM(own), key: keyPEM(t, other), want: "not the certificate's"},
		{name: "key without certificate", key: keyPEM(t, own), want: "together"},
		{name: "readable by the group", cert: certPEM(own), key: keyPEM(t, own), keyMode: 0o640, want: "mode 0640"},
		{name: "readable by all", cert: certPEM(own), key: keyPEM(t, own), keyMode: 0o644, want: "mode 0644"},
		{name: "expired", cert: certPEM(old), key: keyPEM(t, old), want: "valid until"},
		{name: "not yet valid", cert: certPEM(young), key: keyPEM(t, young), want: "valid from"},
		{
			name: "chain in disorder", cert: slices.Concat(certPEM(own), certPEM(root), certPEM(mid)),
			key: keyPEM(t, own), want: "certificate 2",
		},
		{
			name: "authority first", cert: slices.Concat(certPEM(mid), certPEM(own)), key: keyPEM(t, mid),
			want: "comes first",
		},
		{name: "no certificate", cert: []byte("nothing"), key: keyPEM(t, own), want: "no certificate"},
		{name: "a key in the certificate's file", cert: keyPEM(t, own), key: keyPEM(t, own), want: "is no certificate"},
		{name: "cut off", cert: certPEM(own)[:200], key: keyPEM(t, own), want: "no certificate"},
		{name: "rubbish in PEM", cert: rubbish, key: keyPEM(t, own), want: "certificate 1"},
		{name: "no key", cert: certPEM(own), key: []byte("nothing"), want: "no PEM"},
		{name: "a root that is none", roots: certPEM(own), want: "no authority"},
		{name: "too long", roots: bytes.Repeat([]byte{'\n'}, maxFileBytes+1), want: "bytes"},
	} {
		t.Run(x.name, func(t *testing.T) {
			dir := t.TempDir()
			f := Files{}
			write := func(path *string, name string, content []byte, mode os.FileMode) {
				if content != nil {
					*path = filepath.Join(dir, name)
					replaceFile(t, *path, mode, content)
				}
			}
			if x.keyMode == 0 {
				x.keyMode = 0o600
			}
			write(&f.Certificate, "cert", x.cert, 0o644)
			write(&f.Key, "key", x.key, x.keyMode)
			write(&f.Roots, "roots", x.roots, 0o644)
			credentials, err := Load(f, noon)
			switch {
			case (err == nil) != (credentials != nil):
				t.Errorf("%v, %v", credentials, err)
			case x.want == "" && err != nil || x.want != "" && (err == nil || !strings.Contains(err.Error(), x.want)):
				t.Errorf("%v, want %q", err, x.want)
			}
			if err != nil && bytes.Contains(x.key, []byte("PRIVATE")) {
				secret := strings.Split(string(x.key), "\n")[1]
				if strings.Contains(err.Error(), secret[:16]) {
					t.Errorf("a secret in %v", err)
				}
			}
		})
	}
	pipe := filepath.Join(t.TempDir(), "pipe")
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(Files{Roots: pipe}, noon); err == nil || !strings.Contains(err.Error(), "regular") {
		t.Errorf("a pipe: %v", err)
	}
}

// Certificate and key are replaced one after the other, with a moment between: the old
// pair is used until the new one is complete, and there is no error. A pair that stays
// mismatched is reported once; the last good one stays in use.
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
	uses := func(m *issuedCert) {
		t.Helper()
		current := s.Current().Certificate
		public := m.Key.(*ecdsa.PrivateKey).PublicKey
		if !current.Leaf.Equal(m.Certificate) || !public.Equal(current.PrivateKey.(*ecdsa.PrivateKey).Public()) {
			t.Error("another pair is in use, or half of it")
		}
	}
	look := func(after time.Duration, changed bool, want string) {
		t.Helper()
		got, err := s.Reload(noon.Add(after))
		if got != changed || (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("after %v: changed %v, %v", after, got, err)
		}
	}
	look(0, false, "")
	replaceFile(t, f.Certificate, 0o644, certPEM(b))
	look(time.Second, false, "")
	uses(a)
	replaceFile(t, f.Key, 0o600, keyPEM(t, b))
	look(2*time.Second, true, "")
	uses(b)
	replaceFile(t, f.Key, 0o600, keyPEM(t, a))
	look(3*time.Second, false, "")
	look(9*time.Second, false, "not the certificate's")
	look(10*time.Second, false, "")
	uses(b)
	replaceFile(t, f.Key, 0o600, keyPEM(t, b))
	look(11*time.Second, false, "")
	if err := os.Remove(f.Certificate); err != nil {
		t.Fatal(err)
	}
	look(12*time.Second, false, "no such file")
	uses(b)
}

func FuzzParseCertificates(f *testing.F) {
	m := issue(f, nil, true, -time.Hour, time.Hour)
	f.Add(certPEM(m))
	f.Add(append(certPEM(m), certPEM(m)...))
	f.Add([]byte("-----BEGIN CERTIFICATE-----\n-----END CERTIFICATE-----\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if certs, err := parseCertificates("f", text); err == nil && len(certs) == 0 {
			t.Error("neither certificates nor an error")
		}
	})
}
