package core

import (
	"log/slog"

	"troutusher/policy"
)

// message is what is known of a message from its submission until it has ended and
// its last call is closed.
type message struct {
	number        uint32
	record        *Record
	receivedAt    policy.Time
	request       *Request // until it is replied to
	acknowledged  bool     // its client knows that it was accepted
	logged        bool     // the log has it, or will
	finished      bool     // it has ended
	attempts      int
	traced        bool           // see Core.trace
	pendingSend   *policy.Action // a send that waits for the acknowledgement, or is deferred
	pendingEnding *Record        // its end, which waits for the acknowledgement
	recoveryState recoveryState
	call          *Call // the open one
}

// messageTable holds the messages of a core.
type messageTable struct {
	lastNumber uint32
	byNumber   map[uint32]*message // the held ones, and those with an open call
	byID       map[string]*message // the held ones
	unanswered map[*Request]*message
	held       int
}

func newMessageTable() messageTable {
	return messageTable{
		byNumber: map[uint32]*message{}, byID: map[string]*message{}, unanswered: map[*Request]*message{},
	}
}

// add holds a message under a number of its own.
func (t *messageTable) add(record *Record, now policy.Time) *message {
	t.lastNumber++
	m := &message{number: t.lastNumber, record: record, receivedAt: now}
	t.byNumber[m.number], t.byID[record.ID] = m, m
	t.held++
	return m
}

// release holds a message no longer. It is still found by its number while a call of
// it is open or to be reported.
func (t *messageTable) release(m *message) {
	t.held--
	delete(t.byID, m.record.ID)
	if m.call == nil && m.pendingSend == nil {
		t.forget(m)
	}
}

func (t *messageTable) forget(m *message) { delete(t.byNumber, m.number) }

// byAge compares messages by the order in which they came.
func byAge(a, b *message) int { return int(a.number) - int(b.number) }

// remainingMS is how much time a message has left, in ms.
func (c *Core) remainingMS(m *message) int64 {
	return (c.fromWallTime(m.record.Deadline) - c.now) / microsPerMilli
}

// log writes a line to the log of the process.
func (c *Core) log(level slog.Level, text string, args ...any) {
	c.emit(Log{Level: level, Text: text, Args: args})
}

// trace logs one step of a message's life, if the message is traced.
func (c *Core) trace(m *message, text string, args ...any) {
	if !m.traced {
		return
	}
	common := []any{"message", m.record.ID, "class", m.record.Class, "dest", m.record.Dest, "tries", m.attempts}
	c.log(slog.LevelInfo, text, append(common, args...)...)
}
