package wal

import (
	"errors"
	"fmt"

	"troutusher/internal/core"
)

// How Options.MaxBytes is divided. The log and a compacted copy of it, which exist at the
// same time during a compaction, together never exceed it.
const (
	roundingReserve = 16 << 10 // bytes that are never used, because file systems round file sizes up
	// pendingReserve is the space in bytes for the later records of accepted messages. Records that
	// accept a message cannot use it.
	pendingReserve = 64 << 10
	minCompactSize = 1 << 20 // bytes; a shorter log is compacted only to make room
	compactFactor  = 4       // the log is compacted at this multiple of the size of the pending records
)

// append writes one record if the size limit leaves room for it and for a later compaction, and
// applies it to the pending set. It returns ErrNotPending for a record of a message that is not
// pending, and ErrFull if there is no room.
func (l *Log) append(r *core.Record) error {
	if r.Kind != core.RecordAccepted && !concernsEndpoint(r) && !l.pending.contains(r.ID) {
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
		// Remove a partly written record, because it would hide the records after it.
		return fmt.Errorf("append to write-ahead log at byte %d: %w", l.size, errors.Join(err, l.file.Truncate(l.size)))
	}
	l.size += int64(len(l.buffer))
	l.pending.apply(r)
	return nil
}

// makeRoom compacts the log if it has grown long enough, or if a record of this encoded
// size does not fit otherwise. It returns ErrFull if the record does not fit even then.
func (l *Log) makeRoom(r *core.Record, size int64) error {
	pending, free := l.pending.bytes, l.maxBytes-roundingReserve
	switch r.Kind {
	case core.RecordEndpoint:
		pending += reservedSize(r)
	case core.RecordAccepted:
		pending += reservedSize(r)
		free -= pendingReserve
		// A compacted log would hold all pending records, and so would its copy at the next compaction.
		// If these do not fit, compaction cannot make room, so it is not even tried.
		if 2*pending > free || pending > l.maxPendingBytes {
			return ErrFull
		}
	}
	fits := func() bool { return l.size+size+pending <= free }
	if fits() && l.size <= max(minCompactSize, compactFactor*pending) {
		return nil
	}
	if err := l.compact(); err != nil {
		l.logger.Error("write-ahead log: compaction failed; the uncompacted log stays in use", "err", err)
	}
	if !fits() {
		return ErrFull
	}
	return nil
}
