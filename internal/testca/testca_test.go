package testca

import (
	"encoding/pem"
	"os"
	"path/filepath"
	"testing"
)

// The files that "troutusher tls dev-ca" writes: names, modes and PEM types.
func TestWrittenFiles(t *testing.T) {
	dir := t.TempDir()
	root, err := Issue(nil, "root", nil, AsAuthority)
	if err != nil {
		t.Fatal(err)
	}
	leaf, err := Issue(root, "relay.example.org", nil)
	if err != nil {
		t.Fatal(err)
	}
	cert, key, err := leaf.WriteFiles(dir, "relay", true)
	if err != nil {
		t.Fatal(err)
	}
	rootCert, rootKey, err := root.WriteFiles(dir, "root", false)
	if err != nil || rootKey != "" {
		t.Fatalf("root's key path %q, error %v", rootKey, err)
	}
	for _, c := range []struct {
		got, name, pemType string
		mode               os.FileMode
	}{
		{cert, "relay.pem", "CERTIFICATE", 0o644},
		{key, "relay.key", "PRIVATE KEY", 0o600},
		{rootCert, "root.pem", "CERTIFICATE", 0o644},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.got != filepath.Join(dir, c.name) {
				t.Errorf("path %s", c.got)
			}
			text, err := os.ReadFile(c.got)
			if err != nil {
				t.Fatal(err)
			}
			if block, rest := pem.Decode(text); block == nil || block.Type != c.pemType || len(rest) > 0 {
				t.Errorf("not one PEM block of type %s:\n%s", c.pemType, text)
			}
			info, err := os.Stat(c.got)
			if err != nil {
				t.Fatal(err)
			}
			if info.Mode().Perm() != c.mode {
				t.Errorf("mode %04o, want %04o", info.Mode().Perm(), c.mode)
			}
		})
	}
}
