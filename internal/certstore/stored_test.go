package certstore

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The sums of the files are part of the identity under which TLS sessions are
// stored on disk: a release that computes them in another way would drop the
// sessions that the one before it stored.
func TestStoredSums(t *testing.T) {
	key, err := os.ReadFile(filepath.Join("testdata", "own.key"))
	if err != nil {
		t.Fatal(err)
	}
	private := filepath.Join(t.TempDir(), "own.key") // a checkout does not keep the mode
	if err := os.WriteFile(private, key, 0o600); err != nil {
		t.Fatal(err)
	}
	files := Files{
		Certificate: filepath.Join("testdata", "own.pem"),
		Key:         private,
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
		t.Errorf("sums:\n%swant:\n%s", got, want)
	}
	if !strings.HasPrefix(credentials.NotAfter.String(), "2126-01-01") {
		t.Errorf("own certificate until %s", credentials.NotAfter)
	}
}
