package policystate

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"
)

// writerDirEnv names the environment variable that makes the test binary write to a
// directory until it is killed.
const writerDirEnv = "TROUTUSHER_TEST_LEARNED"

func TestMain(m *testing.M) {
	if dir := os.Getenv(writerDirEnv); dir != "" {
		writeUntilKilled(dir)
	}
	os.Exit(m.Run())
}

// writeUntilKilled writes one revision of the file after another, and prints the number of
// each one that was written.
func writeUntilKilled(dir string) {
	s := NewStore(dir, "n1", 3<<20)
	for revision := int64(1); ; revision++ {
		f := sampleFile("")
		f.State.Revision = revision
		for range revision % 50 { // the size differs between revisions
			f.State.Policy.Limiters = append(f.State.Policy.Limiters, f.State.Policy.Limiters[0])
		}
		if _, err := s.Write(f); err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		fmt.Println(revision)
	}
}

// spin waits in a loop, because time.Sleep cannot wait for so short a time.
func spin(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		runtime.Gosched()
	}
}

// Guards against an incomplete or lost file after a kill at an arbitrary point of a write.
// The store must read the last revision that the killed process printed, or the next one,
// completely. It must also remove the temporary files of the killed process.
func TestKilledWhileWriting(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	newer := 0
	for round := range 40 {
		dir := t.TempDir()
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), writerDirEnv+"="+dir)
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		kill, killed := 1+rng.Int64N(12), make(chan error, 1)
		lines := bufio.NewScanner(out)
		last := int64(0)
		for lines.Scan() {
			n, err := strconv.ParseInt(strings.TrimSpace(lines.Text()), 10, 64)
			if err != nil {
				t.Fatalf("round %d: the writer printed %q, want a revision", round, lines.Text())
			}
			if last = n; n == kill { // revisions that the process prints until it is dead count as well
				wait := time.Duration(rng.Int64N(800)) * time.Microsecond
				go func() {
					spin(wait)
					killed <- cmd.Process.Kill()
				}()
			}
		}
		if err := <-killed; err != nil {
			t.Fatalf("round %d: Kill() = %v, want nil", round, err)
		}
		var exit *exec.ExitError
		if err := cmd.Wait(); !errors.As(err, &exit) {
			t.Fatalf("round %d: Wait() = %v, want an *exec.ExitError", round, err)
		}
		s := NewStore(dir, "n1", 3<<20)
		f, err := s.Read()
		if err != nil || f == nil || f.State.Revision < last || f.State.Revision > last+1 ||
			len(f.State.Policy.Limiters) != 1+int(f.State.Revision%50) {
			t.Fatalf("round %d: Read() after a kill at revision %d = %+v, %v, want this revision or the next",
				round, last, f, err)
		}
		if f.State.Revision > last {
			newer++
		}
		if got := fileNames(t, dir); len(got) != 1 || got[0] != FileName {
			t.Errorf("round %d: files after Read = %v, want only %s", round, got, FileName)
		}
	}
	t.Logf("%d of 40 processes were killed after replacing the file and before printing its revision", newer)
}
