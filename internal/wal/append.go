package wal

import (
	"errors"
	"fmt"

	"troutusher/internal/core"
)

// How the disk is shared. At every moment the log and a compaction of it fit
// together under the limit.
const (
	roundingReserve = 16 << 10 // never used: file sizes are rounded up
	// pendingReserve is kept for further records of messages that were accepted
	// already: nothing new is accepted from it.
	pendingReserve = 64 << 10
	minCompactSize = 1 << 20 // a log this short is not worth compacting
	compactFactor  = 4       // a log is compacted once it is so many times what is pending
)

// append writes one record, if there is room for it and for a compaction.
func (l *Log) append(r *core.Record) error {
	if r.Kind != core.RecordAccepted && !l.pending.contains(r.ID) {
		return ErrNotPending
	}
	var err error
	if l.buffer, err = appendRecord(l.buffer[:0], r); err != nil {
		return err
	}
	if err := l.makeRoom(r, int64(len(l.buffer))); err != nil {
		return err
	}
	if _, err := l.file.WriteAt(l.buffer, l.size); err != nil {
		// A part that was written would hide what follows it.
		return fmt.Errorf("log: %w", errors.Join(err, l.file.Truncate(l.size)))
	}
	l.size += int64(len(l.buffer))
	l.pending.apply(r)
	return nil
}

// makeRoom compacts the log where a record of so many bytes needs it, and tells of
// one for which there is no room even so.
func (l *Log) makeRoom(r *core.Record, size int64) error {
	pending, free := l.pending.bytes, l.maxBytes-roundingReserve
	if r.Kind == core.RecordAccepted {
		pending += reservedSize(r)
		free -= pendingReserve
		if 2*pending > free { // compaction would not help, so it is not tried for each
			return ErrFull
		}
	}
	fits := func() bool { return l.size+size+pending <= free }
	if fits() && l.size <= max(minCompactSize, compactFactor*pending) {
		return nil
	}
	if err := l.compact(); err != nil {
		l.logger.Error("log: not compacted", "err", err)
	}
	if !fits() {
		return ErrFull
	}
	return nil
}
