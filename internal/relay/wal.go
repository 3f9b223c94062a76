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
)

// The write-ahead log. It holds what the relay owes: each message from the
// moment it is taken on until its end is certain. A record is a mark, the
// payload's length and checksum, and the payload: a line of JSON, then the
// body. The operating system keeps what was written when a process is killed,
// so nothing is synced.

const (
	walName   = "relay.wal"
	walMark   = "\xf7TRW"
	walHead   = 12
	walMost   = 128 << 10 // longer than any record
	walSlack  = 16 << 10  // of the disk, never used: file sizes are rounded up
	walSpare  = 64 << 10  // kept for records on messages that were taken on already
	walGarden = 1 << 20   // a log this short is not worth compacting
	stateRoom = 160       // bytes by which a message's record may grow later
)

var (
	errDiskFull = errors.New("log: no room")
	errNotOwed  = errors.New("log: message is not owed")
)

// record is one entry of the log.
type record = core.Record

func encodeRecord(r *record, to []byte) ([]byte, error) {
	line, err := json.Marshal(r)
	if err != nil {
		return to, fmt.Errorf("log: %w", err)
	}
	n := len(line) + 1 + len(r.Body)
	if n > walMost {
		return to, fmt.Errorf("log: a record of %d bytes", n)
	}
	start := len(to)
	to = append(to, walMark...)
	to = binary.BigEndian.AppendUint32(to, uint32(n))
	to = append(to, 0, 0, 0, 0)
	to = append(append(append(to, line...), '\n'), r.Body...)
	binary.BigEndian.PutUint32(to[start+8:], crc32.ChecksumIEEE(to[start+walHead:]))
	return to, nil
}

// decodeRecord reads the record at the start of b. size is 0 where there is none.
func decodeRecord(b []byte) (r *record, size int) {
	if len(b) < walHead || string(b[:4]) != walMark {
		return nil, 0
	}
	n := int(binary.BigEndian.Uint32(b[4:]))
	if n > walMost || walHead+n > len(b) {
		return nil, 0
	}
	payload := b[walHead : walHead+n]
	if crc32.ChecksumIEEE(payload) != binary.BigEndian.Uint32(b[8:]) {
		return nil, 0
	}
	line, body, ok := bytes.Cut(payload, []byte{'\n'})
	r = &record{}
	if !ok || json.Unmarshal(line, r) != nil || r.ID == "" {
		return nil, 0
	}
	r.Body = slices.Clone(body)
	return r, walHead + n
}

// walOp is a record to write, and what to do once that is done or has failed.
type walOp struct {
	rec  *record
	then func(error)
}

// wal is the log. Its goroutine alone touches the file; then-functions run on
// it, in the order in which their records were handed over, and may not wait.
type wal struct {
	path   string
	limit  int64
	log    *slog.Logger
	file   *os.File
	size   int64
	live   map[string]*liveRecord
	owed   int64  // bytes that the live records need
	taken  int    // messages so far, for their order
	found  string // what was there at the start
	in     *Mailbox[walOp]
	done   chan struct{}
	buffer []byte
}

type liveRecord struct {
	rec  *record
	seq  int
	size int64
}

// openWAL recovers what the log holds, oldest first, and makes it ready. out
// names the messages whose attempt is known to be out still; may be nil.
func openWAL(dir string, limit int64, out func(id string) bool, log *slog.Logger) (*wal, []*record, error) {
	w := &wal{path: filepath.Join(dir, walName), limit: limit, log: log, live: map[string]*liveRecord{},
		in: newMailbox[walOp](), done: make(chan struct{})}
	os.Remove(w.path + ".new") // a compaction that a kill cut short
	text, err := os.ReadFile(w.path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, nil, fmt.Errorf("log: %w", err)
	}
	if w.found = "found"; err != nil {
		w.found = "none"
	}
	w.replay(text)
	for id, l := range w.live {
		if out == nil || !out(id) {
			l.rec.ResolveOpenAttempt()
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
	for _, l := range w.inOrder() {
		c := *l.rec
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
			i := bytes.Index(text[from:], []byte(walMark))
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
	l := w.live[r.ID]
	switch {
	case r.Kind == core.RecordAccepted:
		if l == nil {
			w.taken++
			l = &liveRecord{rec: r, seq: w.taken, size: recordRoom(r)}
			w.live[r.ID] = l
			w.owed += l.size
		}
	case l == nil: // over, or its first record was damaged
	case r.Kind == core.RecordDone:
		w.owed -= l.size
		delete(w.live, r.ID)
	default:
		l.rec.Apply(r)
	}
}

func recordRoom(r *record) int64 {
	return int64(walHead + len(r.Body) + len(r.ID) + len(r.Key) + len(r.Class) + len(r.Tenant) + 160 + stateRoom)
}

func (w *wal) inOrder() []*liveRecord {
	all := make([]*liveRecord, 0, len(w.live))
	for _, l := range w.live {
		all = append(all, l)
	}
	slices.SortFunc(all, func(a, b *liveRecord) int { return a.seq - b.seq })
	return all
}

// compact writes what is owed to a new file and puts it in the old one's place.
func (w *wal) compact() error {
	var text []byte
	for _, l := range w.inOrder() {
		c := *l.rec
		c.Kind = core.RecordAccepted
		var err error
		if text, err = encodeRecord(&c, text); err != nil {
			return err
		}
	}
	if w.size+int64(len(text)) > w.limit-walSlack/2 {
		return errDiskFull
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

// submit hands a record over. It never waits.
func (w *wal) submit(r *record, then func(error)) { w.in.Put(walOp{r, then}) }

// run writes until stop is closed and everything handed over before is written.
func (w *wal) run(stop <-chan struct{}) {
	defer close(w.done)
	var ops []walOp
	for stopping := false; ; {
		ops = w.in.TakeAll(ops)
		for _, op := range ops {
			if op.rec == nil { // only the order counts
				op.then(nil)
				continue
			}
			err := w.append(op.rec)
			if err != nil && err != errNotOwed {
				w.log.Error("log: record not written", "kind", op.rec.Kind, "message", op.rec.ID, "err", err)
			}
			if op.then != nil {
				op.then(err)
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
		case <-w.in.ready:
		case <-stop:
			stopping = true
		}
	}
}

// append writes one record, if there is room for it and for a compaction.
func (w *wal) append(r *record) error {
	if r.Kind != core.RecordAccepted && w.live[r.ID] == nil {
		return errNotOwed
	}
	var err error
	if w.buffer, err = encodeRecord(r, w.buffer[:0]); err != nil {
		return err
	}
	n := int64(len(w.buffer))
	owed, free := w.owed, w.limit-walSlack
	if r.Kind == core.RecordAccepted {
		owed += recordRoom(r)
		free -= walSpare   // later records on what is held must still fit
		if 2*owed > free { // compaction would not help, so it is not tried for each
			return errDiskFull
		}
	}
	if w.size+n+owed > free || w.size > max(walGarden, 4*owed) {
		if err := w.compact(); err != nil {
			w.log.Error("log: not compacted", "err", err)
		}
		if w.size+n+owed > free {
			return errDiskFull
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
