package tomlfile

import (
	"errors"
	"strings"
	"testing"
)

// Guards against an error that names the wrong line: it must be the line of the key, or of
// its table if the key is missing. Tables of arrays have an index.
func TestErrorNamesLine(t *testing.T) {
	const text = `top = 1
inline = { inner = { deep = 2 } }
[table]
key = 3
[[list]]
key = 4
[[list]]
key = 5
[list.sub]
key = 6
`
	check, err := Decode("f.toml", []byte(text), &map[string]any{})
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ key, want string }{
		{"top", "f.toml:1: top: is wrong"},
		{"inline.inner.deep", "f.toml:2: inline.inner.deep: is wrong"},
		{"table.key", "f.toml:4: table.key: is wrong"},
		{"table.missing", "f.toml:3: table.missing: is wrong"},
		{"list", "f.toml:5: list: is wrong"},
		{"list[0].key", "f.toml:6: list[0].key: is wrong"},
		{"list[1].missing", "f.toml:7: list[1].missing: is wrong"},
		{"list[1].sub.key", "f.toml:10: list[1].sub.key: is wrong"},
		{"nowhere.key", "f.toml: nowhere.key: is wrong"},
	} {
		c := Checker{file: check.file, lines: check.lines}
		c.Errorf(test.key, "is %s", "wrong")
		var lineError *Error
		if err := c.Err(); !errors.As(err, &lineError) || err.Error() != test.want {
			t.Errorf("Errorf(%s): Err() = %v, want an *Error with the text %s", test.key, err, test.want)
		}
	}
}

// Guards against an error text of unlimited size for a file with many errors.
func TestErrorLimit(t *testing.T) {
	c := Checker{file: "f.toml"}
	if err := c.Err(); err != nil {
		t.Errorf("Err() without errors = %v, want nil", err)
	}
	for range 2 * maxErrors {
		c.Errorf("key", "is wrong")
	}
	if n := strings.Count(c.Err().Error(), "\n") + 1; n != maxErrors {
		t.Errorf("Err() after %d errors has %d lines, want %d", 2*maxErrors, n, maxErrors)
	}
}
