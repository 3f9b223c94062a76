package logstats

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"slices"
	"strconv"
	"strings"
	"time"

	"troutusher/internal/msgtrace"
	"troutusher/internal/texttable"
)

// relayEventWindow extends the time span of a message's lines at both ends. The trace includes the
// starts and stops of the message's relays within the extended span.
const relayEventWindow = 2 * time.Second

// errUnknownMessage is returned if no log line is about the message.
var errUnknownMessage = errors.New("no log names this message")

// TraceEvent is a log line about the traced message, or about the start or stop of a relay whose log has
// lines about the message.
type TraceEvent struct {
	Relay     string
	Time      time.Time
	Text      string
	Fields    string // the line's other fields, in the line's order
	OfMessage bool   // the line is about the message, not about the relay's process
	line      int    // number of the line, counted over all logs; orders events of the same time
}

// MessageTrace holds the log lines of all relays about one message.
type MessageTrace struct {
	ID     string
	Events []TraceEvent // in order of time
	input  *inputSummary
}

// ReadMessageTrace reads the files *.log in dir, one for each relay, and returns the lines about one
// message, together with the starts and stops of the relays whose logs have such lines. name is the
// folder's name in errors.
func ReadMessageTrace(dir fs.FS, name, id string) (*MessageTrace, error) {
	trace := &MessageTrace{ID: id}
	processEvents := map[string][]TraceEvent{} // by relay
	lines := 0
	var err error
	trace.input, err = forEachLine(dir, name, func(relay string, line *logLine) {
		lines++
		ofMessage := line.fields["message"] == id
		if !ofMessage && !isProcessEvent(line.text) {
			return
		}
		event := TraceEvent{
			Relay: relay, Time: line.time, Text: line.text, Fields: otherFields(line),
			OfMessage: ofMessage, line: lines,
		}
		if ofMessage {
			trace.Events = append(trace.Events, event)
		} else {
			processEvents[relay] = append(processEvents[relay], event)
		}
	})
	if err != nil {
		return nil, err
	}
	if len(trace.Events) == 0 {
		return nil, fmt.Errorf("%s: %s: %w", name, id, errUnknownMessage)
	}
	trace.addProcessEvents(processEvents)
	slices.SortFunc(trace.Events, func(a, b TraceEvent) int {
		if order := a.Time.Compare(b.Time); order != 0 {
			return order
		}
		return a.line - b.line
	})
	return trace, nil
}

// isProcessEvent reports whether a line with this text is about the start or the stop of a relay's
// process.
func isProcessEvent(text string) bool {
	return text == msgtrace.Ready || text == msgtrace.Stopping || text == msgtrace.Stopped
}

// addProcessEvents adds the starts and stops of the relays whose logs have lines about the message, if
// they are no more than relayEventWindow away from the span of these lines.
func (t *MessageTrace) addProcessEvents(byRelay map[string][]TraceEvent) {
	first, last := t.Events[0].Time, t.Events[0].Time
	relays := map[string]bool{}
	for i := range t.Events {
		event := &t.Events[i]
		relays[event.Relay] = true
		if event.Time.Before(first) {
			first = event.Time
		} else if event.Time.After(last) {
			last = event.Time
		}
	}
	from, until := first.Add(-relayEventWindow), last.Add(relayEventWindow)
	for relay := range relays {
		for _, event := range byRelay[relay] {
			if !event.Time.Before(from) && !event.Time.After(until) {
				t.Events = append(t.Events, event)
			}
		}
	}
}

// otherFields returns the fields of a line that a trace does not show in a separate column.
func otherFields(line *logLine) string {
	var fields []string
	for _, key := range line.keys {
		switch key {
		case "time", "level", "msg", "message":
		default:
			fields = append(fields, key+"="+quoteIfNeeded(line.fields[key]))
		}
	}
	return strings.Join(fields, " ")
}

// quoteIfNeeded quotes a value where the relay's logger would quote it.
func quoteIfNeeded(value string) string {
	if value == "" || strings.ContainsAny(value, " \"=") {
		return strconv.Quote(value)
	}
	return value
}

// WriteText writes the trace with one event per line. Times are relative to the message's first event.
func (t *MessageTrace) WriteText(out io.Writer) error {
	b, table := &strings.Builder{}, texttable.New()
	writeLines(b, t.input.lines())
	firstOfMessage := slices.IndexFunc(t.Events, func(event TraceEvent) bool { return event.OfMessage })
	first := t.Events[firstOfMessage].Time
	fmt.Fprintf(b, "message %s, first told of %s\n\n", t.ID, first.Format(time.RFC3339Nano))
	for i := range t.Events {
		event := &t.Events[i]
		text := event.Text
		if !event.OfMessage {
			text = "(" + text + ")"
		}
		table.Rowf("%+.3f s\t%s\t%s\t%s", event.Time.Sub(first).Seconds(), event.Relay, text, event.Fields)
	}
	b.WriteString(table.String())
	_, err := io.WriteString(out, b.String())
	return err
}
