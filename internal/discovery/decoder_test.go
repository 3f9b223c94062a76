package discovery

import (
	"errors"
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"
)

// streamChunks returns the body of a watch that consists of the given chunks and ends with an error, as
// if the connection had been lost.
func streamChunks(chunks ...string) io.Reader {
	r, w := io.Pipe()
	go func() {
		for _, c := range chunks {
			if _, err := io.WriteString(w, c); err != nil {
				return // the reader is gone
			}
		}
		_ = w.CloseWithError(io.ErrUnexpectedEOF) // never fails
	}()
	return r
}

// Lists may be split into lines and chunks in any way. An empty line between two lists is a
// heartbeat, an empty line within a list is not. A list that is cut off by the end of the
// connection is not malformed; anything that is not a list is reported at its first wrong byte.
func TestListsOfAWatch(t *testing.T) {
	list := func(rev int) string {
		return fmt.Sprintf("{\n  \"revision\": %d,\n\n  \"complete\": false,\n  \"members\": [\n  ]\n}", rev)
	}
	for name, c := range map[string]struct {
		chunks     []string
		revs       []int64
		heartbeats int
		malformed  bool
	}{
		"indented":                  {[]string{list(1) + "\n", "\n", list(2) + "\n"}, []int64{1, 2}, 1, false},
		"byte by byte":              {strings.Split(list(3)+"\n\n"+list(4), ""), []int64{3, 4}, 2, false},
		"two on one line":           {[]string{strings.ReplaceAll(list(5)+list(6), "\n", "")}, []int64{5, 6}, 0, false},
		"empty line in a list":      {[]string{list(7)[:2], "\n", "\n", list(7)[2:]}, []int64{7}, 0, false},
		"cut off":                   {[]string{list(8), "\n", list(9)[:25]}, []int64{8}, 1, false},
		"begins in previous chunk":  {[]string{list(1) + "\n{", "\n", "\n", list(2)[1:]}, []int64{1, 2}, 0, false},
		"not JSON":                  {[]string{"\n", "nonsense\n"}, nil, 1, true},
		"list in an unfinished one": {[]string{`{"revision":1,` + "\n" + `{"revision":2,"members":[]}`}, nil, 0, true},
		"JSON array":                {[]string{"[1]\n"}, nil, 0, true},
		"no members":                {[]string{`{"revision":1}`}, nil, 0, true},
	} {
		heartbeats := 0
		in := newListDecoder(streamChunks(c.chunks...), 4096, func() { heartbeats++ })
		var revs []int64
		l, err := in.next()
		for ; err == nil; l, err = in.next() {
			revs = append(revs, l.Revision)
		}
		if fmt.Sprint(revs) != fmt.Sprint(c.revs) || errors.Is(err, errMalformed) != c.malformed ||
			heartbeats != c.heartbeats {
			t.Errorf("%s: got revisions %v, %d heartbeats, error %v; want %v, %d, errMalformed: %v",
				name, revs, heartbeats, err, c.revs, c.heartbeats, c.malformed)
		}
	}
}

// endlessList reads a list that never ends: after its beginning it repeats some text.
type endlessList struct {
	reads    int
	repeated string
}

func (r *endlessList) Read(p []byte) (int, error) {
	r.reads++
	if r.reads == 1 {
		return copy(p, `{"revision":1,"members":[`), nil
	}
	n := 0
	for n+len(r.repeated) <= len(p) {
		n += copy(p[n:], r.repeated)
	}
	return n, nil
}

// A list of any length up to the limit is read. A list that never ends is an error at the limit,
// whether it is one long string, white space or ever more members. The decoder does not keep the
// buffer of a long list, which would otherwise stay in memory as long as the watch.
func TestLengthOfALists(t *testing.T) {
	const maxBytes = 1 << 20
	for _, repeated := range []string{"x", " \n", `{"id":"a","phase":"removed"},`} {
		body := &endlessList{repeated: repeated}
		if repeated == "x" {
			body.repeated = `{"id":"`
		}
		heartbeats := 0
		_, err := newListDecoder(body, maxBytes, func() { heartbeats++ }).next()
		if !errors.Is(err, errMalformed) || heartbeats > 0 {
			t.Errorf("endless list of %q: error %v, %d heartbeats; want errMalformed and 0", repeated, err, heartbeats)
		}
	}
	for _, n := range []int{0, 1, 1000, 4095, 4096, maxKeptBuffer, maxBytes / 2, maxBytes - 100} {
		long := `{"revision":1,"members":[],"x":"` + strings.Repeat("b", n) + `"}`
		text := long + "\n" + long + "\n" + `{"revision":2,"members":[]}`
		in := newListDecoder(io.MultiReader(strings.NewReader(text)), maxBytes, func() {})
		for i := range 3 {
			if l, err := in.next(); err != nil || (l.Revision == 2) != (i == 2) {
				t.Fatalf("lists with %d filler bytes, list %d: got %+v, %v", n, i, l, err)
			}
		}
	}
	// This list is generated while it is read: a copy in memory would be counted as kept.
	in := newListDecoder(io.MultiReader(
		strings.NewReader(`{"revision":1,"members":[],"x":"`),
		io.LimitReader(endlessLetters{}, maxBytes-100),
		strings.NewReader(`"}`+"\n"+`{"revision":2,"members":[]}`),
	), maxBytes, func() {})
	for range 2 {
		if _, err := in.next(); err != nil {
			t.Fatal(err)
		}
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	runtime.KeepAlive(in)
	in = nil
	runtime.GC()
	runtime.ReadMemStats(&after)
	if kept := int64(before.HeapAlloc) - int64(after.HeapAlloc); kept > maxKeptBuffer*8 {
		t.Errorf("decoder keeps %d bytes after a long list, want at most %d", kept, maxKeptBuffer*8)
	}
}

// endlessLetters reads text that never ends.
type endlessLetters struct{}

func (endlessLetters) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'b'
	}
	return len(p), nil
}

func FuzzLists(f *testing.F) {
	f.Add([]byte("{\"revision\":1,\"complete\":true,\"members\":[]}\n\n{\n}"), 3)
	f.Add([]byte(`{"revision":2,"members":[{"id":"a","phase":"up","host_port":"h:1"}]}[`), 1)
	f.Fuzz(func(t *testing.T, text []byte, size int) {
		size = max(1, min(size, 4096))
		var chunks []string
		for at := 0; at < len(text); at += size {
			chunks = append(chunks, string(text[at:min(at+size, len(text))]))
		}
		in := newListDecoder(streamChunks(chunks...), 4096, func() {})
		for n := 0; ; n++ {
			l, err := in.next()
			if err != nil {
				return
			}
			if l.Members == nil || n > len(text) {
				t.Fatalf("list %d from %d bytes of text: %+v", n, len(text), l)
			}
		}
	})
}
