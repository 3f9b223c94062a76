package etcd

import (
	"strings"
	"testing"

	"troutusher/internal/membership"
)

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
			t.Errorf("%s: %v", text, err)
		}
	}
	for prefix, want := range map[string]string{"/t/": "/t0", "a\xff": "b", "\xff": "\x00"} {
		if got := RangeEnd(prefix); got != want {
			t.Errorf("End(%q) = %q", prefix, got)
		}
	}
}

// Whatever lies under the prefix, nothing panics and nothing that cannot be read is
// listed.
func FuzzKeys(f *testing.F) {
	f.Add("/t/endpoints/a", endpointValue(1, 2), "/t/partners/1", `{"v":1,"rate":3}`)
	f.Add("/t/drains/a", "", "/t/endpoints/a/b", "x")
	f.Fuzz(func(t *testing.T, k1, v1, k2, v2 string) {
		table := newKeyTable("/t")
		for _, kv := range []KV{{k1, v1, false}, {k2, v2, false}, {k1, v2, false}, {k2, "", true}} {
			ids := idSet{}
			_ = table.apply(kv, ids) // whatever it makes of them
			table.addMembers(ids, &membership.Update{})
		}
		w := &membership.Update{}
		table.addAllMembers(w)
		for _, m := range w.Members {
			if m.HostPort == "" || m.ID == "" || m.Phase != membership.Up && m.Phase != membership.Draining {
				t.Fatalf("listed: %+v", m)
			}
		}
	})
}
