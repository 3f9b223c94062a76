package discovery

import (
	"errors"
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"
)

// feed is the body of a watch that the test writes.
func feed(chunks ...string) io.Reader {
	r, w := io.Pipe()
	go func() {
		for _, c := range chunks {
			if _, err := io.WriteString(w, c); err != nil {
				return // nobody reads any more
			}
		}
		_ = w.CloseWithError(io.ErrUnexpectedEOF) // never fails
	}()
	return r
}

// Lists come in whatever lines: indented, two on one, in pieces, with empty lines
// within. An empty line between two is a heartbeat and one within a list is not.
// One that its connection's end cuts off is no error of the registry's, and what is
// none is found at its first wrong byte.
func TestListsOfAWatch(t *testing.T) {
	list := func(rev int) string {
		return fmt.Sprintf("{\n  \"revision\": %d,\n\n  \"complete\": false,\n  \"members\": [\n  ]\n}", rev)
	}
	for name, c := range map[string]struct {
		chunks     []string
		revs       []int64
		heartbeats int
		bad        bool
	}{
		"indented":        {[]string{list(1) + "\n", "\n", list(2) + "\n"}, []int64{1, 2}, 1, false},
		"byte by byte":    {strings.Split(list(3)+"\n\n"+list(4), ""), []int64{3, 4}, 2, false},
		"two on one line": {[]string{strings.ReplaceAll(list(5)+list(6), "\n", "")}, []int64{5, 6}, 0, false},
		"empty within":    {[]string{list(7)[:2], "\n", "\n", list(7)[2:]}, []int64{7}, 0, false},
		"cut":             {[]string{list(8), "\n", list(9)[:25]}, []int64{8}, 1, false},
		"begun ahead":     {[]string{list(1) + "\n{", "\n", "\n", list(2)[1:]}, []int64{1, 2}, 0, false},
		"no list":         {[]string{"\n", "nonsense\n"}, nil, 1, true},
		"torn":            {[]string{`{"revision":1,` + "\n" + `{"revision":2,"members":[]}`}, nil, 0, true},
		"other":           {[]string{"[1]\n"}, nil, 0, true},
		"no members":      {[]string{`{"revision":1}`}, nil, 0, true},
	} {
		heartbeats := 0
		in := newListDecoder(feed(c.chunks...), 4096, func() { heartbeats++ })
		var revs []int64
		l, err := in.next()
		for ; err == nil; l, err = in.next() {
			revs = append(revs, l.Revision)
		}
		if fmt.Sprint(revs) != fmt.Sprint(c.revs) || errors.Is(err, errMalformed) != c.bad ||
			heartbeats != c.heartbeats {
			t.Errorf("%s: revisions %v, %d heartbeats, %v", name, revs, heartbeats, err)
		}
	}
}

// trickle is a list that never ends.
type trickle struct {
	n     int
	bytes string
}

func (r *trickle) Read(p []byte) (int, error) {
	r.n++
	if r.n == 1 {
		return copy(p, `{"revision":1,"members":[`), nil
	}
	n := 0
	for n+len(r.bytes) <= len(p) {
		n += copy(p[n:], r.bytes)
	}
	return n, nil
}

// A list of any length up to the most is read, and one that never ends is an error
// at that length: in one string, in white space, in member after member. What a long
// one took is not kept.
func TestLengthOfALists(t *testing.T) {
	const maxBytes = 1 << 20
	for _, bytes := range []string{"x", " \n", `{"id":"a","phase":"removed"},`} {
		body := &trickle{bytes: bytes}
		if bytes == "x" {
			body.bytes = `{"id":"`
		}
		heartbeats := 0
		_, err := newListDecoder(body, maxBytes, func() { heartbeats++ }).next()
		if !errors.Is(err, errMalformed) || heartbeats > 0 {
			t.Errorf("%q for ever: %v, %d heartbeats", bytes, err, heartbeats)
		}
	}
	for _, n := range []int{0, 1, 1000, 4095, 4096, maxKeptBuffer, maxBytes / 2, maxBytes - 100} {
		long := `{"revision":1,"members":[],"x":"` + strings.Repeat("b", n) + `"}`
		text := long + "\n" + long + "\n" + `{"revision":2,"members":[]}`
		in := newListDecoder(io.MultiReader(strings.NewReader(text)), maxBytes, func() {})
		for i := range 3 {
			if l, err := in.next(); err != nil || (l.Revision == 2) != (i == 2) {
				t.Fatalf("%d bytes, list %d: %+v, %v", n, i, l, err)
			}
		}
	}
	// Made as it is read: what held it for a reader would be counted as kept.
	in := newListDecoder(io.MultiReader(
		strings.NewReader(`{"revision":1,"members":[],"x":"`),
		io.LimitReader(letters{}, maxBytes-100),
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
		t.Errorf("%d bytes are kept behind a long list", kept)
	}
}

// letters is text without an end.
type letters struct{}

func (letters) Read(p []byte) (int, error) {
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
		in := newListDecoder(feed(chunks...), 4096, func() {})
		for n := 0; ; n++ {
			l, err := in.next()
			if err != nil {
				return
			}
			if l.Members == nil || n > len(text) {
				t.Fatalf("list %d of %d bytes: %+v", n, len(text), l)
			}
		}
	})
}
