package keys

import (
	"bytes"
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

var noon = time.Date(2026, 6, 7, 12, 0, 0, 0, time.UTC)

type made struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func issue(t testing.TB, up *made, ca bool, from, to time.Duration) *made {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	n, _ := rand.Int(rand.Reader, big.NewInt(1<<62))
	c := &x509.Certificate{SerialNumber: n, Subject: pkix.Name{CommonName: n.String()}, NotBefore: noon.Add(from), NotAfter: noon.Add(to),
		IsCA: ca, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign}
	parent, signer := c, crypto.Signer(key)
	if up != nil {
		parent, signer = up.cert, up.key
	}
	der, err := x509.CreateCertificate(rand.Reader, c, parent, key.Public(), signer)
	if err != nil {
		t.Fatal(err)
	}
	got, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &made{got, key}
}

func (m *made) certPEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: m.cert.Raw})
}

func (m *made) keyPEM(t testing.TB) []byte {
	t.Helper()
	der, err := x509.MarshalPKCS8PrivateKey(m.key)
	if err != nil {
		t.Fatal(err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der})
}

func write(t testing.TB, path string, mode os.FileMode, parts ...[]byte) {
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
		{name: "all", cert: append(own.certPEM(), mid.certPEM()...), key: own.keyPEM(t), roots: root.certPEM()},
		{name: "roots alone", roots: append(root.certPEM(), mid.certPEM()...)},
		{name: "key of another", cert: own.certPEM(), key: other.keyPEM(t), want: "not the certificate's"},
		{name: "key without certificate", key: own.keyPEM(t), want: "together"},
		{name: "readable by the group", cert: own.certPEM(), key: own.keyPEM(t), keyMode: 0o640, want: "mode 0640"},
		{name: "readable by all", cert: own.certPEM(), key: own.keyPEM(t), keyMode: 0o644, want: "mode 0644"},
		{name: "expired", cert: old.certPEM(), key: old.keyPEM(t), want: "valid until"},
		{name: "not yet valid", cert: young.certPEM(), key: young.keyPEM(t), want: "valid from"},
		{name: "chain in disorder", cert: append(append(own.certPEM(), root.certPEM()...), mid.certPEM()...), key: own.keyPEM(t), want: "certificate 2"},
		{name: "authority first", cert: append(mid.certPEM(), own.certPEM()...), key: mid.keyPEM(t), want: "comes first"},
		{name: "no certificate", cert: []byte("nothing"), key: own.keyPEM(t), want: "no certificate"},
		{name: "a key in the certificate's file", cert: own.keyPEM(t), key: own.keyPEM(t), want: "is no certificate"},
		{name: "cut off", cert: own.certPEM()[:200], key: own.keyPEM(t), want: "no certificate"},
		{name: "rubbish in PEM", cert: rubbish, key: own.keyPEM(t), want: "certificate 1"},
		{name: "no key", cert: own.certPEM(), key: []byte("nothing"), want: "no PEM"},
		{name: "a root that is none", roots: own.certPEM(), want: "no authority"},
		{name: "too long", roots: bytes.Repeat([]byte{'\n'}, fileMost+1), want: "bytes"},
	} {
		dir := t.TempDir()
		f := Files{}
		put := func(to *string, name string, text []byte, mode os.FileMode) {
			if text != nil {
				*to = filepath.Join(dir, name)
				write(t, *to, mode, text)
			}
		}
		if x.keyMode == 0 {
			x.keyMode = 0o600
		}
		put(&f.Cert, "cert", x.cert, 0o644)
		put(&f.Key, "key", x.key, x.keyMode)
		put(&f.Roots, "roots", x.roots, 0o644)
		set, err := Load(f, noon)
		switch {
		case (err == nil) != (set != nil):
			t.Errorf("%s: %v, %v", x.name, set, err)
		case x.want == "" && err != nil || x.want != "" && (err == nil || !strings.Contains(err.Error(), x.want)):
			t.Errorf("%s: %v, want %q", x.name, err, x.want)
		}
		if err != nil && bytes.Contains(x.key, []byte("PRIVATE")) {
			secret := strings.Split(string(x.key), "\n")[1]
			if strings.Contains(err.Error(), secret[:16]) {
				t.Errorf("%s: a secret in %v", x.name, err)
			}
		}
	}
	pipe := filepath.Join(t.TempDir(), "pipe")
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(Files{Roots: pipe}, noon); err == nil || !strings.Contains(err.Error(), "regular") {
		t.Errorf("a pipe: %v", err)
	}
}

// Certificate and key are replaced one after the other, with a moment between:
// the old pair is used until the new one is whole, and nothing is told. One that
// stays broken is told once; the last good one stays.
func TestReplaced(t *testing.T) {
	dir := t.TempDir()
	f := Files{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key")}
	a, b := issue(t, nil, false, -time.Hour, time.Hour), issue(t, nil, false, -time.Hour, time.Hour)
	write(t, f.Cert, 0o644, a.certPEM())
	write(t, f.Key, 0o600, a.keyPEM(t))
	s, err := Open(f, noon)
	if err != nil {
		t.Fatal(err)
	}
	uses := func(m *made) {
		t.Helper()
		if set := s.Current(); !set.Own.Leaf.Equal(m.cert) || !m.key.PublicKey.Equal(set.Own.PrivateKey.(*ecdsa.PrivateKey).Public()) {
			t.Error("another pair is in use, or half of it")
		}
	}
	look := func(after time.Duration, changed bool, want string) {
		t.Helper()
		got, err := s.Look(noon.Add(after))
		if got != changed || (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("after %v: changed %v, %v", after, got, err)
		}
	}
	look(0, false, "")
	write(t, f.Cert, 0o644, b.certPEM())
	look(time.Second, false, "")
	uses(a)
	write(t, f.Key, 0o600, b.keyPEM(t))
	look(2*time.Second, true, "")
	uses(b)
	write(t, f.Key, 0o600, a.keyPEM(t))
	look(3*time.Second, false, "")
	look(9*time.Second, false, "not the certificate's")
	look(10*time.Second, false, "")
	uses(b)
	write(t, f.Key, 0o600, b.keyPEM(t))
	look(11*time.Second, false, "")
	if err := os.Remove(f.Cert); err != nil {
		t.Fatal(err)
	}
	look(12*time.Second, false, "no such file")
	uses(b)
}

func FuzzParse(f *testing.F) {
	m := issue(f, nil, true, -time.Hour, time.Hour)
	f.Add(m.certPEM())
	f.Add(append(m.certPEM(), m.certPEM()...))
	f.Add([]byte("-----BEGIN CERTIFICATE-----\n-----END CERTIFICATE-----\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if certs, err := parse("f", text); err == nil && len(certs) == 0 {
			t.Error("neither certificates nor an error")
		}
	})
}
