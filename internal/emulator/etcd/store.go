// Package etcd emulates an etcd cluster for rehearsals and tests: a store of revisions
// with leases, transactions and compaction, and members that serve it with the gRPC
// services of the v3 API, with faults on demand.
//
// It must never be linked into the daemon, and keeps nothing on disk.
package etcd

import (
	"errors"
	"maps"
	"slices"
	"sort"
)

// Errors, with the texts of the API.
var (
	ErrCompacted      = errors.New("etcdserver: mvcc: required revision has been compacted")
	ErrFutureRevision = errors.New("etcdserver: mvcc: required revision is a future revision")
	ErrLeaseNotFound  = errors.New("etcdserver: requested lease not found")
	ErrLeaseExists    = errors.New("etcdserver: lease already exists")
)

// Version is a key at a revision.
type Version struct {
	Key, Value     string
	Deleted        bool
	CreateRevision int64
	ModRevision    int64
	Version        int64
	Lease          int64
}

// Lease is a lease that was granted.
type Lease struct {
	ID        int64
	TTL       int64 // seconds
	ExpiresAt int64 // µs
	keys      map[string]bool
}

// Store is the state that a majority of the cluster has agreed on. It is not safe for
// concurrent use.
type Store struct {
	revision   int64
	compacted  int64 // nothing before it can be read or watched
	sortedKeys []string
	versions   map[string][]Version // of each key, by revision
	history    []Version            // all changes from compacted on, by revision
	leases     map[int64]*Lease
}

// NewStore makes an empty store, at revision 1 as a new cluster is.
func NewStore() *Store {
	return &Store{revision: 1, versions: map[string][]Version{}, leases: map[int64]*Lease{}}
}

// Revision is the revision of the last change.
func (s *Store) Revision() int64 { return s.revision }

// Compacted is the oldest revision that can be read.
func (s *Store) Compacted() int64 { return s.compacted }

// getAt is a key at a revision; false where it does not exist there.
func (s *Store) getAt(key string, revision int64) (Version, bool) {
	versions := s.versions[key]
	after := versionsUpTo(versions, revision)
	if after == 0 || versions[after-1].Deleted {
		return Version{}, false
	}
	return versions[after-1], true
}

// versionsUpTo counts the versions of a revision or before it.
func versionsUpTo(versions []Version, revision int64) int {
	return sort.Search(len(versions), func(i int) bool { return versions[i].ModRevision > revision })
}

// keysInRange are the keys of a range: the key alone where end is empty, all from it on
// where end is "\x00".
func (s *Store) keysInRange(key, end string) []string {
	from, found := slices.BinarySearch(s.sortedKeys, key)
	switch {
	case end == "" && !found:
		return nil
	case end == "":
		return s.sortedKeys[from : from+1]
	case end == "\x00":
		return s.sortedKeys[from:]
	}
	to, _ := slices.BinarySearch(s.sortedKeys, end)
	return s.sortedKeys[from:max(from, to)]
}

// Range reads the keys of a range at a revision, 0 for the newest. It returns limit of
// them at most, 0 for all, and how many there are.
func (s *Store) Range(key, end string, revision, limit int64) (found []Version, count int64, err error) {
	switch {
	case revision > s.revision:
		return nil, 0, ErrFutureRevision
	case revision > 0 && revision < s.compacted:
		return nil, 0, ErrCompacted
	case revision <= 0:
		revision = s.revision
	}
	for _, each := range s.keysInRange(key, end) {
		version, exists := s.getAt(each, revision)
		if !exists {
			continue
		}
		count++
		if limit <= 0 || count <= limit {
			found = append(found, version)
		}
	}
	return found, count, nil
}

// Op is one change: a put, or the deletion of a range.
type Op struct {
	Key, End, Value string
	Delete          bool
	Lease           int64
}

// Apply makes changes, all at one revision. It changes nothing where a lease is unknown.
func (s *Store) Apply(ops ...Op) (deleted int64, err error) {
	for _, op := range ops {
		if op.Lease != 0 && !op.Delete && s.leases[op.Lease] == nil {
			return 0, ErrLeaseNotFound
		}
	}
	revision := s.revision + 1
	for _, op := range ops {
		if op.Delete {
			deleted += s.deleteRange(op, revision)
		} else {
			s.put(op, revision)
		}
	}
	return deleted, nil
}

func (s *Store) deleteRange(op Op, revision int64) (deleted int64) {
	for _, key := range slices.Clone(s.keysInRange(op.Key, op.End)) {
		if version, exists := s.getAt(key, revision); exists {
			s.detachLease(version)
			s.appendVersion(Version{Key: key, Deleted: true, ModRevision: revision})
			deleted++
		}
	}
	return deleted
}

func (s *Store) put(op Op, revision int64) {
	version := Version{
		Key: op.Key, Value: op.Value, CreateRevision: revision, ModRevision: revision, Version: 1, Lease: op.Lease,
	}
	if old, exists := s.getAt(op.Key, revision); exists {
		s.detachLease(old)
		version.CreateRevision, version.Version = old.CreateRevision, old.Version+1
	}
	if lease := s.leases[op.Lease]; lease != nil {
		lease.keys[op.Key] = true
	}
	s.appendVersion(version)
}

func (s *Store) detachLease(version Version) {
	if lease := s.leases[version.Lease]; lease != nil {
		delete(lease.keys, version.Key)
	}
}

func (s *Store) appendVersion(version Version) {
	s.revision = version.ModRevision
	if s.versions[version.Key] == nil {
		at, _ := slices.BinarySearch(s.sortedKeys, version.Key)
		s.sortedKeys = slices.Insert(s.sortedKeys, at, version.Key)
	}
	s.versions[version.Key] = append(s.versions[version.Key], version)
	s.history = append(s.history, version)
}

// Compact drops the versions before a revision that no later one needs.
func (s *Store) Compact(revision int64) error {
	switch {
	case revision > s.revision:
		return ErrFutureRevision
	case revision <= s.compacted:
		return ErrCompacted
	}
	s.compacted = revision
	for _, key := range slices.Clone(s.sortedKeys) {
		s.compactKey(key, revision)
	}
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].ModRevision >= revision })
	s.history = slices.Clone(s.history[first:])
	return nil
}

// compactKey drops versions of a key: all before the one at a revision, and that one
// too where the key is deleted.
func (s *Store) compactKey(key string, revision int64) {
	versions := s.versions[key]
	dropped := versionsUpTo(versions, revision) - 1
	if dropped >= 0 && versions[dropped].Deleted {
		dropped++
	}
	if dropped > 0 {
		versions = slices.Clone(versions[dropped:])
	}
	s.versions[key] = versions
	if len(versions) == 0 {
		delete(s.versions, key)
		at, _ := slices.BinarySearch(s.sortedKeys, key)
		s.sortedKeys = slices.Delete(s.sortedKeys, at, at+1)
	}
}

// Changes are the changes of a range from one revision up to another, in order.
func (s *Store) Changes(key, end string, from, to int64) ([]Version, error) {
	if from < s.compacted {
		return nil, ErrCompacted
	}
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].ModRevision >= from })
	var changes []Version
	for _, version := range s.history[first:] {
		if version.ModRevision > to {
			break
		}
		if inRange(version.Key, key, end) {
			changes = append(changes, version)
		}
	}
	return changes, nil
}

// inRange reports whether a key lies in a range, see keysInRange.
func inRange(key, first, end string) bool {
	switch {
	case key == first:
		return true
	case end == "\x00":
		return key >= first
	}
	return key >= first && key < end // no key is before an empty end
}

// GrantLease makes a lease. With id 0 it gets a free ID.
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
	lease := &Lease{ID: id, TTL: ttl, ExpiresAt: now + ttl*1e6, keys: map[string]bool{}}
	s.leases[id] = lease
	return lease, nil
}

// RenewLease has a lease last for its whole time from now on.
func (s *Store) RenewLease(id, now int64) (*Lease, error) {
	lease := s.leases[id]
	if lease == nil {
		return nil, ErrLeaseNotFound
	}
	lease.ExpiresAt = now + lease.TTL*1e6
	return lease, nil
}

// RevokeLease ends a lease and deletes its keys.
func (s *Store) RevokeLease(id int64) error {
	lease := s.leases[id]
	if lease == nil {
		return ErrLeaseNotFound
	}
	var ops []Op
	for _, key := range slices.Sorted(maps.Keys(lease.keys)) {
		ops = append(ops, Op{Key: key, Delete: true})
	}
	if len(ops) > 0 {
		if _, err := s.Apply(ops...); err != nil {
			return err
		}
	}
	delete(s.leases, id)
	return nil
}

// ExpireLeases ends the leases that have expired.
func (s *Store) ExpireLeases(now int64) {
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if s.leases[id].ExpiresAt <= now {
			_ = s.RevokeLease(id) // it exists
		}
	}
}

// Clone is a copy of the store, as a backup from which a cluster may be restored.
func (s *Store) Clone() *Store {
	c := NewStore()
	c.revision, c.compacted = s.revision, s.compacted
	c.sortedKeys, c.history = slices.Clone(s.sortedKeys), slices.Clone(s.history)
	for key, versions := range s.versions {
		c.versions[key] = slices.Clone(versions)
	}
	for id, lease := range s.leases {
		copied := *lease
		copied.keys = maps.Clone(lease.keys)
		c.leases[id] = &copied
	}
	return c
}
