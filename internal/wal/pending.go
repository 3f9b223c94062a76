package wal

import (
	"slices"

	"troutusher/internal/core"
)

const (
	maxStateGrowth = 160 // bytes by which a message's record may grow later
	jsonOverhead   = 160 // bytes of the keys and numbers in a record's line
)

// pendingSet is the messages that are owed something, each folded into one record.
type pendingSet struct {
	byID     map[string]*pendingRecord
	bytes    int64 // that a compaction may need for them
	accepted int   // messages so far, for their order
}

type pendingRecord struct {
	record   *core.Record
	sequence int
	reserved int64
}

func newPendingSet() pendingSet { return pendingSet{byID: map[string]*pendingRecord{}} }

func (s *pendingSet) contains(id string) bool { return s.byID[id] != nil }

// apply takes a written record into account.
func (s *pendingSet) apply(r *core.Record) {
	p := s.byID[r.ID]
	switch {
	case r.Kind == core.RecordAccepted:
		if p == nil {
			s.add(r)
		}
	case p == nil: // finished, or its first record was damaged
	case r.Kind == core.RecordDone:
		s.bytes -= p.reserved
		delete(s.byID, r.ID)
	default:
		p.record.Apply(r)
	}
}

func (s *pendingSet) add(r *core.Record) {
	s.accepted++
	p := &pendingRecord{record: r, sequence: s.accepted, reserved: reservedSize(r)}
	s.byID[r.ID] = p
	s.bytes += p.reserved
}

// reservedSize is what an accepted message may need in a compaction, whatever
// state it has by then.
func reservedSize(r *core.Record) int64 {
	text := len(r.Body) + len(r.ID) + len(r.Key) + len(r.Class) + len(r.Tenant)
	return int64(headerSize + text + jsonOverhead + maxStateGrowth)
}

// resolveOpenAttempts reads attempts whose outcome is not logged, and will not
// come, as ones that may have run.
func (s *pendingSet) resolveOpenAttempts(inFlight func(id string) bool) {
	for id, p := range s.byID {
		if inFlight == nil || !inFlight(id) {
			p.record.ResolveOpenAttempt()
		}
	}
}

// copies returns a copy of each record, the message that was accepted first first.
func (s *pendingSet) copies() []*core.Record {
	all := make([]*pendingRecord, 0, len(s.byID))
	for _, p := range s.byID {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *pendingRecord) int { return a.sequence - b.sequence })
	var records []*core.Record
	for _, p := range all {
		r := *p.record
		records = append(records, &r)
	}
	return records
}
