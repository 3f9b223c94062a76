package registry

// maxOlderLists is how many complete lists in a row that are older than what is known
// mean that the registry has begun again.
const maxOlderLists = 3

// Verdict is what a list is worth.
type Verdict uint8

// Verdicts.
const (
	Accept Verdict = iota + 1
	Ignore         // older than what is known
	Resync         // a change of a list that is not known: the complete list is needed
)

// Judge judges a list, complete or a change. A revision older than one that was heard from
// the same registry is not believed: an endpoint that drains would be sent to again. But
// one that shows an older complete list often enough has begun again.
func (s *Scheduler) Judge(revision int64, complete bool) Verdict {
	older := revision < s.revision
	switch {
	case complete && older && s.heardHere && s.olderLists+1 < maxOlderLists:
		s.olderLists++
		return Ignore
	case !complete && (!s.hasRevision || older && !s.heardHere):
		s.hasRevision = false
		return Resync
	case !complete && older:
		return Ignore
	}
	s.revision, s.hasRevision = revision, true
	s.heardHere, s.olderLists = true, 0
	return Accept
}
