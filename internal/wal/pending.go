package wal

import (
	"cmp"
	"iter"
	"maps"
	"slices"

	"troutusher/internal/core"
)

const (
	maxStateGrowth = 160 // bytes that the state of a message can add to its record
	jsonOverhead   = 160 // bytes of keys and numbers in the JSON of a message's record

	endpointJSONOverhead = 90 // bytes of keys and numbers in the JSON of an endpoint's record
)

// pendingSet holds the pending messages, with all records of a message combined into one, and the
// last record of each endpoint that has departed.
type pendingSet struct {
	byID      map[string]*pendingRecord
	endpoints map[string]*core.Record // by endpoint ID
	bytes     int64                   // upper bound for the size of a compacted log
	accepted  int                     // number of messages that were ever added
}

type pendingRecord struct {
	record   *core.Record
	sequence int   // position in the order of acceptance
	reserved int64 // the share of this record in pendingSet.bytes
}

func newPendingSet() pendingSet {
	return pendingSet{byID: map[string]*pendingRecord{}, endpoints: map[string]*core.Record{}}
}

func (s *pendingSet) contains(id string) bool { return s.byID[id] != nil }

// apply updates the set with a record of the log.
func (s *pendingSet) apply(r *core.Record) {
	if concernsEndpoint(r) {
		s.applyEndpoint(r)
		return
	}
	p := s.byID[r.ID]
	switch {
	case r.Kind == core.RecordAccepted:
		if p == nil {
			s.add(r)
		}
	case p == nil: // the message is done, or the record of its acceptance was damaged
	case r.Kind == core.RecordDone:
		s.bytes -= p.reserved
		delete(s.byID, r.ID)
	default:
		p.record.Apply(r)
	}
}

// concernsEndpoint reports whether a record is about an endpoint, and not about a message.
func concernsEndpoint(r *core.Record) bool {
	return r.Kind == core.RecordEndpoint || r.Kind == core.RecordEndpointForgotten
}

// applyEndpoint updates the set with a record about an endpoint.
func (s *pendingSet) applyEndpoint(r *core.Record) {
	if earlier := s.endpoints[r.ID]; earlier != nil {
		s.bytes -= reservedSize(earlier)
		delete(s.endpoints, r.ID)
	}
	if r.Kind == core.RecordEndpoint {
		s.bytes += reservedSize(r)
		s.endpoints[r.ID] = r
	}
}

// endpointRecords returns the records about endpoints, in the order of their lists.
func (s *pendingSet) endpointRecords() []*core.Record {
	return slices.SortedFunc(maps.Values(s.endpoints), func(a, b *core.Record) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.ID, b.ID))
	})
}

func (s *pendingSet) add(r *core.Record) {
	s.accepted++
	p := &pendingRecord{record: r, sequence: s.accepted, reserved: reservedSize(r)}
	s.byID[r.ID] = p
	s.bytes += p.reserved
}

// reservedSize returns the maximum encoded size of an accepted message, or of an endpoint's record, in a
// compacted log, whatever state it has by then.
func reservedSize(r *core.Record) int64 {
	if r.Kind == core.RecordEndpoint {
		return int64(headerSize + len(r.ID) + len(r.Address) + endpointJSONOverhead)
	}
	text := len(r.Body) + len(r.ID) + len(r.Key) + len(r.Class) + len(r.Tenant)
	return int64(headerSize + text + jsonOverhead + maxStateGrowth)
}

// resolveOpenAttempts marks attempts without an outcome as possibly executed, unless
// inFlight reports that the attempt of the message is still running. inFlight may be nil.
func (s *pendingSet) resolveOpenAttempts(inFlight func(id string) bool) {
	for id, p := range s.byID {
		if inFlight == nil || !inFlight(id) {
			p.record.ResolveOpenAttempt()
		}
	}
}

// inOrder returns the pending messages in the order of their acceptance.
func (s *pendingSet) inOrder() []*pendingRecord {
	return slices.SortedFunc(maps.Values(s.byID), func(a, b *pendingRecord) int { return a.sequence - b.sequence })
}

// copies returns copies of the records in the order of their messages' acceptance.
func (s *pendingSet) copies() []*core.Record {
	var records []*core.Record
	for _, p := range s.inOrder() {
		r := *p.record
		records = append(records, &r)
	}
	return records
}

// compacted returns the records of a compacted log: those of endpoints, and those of messages in the order of
// their acceptance. A record is valid until the next one is returned.
func (s *pendingSet) compacted() iter.Seq[*core.Record] {
	return func(yield func(*core.Record) bool) {
		for _, r := range s.endpointRecords() {
			if !yield(r) {
				return
			}
		}
		var combined core.Record
		for _, p := range s.inOrder() {
			combined = *p.record
			combined.Kind = core.RecordAccepted
			if !yield(&combined) {
				return
			}
		}
	}
}
