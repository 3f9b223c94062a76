package etcd

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"troutusher/internal/membership"
)

// KV is a key and its value, or the deletion of a key.
type KV struct {
	Key, Value string
	Deleted    bool // the key was deleted
}

// idSet is a set of endpoint ids.
type idSet map[string]bool

// keyTable holds the decoded values of the keys under the prefix.
type keyTable struct {
	prefix      string
	endpoints   map[string]Endpoint
	idsByDest   map[int]idSet   // ids in endpoints, by destination
	ratesByDest map[int]float64 // rates of partners, by destination
	drains      idSet           // ids for which there is a drain key
	unreadable  idSet           // endpoints whose latest value cannot be decoded
}

func newKeyTable(prefix string) *keyTable {
	return &keyTable{
		prefix:      prefix,
		endpoints:   map[string]Endpoint{},
		idsByDest:   map[int]idSet{},
		ratesByDest: map[int]float64{},
		drains:      idSet{},
		unreadable:  idSet{},
	}
}

// apply stores the new state of a key, and adds the ids of the endpoints that it affects to
// changed. It returns an error if the value cannot be decoded.
func (t *keyTable) apply(kv KV, changed idSet) error {
	folder, name, ok := splitKey(t.prefix, kv.Key)
	if !ok {
		return nil // a key of another application, or of a later layout
	}
	var err error
	switch folder {
	case EndpointsFolder:
		changed[name] = true
		err = t.applyEndpoint(name, kv)
	case PartnersFolder:
		err = t.applyPartner(name, kv, changed)
	case DrainsFolder:
		changed[name] = true
		if kv.Deleted {
			delete(t.drains, name)
		} else {
			t.drains[name] = true // the value does not matter
		}
	}
	if err != nil {
		return fmt.Errorf("key %.80q: %w", kv.Key, err)
	}
	return nil
}

func (t *keyTable) applyEndpoint(id string, kv KV) error {
	if kv.Deleted {
		t.removeEndpoint(id)
		delete(t.unreadable, id)
		return nil
	}
	e, err := DecodeEndpoint([]byte(kv.Value))
	if err = cmp.Or(CheckID(id), err); err != nil {
		t.unreadable[id] = true
		return err
	}
	t.removeEndpoint(id)
	delete(t.unreadable, id)
	t.endpoints[id] = e
	if t.idsByDest[e.Dest] == nil {
		t.idsByDest[e.Dest] = idSet{}
	}
	t.idsByDest[e.Dest][id] = true
	return nil
}

func (t *keyTable) applyPartner(name string, kv KV, changed idSet) error {
	var dest int
	var p Partner
	var err error
	if kv.Deleted {
		var n uint64
		n, err = strconv.ParseUint(name, 10, 16)
		dest = int(n)
	} else {
		dest, p, err = decodePartner(name, []byte(kv.Value))
	}
	if err != nil {
		return err
	}
	if p.Rate == 0 {
		delete(t.ratesByDest, dest)
	} else {
		t.ratesByDest[dest] = p.Rate
	}
	maps.Copy(changed, t.idsByDest[dest])
	return nil
}

func (t *keyTable) removeEndpoint(id string) {
	e, ok := t.endpoints[id]
	if !ok {
		return
	}
	ids := t.idsByDest[e.Dest]
	delete(ids, id)
	if len(ids) == 0 {
		delete(t.idsByDest, e.Dest)
	}
	delete(t.endpoints, id)
}

// member converts an endpoint to a member of the membership view. If the endpoint is not
// published, the phase of the member is Removed.
func (t *keyTable) member(id string) membership.Member {
	e, ok := t.endpoints[id]
	if !ok {
		return membership.Member{ID: id, Phase: membership.Removed}
	}
	m := membership.Member{
		ID:       id,
		HostPort: e.HostPort,
		Locality: e.Locality,
		Flavor:   e.Flavor,
		Dest:     e.Dest,
		Phase:    cmp.Or(e.Phase, membership.Up),
		Rate:     cmp.Or(e.Rate, t.ratesByDest[e.Dest]),
	}
	if t.drains[id] {
		m.Phase = membership.Draining
	}
	return m
}

// addMembers adds endpoints to an update. It lists endpoints whose value cannot be decoded
// as unreadable, which makes the view keep their previous state. Their drains still apply,
// because a drain has a key of its own, and so does the drain of an endpoint that is not
// published here: another source may list it.
func (t *keyTable) addMembers(ids idSet, u *membership.Update) {
	for _, id := range slices.Sorted(maps.Keys(ids)) {
		_, published := t.endpoints[id]
		if t.drains[id] && (!published || t.unreadable[id]) {
			u.DrainedIDs = append(u.DrainedIDs, id)
		}
		if t.unreadable[id] {
			u.UnreadableIDs = append(u.UnreadableIDs, id)
		} else {
			u.Members = append(u.Members, t.member(id))
		}
	}
}

// addAllMembers adds all endpoints and all drains to an update.
func (t *keyTable) addAllMembers(u *membership.Update) {
	ids := idSet{}
	for id := range t.endpoints {
		ids[id] = true
	}
	maps.Copy(ids, t.unreadable)
	t.addMembers(ids, u)
	for _, id := range slices.Sorted(maps.Keys(t.drains)) {
		if !ids[id] {
			u.DrainedIDs = append(u.DrainedIDs, id)
		}
	}
}
