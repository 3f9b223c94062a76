package relay

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"

	"troutusher/internal/core"
	"troutusher/internal/mailbox"
)

// The write-ahead log. It holds what the relay owes: each message from the
// moment it is taken on until its end is certain. A record is a mark, the
// payload's length and checksum, and the payload: a line of JSON, then the
// body. The operating system keeps what was written when a process is killed,
// so nothing is synced.

const (
	WALFileName        = "relay.wal"
	walMagic           = "\xf7TRW"
	walHeaderSize      = 12
	walMaxPayload      = 128 << 10 // longer than any record
	walRoundingReserve = 16 << 10  // of the disk, never used: file sizes are rounded up
	walHeldReserve     = 64 << 10  // kept for records on messages that were taken on already
	walMinCompactSize  = 1 << 20   // a log this short is not worth compacting
	maxStateGrowth     = 160       // bytes by which a message's record may grow later
)

var (
	ErrFull       = errors.New("log: no room")
	ErrNotPending = errors.New("log: message is not owed")
)

// record is one entry of the log.
type record = core.Record

func encodeRecord(r *record, to []byte) ([]byte, error) {
	line, err := json.Marshal(r)
	if err != nil {
		return to, fmt.Errorf("log: %w", err)
	}
	n := len(line) + 1 + len(r.Body)
	if n > walMaxPayload {
		return to, fmt.Errorf("log: a record of %d bytes", n)
	}
	start := len(to)
	to = append(to, walMagic...)
	to = binary.BigEndian.AppendUint32(to, uint32(n))
	to = append(to, 0, 0, 0, 0)
	to = append(append(append(to, line...), '\n'), r.Body...)
	binary.BigEndian.PutUint32(to[start+8:], crc32.ChecksumIEEE(to[start+walHeaderSize:]))
	return to, nil
}

// decodeRecord reads the record at the start of b. size is 0 where there is none.
func decodeRecord(b []byte) (r *record, size int) {
	if len(b) < walHeaderSize || string(b[:4]) != walMagic {
		return nil, 0
	}
	n := int(binary.BigEndian.Uint32(b[4:]))
	if n > walMaxPayload || walHeaderSize+n > len(b) {
		return nil, 0
	}
	payload := b[walHeaderSize : walHeaderSize+n]
	if crc32.ChecksumIEEE(payload) != binary.BigEndian.Uint32(b[8:]) {
		return nil, 0
	}
	line, body, ok := bytes.Cut(payload, []byte{'\n'})
	r = &record{}
	if !ok || json.Unmarshal(line, r) != nil || r.ID == "" {
		return nil, 0
	}
	r.Body = slices.Clone(body)
	return r, walHeaderSize + n
}

// walRequest is a record to write, and what to do once that is done or has failed.
type walRequest struct {
	record    *record
	onWritten func(error)
}

// wal is the log. Its goroutine alone touches the file; then-functions run on
// it, in the order in which their records were handed over, and may not wait.
type wal struct {
	path         string
	limit        int64
	log          *slog.Logger
	file         *os.File
	size         int64
	pending      map[string]*pendingRecord
	pendingBytes int64  // bytes that the live records need
	accepted     int    // messages so far, for their order
	Found        string // what was there at the start
	queue        *mailbox.Mailbox[walRequest]
	done         chan struct{}
	buffer       []byte
}

type pendingRecord struct {
	record   *record
	sequence int
	size     int64
}

// openWAL recovers what the log holds, oldest first, and makes it ready. out
// names the messages whose attempt is known to be out still; may be nil.
func openWAL(dir string, limit int64, out func(id string) bool, log *slog.Logger) (*wal, []*record, error) {
	w := &wal{path: filepath.Join(dir, WALFileName), limit: limit, log: log, pending: map[string]*pendingRecord{},
		queue: mailbox.New[walRequest](), done: make(chan struct{})}
	os.Remove(w.path + ".new") // a compaction that a kill cut short
	text, err := os.ReadFile(w.path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, nil, fmt.Errorf("log: %w", err)
	}
	if w.Found = "found"; err != nil {
		w.Found = "none"
	}
	w.replay(text)
	for id, l := range w.pending {
		if out == nil || !out(id) {
			l.record.ResolveOpenAttempt()
		}
	}
	w.size = int64(len(text))
	if err := w.compact(); err != nil {
		// What is held still counts; the old log is used as it is.
		w.log.Error("log: not compacted", "err", err)
		if w.file, err = os.OpenFile(w.path, os.O_RDWR|os.O_CREATE, 0o600); err != nil {
			return nil, nil, fmt.Errorf("log: %w", err)
		}
		if _, err := w.file.Seek(w.size, io.SeekStart); err != nil {
			return nil, nil, fmt.Errorf("log: %w", err)
		}
	}
	var owed []*record
	for _, l := range w.pendingInOrder() {
		c := *l.record
		owed = append(owed, &c)
	}
	return w, owed, nil
}

// replay folds the text of a log into the live records. A damaged record is
// passed over: reading goes on at the next mark that starts a sound one.
func (w *wal) replay(text []byte) {
	for at := 0; at < len(text); {
		r, n := decodeRecord(text[at:])
		if n > 0 {
			w.apply(r)
			at += n
			continue
		}
		next := -1
		for from := at + 1; from < len(text); {
			i := bytes.Index(text[from:], []byte(walMagic))
			if i < 0 {
				break
			}
			if _, m := decodeRecord(text[from+i:]); m > 0 {
				next = from + i
				break
			}
			from += i + 1
		}
		if next < 0 {
			w.log.Warn("log: torn tail dropped", "at", at, "bytes", len(text)-at)
			return
		}
		w.log.Error("log: damaged record passed over", "at", at, "bytes", next-at)
		at = next
	}
}

// apply books a written record.
func (w *wal) apply(r *record) {
	l := w.pending[r.ID]
	switch {
	case r.Kind == core.RecordAccepted:
		if l == nil {
			w.accepted++
			l = &pendingRecord{record: r, sequence: w.accepted, size: reservedSize(r)}
			w.pending[r.ID] = l
			w.pendingBytes += l.size
		}
	case l == nil: // over, or its first record was damaged
	case r.Kind == core.RecordDone:
		w.pendingBytes -= l.size
		delete(w.pending, r.ID)
	default:
		l.record.Apply(r)
	}
}

func reservedSize(r *record) int64 {
	return int64(walHeaderSize + len(r.Body) + len(r.ID) + len(r.Key) + len(r.Class) + len(r.Tenant) + 160 + maxStateGrowth)
}

func (w *wal) pendingInOrder() []*pendingRecord {
	all := make([]*pendingRecord, 0, len(w.pending))
	for _, l := range w.pending {
		all = append(all, l)
	}
	slices.SortFunc(all, func(a, b *pendingRecord) int { return a.sequence - b.sequence })
	return all
}

// compact writes what is owed to a new file and puts it in the old one's place.
func (w *wal) compact() error {
	var text []byte
	for _, l := range w.pendingInOrder() {
		c := *l.record
		c.Kind = core.RecordAccepted
		var err error
		if text, err = encodeRecord(&c, text); err != nil {
			return err
		}
	}
	if w.size+int64(len(text)) > w.limit-walRoundingReserve/2 {
		return ErrFull
	}
	f, err := os.OpenFile(w.path+".new", os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	if _, err = f.Write(text); err == nil {
		err = os.Rename(w.path+".new", w.path)
	}
	if err != nil {
		f.Close()
		os.Remove(w.path + ".new")
		return fmt.Errorf("log: %w", err)
	}
	if w.file != nil {
		w.file.Close()
	}
	w.file, w.size = f, int64(len(text))
	return nil
}

// Submit hands a record over. It never waits.
func (w *wal) Submit(r *record, then func(error)) { w.queue.Put(walRequest{r, then}) }

// Run writes until stop is closed and everything handed over before is written.
func (w *wal) Run(stop <-chan struct{}) {
	defer close(w.done)
	var ops []walRequest
	for stopping := false; ; {
		ops = w.queue.TakeAll(ops)
		for _, op := range ops {
			if op.record == nil { // only the order counts
				op.onWritten(nil)
				continue
			}
			err := w.append(op.record)
			if err != nil && err != ErrNotPending {
				w.log.Error("log: record not written", "kind", op.record.Kind, "message", op.record.ID, "err", err)
			}
			if op.onWritten != nil {
				op.onWritten(err)
			}
		}
		if len(ops) > 0 {
			continue
		}
		if stopping {
			w.file.Close()
			return
		}
		select {
		case <-w.queue.Ready():
		case <-stop:
			stopping = true
		}
	}
}

// append writes one record, if there is room for it and for a compaction.
func (w *wal) append(r *record) error {
	if r.Kind != core.RecordAccepted && w.pending[r.ID] == nil {
		return ErrNotPending
	}
	var err error
	if w.buffer, err = encodeRecord(r, w.buffer[:0]); err != nil {
		return err
	}
	n := int64(len(w.buffer))
	owed, free := w.pendingBytes, w.limit-walRoundingReserve
	if r.Kind == core.RecordAccepted {
		owed += reservedSize(r)
		free -= walHeldReserve // later records on what is held must still fit
		if 2*owed > free {     // compaction would not help, so it is not tried for each
			return ErrFull
		}
	}
	if w.size+n+owed > free || w.size > max(walMinCompactSize, 4*owed) {
		if err := w.compact(); err != nil {
			w.log.Error("log: not compacted", "err", err)
		}
		if w.size+n+owed > free {
			return ErrFull
		}
	}
	if _, err := w.file.WriteAt(w.buffer, w.size); err != nil {
		// A part that was written would hide what follows it.
		if terr := w.file.Truncate(w.size); terr != nil {
			err = errors.Join(err, terr)
		}
		return fmt.Errorf("log: %w", err)
	}
	w.size += n
	w.apply(r)
	return nil
}
