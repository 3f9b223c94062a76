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

const writerDirEnv = "TROUTUSHER_TEST_LEARNED"

func TestMain(m *testing.M) {
	if dir := os.Getenv(writerDirEnv); dir != "" {
		writeUntilKilled(dir)
	}
	os.Exit(m.Run())
}

// writeUntilKilled writes one version after another, and tells of each that is written.
func writeUntilKilled(dir string) {
	s := NewStore(dir, "n1", 3<<20)
	for rev := int64(1); ; rev++ {
		f := sampleFile("")
		f.State.Revision = rev
		for range rev % 50 { // of any length
			f.State.Policy.Limiters = append(f.State.Policy.Limiters, f.State.Policy.Limiters[0])
		}
		if _, err := s.Write(f); err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		fmt.Println(rev)
	}
}

// spin waits for a time that is shorter than a sleep can be.
func spin(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		runtime.Gosched()
	}
}

// A process that is killed by force while it writes, wherever it is: the version
// that it last told of is read, or the one after it, whole; and the folder holds
// nothing else after.
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
				t.Fatalf("round %d: %s", round, lines.Text())
			}
			if last = n; n == kill { // and it writes on until it is dead: what it says meanwhile counts
				wait := time.Duration(rng.Int64N(800)) * time.Microsecond
				go func() {
					spin(wait)
					killed <- cmd.Process.Kill()
				}()
			}
		}
		if err := <-killed; err != nil {
			t.Fatalf("round %d: not killed: %v", round, err)
		}
		var exit *exec.ExitError
		if err := cmd.Wait(); !errors.As(err, &exit) {
			t.Fatalf("round %d: ended with %v", round, err)
		}
		s := NewStore(dir, "n1", 3<<20)
		f, err := s.Read()
		if err != nil || f == nil || f.State.Revision < last || f.State.Revision > last+1 ||
			len(f.State.Policy.Limiters) != 1+int(f.State.Revision%50) {
			t.Fatalf("round %d: killed after version %d: %+v, %v", round, last, f, err)
		}
		if f.State.Revision > last {
			newer++
		}
		if got := fileNames(t, dir); len(got) != 1 || got[0] != FileName {
			t.Errorf("round %d: in the folder: %v", round, got)
		}
	}
	t.Logf("%d of 40 were killed between the file's replacement and their word of it", newer)
}
