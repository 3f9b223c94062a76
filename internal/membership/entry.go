package membership

import (
	"cmp"
	"slices"
)

// entry is what a source last stated of an id.
type entry struct {
	Member
	source       int
	revision     int64  // of the update that last stated something new of it
	updateNumber int64  // the number of that update: revisions may start again
	removedAt    Time   // of a removed one
	held         bool   // its removal has to be confirmed
	unreadable   bool   // its value cannot be decoded, and a warning was given
	viewID       string // the view's id for it
	visitedBy    uint64 // the walk that visited it last
}

func (e *entry) listed() bool { return e.Phase != Removed }

func (e *entry) address() addressKey { return addressKey{e.HostPort, e.Dest} }

// addressKey is what two ids of one endpoint have in common.
type addressKey struct {
	hostPort string
	dest     int
}

// compareEntries orders entries by the precedence of their sources, then by id.
func compareEntries(a, b *entry) int {
	return cmp.Or(a.source-b.source, cmp.Compare(a.ID, b.ID))
}

// newestEntry is what a source stated last among some entries; nil if it has none there.
func newestEntry(entries []*entry, source int) (newest *entry) {
	for _, e := range entries {
		if e.source == source && (newest == nil || newer(e, newest)) {
			newest = e
		}
	}
	return newest
}

// newer orders entries by the updates that stated them. Within one update, what is
// listed comes after what was removed.
func newer(a, b *entry) bool {
	if a.updateNumber != b.updateNumber {
		return a.updateNumber > b.updateNumber
	}
	if a.listed() != b.listed() {
		return a.listed()
	}
	return a.ID > b.ID
}

// sourceTracker is what is known of one source.
type sourceTracker struct {
	epoch        string
	formerEpochs []string
	revision     int64
	updates      int64 // accepted ones
	known        bool
	lastHeard    Time // its last update or heartbeat
	fresh        bool // it was heard within its StaleAfter
	listedCount  int
	entries      map[string]*entry // by the source's own id

	// Removals in the current window.
	windowStart    Time
	windowBase     int // the highest listedCount
	windowRemovals int

	resyncRequested bool
}

const (
	maxFormerEpochs = 8     // remembered for each source
	maxRemovals     = 65536 // remembered for all
)

// rememberFormerEpoch remembers the epoch that a source had until now.
func (t *sourceTracker) rememberFormerEpoch() {
	t.formerEpochs = append(t.formerEpochs, t.epoch)
	t.formerEpochs = t.formerEpochs[max(0, len(t.formerEpochs)-maxFormerEpochs):]
}

// removal is an entry that was removed, and when: it may be listed again since, or have
// been removed again.
type removal struct {
	entry *entry
	at    Time
}

// current reports whether this is the entry's last removal and still holds.
func (r removal) current() bool { return !r.entry.listed() && r.entry.removedAt == r.at }

func sortedKeys[T any](m map[string]T) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
