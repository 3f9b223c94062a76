// Package wal is the write-ahead log. It holds the pending messages: each from the
// moment it is accepted until its final outcome is certain.
//
// The operating system keeps what was written when a process is killed, so the log
// is never synced: it survives the death of the process, not that of the machine.
//
// The package owns the log's format on disk, its recovery and compaction, and how
// much of the disk it uses. It must never decide what becomes of a message.
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

// FileName is the name of the log's file in the state directory.
const FileName = "relay.wal"

// compactedSuffix is added to the log's path for a compacted log that has not
// replaced it yet.
const compactedSuffix = ".new"

// Errors of records that are not written.
var (
	// ErrFull is returned when the record does not fit within Options.MaxBytes.
	ErrFull = errors.New("log: no room")
	// ErrNotPending is returned for a record of a message that was never accepted,
	// or that is done.
	ErrNotPending = errors.New("log: message is not owed")
)

// Origin is where the content of a log came from. Its values are shown in the log
// line on readiness.
type Origin string

// The origins of a log.
const (
	Created   Origin = "none"  // Open found no file
	Recovered Origin = "found" // Open found a file
)

// Options are the parameters of Open.
type Options struct {
	// Dir is the state directory.
	Dir string
	// MaxBytes bounds the disk space of the log and of its compaction together.
	MaxBytes int64
	// InFlight reports whether a message has an attempt in flight whose outcome will
	// still be submitted. If it is nil, there is none.
	InFlight func(id string) bool
	Logger   *slog.Logger
}

// Log is an open write-ahead log. Submit, Flush, Close and Origin may be called from
// any goroutine.
//
// After Open, only the goroutine of Run uses the file and the pending records.
type Log struct {
	path     string
	maxBytes int64
	logger   *slog.Logger
	origin   Origin

	file    *os.File
	size    int64
	pending pendingSet
	buffer  []byte // reused for the record that is being written

	queue    *mailbox.Mailbox[request]
	stop     chan struct{}
	stopOnce sync.Once
	done     chan struct{}
	closeErr error // of the file; set before done is closed
}

// request is a submission: a record to write, and the callback for its result.
type request struct {
	record    *core.Record // nil for Flush, which writes nothing
	onWritten func(error)  // may be nil
}

// Open recovers the log in a directory, compacts it, and returns the pending
// messages in the order of their acceptance, each folded into one record.
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
	// A kill may have left an unfinished compaction. If it cannot be removed, the next
	// compaction overwrites it.
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
		// The log that was recovered is complete, so it is used as it is.
		l.logger.Error("log: not compacted", "err", err)
		if l.file, err = os.OpenFile(l.path, os.O_RDWR|os.O_CREATE, 0o600); err != nil {
			return nil, nil, fmt.Errorf("log: %w", err)
		}
	}
	return l, l.pending.copies(), nil
}

// Origin returns where the content of the log came from.
func (l *Log) Origin() Origin { return l.origin }

// Submit queues a record for writing and returns at once. The goroutine of Run calls
// onWritten, which may be nil, with the result. It calls the callbacks in the order
// of the submissions; they must not block.
func (l *Log) Submit(record *core.Record, onWritten func(error)) {
	l.queue.Put(request{record, onWritten})
}

// Flush blocks until everything that was submitted before it is written. Run must be
// running.
func (l *Log) Flush() {
	written := make(chan struct{})
	l.queue.Put(request{onWritten: func(error) { close(written) }})
	<-written
}

// Run writes the submitted records. It returns after Close was called, once
// everything that was submitted is written.
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

// serve writes the record of a request and reports the result.
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

// Close makes Run return and waits for that; Run must have been started. It returns
// the error of closing the file. Calls after the first return the same.
func (l *Log) Close() error {
	l.stopOnce.Do(func() { close(l.stop) })
	<-l.done
	return l.closeErr
}
