package etcd

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"

	"troutusher/internal/membership"
)

// What lies under a prefix. Values are JSON objects with a version:
//
//	PREFIX/endpoints/ID   {"v":1,"host_port":"10.1.0.18:6379","dest":3,"locality":"a","flavor":"m2","phase":"up","rate":40}
//	PREFIX/partners/DEST  {"v":1,"rate":40}
//	PREFIX/drains/ID      {"v":1}
//
// An endpoint drains while its own phase says so or a drain of it lies there,
// whether or not it has been published yet. Its rate is its own, or its partner's.

// layoutVersion of the values that are read. One that is newer cannot be read.
const layoutVersion = 1

// Folders under the prefix.
const (
	endpointsFolder = "endpoints"
	partnersFolder  = "partners"
	drainsFolder    = "drains"
)

// Endpoint is the value of an endpoint.
type Endpoint struct {
	Version  int     `json:"v"`
	HostPort string  `json:"host_port"`
	Dest     int     `json:"dest"`
	Locality string  `json:"locality,omitempty"`
	Flavor   string  `json:"flavor,omitempty"`
	Phase    string  `json:"phase,omitempty"` // up where it is empty
	Rate     float64 `json:"rate,omitempty"`  // calls a second that its partner takes; 0 for what the partner's own value says
}

// Partner is the value of a destination.
type Partner struct {
	Version int     `json:"v"`
	Rate    float64 `json:"rate"`
}

// Drain is the value of a drain.
type Drain struct {
	Version int `json:"v"`
}

const (
	maxTextLength = 256
	maxRate       = 1e9
	maxDest       = 1<<16 - 1
)

// Key is a key's path under the prefix.
func Key(prefix, folder, name string) string {
	return strings.TrimSuffix(prefix, "/") + "/" + folder + "/" + name
}

// FolderPrefix is the beginning of the keys of one kind, and End the first key behind all
// that begin so.
func FolderPrefix(prefix, folder string) string { return Key(prefix, folder, "") }

// RangeEnd is the first key behind all that begin with a prefix.
func RangeEnd(prefix string) string {
	b := []byte(prefix)
	for i := len(b) - 1; i >= 0; i-- {
		if b[i] < 0xff {
			b[i]++
			return string(b[:i+1])
		}
	}
	return "\x00" // to the end of all keys
}

// splitKey takes a key apart; false where it is none of the layout's.
func splitKey(prefix, key string) (folder, name string, ok bool) {
	rest, ok := strings.CutPrefix(key, strings.TrimSuffix(prefix, "/")+"/")
	if !ok {
		return "", "", false
	}
	folder, name, ok = strings.Cut(rest, "/")
	if !ok || folder != endpointsFolder && folder != partnersFolder && folder != drainsFolder {
		return "", "", false
	}
	return folder, name, true
}

// CheckID tells what is wrong with an endpoint's id.
func CheckID(id string) error {
	if id == "" || len(id) > maxTextLength {
		return fmt.Errorf("an id of %d bytes", len(id))
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' || id[i] == '/' {
			return fmt.Errorf("id %.40q", id)
		}
	}
	return nil
}

func checkRate(r float64) error {
	if !(r >= 0 && r <= maxRate) || math.IsNaN(r) {
		return fmt.Errorf("rate %v", r)
	}
	return nil
}

// decodeValue reads a value as strictly as it was written: what is misspelt must not be
// taken for what was left out.
func decodeValue(text []byte, v any, of func() int) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if d.More() {
		return errors.New("more behind the object")
	}
	if n := of(); n != layoutVersion {
		return fmt.Errorf("version %d, %d is known", n, layoutVersion)
	}
	return nil
}

// DecodeEndpoint reads and checks the value of an endpoint.
func DecodeEndpoint(text []byte) (e Endpoint, err error) {
	if err := decodeValue(text, &e, func() int { return e.Version }); err != nil {
		return e, err
	}
	return e, e.check()
}

func (e *Endpoint) check() error {
	host, port, err := net.SplitHostPort(e.HostPort)
	if err != nil || host == "" || port == "" || len(e.HostPort) > maxTextLength {
		return fmt.Errorf("host_port %.60q", e.HostPort)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("host_port %.60q", e.HostPort)
	}
	if e.Dest < 0 || e.Dest > maxDest {
		return fmt.Errorf("dest %d", e.Dest)
	}
	if e.Phase != "" && e.Phase != membership.Up && e.Phase != membership.Draining {
		return fmt.Errorf("phase %.40q", e.Phase)
	}
	if len(e.Locality) > maxTextLength || len(e.Flavor) > maxTextLength {
		return errors.New("locality or flavor too long")
	}
	return checkRate(e.Rate)
}

// decodePartner reads and checks the value of a destination.
func decodePartner(name string, text []byte) (dest int, p Partner, err error) {
	n, err := strconv.ParseUint(name, 10, 16)
	if err != nil || strconv.FormatUint(n, 10) != name {
		return 0, p, fmt.Errorf("partner %.40q is no destination", name)
	}
	if err := decodeValue(text, &p, func() int { return p.Version }); err != nil {
		return 0, p, err
	}
	return int(n), p, checkRate(p.Rate)
}

// CheckValue tells what a relay would find wrong with a value.
func CheckValue(folder, name string, text []byte) error {
	switch folder {
	case endpointsFolder:
		if err := CheckID(name); err != nil {
			return err
		}
		_, err := DecodeEndpoint(text)
		return err
	case partnersFolder:
		_, _, err := decodePartner(name, text)
		return err
	}
	return nil
}

// KV is a key and its value; Gone where it was deleted.
type KV struct {
	Key, Value string
	Deleted    bool
}

// keyTable is what lies under the prefix, as far as it can be read.
type keyTable struct {
	prefix      string
	endpoints   map[string]Endpoint
	ratesByDest map[int]float64
	drains      map[string]bool
	unreadable  map[string]bool // ids of endpoints whose last value cannot be read
	idsByDest   map[int]map[string]bool
}

func newKeyTable(prefix string) *keyTable {
	return &keyTable{prefix: prefix, endpoints: map[string]Endpoint{}, ratesByDest: map[int]float64{}, drains: map[string]bool{},
		unreadable: map[string]bool{}, idsByDest: map[int]map[string]bool{}}
}

// apply books a key, and adds the ids that it touches. bad is what cannot be read.
func (t *keyTable) apply(kv KV, touched map[string]bool) (bad error) {
	folder, name, ok := splitKey(t.prefix, kv.Key)
	if !ok {
		return nil // somebody else's, or of a layout to come
	}
	switch folder {
	case endpointsFolder:
		if kv.Deleted {
			t.removeEndpoint(name)
			delete(t.unreadable, name)
			touched[name] = true
			return nil
		}
		e, err := DecodeEndpoint([]byte(kv.Value))
		if err = cmp.Or(CheckID(name), err); err != nil {
			t.unreadable[name] = true
			touched[name] = true
			return fmt.Errorf("%.80q: %w", kv.Key, err)
		}
		t.removeEndpoint(name)
		delete(t.unreadable, name)
		t.endpoints[name] = e
		if t.idsByDest[e.Dest] == nil {
			t.idsByDest[e.Dest] = map[string]bool{}
		}
		t.idsByDest[e.Dest][name] = true
		touched[name] = true
	case partnersFolder:
		var dest int
		var p Partner
		var err error
		if kv.Deleted {
			n, bad := strconv.ParseUint(name, 10, 16)
			dest, err = int(n), bad
		} else {
			dest, p, err = decodePartner(name, []byte(kv.Value))
		}
		if err != nil {
			return fmt.Errorf("%.80q: %w", kv.Key, err)
		}
		if t.ratesByDest[dest] = p.Rate; p.Rate == 0 {
			delete(t.ratesByDest, dest)
		}
		for id := range t.idsByDest[dest] {
			touched[id] = true
		}
	case drainsFolder:
		// That there is one says it all: a value that cannot be read drains as well.
		if t.drains[name] = true; kv.Deleted {
			delete(t.drains, name)
		}
		touched[name] = true
	}
	return nil
}

func (t *keyTable) removeEndpoint(id string) {
	if e, ok := t.endpoints[id]; ok {
		if delete(t.idsByDest[e.Dest], id); len(t.idsByDest[e.Dest]) == 0 {
			delete(t.idsByDest, e.Dest)
		}
		delete(t.endpoints, id)
	}
}

// member is an endpoint as the view takes it; false where it is not published, or
// never could be read.
func (t *keyTable) member(id string) (membership.Member, bool) {
	e, ok := t.endpoints[id]
	if !ok {
		return membership.Member{ID: id, Phase: membership.Removed}, false
	}
	m := membership.Member{ID: id, HostPort: e.HostPort, Locality: e.Locality, Flavor: e.Flavor, Dest: e.Dest,
		Phase: cmp.Or(e.Phase, membership.Up), Rate: cmp.Or(e.Rate, t.ratesByDest[e.Dest])}
	if t.drains[id] {
		m.Phase = membership.Draining
	}
	return m, true
}

// addMembers puts what some ids are into a word. Those that cannot be read stay as they
// were, but for a drain: that is another key, and can be read.
func (t *keyTable) addMembers(ids map[string]bool, w *membership.Update) {
	sorted := make([]string, 0, len(ids))
	for id := range ids {
		sorted = append(sorted, id)
	}
	slices.Sort(sorted)
	for _, id := range sorted {
		m, _ := t.member(id)
		switch {
		case !t.unreadable[id]:
			w.Members = append(w.Members, m)
		case t.drains[id]:
			w.DrainedIDs = append(w.DrainedIDs, id)
			fallthrough
		default:
			w.UnreadableIDs = append(w.UnreadableIDs, id)
		}
	}
}

// addAllMembers puts the whole list into a word.
func (t *keyTable) addAllMembers(w *membership.Update) {
	ids := map[string]bool{}
	for id := range t.endpoints {
		ids[id] = true
	}
	for id := range t.unreadable {
		ids[id] = true
	}
	t.addMembers(ids, w)
}
