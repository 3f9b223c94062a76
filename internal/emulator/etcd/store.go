// Package etcd emulates an etcd cluster for rehearsals and tests. A store keeps revisions,
// leases and transactions in memory and supports compaction. Members serve the store over
// the gRPC services of the v3 API, and can be made to fail in several ways.
//
// Only rehearsals and tests use the package. The relay must not link it.
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

// Version is the state of a key after a change.
type Version struct {
	Key, Value     string
	Deleted        bool  // the change deleted the key
	CreateRevision int64 // revision at which the key was created
	ModRevision    int64 // revision of the change
	Version        int64 // number of changes since the creation, which counts as the first
	Lease          int64 // id of the lease; 0 for none
}

// Lease is a granted lease.
type Lease struct {
	ID        int64
	TTL       int64           // seconds
	ExpiresAt int64           // Unix time in microseconds
	keys      map[string]bool // keys attached to the lease
}

// Store is the replicated state of a cluster. It is not safe for concurrent use.
type Store struct {
	revision   int64
	compacted  int64 // earlier revisions cannot be read or watched
	sortedKeys []string
	versions   map[string][]Version // versions of each key, by revision
	history    []Version            // all changes since compacted, by revision
	leases     map[int64]*Lease
}

// NewStore returns an empty store at revision 1, like that of a new cluster.
func NewStore() *Store {
	return &Store{revision: 1, versions: map[string][]Version{}, leases: map[int64]*Lease{}}
}

// Revision returns the revision of the last change.
func (s *Store) Revision() int64 { return s.revision }

// Compacted returns the oldest revision that can be read.
func (s *Store) Compacted() int64 { return s.compacted }

// getAt returns a key at a revision, and false if the key does not exist at that revision.
func (s *Store) getAt(key string, revision int64) (Version, bool) {
	versions := s.versions[key]
	count := versionsUpTo(versions, revision)
	if count == 0 || versions[count-1].Deleted {
		return Version{}, false
	}
	return versions[count-1], true
}

// versionsUpTo returns the number of versions up to and including a revision.
func versionsUpTo(versions []Version, revision int64) int {
	return sort.Search(len(versions), func(i int) bool { return versions[i].ModRevision > revision })
}

// keysInRange returns the keys from key up to, but not including, end. If end is empty, the
// range is only key itself; if end is "\x00", it has no upper bound.
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

// Range reads the keys of a range, see keysInRange, at a revision; 0 means the latest one. It
// returns at most limit keys, or all if limit is 0, and the number of keys in the range.
func (s *Store) Range(key, end string, revision, limit int64) (found []Version, count int64, err error) {
	switch {
	case revision > s.revision:
		return nil, 0, ErrFutureRevision
	case revision > 0 && revision < s.compacted:
		return nil, 0, ErrCompacted
	case revision <= 0:
		revision = s.revision
	}
	for _, candidate := range s.keysInRange(key, end) {
		version, exists := s.getAt(candidate, revision)
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

// Op is one change: a put of Key, or the deletion of the range from Key to End.
type Op struct {
	Key, End, Value string
	Delete          bool
	Lease           int64 // id of the lease for the put; 0 for none
}

// Apply makes changes, all at one revision, and returns the number of deleted keys. It
// changes nothing if one of the leases is unknown.
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

// Compact drops the versions that are needed only for reads before a revision.
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

// compactKey drops the versions of a key that precede the one that is current at a revision.
// If the current one is a deletion, it drops that one as well.
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

// Changes returns the changes of a range from one revision up to and including another, in
// order.
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
	return key >= first && key < end // false for all keys if end is empty
}

// GrantLease creates a lease. If id is 0, it chooses a free one.
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

// RenewLease extends a lease so that it lasts for its full TTL from now on.
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

// ExpireLeases revokes the leases whose TTL has ended.
func (s *Store) ExpireLeases(now int64) {
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if s.leases[id].ExpiresAt <= now {
			_ = s.RevokeLease(id) // cannot fail, because the lease exists
		}
	}
}

// Clone returns a copy of the store, for use as a backup.
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
