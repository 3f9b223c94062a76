package wal

import (
	"errors"
	"fmt"

	"troutusher/internal/core"
)

// Division of Options.MaxBytes. At any time the log and its compaction fit into it
// together.
const (
	roundingReserve = 16 << 10 // stays unused, since file systems round file sizes up
	// pendingReserve is left to further records of accepted messages: no message is
	// accepted into it.
	pendingReserve = 64 << 10
	minCompactSize = 1 << 20 // a shorter log is compacted only for lack of room
	compactFactor  = 4       // a log is compacted once it has so many times the size of the pending records
)

// append writes one record, if there is room for it and for a later compaction.
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
		// Remove what was written of the record: it would hide the records after it.
		return fmt.Errorf("log: %w", errors.Join(err, l.file.Truncate(l.size)))
	}
	l.size += int64(len(l.buffer))
	l.pending.apply(r)
	return nil
}

// makeRoom compacts the log if that is due or needed to append a record of this
// encoded size. It returns ErrFull if the record does not fit anyway.
func (l *Log) makeRoom(r *core.Record, size int64) error {
	pending, free := l.pending.bytes, l.maxBytes-roundingReserve
	if r.Kind == core.RecordAccepted {
		pending += reservedSize(r)
		free -= pendingReserve
		if 2*pending > free { // compaction cannot help, so do not try it for every message
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
