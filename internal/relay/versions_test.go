package relay

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// releasedCommit is the last commit before packages, names and file layout were changed.
const releasedCommit = "97f3134a31e945ebf7aa341edfa4e5bd58e7c416"

// releasedProgram builds the relay of releasedCommit and returns the path of the program. The path
// is empty if the repository's history is not available.
func releasedProgram(t *testing.T) string {
	t.Helper()
	root := filepath.Join("..", "..")
	if err := exec.Command("git", "-C", root, "cat-file", "-e", releasedCommit+"^{commit}").Run(); err != nil {
		return ""
	}
	source := filepath.Join(t.TempDir(), "source")
	if err := os.Mkdir(source, 0o700); err != nil {
		t.Fatal(err)
	}
	archive := source + ".tar"
	program := source + ".program"
	runCommand(t, root, "git", "archive", "--format=tar", "-o", archive, releasedCommit)
	runCommand(t, source, "tar", "-xf", archive)
	runCommand(t, source, "go", "build", "-o", program, "./cmd/troutusher")
	return program
}

func runCommand(t *testing.T, dir, name string, args ...string) {
	t.Helper()
	cmd := exec.Command(name, args...)
	cmd.Dir = dir
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("command %s %v: %v\n%s", name, args, err, out)
	}
}

// Guards upgrades and downgrades between the released program and this one, with calls in flight,
// pending messages, part of a command and a Retry-After.
func TestUpgradeAcrossVersions(t *testing.T) {
	released := releasedProgram(t)
	if released == "" {
		t.Log("history not available: only the recorded packets of TestRecordedHandover cover the released program")
		return
	}
	t.Run("from the released program", func(t *testing.T) { upgradeUnderLoad(t, released, os.Args[0]) })
	t.Run("to the released program", func(t *testing.T) { upgradeUnderLoad(t, os.Args[0], released) })
}
