package etcd

import (
	"strings"
	"testing"

	"troutusher/internal/membership"
)

// DecodeEndpoint accepts valid values only, and RangeEnd returns the first key after a prefix.
func TestValues(t *testing.T) {
	for text, ok := range map[string]bool{
		`{"v":1,"host_port":"10.0.0.1:80","dest":3}`:                             true,
		`{"v":1,"host_port":"[::1]:80","dest":3,"phase":"draining","rate":0.5}`:  true,
		`{"v":1,"host_port":"10.0.0.1:80","dest":3,"locality":"a","flavor":"k"}`: true,
		`{"v":2,"host_port":"10.0.0.1:80","dest":3}`:                             false,
		`{"host_port":"10.0.0.1:80","dest":3}`:                                   false,
		`{"v":1,"host_port":"10.0.0.1","dest":3}`:                                false,
		`{"v":1,"host_port":":80","dest":3}`:                                     false,
		`{"v":1,"host_port":"10.0.0.1:0","dest":3}`:                              false,
		`{"v":1,"host_port":"10.0.0.1:80","dest":-1}`:                            false,
		`{"v":1,"host_port":"10.0.0.1:80","dest":70000}`:                         false,
		`{"v":1,"host_port":"10.0.0.1:80","dest":3,"phase":"gone"}`:              false,
		`{"v":1,"host_port":"10.0.0.1:80","dest":3,"rate":-1}`:                   false,
		`{"v":1,"host_port":"10.0.0.1:80","dest":3,"rate":1e300}`:                false,
		`{"v":1,"host_port":"10.0.0.1:80","dest":3,"phaze":"draining"}`:          false,
		`{"v":1,"host_port":"10.0.0.1:80","dest":3} {}`:                          false,
		``:     false,
		`null`: false,
		`{"v":1,"host_port":"10.0.0.1:80","dest":3,"locality":"` + strings.Repeat("x", 300): false,
	} {
		if _, err := DecodeEndpoint([]byte(text)); (err == nil) != ok {
			t.Errorf("DecodeEndpoint(%s) = error %v, want valid = %v", text, err, ok)
		}
	}
	for prefix, want := range map[string]string{"/t/": "/t0", "a\xff": "b", "\xff": "\x00"} {
		if got := RangeEnd(prefix); got != want {
			t.Errorf("RangeEnd(%q) = %q, want %q", prefix, got, want)
		}
	}
}

// For any keys and values under the prefix, the table does not panic and lists no member
// without id, address or a valid phase.
func FuzzKeys(f *testing.F) {
	f.Add("/t/endpoints/a", endpointValue(1, 2), "/t/partners/1", `{"v":1,"rate":3}`)
	f.Add("/t/drains/a", "", "/t/endpoints/a/b", "x")
	f.Fuzz(func(t *testing.T, k1, v1, k2, v2 string) {
		table := newKeyTable("/t")
		for _, kv := range []KV{{k1, v1, false}, {k2, v2, false}, {k1, v2, false}, {k2, "", true}} {
			ids := idSet{}
			_ = table.apply(kv, ids) // errors are expected
			table.addMembers(ids, &membership.Update{})
		}
		update := &membership.Update{}
		table.addAllMembers(update)
		for _, m := range update.Members {
			if m.HostPort == "" || m.ID == "" || m.Phase != membership.Up && m.Phase != membership.Draining {
				t.Fatalf("addAllMembers() listed %+v, want id, address and a valid phase", m)
			}
		}
	})
}
