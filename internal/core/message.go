package core

import (
	"log/slog"

	"troutusher/policy"
)

// message is the state of a message from its submission until it has ended and its last call
// is closed.
type message struct {
	number        uint32
	record        *Record
	receivedAt    policy.Time
	request       *Request       // set until the message is accepted or rejected
	acknowledged  bool           // the reply OK was delivered to the client
	logged        bool           // the message is in the write-ahead log, or its record is about to be appended
	finished      bool           // the message has ended
	attempts      int            // including one that is still pending
	traced        bool           // see Core.trace
	pendingSend   *policy.Action // a send that is deferred, or waits until acknowledged is set
	pendingEnding *Record        // the end of the message, to be logged once acknowledged is set
	recoveryState recoveryState
	call          *Call // the open call
}

// messageTable holds the messages of a core. A message is held from its submission or recovery
// until it ends.
type messageTable struct {
	lastNumber uint32
	byNumber   map[uint32]*message // held messages, and ended ones that release has kept
	byID       map[string]*message // held messages
	unanswered map[*Request]*message
	held       int
}

func newMessageTable() messageTable {
	return messageTable{
		byNumber: map[uint32]*message{}, byID: map[string]*message{}, unanswered: map[*Request]*message{},
	}
}

// add adds a held message and assigns a new number to it.
func (t *messageTable) add(record *Record, now policy.Time) *message {
	t.lastNumber++
	m := &message{number: t.lastNumber, record: record, receivedAt: now}
	t.byNumber[m.number], t.byID[record.ID] = m, m
	t.held++
	return m
}

// release removes a message from the held ones. The message can still be found by its number
// while it has an open call, or an attempt that is not yet reported to the policy.
func (t *messageTable) release(m *message) {
	t.held--
	delete(t.byID, m.record.ID)
	if m.call == nil && m.pendingSend == nil {
		t.forget(m)
	}
}

func (t *messageTable) forget(m *message) { delete(t.byNumber, m.number) }

// byAge compares messages by the order in which they were added.
func byAge(a, b *message) int { return int(a.number) - int(b.number) }

// remainingMS returns the time until the deadline of a message, in ms.
func (c *Core) remainingMS(m *message) int64 {
	return (c.fromWallTime(m.record.Deadline) - c.now) / microsPerMilli
}

// log writes a line to the process log.
func (c *Core) log(level slog.Level, text string, args ...any) {
	c.emit(Log{Level: level, Text: text, Args: args})
}

// trace logs an event in the life of a message, if the message is traced.
func (c *Core) trace(m *message, text string, args ...any) {
	if !m.traced {
		return
	}
	common := []any{"message", m.record.ID, "class", m.record.Class, "dest", m.record.Dest, "tries", m.attempts}
	c.log(slog.LevelInfo, text, append(common, args...)...)
}
