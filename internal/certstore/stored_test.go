package certstore

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a change of the hashes of the files. They are part of the identity under
// which TLS sessions are stored on disk, so a release that computes them in another way
// would drop the sessions that an earlier release stored.
func TestStoredSums(t *testing.T) {
	key, err := os.ReadFile(filepath.Join("testdata", "own.key"))
	if err != nil {
		t.Fatal(err)
	}
	keyPath := filepath.Join(t.TempDir(), "own.key") // git does not keep the mode 0600
	if err := os.WriteFile(keyPath, key, 0o600); err != nil {
		t.Fatal(err)
	}
	files := Files{
		Certificate: filepath.Join("testdata", "own.pem"),
		Key:         keyPath,
		Roots:       filepath.Join("testdata", "roots.pem"),
	}
	credentials, err := Load(files, noon)
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile(filepath.Join("testdata", "sums.txt"))
	if err != nil {
		t.Fatal(err)
	}
	got := fmt.Sprintf("own %x\nroots %x\n", credentials.CertificateSum, credentials.RootsSum)
	if got != string(want) {
		t.Errorf("hashes of the files:\n%swant:\n%s", got, want)
	}
	if !strings.HasPrefix(credentials.NotAfter.String(), "2126-01-01") {
		t.Errorf("NotAfter = %s, want 2126-01-01", credentials.NotAfter)
	}
}
