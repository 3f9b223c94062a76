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

const (
	followMost = 4 << 20                // messages that are followed; the others are counted
	noticeTime = 300 * time.Millisecond // after a message's time a notice is late
	nearRelay  = 2 * time.Second        // round a story, what its relays did otherwise
)

// errUnknown: no line of any log names the message.
var errUnknown = errors.New("no log names this message")

// Step is one thing that a log tells of a message, or of a relay that had it.
type Step struct {
	Relay string
	When  time.Time
	Text  string
	Rest  string // the line's other fields
	Own   bool   // of the message itself
	line  int
}

// Story is what all logs tell of one message, in order of time.
type Story struct {
	ID    string
	Steps []Step
	left  *left
}

// Follow finds one message's story: its own lines, and when the relays that had
// it started and stopped round these.
func Follow(dir fs.FS, name, id string) (*Story, error) {
	s := &Story{ID: id}
	round := map[string][]Step{}
	n := 0
	var err error
	s.left, err = each(dir, name, func(relay string, e *entry) {
		n++
		at := Step{Relay: relay, When: e.when, Text: e.text, line: n}
		switch {
		case e.fields["message"] == id:
			at.Own = true
		case e.text == msgtrace.Ready, e.text == msgtrace.Stopping, e.text == msgtrace.Stopped:
		default:
			return
		}
		var rest []string
		for _, k := range e.order {
			if k != "time" && k != "level" && k != "msg" && k != "message" {
				rest = append(rest, k+"="+quoted(e.fields[k]))
			}
		}
		at.Rest = strings.Join(rest, " ")
		if at.Own {
			s.Steps = append(s.Steps, at)
		} else {
			round[relay] = append(round[relay], at)
		}
	})
	if err != nil {
		return nil, err
	}
	if len(s.Steps) == 0 {
		return nil, fmt.Errorf("%s: %s: %w", name, id, errUnknown)
	}
	begun, over := s.Steps[0].When, s.Steps[0].When
	had := map[string]bool{}
	for i := range s.Steps {
		had[s.Steps[i].Relay] = true
		if at := s.Steps[i].When; at.Before(begun) {
			begun = at
		} else if at.After(over) {
			over = at
		}
	}
	for relay := range had {
		for _, at := range round[relay] {
			if !at.When.Before(begun.Add(-nearRelay)) && !at.When.After(over.Add(nearRelay)) {
				s.Steps = append(s.Steps, at)
			}
		}
	}
	slices.SortFunc(s.Steps, func(a, b Step) int {
		if c := a.When.Compare(b.When); c != 0 {
			return c
		}
		return a.line - b.line
	})
	return s, nil
}

func quoted(v string) string {
	if v == "" || strings.ContainsAny(v, " \"=") {
		return strconv.Quote(v)
	}
	return v
}

// WriteText writes a story, a line a step, with the time since the first.
func (s *Story) WriteText(out io.Writer) error {
	b, table := &strings.Builder{}, texttable.New()
	writeLines(b, s.left.notes())
	first := s.Steps[slices.IndexFunc(s.Steps, func(x Step) bool { return x.Own })].When
	fmt.Fprintf(b, "message %s, first told of %s\n\n", s.ID, first.Format(time.RFC3339Nano))
	for i := range s.Steps {
		x := &s.Steps[i]
		what := x.Text
		if !x.Own {
			what = "(" + what + ")"
		}
		table.Rowf("%+.3f s\t%s\t%s\t%s", x.When.Sub(first).Seconds(), x.Relay, what, x.Rest)
	}
	b.WriteString(table.String())
	_, err := io.WriteString(out, b.String())
	return err
}
