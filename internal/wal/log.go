// Package wal is the write-ahead log. It holds what the relay owes: each message
// from the moment it is accepted until its end is certain.
//
// The operating system keeps what was written when a process is killed, so nothing
// is synced: the log outlasts the process, not the machine.
//
// It owns the log's form on disk, its recovery and compaction, and how much of the
// disk it may take. It must never decide what becomes of a message.
package wal

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"sync"

	"troutusher/internal/core"
	"troutusher/internal/mailbox"
)

// FileName is the log's file in the state folder.
const FileName = "relay.wal"

// compactedSuffix marks a compaction that has not replaced the log yet.
const compactedSuffix = ".new"

// Reasons for which a record is not written.
var (
	ErrFull       = errors.New("log: no room")
	ErrNotPending = errors.New("log: message is not owed")
)

// Origin says what Open found, in the words of the log line on readiness.
type Origin string

// Origins of a log.
const (
	Created   Origin = "none"  // there was no file
	Recovered Origin = "found" // there was one
)

// Options say where a log lies and how large it may grow.
type Options struct {
	Dir string
	// MaxBytes is what the log may take of the disk, a compaction beside it included.
	MaxBytes int64
	// InFlight reports whether the attempt of a message is known to be in flight
	// still: its outcome will come. It may be nil, for none.
	InFlight func(id string) bool
	Logger   *slog.Logger
}

// Log is an open write-ahead log.
//
// The goroutine of Run alone touches the file and the pending records from Open on.
type Log struct {
	path     string
	maxBytes int64
	logger   *slog.Logger
	origin   Origin

	file    *os.File
	size    int64
	pending pendingSet
	buffer  []byte // of the record that is being written

	queue    *mailbox.Mailbox[request]
	stop     chan struct{}
	stopOnce sync.Once
	done     chan struct{}
	closeErr error // read after done
}

// request is a record to write, and whom to tell once that is done or has failed.
type request struct {
	record    *core.Record // nil where only the order counts
	onWritten func(error)  // may be nil
}

// Open recovers the log, compacts it, and returns what is pending, oldest first.
func Open(o Options) (*Log, []*core.Record, error) {
	l := &Log{
		path:     filepath.Join(o.Dir, FileName),
		maxBytes: o.MaxBytes,
		logger:   o.Logger,
		origin:   Recovered,
		pending:  newPendingSet(),
		queue:    mailbox.New[request](),
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
	}
	// What a kill left of a compaction. If it cannot be removed, the next one
	// overwrites it.
	_ = os.Remove(l.path + compactedSuffix)
	text, err := os.ReadFile(l.path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		l.origin = Created
	case err != nil:
		return nil, nil, fmt.Errorf("log: %w", err)
	}
	l.replay(text)
	l.pending.resolveOpenAttempts(o.InFlight)
	l.size = int64(len(text))
	if err := l.compact(); err != nil {
		// What is pending still counts; the old log is used as it is.
		l.logger.Error("log: not compacted", "err", err)
		if l.file, err = os.OpenFile(l.path, os.O_RDWR|os.O_CREATE, 0o600); err != nil {
			return nil, nil, fmt.Errorf("log: %w", err)
		}
	}
	return l, l.pending.copies(), nil
}

// Origin says what Open found.
func (l *Log) Origin() Origin { return l.origin }

// Submit hands a record over to be written. It never waits. onWritten, which may
// be nil, is called by the goroutine of Run, in the order of the submissions, and
// must not wait.
func (l *Log) Submit(record *core.Record, onWritten func(error)) {
	l.queue.Put(request{record, onWritten})
}

// Flush waits until all that was submitted before is written. Run must be running.
func (l *Log) Flush() {
	written := make(chan struct{})
	l.queue.Put(request{onWritten: func(error) { close(written) }})
	<-written
}

// Run writes what is submitted, until Close is called and everything submitted
// before is written.
func (l *Log) Run() {
	defer close(l.done)
	var batch []request
	for closing := false; ; {
		batch = l.queue.TakeAll(batch)
		for _, r := range batch {
			l.serve(r)
		}
		if len(batch) > 0 {
			continue
		}
		if closing {
			l.closeErr = l.file.Close()
			return
		}
		select {
		case <-l.queue.Ready():
		case <-l.stop:
			closing = true
		}
	}
}

func (l *Log) serve(r request) {
	var err error
	if r.record != nil {
		err = l.append(r.record)
		if err != nil && !errors.Is(err, ErrNotPending) {
			l.logger.Error("log: record not written", "kind", r.record.Kind, "message", r.record.ID, "err", err)
		}
	}
	if r.onWritten != nil {
		r.onWritten(err)
	}
}

// Close ends Run, which must have been started, and waits for its end. It returns
// the error of closing the file.
func (l *Log) Close() error {
	l.stopOnce.Do(func() { close(l.stop) })
	<-l.done
	return l.closeErr
}
