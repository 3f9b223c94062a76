package resp

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"
)

// feedInPieces feeds input to a reader in pieces. pieceSize returns the size of the piece that starts at
// an offset.
func feedInPieces(t testing.TB, input []byte, pieceSize func(at int) int) (results []result) {
	t.Helper()
	var r Reader
	for at := 0; at < len(input); {
		piece := input[at:min(at+pieceSize(at), len(input))]
		at += len(piece)
		for len(piece) > 0 {
			n, complete, err := r.Feed(piece)
			piece = piece[n:]
			checkReader(t, &r, complete, len(piece))
			if !complete {
				continue
			}
			var args [][]byte // stays nil after an error
			if err == nil {
				args = r.Args()
			}
			results = append(results, commandResult(args, err))
			if err != nil && !errors.Is(err, ErrTooLong) {
				checkStaysBroken(t, &r, err)
				return results
			}
		}
	}
	return results
}

// checkReader checks the invariants that hold after each call of Feed.
func checkReader(t testing.TB, r *Reader, complete bool, unread int) {
	t.Helper()
	if r.BufferBytes() > 2*(MaxArgBytes*MaxArgs+MaxBodyBytes) {
		t.Fatalf("BufferBytes() = %d, more than twice the largest command", r.BufferBytes())
	}
	if complete && r.Incomplete() {
		t.Fatal("Incomplete() = true after a complete command")
	}
	if !complete && unread > 0 {
		t.Fatalf("Feed left %d bytes unread in the middle of a command", unread)
	}
}

// checkStaysBroken checks that a reader reads nothing more after an error.
func checkStaysBroken(t testing.TB, r *Reader, want error) {
	t.Helper()
	n, complete, err := r.Feed([]byte("*1\r\n$4\r\nPING\r\n"))
	if n != 0 || complete || !errors.Is(err, want) || err.Error() != want.Error() {
		t.Fatalf("Feed after the error %q = %d, %v, %v, want 0, false and the same error", want, n, complete, err)
	}
}

func sameResults(a, b []result) bool { return fmt.Sprintf("%q", a) == fmt.Sprintf("%q", b) }

// checkEveryCut checks that a reader's results equal the model's, however input is split into pieces.
func checkEveryCut(t testing.TB, input []byte) {
	t.Helper()
	want := model(input)
	check := func(split string, pieceSize func(at int) int) {
		t.Helper()
		if got := feedInPieces(t, input, pieceSize); !sameResults(got, want) {
			t.Fatalf("results of input %s = %.300q, want %.300q", split, got, want)
		}
	}
	check("in one piece", func(int) int { return len(input) })
	check("byte by byte", func(int) int { return 1 })
	step := max(1, len(input)/300) // a short input is split at every byte
	for cut := 0; cut < len(input); cut += step {
		check("split at byte "+strconv.Itoa(cut), func(at int) int {
			if at == 0 && cut > 0 {
				return cut
			}
			return len(input)
		})
	}
	random := uint32(len(input))
	for range 4 {
		check("in pieces of random sizes", func(int) int {
			random = random*1664525 + 1013904223
			return int(random>>24)%17 + 1
		})
	}
}

func encodeCommand(args ...string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "*%d\r\n", len(args))
	for _, arg := range args {
		fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(arg), arg)
	}
	return text.String()
}

var inputs = []string{
	encodeCommand("PING"),
	encodeCommand("PING") + encodeCommand("ping", "hi"),
	encodeCommand("MSG.PUT", "0000000000000000", "id", "c=plain,d=1,dest=2", "body\r\n\x00") + encodeCommand("PING"),
	encodeCommand("a", ""),
	encodeCommand("", ""),
	"*1\r\n$0\r\n\r\n",
	encodeCommand("MSG.PUT", "0", "i", "c", strings.Repeat("b", MaxBodyBytes)) + encodeCommand("PING"),
	encodeCommand("MSG.PUT", "0", "i", "c", strings.Repeat("b", MaxBodyBytes+1)) + encodeCommand("PING"),
	encodeCommand("MSG.PUT", strings.Repeat("k", MaxArgBytes+1), "i", "c", "b") + encodeCommand("PING"),
	encodeCommand("MSG.PUT", strings.Repeat("k", MaxArgBytes), "i", "c", "b") + encodeCommand("PING"),
	encodeCommand(strings.Split(strings.Repeat("a,", 15)+"a", ",")...),
	"PING\r\n", "\n", "\r\n",
	"*x\r\n", "*0\r\n", "*-1\r\n", "*17\r\n", "*1\n", "*\r\n", "*+1\r\n$4\r\nPING\r\n",
	"*1\r\n$999999999\r\n", "*1\r\n$-1\r\n", "*1\r\n:4\r\n",
	"*1\r\n$4\r\nPINGxx", "*1\r\n$4\r\nPING\rx", "*1\r\n$4\r\nPINGx",
	"*" + strings.Repeat("1", 99) + "\r\n",
	"*1\r\n$" + strings.Repeat("0", 40),
	"*2\r\n$1\r\na\r\n*1\r\n",
	"*1\r\n$99999999999999999999\r\n",
	"*2\r\n$1048576\r\n" + strings.Repeat("q", 1048576) + "\r\n$1\r\nz\r\n" + encodeCommand("PING"),
}

func TestSameCommandsAtEveryCut(t *testing.T) {
	for i, input := range inputs {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			t.Parallel()
			checkEveryCut(t, []byte(input))
		})
	}
}

// feedPart feeds a reader part of a command.
func feedPart(t testing.TB, r *Reader, input string) {
	t.Helper()
	if _, complete, err := r.Feed([]byte(input)); complete || err != nil {
		t.Fatalf("Feed(%.80q) completed = %v, err = %v, want an incomplete command", input, complete, err)
	}
}

// A client can announce a large argument without sending it. The reader must allocate memory only for
// bytes that have arrived, and must keep only a small buffer between commands.
func TestBufferGrowsWithInput(t *testing.T) {
	var r Reader
	feedPart(t, &r, "*2\r\n$7\r\nMSG.PUT\r\n$65536\r\nabc")
	if r.BufferBytes() > 1024 {
		t.Errorf("BufferBytes() = %d after 10 bytes of arguments, want at most 1024", r.BufferBytes())
	}
	feedPart(t, &r, strings.Repeat("x", 65533))
	if _, complete, err := r.Feed([]byte("\r\n")); !complete || err != nil || len(r.Args()[1]) != 65536 {
		t.Fatalf("Feed of the command's end: complete = %v, err = %v, want a body of 65536 bytes", complete, err)
	}
	if r.BufferBytes() > 2*MaxBodyBytes {
		t.Errorf("BufferBytes() = %d after a body of %d, want at most twice that", r.BufferBytes(), MaxBodyBytes)
	}
	r.Reset()
	if r.BufferBytes() > maxKeptBuffer {
		t.Errorf("BufferBytes() = %d after Reset, want at most %d", r.BufferBytes(), maxKeptBuffer)
	}
	// Nothing is kept of a command that is skipped.
	feedPart(t, &r, "*2\r\n$100000\r\n"+strings.Repeat("x", 100000)+"\r\n$60000\r\n"+strings.Repeat("y", 60000))
	if r.BufferBytes() != 0 {
		t.Errorf("BufferBytes() = %d in a skipped command, want 0", r.BufferBytes())
	}
	if !r.Incomplete() {
		t.Error("Incomplete() = false in a skipped command, want true")
	}
}

func FuzzSplitInput(f *testing.F) {
	for _, input := range inputs {
		if len(input) < 2000 {
			f.Add([]byte(input))
		}
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		if len(input) > 4096 {
			input = input[:4096]
		}
		checkEveryCut(t, input)
	})
}

// Pending moves an incomplete command to another process in a hand-over. A second reader that is fed the
// pending bytes must continue like the first, at whichever byte that stopped.
func TestPending(t *testing.T) {
	for _, text := range []string{
		"*1\r\n$4\r\nPING\r\n",
		"*5\r\n$7\r\nMSG.PUT\r\n$0\r\n\r\n$2\r\n\r\n\r\n$3\r\nabc\r\n$12\r\nbody of it\r\n\r\n",
		"*2\r\n$1\r\na\r\n$0\r\n\r\n",
	} {
		want := model([]byte(text))
		for cut := range len(text) {
			t.Run(fmt.Sprintf("%.8q/%d", text, cut), func(t *testing.T) {
				first, second := &Reader{}, &Reader{}
				feedPart(t, first, text[:cut])
				pending, ok := first.Pending()
				if !ok || string(pending) != text[:cut] {
					t.Fatalf("Pending() = %q, %v, want %q, true", pending, ok, text[:cut])
				}
				feedPart(t, second, string(pending))
				if _, complete, err := second.Feed([]byte(text[cut:])); !complete || err != nil {
					t.Fatalf("Feed of the rest: complete = %v, err = %v, want a complete command", complete, err)
				}
				for i, arg := range second.Args() {
					if string(arg) != want[0].args[i] {
						t.Errorf("argument %d = %q, want %q", i, arg, want[0].args[i])
					}
				}
			})
		}
	}
	skipping := &Reader{}
	feedPart(t, skipping, "*2\r\n$4\r\nPING\r\n$70000\r\nabc")
	if _, ok := skipping.Pending(); ok {
		t.Error("Pending() of a skipped command = true, want false")
	}
}

func BenchmarkFeed(b *testing.B) {
	args := []string{"MSG.PUT", "7f3a9c21e0b4d655", "9b1f03aa5c7e2d41", "c=notice,t=acme,d=8000,dest=7"}
	input := []byte(encodeCommand(append(args, strings.Repeat("b", 200))...))
	var r Reader
	b.ReportAllocs()
	b.SetBytes(int64(len(input)))
	for b.Loop() {
		if _, complete, err := r.Feed(input); !complete || err != nil {
			b.Fatalf("Feed: complete = %v, err = %v, want a complete command", complete, err)
		}
		if args := r.Args(); !bytes.Equal(args[0], []byte("MSG.PUT")) {
			b.Fatalf("Args() = %q, want MSG.PUT first", args)
		}
	}
}
