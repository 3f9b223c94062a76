package wal

import (
	"bufio"
	"errors"
	"fmt"
	"iter"
	"os"

	"troutusher/internal/core"
)

const compactionBuffer = 32 << 10 // bytes

// compact replaces the log with one that contains only the pending messages and the records
// about endpoints. If it fails, the log is unchanged.
func (l *Log) compact() error {
	compacted, size, err := l.replaceWith(l.pending.compacted())
	if err != nil {
		return fmt.Errorf("write compacted write-ahead log: %w", err)
	}
	if l.file != nil {
		// Nothing reads the replaced file any more, so an error of closing it can be ignored.
		_ = l.file.Close()
	}
	l.file, l.size = compacted, size
	return nil
}

// replaceWith writes the records to a new file, renames the file to the log's path and returns it open,
// with its size. It returns ErrFull if the old and the new log together would exceed the size limit.
func (l *Log) replaceWith(records iter.Seq[*core.Record]) (*os.File, int64, error) {
	path := l.path + compactedSuffix
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return nil, 0, err
	}
	size, err := writeRecords(f, records, l.maxBytes-roundingReserve/2-l.size)
	if err == nil {
		err = os.Rename(path, l.path)
	}
	if err != nil {
		return nil, 0, errors.Join(err, f.Close(), os.Remove(path))
	}
	return f, size, nil
}

// writeRecords writes encoded records one by one, since all of them together may need much memory. It
// returns their size, or ErrFull before it would write more than maxSize bytes.
func writeRecords(f *os.File, records iter.Seq[*core.Record], maxSize int64) (size int64, err error) {
	buffered := bufio.NewWriterSize(f, compactionBuffer)
	var text []byte
	for r := range records {
		if text, err = appendRecord(text[:0], r); err != nil {
			return 0, err
		}
		if size += int64(len(text)); size > maxSize {
			return 0, ErrFull
		}
		if _, err = buffered.Write(text); err != nil {
			return 0, err
		}
	}
	return size, buffered.Flush()
}
