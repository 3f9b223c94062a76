package runner

import (
	"os"
	"path/filepath"
	"testing"
)

// Guards against a crash of a relay that is reported by its exit status alone: the report has the first line of the
// panic and the place in the relay's code.
func TestPanicIn(t *testing.T) {
	const stack = "goroutine 41 [running]:\npanic({0x1, 0x2})\n\t/go/src/runtime/panic.go:783 +0x1\n" +
		"runtime.sigpanic()\n\t/go/src/runtime/signal.go:9 +0x2\n" +
		"troutusher/internal/tlsdial.(*Conn).IdentityCurrent(0x0)\n\t/w/internal/tlsdial/conn.go:54 +0x14\n" +
		"troutusher/internal/upstream.(*Endpoint).takeIdleLocked(0x4000)\n\t/w/internal/upstream/pool.go:90 +0x8c\n"
	for name, test := range map[string]struct{ text, want string }{
		"no panic":    {"time=1 level=INFO msg=ready\n", ""},
		"empty":       {"", ""},
		"first line":  {"msg=x\npanic: boom\n", "panic: boom"},
		"fatal error": {"fatal error: out of memory\n\n", "fatal error: out of memory"},
		"with a stack": {
			"msg=x\npanic: runtime error: nil pointer\n[signal SIGSEGV]\n\n" + stack,
			"panic: runtime error: nil pointer, in troutusher/internal/tlsdial.(*Conn).IdentityCurrent (conn.go:54)",
		},
		"two panics": {"panic: first\n\n" + stack + "msg=ready\npanic: second\n", "panic: second"},
		"cut off":    {"panic: boom\n\ngoroutine 1 [running]:\nmain.f(", "panic: boom"},
	} {
		if got := panicIn(test.text); got != test.want {
			t.Errorf("%s: panicIn() = %q, want %q", name, got, test.want)
		}
	}
	path := filepath.Join(t.TempDir(), "log")
	if err := os.WriteFile(path, []byte("0123456789"), 0o600); err != nil {
		t.Fatal(err)
	}
	if got := readFrom(path, 6); got != "6789" {
		t.Errorf("readFrom(10 bytes, 6) = %q, want the last four", got)
	}
	if got := readFrom(path+"-missing", 0); got != "" {
		t.Errorf("readFrom(missing file) = %q, want nothing", got)
	}
}

// FuzzPanicIn checks that no log makes panicIn panic itself.
func FuzzPanicIn(f *testing.F) {
	f.Add("panic: a\n\tb\n\tc")
	f.Add("fatal error: a\nf(\n\t")
	f.Fuzz(func(_ *testing.T, text string) { panicIn(text) })
}
