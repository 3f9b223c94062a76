package registry

// maxOlderLists is how many complete lists in a row must be older than the known revision for the
// last of them to be accepted: the registry is then assumed to have restarted its revisions.
const maxOlderLists = 3

// Verdict says how to treat a received list.
type Verdict uint8

// Verdicts.
const (
	Accept Verdict = iota + 1
	Ignore         // it is older than the known revision
	Resync         // it is a change to a list that is not known: fetch the complete list
)

// CheckRevision decides by its revision whether a list, complete or a change, is accepted, and
// records the revision if it is. A revision older than one that the same registry has already
// sent is rejected: otherwise a draining endpoint would receive calls again. The exception is a
// registry that sends an older complete list maxOlderLists times in a row: it has restarted its
// revisions.
func (s *Scheduler) CheckRevision(revision int64, complete bool) Verdict {
	older := revision < s.revision
	switch {
	case complete && older && s.revisionFromAddress && s.olderLists+1 < maxOlderLists:
		s.olderLists++
		return Ignore
	case !complete && (!s.hasRevision || older && !s.revisionFromAddress):
		s.hasRevision = false
		return Resync
	case !complete && older:
		return Ignore
	}
	s.revision, s.hasRevision = revision, true
	s.revisionFromAddress, s.olderLists = true, 0
	return Accept
}
