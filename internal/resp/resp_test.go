package resp

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"
)

// The model: a reader that waits for its bytes, as simple as it can be. It
// reads one command after another from the whole input.

type result struct {
	args []string
	err  string
}

func model(b []byte) (all []result) {
	r := bufio.NewReader(bytes.NewReader(b))
	for {
		args, err := modelReadCommand(r)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return all
		}
		x := result{}
		if err != nil {
			x.err = err.Error()
		} else {
			for _, a := range args {
				x.args = append(x.args, string(a))
			}
		}
		all = append(all, x)
		if err != nil && err != ErrTooLong {
			return all
		}
	}
}

func modelReadCommand(r *bufio.Reader) ([][]byte, error) {
	n, err := modelReadHeader(r, '*')
	if err != nil {
		return nil, err
	}
	if n < 1 || n > MaxArgs {
		return nil, fmt.Errorf("command of %d arguments", n)
	}
	var args [][]byte
	long := false
	for i := range n {
		size, err := modelReadHeader(r, '$')
		if err != nil {
			return nil, err
		}
		if size < 0 || size > MaxSkippedBytes {
			return nil, fmt.Errorf("argument of %d bytes", size)
		}
		long = long || size > MaxBodyBytes || size > MaxArgBytes && i < n-1
		arg := make([]byte, size+2)
		if k, err := io.ReadFull(r, arg); err != nil {
			// A wrong end is told as soon as it shows.
			if k == size+1 && arg[size] != '\r' {
				return nil, errMissingCRLF
			}
			return nil, err
		}
		if string(arg[size:]) != "\r\n" {
			return nil, errMissingCRLF
		}
		args = append(args, arg[:size])
	}
	if long {
		return nil, ErrTooLong
	}
	return args, nil
}

func modelReadHeader(r *bufio.Reader, kind byte) (int, error) {
	var line []byte
	for len(line) < maxHeaderBytes {
		c, err := r.ReadByte()
		if err != nil {
			return 0, err
		}
		if line = append(line, c); c != '\n' {
			continue
		}
		if len(line) < 2 || line[len(line)-2] != '\r' || line[0] != kind {
			break
		}
		v, err := strconv.Atoi(string(line[1 : len(line)-2]))
		if err != nil {
			break
		}
		return v, nil
	}
	return 0, fmt.Errorf("expected %q and a number", kind)
}

// feedInPieces gives the machine b in pieces, cut where the function says.
func feedInPieces(t testing.TB, b []byte, piece func(at int) int) (all []result) {
	var r Reader
	for at := 0; at < len(b); {
		part := b[at:min(at+piece(at), len(b))]
		at += len(part)
		for len(part) > 0 {
			took, whole, err := r.Feed(part)
			if r.BufferBytes() > 2*(MaxArgBytes*MaxArgs+MaxBodyBytes) {
				t.Fatalf("%d bytes held", r.BufferBytes())
			}
			if whole && r.Incomplete() {
				t.Fatal("midway behind a command")
			}
			part = part[took:]
			switch {
			case !whole && len(part) > 0:
				t.Fatalf("%d bytes left unread in the middle of a command", len(part))
			case !whole:
			case err != nil:
				all = append(all, result{err: err.Error()})
				if err != ErrTooLong {
					if took, whole, again := r.Feed([]byte("*1\r\n$4\r\nPING\r\n")); took != 0 || whole || again != err {
						t.Fatalf("goes on after %v: %d %v %v", err, took, whole, again)
					}
					return all
				}
			default:
				x := result{}
				for _, a := range r.Args() {
					x.args = append(x.args, string(a))
				}
				all = append(all, x)
			}
		}
	}
	return all
}

func sameResults(a, b []result) bool { return fmt.Sprintf("%q", a) == fmt.Sprintf("%q", b) }

func checkEveryCut(t testing.TB, b []byte) {
	want := model(b)
	if got := feedInPieces(t, b, func(int) int { return len(b) }); !sameResults(got, want) {
		t.Fatalf("in one piece: %.300q, want %.300q", got, want)
	}
	if got := feedInPieces(t, b, func(int) int { return 1 }); !sameResults(got, want) {
		t.Fatalf("byte by byte: %.300q, want %.300q", got, want)
	}
	step := max(1, len(b)/300) // every boundary of a short input
	for cut := 0; cut < len(b); cut += step {
		got := feedInPieces(t, b, func(at int) int {
			if at == 0 && cut > 0 {
				return cut
			}
			return len(b)
		})
		if !sameResults(got, want) {
			t.Fatalf("cut at %d: %.300q, want %.300q", cut, got, want)
		}
	}
	x := uint32(len(b)) // pieces of many sizes
	for range 4 {
		got := feedInPieces(t, b, func(int) int { x = x*1664525 + 1013904223; return int(x>>24)%17 + 1 })
		if !sameResults(got, want) {
			t.Fatalf("in pieces: %.300q, want %.300q", got, want)
		}
	}
}

func encodeCommand(args ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, a := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(a), a)
	}
	return b.String()
}

var inputs = []string{
	encodeCommand("PING"),
	encodeCommand("PING") + encodeCommand("ping", "hi"),
	encodeCommand("MSG.PUT", "0000000000000000", "id", "c=plain,d=1,dest=2", "body\r\n\x00") + encodeCommand("PING"),
	encodeCommand("a", ""), encodeCommand("", ""), "*1\r\n$0\r\n\r\n",
	encodeCommand("MSG.PUT", "0", "i", "c", strings.Repeat("b", MaxBodyBytes)) + encodeCommand("PING"),
	encodeCommand("MSG.PUT", "0", "i", "c", strings.Repeat("b", MaxBodyBytes+1)) + encodeCommand("PING"),
	encodeCommand("MSG.PUT", strings.Repeat("k", MaxArgBytes+1), "i", "c", "b") + encodeCommand("PING"),
	encodeCommand("MSG.PUT", strings.Repeat("k", MaxArgBytes), "i", "c", "b") + encodeCommand("PING"),
	encodeCommand(strings.Split(strings.Repeat("a,", 15)+"a", ",")...),
	"PING\r\n", "*x\r\n", "*0\r\n", "*-1\r\n", "*17\r\n", "*1\n", "*\r\n", "\n", "\r\n", "*+1\r\n$4\r\nPING\r\n",
	"*1\r\n$999999999\r\n", "*1\r\n$-1\r\n", "*1\r\n:4\r\n", "*1\r\n$4\r\nPINGxx", "*1\r\n$4\r\nPING\rx", "*1\r\n$4\r\nPINGx",
	"*" + strings.Repeat("1", 99) + "\r\n", "*1\r\n$" + strings.Repeat("0", 40), "*2\r\n$1\r\na\r\n*1\r\n",
	"*1\r\n$99999999999999999999\r\n", "*2\r\n$1048576\r\n" + strings.Repeat("q", 1048576) + "\r\n$1\r\nz\r\n" + encodeCommand("PING"),
}

func TestSameCommandsAtEveryCut(t *testing.T) {
	for i, s := range inputs {
		t.Run(strconv.Itoa(i), func(t *testing.T) { t.Parallel(); checkEveryCut(t, []byte(s)) })
	}
}

// Memory is spent as bytes come, not when they are announced, and a reader
// that is done keeps little of it.
func TestBufferGrowsWithInput(t *testing.T) {
	var r Reader
	r.Feed([]byte("*2\r\n$7\r\nMSG.PUT\r\n$65536\r\nabc"))
	if r.BufferBytes() > 1024 {
		t.Errorf("%d bytes held for 10 that came", r.BufferBytes())
	}
	r.Feed(bytes.Repeat([]byte("x"), 65533))
	if _, whole, err := r.Feed([]byte("\r\n")); !whole || err != nil || len(r.Args()[1]) != 65536 {
		t.Fatalf("whole %v, err %v", whole, err)
	}
	if r.BufferBytes() > 2*MaxBodyBytes {
		t.Errorf("%d bytes held for a body of %d", r.BufferBytes(), MaxBodyBytes)
	}
	r.Reset()
	if r.BufferBytes() > maxKeptBuffer {
		t.Errorf("%d bytes kept", r.BufferBytes())
	}
	// What is read past is not held at all.
	r.Feed([]byte("*2\r\n$100000\r\n" + strings.Repeat("x", 100000) + "\r\n$60000\r\n" + strings.Repeat("y", 60000)))
	if r.BufferBytes() != 0 {
		t.Errorf("%d bytes held of a command that will not be used", r.BufferBytes())
	}
	if !r.Incomplete() {
		t.Error("not midway")
	}
}

func FuzzSplitInput(f *testing.F) {
	for _, s := range inputs {
		if len(s) < 2000 {
			f.Add([]byte(s))
		}
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) > 4096 {
			b = b[:4096]
		}
		checkEveryCut(t, b)
	})
}

func BenchmarkFeed(b *testing.B) {
	text := []byte(encodeCommand("MSG.PUT", "7f3a9c21e0b4d655", "9b1f03aa5c7e2d41", "c=notice,t=acme,d=8000,dest=7", strings.Repeat("b", 200)))
	var r Reader
	b.ReportAllocs()
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		if _, whole, err := r.Feed(text); !whole || err != nil {
			b.Fatal(err)
		}
		r.Args()
	}
}

// A reader brought to where another one stopped goes on as that one would have,
// wherever that was.
func TestPending(t *testing.T) {
	for _, text := range []string{"*1\r\n$4\r\nPING\r\n", "*5\r\n$7\r\nMSG.PUT\r\n$0\r\n\r\n$2\r\n\r\n\r\n$3\r\nabc\r\n$12\r\nbody of it\r\n\r\n", "*2\r\n$1\r\na\r\n$0\r\n\r\n"} {
		want := model([]byte(text))
		for cut := range len(text) {
			first, second := &Reader{}, &Reader{}
			if _, whole, err := first.Feed([]byte(text[:cut])); whole || err != nil {
				t.Fatalf("%q, cut at %d: %v %v", text, cut, whole, err)
			}
			have, ok := first.Pending()
			if !ok {
				t.Fatalf("%q, cut at %d: nothing kept", text, cut)
			}
			if string(have) != text[:cut] {
				t.Fatalf("%q, cut at %d: %q", text, cut, have)
			}
			if _, whole, err := second.Feed(have); whole || err != nil {
				t.Fatalf("%q, cut at %d: %q gives %v %v", text, cut, have, whole, err)
			}
			if _, whole, err := second.Feed([]byte(text[cut:])); !whole || err != nil {
				t.Fatalf("%q, cut at %d: then %v %v", text, cut, whole, err)
			}
			for i, a := range second.Args() {
				if string(a) != want[0].args[i] {
					t.Errorf("%q, cut at %d: argument %d is %q", text, cut, i, a)
				}
			}
		}
	}
	long := &Reader{}
	long.Feed([]byte("*2\r\n$4\r\nPING\r\n$70000\r\nabc"))
	if _, ok := long.Pending(); ok {
		t.Error("a command that is read past is kept")
	}
}
