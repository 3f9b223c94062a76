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

// version of the values that are read. One that is newer cannot be read.
const version = 1

// Folders under the prefix.
const (
	endpoints = "endpoints"
	partners  = "partners"
	drains    = "drains"
)

// Endpoint is the value of an endpoint.
type Endpoint struct {
	V        int     `json:"v"`
	HostPort string  `json:"host_port"`
	Dest     int     `json:"dest"`
	Locality string  `json:"locality,omitempty"`
	Flavor   string  `json:"flavor,omitempty"`
	Phase    string  `json:"phase,omitempty"` // up where it is empty
	Rate     float64 `json:"rate,omitempty"`  // calls a second that its partner takes; 0 for what the partner's own value says
}

// Partner is the value of a destination.
type Partner struct {
	V    int     `json:"v"`
	Rate float64 `json:"rate"`
}

// Drain is the value of a drain.
type Drain struct {
	V int `json:"v"`
}

const (
	idMost   = 256
	rateMost = 1e9
	destMost = 1<<16 - 1
)

// Key is a key's path under the prefix.
func Key(prefix, folder, name string) string {
	return strings.TrimSuffix(prefix, "/") + "/" + folder + "/" + name
}

// Folder is the beginning of the keys of one kind, and End the first key behind all
// that begin so.
func Folder(prefix, folder string) string { return Key(prefix, folder, "") }

// End is the first key behind all that begin with a prefix.
func End(prefix string) string {
	b := []byte(prefix)
	for i := len(b) - 1; i >= 0; i-- {
		if b[i] < 0xff {
			b[i]++
			return string(b[:i+1])
		}
	}
	return "\x00" // to the end of all keys
}

// split takes a key apart; false where it is none of the layout's.
func split(prefix, key string) (folder, name string, ok bool) {
	rest, ok := strings.CutPrefix(key, strings.TrimSuffix(prefix, "/")+"/")
	if !ok {
		return "", "", false
	}
	folder, name, ok = strings.Cut(rest, "/")
	if !ok || folder != endpoints && folder != partners && folder != drains {
		return "", "", false
	}
	return folder, name, true
}

// CheckID tells what is wrong with an endpoint's id.
func CheckID(id string) error {
	if id == "" || len(id) > idMost {
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
	if !(r >= 0 && r <= rateMost) || math.IsNaN(r) {
		return fmt.Errorf("rate %v", r)
	}
	return nil
}

// read reads a value as strictly as it was written: what is misspelt must not be
// taken for what was left out.
func read(text []byte, v any, of func() int) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if d.More() {
		return errors.New("more behind the object")
	}
	if n := of(); n != version {
		return fmt.Errorf("version %d, %d is known", n, version)
	}
	return nil
}

// ReadEndpoint reads and checks the value of an endpoint.
func ReadEndpoint(text []byte) (e Endpoint, err error) {
	if err := read(text, &e, func() int { return e.V }); err != nil {
		return e, err
	}
	return e, e.check()
}

func (e *Endpoint) check() error {
	host, port, err := net.SplitHostPort(e.HostPort)
	if err != nil || host == "" || port == "" || len(e.HostPort) > idMost {
		return fmt.Errorf("host_port %.60q", e.HostPort)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("host_port %.60q", e.HostPort)
	}
	if e.Dest < 0 || e.Dest > destMost {
		return fmt.Errorf("dest %d", e.Dest)
	}
	if e.Phase != "" && e.Phase != membership.Up && e.Phase != membership.Draining {
		return fmt.Errorf("phase %.40q", e.Phase)
	}
	if len(e.Locality) > idMost || len(e.Flavor) > idMost {
		return errors.New("locality or flavor too long")
	}
	return checkRate(e.Rate)
}

// readPartner reads and checks the value of a destination.
func readPartner(name string, text []byte) (dest int, p Partner, err error) {
	n, err := strconv.ParseUint(name, 10, 16)
	if err != nil || strconv.FormatUint(n, 10) != name {
		return 0, p, fmt.Errorf("partner %.40q is no destination", name)
	}
	if err := read(text, &p, func() int { return p.V }); err != nil {
		return 0, p, err
	}
	return int(n), p, checkRate(p.Rate)
}

// CheckValue tells what a relay would find wrong with a value.
func CheckValue(folder, name string, text []byte) error {
	switch folder {
	case endpoints:
		if err := CheckID(name); err != nil {
			return err
		}
		_, err := ReadEndpoint(text)
		return err
	case partners:
		_, _, err := readPartner(name, text)
		return err
	}
	return nil
}

// KV is a key and its value; Gone where it was deleted.
type KV struct {
	Key, Value string
	Gone       bool
}

// table is what lies under the prefix, as far as it can be read.
type table struct {
	prefix    string
	endpoints map[string]Endpoint
	rates     map[int]float64
	drains    map[string]bool
	spoilt    map[string]bool // ids of endpoints whose last value cannot be read
	cells     map[int]map[string]bool
}

func newTable(prefix string) *table {
	return &table{prefix: prefix, endpoints: map[string]Endpoint{}, rates: map[int]float64{}, drains: map[string]bool{},
		spoilt: map[string]bool{}, cells: map[int]map[string]bool{}}
}

// put books a key, and adds the ids that it touches. bad is what cannot be read.
func (t *table) put(kv KV, touched map[string]bool) (bad error) {
	folder, name, ok := split(t.prefix, kv.Key)
	if !ok {
		return nil // somebody else's, or of a layout to come
	}
	switch folder {
	case endpoints:
		if kv.Gone {
			t.unlist(name)
			delete(t.spoilt, name)
			touched[name] = true
			return nil
		}
		e, err := ReadEndpoint([]byte(kv.Value))
		if err = cmp.Or(CheckID(name), err); err != nil {
			t.spoilt[name] = true
			touched[name] = true
			return fmt.Errorf("%.80q: %w", kv.Key, err)
		}
		t.unlist(name)
		delete(t.spoilt, name)
		t.endpoints[name] = e
		if t.cells[e.Dest] == nil {
			t.cells[e.Dest] = map[string]bool{}
		}
		t.cells[e.Dest][name] = true
		touched[name] = true
	case partners:
		var dest int
		var p Partner
		var err error
		if kv.Gone {
			n, bad := strconv.ParseUint(name, 10, 16)
			dest, err = int(n), bad
		} else {
			dest, p, err = readPartner(name, []byte(kv.Value))
		}
		if err != nil {
			return fmt.Errorf("%.80q: %w", kv.Key, err)
		}
		if t.rates[dest] = p.Rate; p.Rate == 0 {
			delete(t.rates, dest)
		}
		for id := range t.cells[dest] {
			touched[id] = true
		}
	case drains:
		// That there is one says it all: a value that cannot be read drains as well.
		if t.drains[name] = true; kv.Gone {
			delete(t.drains, name)
		}
		touched[name] = true
	}
	return nil
}

func (t *table) unlist(id string) {
	if e, ok := t.endpoints[id]; ok {
		if delete(t.cells[e.Dest], id); len(t.cells[e.Dest]) == 0 {
			delete(t.cells, e.Dest)
		}
		delete(t.endpoints, id)
	}
}

// member is an endpoint as the view takes it; false where it is not published, or
// never could be read.
func (t *table) member(id string) (membership.Member, bool) {
	e, ok := t.endpoints[id]
	if !ok {
		return membership.Member{ID: id, Phase: membership.Removed}, false
	}
	m := membership.Member{ID: id, HostPort: e.HostPort, Locality: e.Locality, Flavor: e.Flavor, Cell: e.Dest,
		Phase: cmp.Or(e.Phase, membership.Up), Size: cmp.Or(e.Rate, t.rates[e.Dest])}
	if t.drains[id] {
		m.Phase = membership.Draining
	}
	return m, true
}

// members puts what some ids are into a word. Those that cannot be read stay as they
// were, but for a drain: that is another key, and can be read.
func (t *table) members(ids map[string]bool, w *membership.Word) {
	sorted := make([]string, 0, len(ids))
	for id := range ids {
		sorted = append(sorted, id)
	}
	slices.Sort(sorted)
	for _, id := range sorted {
		m, _ := t.member(id)
		switch {
		case !t.spoilt[id]:
			w.Members = append(w.Members, m)
		case t.drains[id]:
			w.Drained = append(w.Drained, id)
			fallthrough
		default:
			w.Spoilt = append(w.Spoilt, id)
		}
	}
}

// all puts the whole list into a word.
func (t *table) all(w *membership.Word) {
	ids := map[string]bool{}
	for id := range t.endpoints {
		ids[id] = true
	}
	for id := range t.spoilt {
		ids[id] = true
	}
	t.members(ids, w)
}
