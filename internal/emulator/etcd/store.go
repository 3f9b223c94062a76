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
	ErrCompacted      = errors.New("etcdserver: mvcc: required revision has been compacted")
	ErrFutureRevision = errors.New("etcdserver: mvcc: required revision is a future revision")
	ErrLeaseNotFound  = errors.New("etcdserver: requested lease not found")
	ErrLeaseExists    = errors.New("etcdserver: lease already exists")
)

// Version is a key as of a revision.
type Version struct {
	Key, Value     string
	Deleted        bool
	CreateRevision int64 // revision of its creation
	ModRevision    int64
	Version        int64
	Lease          int64
}

// Lease is one that was granted.
type Lease struct {
	ID        int64
	TTL       int64 // seconds
	ExpiresAt int64 // µs
	keys      map[string]bool
}

// Store is the cluster's state: what a majority has agreed on. It is not safe for
// use by several goroutines.
type Store struct {
	revision   int64
	compacted  int64 // nothing before it can be read or watched
	sortedKeys []string
	versions   map[string][]Version
	history    []Version // by revision, from compacted on
	leases     map[int64]*Lease
}

// NewStore is an empty one, at revision 1 as a new cluster is.
func NewStore() *Store {
	return &Store{revision: 1, versions: map[string][]Version{}, leases: map[int64]*Lease{}}
}

// Revision is that of the last change.
func (s *Store) Revision() int64 { return s.revision }

// Compacted is the oldest revision that can be read.
func (s *Store) Compacted() int64 { return s.compacted }

// getAt is a key as of a revision.
func (s *Store) getAt(key string, rev int64) (Version, bool) {
	all := s.versions[key]
	i := sort.Search(len(all), func(i int) bool { return all[i].ModRevision > rev })
	if i == 0 || all[i-1].Deleted {
		return Version{}, false
	}
	return all[i-1], true
}

// keysInRange are the keys of a range: one where end is empty, all from key on where it is
// "\x00".
func (s *Store) keysInRange(key, end string) []string {
	from, there := slices.BinarySearch(s.sortedKeys, key)
	switch {
	case end == "" && !there:
		return nil
	case end == "":
		return s.sortedKeys[from : from+1]
	case end == "\x00":
		return s.sortedKeys[from:]
	}
	to, _ := slices.BinarySearch(s.sortedKeys, end)
	return s.sortedKeys[from:max(from, to)]
}

// Range reads keys at a revision, 0 for the newest; count is how many there are.
func (s *Store) Range(key, end string, rev, limit int64) (kvs []Version, count int64, err error) {
	switch {
	case rev > s.revision:
		return nil, 0, ErrFutureRevision
	case rev > 0 && rev < s.compacted:
		return nil, 0, ErrCompacted
	case rev <= 0:
		rev = s.revision
	}
	for _, k := range s.keysInRange(key, end) {
		if v, ok := s.getAt(k, rev); ok {
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

// Apply makes changes, all at one revision. Nothing is changed where one cannot be.
func (s *Store) Apply(ops ...Op) (deleted int64, err error) {
	for _, op := range ops {
		if op.Lease != 0 && !op.Delete && s.leases[op.Lease] == nil {
			return 0, ErrLeaseNotFound
		}
	}
	rev := s.revision + 1
	for _, op := range ops {
		if !op.Delete {
			s.put(op, rev)
			continue
		}
		for _, k := range slices.Clone(s.keysInRange(op.Key, op.End)) {
			if v, ok := s.getAt(k, rev); ok {
				s.detachLease(v)
				s.appendVersion(Version{Key: k, Deleted: true, ModRevision: rev})
				deleted++
			}
		}
	}
	return deleted, nil
}

func (s *Store) put(op Op, rev int64) {
	v := Version{Key: op.Key, Value: op.Value, CreateRevision: rev, ModRevision: rev, Version: 1, Lease: op.Lease}
	if old, ok := s.getAt(op.Key, rev); ok {
		s.detachLease(old)
		v.CreateRevision, v.Version = old.CreateRevision, old.Version+1
	}
	if l := s.leases[op.Lease]; l != nil {
		l.keys[op.Key] = true
	}
	s.appendVersion(v)
}

func (s *Store) detachLease(v Version) {
	if l := s.leases[v.Lease]; l != nil {
		delete(l.keys, v.Key)
	}
}

func (s *Store) appendVersion(v Version) {
	s.revision = v.ModRevision
	if s.versions[v.Key] == nil {
		at, _ := slices.BinarySearch(s.sortedKeys, v.Key)
		s.sortedKeys = slices.Insert(s.sortedKeys, at, v.Key)
	}
	s.versions[v.Key] = append(s.versions[v.Key], v)
	s.history = append(s.history, v)
}

// Compact drops what is older than a revision and needed by no later one.
func (s *Store) Compact(rev int64) error {
	switch {
	case rev > s.revision:
		return ErrFutureRevision
	case rev <= s.compacted:
		return ErrCompacted
	}
	s.compacted = rev
	for _, k := range slices.Clone(s.sortedKeys) {
		all := s.versions[k]
		i := sort.Search(len(all), func(i int) bool { return all[i].ModRevision > rev })
		if i > 0 && all[i-1].Deleted {
			i++
		}
		if i > 1 {
			all = slices.Clone(all[min(i-1, len(all)):])
		}
		if s.versions[k] = all; len(all) == 0 {
			delete(s.versions, k)
			at, _ := slices.BinarySearch(s.sortedKeys, k)
			s.sortedKeys = slices.Delete(s.sortedKeys, at, at+1)
		}
	}
	at := sort.Search(len(s.history), func(i int) bool { return s.history[i].ModRevision >= rev })
	s.history = slices.Clone(s.history[at:])
	return nil
}

// Changes are the changes from a revision on up to another, of a range, in order;
// what was compacted cannot be told.
func (s *Store) Changes(key, end string, from, to int64) ([]Version, error) {
	if from < s.compacted {
		return nil, ErrCompacted
	}
	at := sort.Search(len(s.history), func(i int) bool { return s.history[i].ModRevision >= from })
	var all []Version
	for _, v := range s.history[at:] {
		if v.ModRevision > to {
			break
		}
		if v.Key == key || end == "\x00" && v.Key >= key || end != "" && v.Key >= key && v.Key < end {
			all = append(all, v)
		}
	}
	return all, nil
}

// GrantLease makes a lease; with id 0 it has the next one that is free.
func (s *Store) GrantLease(id, ttl, now int64) (*Lease, error) {
	if id == 0 {
		id = s.revision<<8 + 1
		for s.leases[id] != nil {
			id++
		}
	}
	if s.leases[id] != nil {
		return nil, ErrLeaseExists
	}
	l := &Lease{ID: id, TTL: ttl, ExpiresAt: now + ttl*1e6, keys: map[string]bool{}}
	s.leases[id] = l
	return l, nil
}

// RenewLease has a lease last for its time from now on.
func (s *Store) RenewLease(id, now int64) (*Lease, error) {
	l := s.leases[id]
	if l == nil {
		return nil, ErrLeaseNotFound
	}
	l.ExpiresAt = now + l.TTL*1e6
	return l, nil
}

// RevokeLease ends a lease, and deletes its keys.
func (s *Store) RevokeLease(id int64) error {
	l := s.leases[id]
	if l == nil {
		return ErrLeaseNotFound
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
		if _, err := s.Apply(ops...); err != nil {
			return err
		}
	}
	delete(s.leases, id)
	return nil
}

// ExpireLeases ends the leases whose time is up.
func (s *Store) ExpireLeases(now int64) {
	var ids []int64
	for id, l := range s.leases {
		if l.ExpiresAt <= now {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		_ = s.RevokeLease(id) // they are the leases that there are
	}
}

// Clone is a backup: what is there now, from which another cluster may be made.
func (s *Store) Clone() *Store {
	c := NewStore()
	c.revision, c.compacted = s.revision, s.compacted
	c.sortedKeys, c.history = slices.Clone(s.sortedKeys), slices.Clone(s.history)
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
