package membership

import (
	"cmp"
	"slices"
)

// entry is the last state of one id in the list of one source.
type entry struct {
	Member
	source       int
	revision     int64  // revision of the update that last changed the entry
	updateNumber int64  // number of that update, since a source may restart its revisions
	removedAt    Time   // set if the entry is removed
	held         bool   // the source has removed it, but it stays listed until a resync confirms the removal
	unreadable   bool   // its value cannot be decoded, and a warning was given
	viewID       string // the endpoint's id in the view
	visitedBy    uint64 // number of the last walk that visited the entry
}

func (e *entry) listed() bool { return e.Phase != Removed }

func (e *entry) address() addressKey { return addressKey{e.HostPort, e.Dest} }

// addressKey identifies an endpoint that has different ids in different sources.
type addressKey struct {
	hostPort string
	dest     int
}

// compareEntries orders entries by the precedence of their sources, then by id.
func compareEntries(a, b *entry) int {
	return cmp.Or(a.source-b.source, cmp.Compare(a.ID, b.ID))
}

// newestEntry returns the newest of the entries that belong to the source, nil if none does.
func newestEntry(entries []*entry, source int) (newest *entry) {
	for _, e := range entries {
		if e.source == source && (newest == nil || newer(e, newest)) {
			newest = e
		}
	}
	return newest
}

// newer reports whether the state of a comes from a later update than that of b. Within one update,
// listed entries are newer than removed ones, and a higher id is newer than a lower one.
func newer(a, b *entry) bool {
	if a.updateNumber != b.updateNumber {
		return a.updateNumber > b.updateNumber
	}
	if a.listed() != b.listed() {
		return a.listed()
	}
	return a.ID > b.ID
}

// sourceTracker is the state of one source.
type sourceTracker struct {
	epoch        string
	formerEpochs []string // the oldest first; updates of these epochs are outdated
	revision     int64
	updates      int64             // number of accepted updates
	known        bool              // a complete list was accepted or imported
	lastHeard    Time              // time of its last update or heartbeat
	fresh        bool              // it was heard within its StaleAfter
	listedCount  int               // number of entries that the source lists
	entries      map[string]*entry // by the source's own id
	drainedOnly  map[string]bool   // ids that the source drains and does not list

	// Removals in the current window.
	windowStart    Time // 0 if there is no window
	windowBase     int  // the highest listedCount in the window
	windowRemovals int  // unannounced removals in the window

	resyncRequested bool
}

const (
	maxFormerEpochs = 8     // remembered per source
	maxDrainedOnly  = 65536 // remembered per source
	maxRemovals     = 65536 // remembered for all sources together
)

// rememberFormerEpoch adds the source's current epoch to its former ones, before the epoch changes.
func (t *sourceTracker) rememberFormerEpoch() {
	t.formerEpochs = append(t.formerEpochs, t.epoch)
	t.formerEpochs = t.formerEpochs[max(0, len(t.formerEpochs)-maxFormerEpochs):]
}

// removal records that an entry was removed at some time. The entry may have been listed again, or
// removed again, since then.
type removal struct {
	entry *entry
	at    Time
}

// current reports whether the entry is still removed and this is its last removal.
func (r removal) current() bool { return !r.entry.listed() && r.entry.removedAt == r.at }

func sortedKeys[T any](m map[string]T) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
