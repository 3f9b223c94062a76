// Package etcd stands in for an etcd cluster, in rehearsals and tests: a store of
// revisions with leases, transactions and compaction, and its members' gRPC services
// as the published v3 API defines them, with faults on demand.
//
// It must never be linked into the daemon's serving path, and keeps nothing.
package etcd

import (
	"errors"
	"slices"
	"sort"
)

// Errors in the words of the API.
var (
	ErrCompacted = errors.New("etcdserver: mvcc: required revision has been compacted")
	ErrFuture    = errors.New("etcdserver: mvcc: required revision is a future revision")
	ErrNoLease   = errors.New("etcdserver: requested lease not found")
	ErrLeaseIs   = errors.New("etcdserver: lease already exists")
)

// Version is a key as of a revision.
type Version struct {
	Key, Value string
	Gone       bool
	Created    int64 // revision of its creation
	Modified   int64
	Version    int64
	Lease      int64
}

// Lease is one that was granted.
type Lease struct {
	ID    int64
	TTL   int64 // seconds
	Until int64 // µs
	keys  map[string]bool
}

// Store is the cluster's state: what a majority has agreed on. It is not safe for
// use by several goroutines.
type Store struct {
	rev       int64
	compacted int64 // nothing before it can be read or watched
	keys      []string
	versions  map[string][]Version
	events    []Version // by revision, from compacted on
	leases    map[int64]*Lease
}

// NewStore is an empty one, at revision 1 as a new cluster is.
func NewStore() *Store {
	return &Store{rev: 1, versions: map[string][]Version{}, leases: map[int64]*Lease{}}
}

// Revision is that of the last change.
func (s *Store) Revision() int64 { return s.rev }

// Compacted is the oldest revision that can be read.
func (s *Store) Compacted() int64 { return s.compacted }

// get is a key as of a revision.
func (s *Store) get(key string, rev int64) (Version, bool) {
	all := s.versions[key]
	i := sort.Search(len(all), func(i int) bool { return all[i].Modified > rev })
	if i == 0 || all[i-1].Gone {
		return Version{}, false
	}
	return all[i-1], true
}

// span are the keys of a range: one where end is empty, all from key on where it is
// "\x00".
func (s *Store) span(key, end string) []string {
	from, there := slices.BinarySearch(s.keys, key)
	switch {
	case end == "" && !there:
		return nil
	case end == "":
		return s.keys[from : from+1]
	case end == "\x00":
		return s.keys[from:]
	}
	to, _ := slices.BinarySearch(s.keys, end)
	return s.keys[from:max(from, to)]
}

// Range reads keys at a revision, 0 for the newest; count is how many there are.
func (s *Store) Range(key, end string, rev, limit int64) (kvs []Version, count int64, err error) {
	switch {
	case rev > s.rev:
		return nil, 0, ErrFuture
	case rev > 0 && rev < s.compacted:
		return nil, 0, ErrCompacted
	case rev <= 0:
		rev = s.rev
	}
	for _, k := range s.span(key, end) {
		if v, ok := s.get(k, rev); ok {
			if count++; limit <= 0 || count <= limit {
				kvs = append(kvs, v)
			}
		}
	}
	return kvs, count, nil
}

// Op is one change of a transaction: a put, or a deletion of a range.
type Op struct {
	Key, End, Value string
	Delete          bool
	Lease           int64
}

// Do makes changes, all at one revision. Nothing is changed where one cannot be.
func (s *Store) Do(ops ...Op) (deleted int64, err error) {
	for _, op := range ops {
		if op.Lease != 0 && !op.Delete && s.leases[op.Lease] == nil {
			return 0, ErrNoLease
		}
	}
	rev := s.rev + 1
	for _, op := range ops {
		if !op.Delete {
			s.set(op, rev)
			continue
		}
		for _, k := range slices.Clone(s.span(op.Key, op.End)) {
			if v, ok := s.get(k, rev); ok {
				s.unlease(v)
				s.add(Version{Key: k, Gone: true, Modified: rev})
				deleted++
			}
		}
	}
	return deleted, nil
}

func (s *Store) set(op Op, rev int64) {
	v := Version{Key: op.Key, Value: op.Value, Created: rev, Modified: rev, Version: 1, Lease: op.Lease}
	if old, ok := s.get(op.Key, rev); ok {
		s.unlease(old)
		v.Created, v.Version = old.Created, old.Version+1
	}
	if l := s.leases[op.Lease]; l != nil {
		l.keys[op.Key] = true
	}
	s.add(v)
}

func (s *Store) unlease(v Version) {
	if l := s.leases[v.Lease]; l != nil {
		delete(l.keys, v.Key)
	}
}

func (s *Store) add(v Version) {
	s.rev = v.Modified
	if s.versions[v.Key] == nil {
		at, _ := slices.BinarySearch(s.keys, v.Key)
		s.keys = slices.Insert(s.keys, at, v.Key)
	}
	s.versions[v.Key] = append(s.versions[v.Key], v)
	s.events = append(s.events, v)
}

// Compact drops what is older than a revision and needed by no later one.
func (s *Store) Compact(rev int64) error {
	switch {
	case rev > s.rev:
		return ErrFuture
	case rev <= s.compacted:
		return ErrCompacted
	}
	s.compacted = rev
	for _, k := range slices.Clone(s.keys) {
		all := s.versions[k]
		i := sort.Search(len(all), func(i int) bool { return all[i].Modified > rev })
		if i > 0 && all[i-1].Gone {
			i++
		}
		if i > 1 {
			all = slices.Clone(all[min(i-1, len(all)):])
		}
		if s.versions[k] = all; len(all) == 0 {
			delete(s.versions, k)
			at, _ := slices.BinarySearch(s.keys, k)
			s.keys = slices.Delete(s.keys, at, at+1)
		}
	}
	at := sort.Search(len(s.events), func(i int) bool { return s.events[i].Modified >= rev })
	s.events = slices.Clone(s.events[at:])
	return nil
}

// Since are the changes from a revision on up to another, of a range, in order;
// what was compacted cannot be told.
func (s *Store) Since(key, end string, from, to int64) ([]Version, error) {
	if from < s.compacted {
		return nil, ErrCompacted
	}
	at := sort.Search(len(s.events), func(i int) bool { return s.events[i].Modified >= from })
	var all []Version
	for _, v := range s.events[at:] {
		if v.Modified > to {
			break
		}
		if v.Key == key || end == "\x00" && v.Key >= key || end != "" && v.Key >= key && v.Key < end {
			all = append(all, v)
		}
	}
	return all, nil
}

// Grant makes a lease; with id 0 it has the next one that is free.
func (s *Store) Grant(id, ttl, now int64) (*Lease, error) {
	if id == 0 {
		id = s.rev<<8 + 1
		for s.leases[id] != nil {
			id++
		}
	}
	if s.leases[id] != nil {
		return nil, ErrLeaseIs
	}
	l := &Lease{ID: id, TTL: ttl, Until: now + ttl*1e6, keys: map[string]bool{}}
	s.leases[id] = l
	return l, nil
}

// Renew has a lease last for its time from now on.
func (s *Store) Renew(id, now int64) (*Lease, error) {
	l := s.leases[id]
	if l == nil {
		return nil, ErrNoLease
	}
	l.Until = now + l.TTL*1e6
	return l, nil
}

// Revoke ends a lease, and deletes its keys.
func (s *Store) Revoke(id int64) error {
	l := s.leases[id]
	if l == nil {
		return ErrNoLease
	}
	var ops []Op
	for k := range l.keys {
		ops = append(ops, Op{Key: k, Delete: true})
	}
	slices.SortFunc(ops, func(a, b Op) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	if len(ops) > 0 {
		if _, err := s.Do(ops...); err != nil {
			return err
		}
	}
	delete(s.leases, id)
	return nil
}

// Expire ends the leases whose time is up.
func (s *Store) Expire(now int64) {
	var ids []int64
	for id, l := range s.leases {
		if l.Until <= now {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		_ = s.Revoke(id) // they are the leases that there are
	}
}

// Copy is a backup: what is there now, from which another cluster may be made.
func (s *Store) Copy() *Store {
	c := NewStore()
	c.rev, c.compacted = s.rev, s.compacted
	c.keys, c.events = slices.Clone(s.keys), slices.Clone(s.events)
	for k, all := range s.versions {
		c.versions[k] = slices.Clone(all)
	}
	for id, l := range s.leases {
		x := *l
		x.keys = map[string]bool{}
		for k := range l.keys {
			x.keys[k] = true
		}
		c.leases[id] = &x
	}
	return c
}
