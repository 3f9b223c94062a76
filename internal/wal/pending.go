package wal

import (
	"slices"

	"troutusher/internal/core"
)

const (
	maxStateGrowth = 160 // bytes by which later state can lengthen a record
	jsonOverhead   = 160 // bytes of keys and numbers in the JSON of a record
)

// pendingSet holds the pending messages, each folded into one record.
type pendingSet struct {
	byID     map[string]*pendingRecord
	bytes    int64 // upper bound of the size of a compacted log
	accepted int   // number of messages added so far
}

type pendingRecord struct {
	record   *core.Record
	sequence int   // by acceptance
	reserved int64 // its part of pendingSet.bytes
}

func newPendingSet() pendingSet { return pendingSet{byID: map[string]*pendingRecord{}} }

func (s *pendingSet) contains(id string) bool { return s.byID[id] != nil }

// apply updates the set by a record of the log.
func (s *pendingSet) apply(r *core.Record) {
	p := s.byID[r.ID]
	switch {
	case r.Kind == core.RecordAccepted:
		if p == nil {
			s.add(r)
		}
	case p == nil: // the message is done, or its first record was damaged
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

// reservedSize returns the most that an accepted message can need in a compacted log,
// whatever its state is by then.
func reservedSize(r *core.Record) int64 {
	text := len(r.Body) + len(r.ID) + len(r.Key) + len(r.Class) + len(r.Tenant)
	return int64(headerSize + text + jsonOverhead + maxStateGrowth)
}

// resolveOpenAttempts marks the attempts without an outcome as possibly executed,
// except for those of messages in flight. inFlight may be nil.
func (s *pendingSet) resolveOpenAttempts(inFlight func(id string) bool) {
	for id, p := range s.byID {
		if inFlight == nil || !inFlight(id) {
			p.record.ResolveOpenAttempt()
		}
	}
}

// copies returns copies of the records in the order in which the messages were
// accepted.
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
