package testca

import (
	"encoding/pem"
	"os"
	"path/filepath"
	"testing"
)

// Guards against a change of the files that "troutusher tls dev-ca" writes: their names,
// modes and PEM types.
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
		t.Fatalf("WriteFiles of the root without its key: key path %q, error %v, want none", rootKey, err)
	}
	for _, test := range []struct {
		got, name, pemType string
		mode               os.FileMode
	}{
		{cert, "relay.pem", "CERTIFICATE", 0o644},
		{key, "relay.key", "PRIVATE KEY", 0o600},
		{rootCert, "root.pem", "CERTIFICATE", 0o644},
	} {
		t.Run(test.name, func(t *testing.T) {
			if test.got != filepath.Join(dir, test.name) {
				t.Errorf("WriteFiles: path %s, want %s", test.got, filepath.Join(dir, test.name))
			}
			text, err := os.ReadFile(test.got)
			if err != nil {
				t.Fatal(err)
			}
			if block, rest := pem.Decode(text); block == nil || block.Type != test.pemType || len(rest) > 0 {
				t.Errorf("%s: content, want one PEM block of type %s:\n%s", test.name, test.pemType, text)
			}
			info, err := os.Stat(test.got)
			if err != nil {
				t.Fatal(err)
			}
			if info.Mode().Perm() != test.mode {
				t.Errorf("%s: mode %04o, want %04o", test.name, info.Mode().Perm(), test.mode)
			}
		})
	}
}
