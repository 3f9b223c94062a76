// Package wal implements the write-ahead log. The log contains each pending message from
// its acceptance until its final outcome is certain. It also contains the endpoints that the relay
// must not call any more.
//
// The log is never synced to disk. The operating system keeps written data when a
// process is killed, so the log survives a crash of the process, but not a crash of the
// machine.
//
// The package is responsible for the log's format on disk, its recovery and compaction,
// and the disk space that it uses. It does not decide the outcome of messages.
package wal

import (
	"cmp"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"math"
	"os"
	"path/filepath"
	"sync"

	"troutusher/internal/core"
	"troutusher/internal/mailbox"
)

// FileName is the name of the log's file in the state directory.
const FileName = "relay.wal"

// compactedSuffix is added to the log's path to name a compacted log that has not
// replaced the log yet.
const compactedSuffix = ".new"

// Errors for records that are not written.
var (
	// ErrFull is returned when a record does not fit within Options.MaxBytes.
	ErrFull = errors.New("write-ahead log has reached its size limit")
	// ErrNotPending is returned for a record of a message that was never accepted or
	// that is done.
	ErrNotPending = errors.New("message is not pending in the write-ahead log")
)

// Origin says whether Open found a log of an earlier process. The relay prints it in its log
// line that reports readiness.
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
	// MaxBytes is the maximum disk space of the log together with a compacted copy of it.
	MaxBytes int64
	// MaxPendingBytes is the maximum memory of the pending messages. A record that accepts another one is
	// rejected with ErrFull. 0 means that only MaxBytes limits them.
	MaxPendingBytes int64
	// InFlight reports whether an attempt of a message that an earlier process started is still in
	// flight. The outcome of such an attempt will be submitted. A nil InFlight means
	// that no attempt is in flight.
	InFlight func(id string) bool
	Logger   *slog.Logger
}

// Log is an open write-ahead log. Submit, Flush, Close and Origin may be called from
// any goroutine. After Open, only the goroutine that calls Run uses the file and the
// pending records.
type Log struct {
	path            string
	maxBytes        int64
	maxPendingBytes int64
	logger          *slog.Logger
	origin          Origin

	file    *os.File
	size    int64
	pending pendingSet
	buffer  []byte // reused for the record that is being written

	queue    *mailbox.Mailbox[request]
	stop     chan struct{}
	stopOnce sync.Once
	done     chan struct{}
	closeErr error // from closing the file; set before done is closed
}

// request is a submitted record and the callback for the result of writing it.
type request struct {
	record    *core.Record // nil for Flush, which writes nothing
	onWritten func(error)  // may be nil
}

// Open recovers the log in a directory, compacts it, and returns the pending messages in the
// order of their acceptance. All records of a message are combined into one that contains its
// current state. An attempt without an outcome is marked as possibly executed.
func Open(o Options) (*Log, []*core.Record, error) {
	l := &Log{
		path:            filepath.Join(o.Dir, FileName),
		maxBytes:        o.MaxBytes,
		maxPendingBytes: cmp.Or(o.MaxPendingBytes, math.MaxInt64),
		logger:          o.Logger,
		origin:          Recovered,
		pending:         newPendingSet(),
		queue:           mailbox.New[request](),
		stop:            make(chan struct{}),
		done:            make(chan struct{}),
	}
	// A killed process may have left an incomplete compacted log. If it cannot be removed,
	// the next compaction overwrites it.
	_ = os.Remove(l.path + compactedSuffix)
	text, err := os.ReadFile(l.path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		l.origin = Created
	case err != nil:
		return nil, nil, fmt.Errorf("recover write-ahead log: %w", err)
	}
	l.replay(text)
	l.pending.resolveOpenAttempts(o.InFlight)
	l.size = int64(len(text))
	if err := l.compact(); err != nil {
		// The recovered log is complete, so it can be used without a compaction.
		l.logger.Error("write-ahead log: compaction failed; the uncompacted log stays in use", "err", err)
		if l.file, err = os.OpenFile(l.path, os.O_RDWR|os.O_CREATE, 0o600); err != nil {
			return nil, nil, fmt.Errorf("open write-ahead log for writing: %w", err)
		}
	}
	return l, l.pending.copies(), nil
}

// EndpointRecords returns the last record about each endpoint, in the order of the lists that they
// come from. It must be called before Run.
func (l *Log) EndpointRecords() []*core.Record { return l.pending.endpointRecords() }

// Origin returns whether Open found a log of an earlier process.
func (l *Log) Origin() Origin { return l.origin }

// Submit queues a record for writing and returns at once. The goroutine of Run calls
// onWritten, which may be nil, with the result. The callbacks are called in the order of
// the submissions and must not block.
func (l *Log) Submit(record *core.Record, onWritten func(error)) {
	l.queue.Put(request{record, onWritten})
}

// Flush blocks until all records that were submitted before the call have been handled.
// Run must be running.
func (l *Log) Flush() {
	written := make(chan struct{})
	l.queue.Put(request{onWritten: func(error) { close(written) }})
	<-written
}

// Run writes the submitted records. After Close was called, it handles the records that
// are still queued and returns.
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

// serve writes the record of a request and calls its callback with the result.
func (l *Log) serve(r request) {
	var err error
	if r.record != nil {
		err = l.append(r.record)
		if err != nil && !errors.Is(err, ErrNotPending) {
			l.logger.Error(
				"write-ahead log: record not written; submissions and attempts are refused while writes fail",
				"kind", r.record.Kind, "message", r.record.ID, "err", err,
			)
		}
	}
	if r.onWritten != nil {
		r.onWritten(err)
	}
}

// Close stops Run, which must have been started, and waits until it has returned. Close
// returns the error of closing the file. Further calls return the same error.
func (l *Log) Close() error {
	l.stopOnce.Do(func() { close(l.stop) })
	<-l.done
	return l.closeErr
}
