package wal

import "bytes"

// replay applies the records of an encoded log to the pending set. It skips damaged
// records: decoding continues at the next intact record.
func (l *Log) replay(text []byte) {
	for offset := 0; offset < len(text); {
		r, size := decodeRecord(text[offset:])
		if size > 0 {
			l.pending.apply(r)
			offset += size
			continue
		}
		next := nextRecord(text, offset+1)
		if next < 0 {
			l.logger.Warn("write-ahead log: dropped an incomplete record at the end; its write was never confirmed",
				"at", offset, "bytes", len(text)-offset)
			return
		}
		l.logger.Error("write-ahead log: skipped damaged data; the records in it are lost",
			"at", offset, "bytes", next-offset)
		offset = next
	}
}

// nextRecord returns the offset of the first intact record at or after from, or -1.
func nextRecord(text []byte, from int) int {
	for from < len(text) {
		i := bytes.Index(text[from:], []byte(magic))
		if i < 0 {
			return -1
		}
		if _, size := decodeRecord(text[from+i:]); size > 0 {
			return from + i
		}
		from += i + 1
	}
	return -1
}
