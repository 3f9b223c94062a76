package logstats

import (
	"fmt"
	"io"
	"io/fs"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"troutusher/internal/metrics"
	"troutusher/internal/msgtrace"
	"troutusher/internal/texttable"
)

// Fate is what became of a message that a relay took on.
type Fate string

// Fates. The first four are as they should be, the next three wait for what the
// logs do not show, and the others are faults.
const (
	InTime     Fate = "delivered within its time"
	Elsewhere  Fate = "over at its endpoint, which had heard so (410)"
	Noticed    Fate = "ended by a notice in time"
	Left       Fate = "its client left before it was told"
	Held       Fate = "held at the end of the logs, with time left"
	Gone       Fate = "its relay's log ends before its time was over"
	FolderGone Fate = "its relay started again with no log: the machine was lost"
	Past       Fate = "delivered after its time"
	NoticeLate Fate = "its notice was taken more than 300 ms after its time"
	NoNotice   Fate = "ended, and no notice was taken"
	Forgotten  Fate = "its relay started again and did not take it up"
	NoEnd      Fate = "no end, though its relay went on past its time"
	Twice      Fate = "ended more than once"
)

var fates = []Fate{
	InTime, Elsewhere, Noticed, Left, Held, Gone, FolderGone, Past, NoticeLate, NoNotice, Forgotten, NoEnd, Twice,
}

// Fault reports whether a message was owed something that it did not get.
func (f Fate) Fault() bool { return slices.Index(fates, f) >= slices.Index(fates, Past) }

// life is what is known of one message.
type life struct {
	relay                  string
	begun, due             time.Time
	delivered, ended, told time.Time
	deliveries, endings    int
	left, over             bool
	resumed                time.Time
	seen                   bool // from its hand-in or a resumption on
}

// process is what a log tells of a relay's processes.
type process struct {
	starts []start
	last   time.Time
}

type start struct {
	at   time.Time
	none bool // without a log of messages
}

// Ends says what became of every message that logs tell of.
type Ends struct {
	Count    map[Fate]int
	Example  map[Fate][]string // ids of some, in order of their hand-in
	Taken    int               // messages that were taken on, as far as they are told of
	Untold   int64             // messages of which the logs do not tell from their hand-in on
	Unknown  int               // messages beyond those that are followed
	Worst    time.Duration     // the latest a notice was taken, after its message's time
	Longest  time.Duration     // the longest that a request may have stood unread
	left     *left
	lives    map[string]*life
	relays   map[string]*process
	followed int
}

const examples = 5

// ReadEnds adds up the ends of all messages.
func ReadEnds(dir fs.FS, name string) (*Ends, error) {
	e := &Ends{
		Count: map[Fate]int{}, Example: map[Fate][]string{}, lives: map[string]*life{}, relays: map[string]*process{},
		followed: followMost,
	}
	var err error
	if e.left, err = each(dir, name, e.take); err != nil {
		return nil, err
	}
	ids := slices.SortedFunc(maps.Keys(e.lives), func(a, b string) int {
		if c := e.lives[a].begun.Compare(e.lives[b].begun); c != 0 {
			return c
		}
		return strings.Compare(a, b)
	})
	for _, id := range ids {
		l := e.lives[id]
		if !l.seen && !l.left && !l.over && l.endings == 0 && l.deliveries == 0 {
			continue // attempts alone: the rest of it is untold
		}
		f := e.fate(l)
		if f != Left {
			e.Taken++
		}
		e.Count[f]++
		if len(e.Example[f]) < examples {
			e.Example[f] = append(e.Example[f], id)
		}
	}
	return e, nil
}

// take adds up what one line says.
func (e *Ends) take(relay string, x *entry) {
	p := e.relays[relay]
	if p == nil {
		p = &process{}
		e.relays[relay] = p
	}
	if x.when.After(p.last) {
		p.last = x.when
	}
	switch x.text {
	case msgtrace.Ready:
		p.starts = append(p.starts, start{x.when, x.fields["log"] == "none"})
	case metrics.LogText:
		e.takeCounts(x)
	case msgtrace.Accepted, msgtrace.Withdrawn, msgtrace.Delivered, msgtrace.EndpointFinished,
		msgtrace.AttemptFailed, msgtrace.Ended, msgtrace.NoticeDelivered, msgtrace.Recovered:
		if l := e.life(x); l != nil {
			l.relay = relay
			e.takeMessage(l, x)
		}
	} // rejected ones were never taken on
}

// takeCounts adds up the messages that were sampled and not told of.
func (e *Ends) takeCounts(x *entry) {
	for _, k := range x.order {
		if !strings.HasSuffix(k, ".untold") {
			continue
		}
		if n, err := strconv.ParseInt(x.fields[k], 10, 64); err == nil && n > 0 && n < countMost {
			e.Untold += n
		}
	}
}

// life returns the message that a line is about; nil where it is not followed.
func (e *Ends) life(x *entry) *life {
	id := x.fields["message"]
	if id == "" {
		return nil
	}
	l := e.lives[id]
	if l == nil {
		if len(e.lives) >= e.followed {
			e.Unknown++
			return nil
		}
		l = &life{begun: x.when}
		e.lives[id] = l
	}
	return l
}

// takeMessage adds what a line says about its message.
func (e *Ends) takeMessage(l *life, x *entry) {
	if rest, ok := x.ms("left_ms"); ok && (x.text == msgtrace.Accepted || x.text == msgtrace.Recovered || !l.seen) {
		l.due = x.when.Add(rest)
	}
	if w, ok := x.ms("waited_ms"); ok {
		e.Longest = max(e.Longest, w)
	}
	switch x.text {
	case msgtrace.Accepted:
		l.seen = true
	case msgtrace.Withdrawn:
		l.left = true
	case msgtrace.Recovered:
		l.seen, l.resumed = true, x.when
	case msgtrace.Delivered:
		l.deliveries++
		l.delivered = x.when
	case msgtrace.EndpointFinished:
		l.over = true
	case msgtrace.Ended:
		l.endings++
		l.ended = x.when
	case msgtrace.NoticeDelivered:
		if l.told.IsZero() {
			l.told = x.when
		}
	}
}

// fate judges one message. A planned or unplanned restart takes time, in which no
// notice is overdue: one that a start came before it is told from that start on.
func (e *Ends) fate(l *life) Fate {
	p := e.relays[l.relay]
	late := func(at time.Time) time.Duration {
		due := l.due
		for _, s := range p.starts {
			if s.at.After(l.begun) && !s.at.After(at) && s.at.Add(restart).After(due) {
				due = s.at.Add(restart)
			}
		}
		return at.Sub(due)
	}
	switch {
	case l.deliveries+l.endings > 1 && l.resumed.IsZero(): // an end that was not logged may come again after a start
		return Twice
	case l.deliveries > 0 && late(l.delivered) > 0:
		return Past
	case l.deliveries > 0:
		return InTime
	case l.over:
		return Elsewhere
	case l.left:
		return Left
	case !l.told.IsZero():
		over := late(l.told)
		e.Worst = max(e.Worst, over)
		if over > noticeTime {
			return NoticeLate
		}
		return Noticed
	}
	for _, s := range p.starts {
		if s.at.After(l.begun) && l.resumed.Before(s.at) {
			if s.none {
				return FolderGone
			}
			return Forgotten
		}
	}
	owed := l.due.Add(noticeTime)
	switch {
	case l.due.IsZero() || p.last.Before(owed) && p.last.Before(e.end().Add(-nearRelay)):
		return Gone
	case p.last.Before(owed):
		return Held
	case l.endings > 0:
		return NoNotice
	}
	return NoEnd
}

// restart is how long after a start a notice may still come that was due before.
const restart = 1500*time.Millisecond - noticeTime

// end is when the last of all logs ends.
func (e *Ends) end() (at time.Time) {
	for _, p := range e.relays {
		if p.last.After(at) {
			at = p.last
		}
	}
	return at
}

// WriteText writes the sums, with some ids for each.
func (e *Ends) WriteText(out io.Writer) error {
	b := &strings.Builder{}
	writeLines(b, e.left.notes())
	fmt.Fprintf(b, "%d messages taken on, as far as they are told of", e.Taken)
	if e.Untold > 0 {
		fmt.Fprintf(b, "; %d more are not told of from their hand-in on", e.Untold)
	}
	if e.Unknown > 0 {
		fmt.Fprintf(b, "; %d lines on messages beyond %d", e.Unknown, e.followed)
	}
	fmt.Fprintf(b, "\nlatest notice: %d ms after its message's time; longest that a request stood unread: %d ms\n\n",
		e.Worst.Milliseconds(), e.Longest.Milliseconds())
	table := texttable.New()
	faults, sum := 0, 0
	table.Rowf("messages\t\twhat became of them\tsome of them")
	for _, f := range fates {
		n := e.Count[f]
		if n == 0 {
			continue
		}
		mark := ""
		if f.Fault() {
			mark = "!"
			faults += n
		}
		sum += n
		table.Rowf("%d\t%s\t%s\t%s", n, mark, f, strings.Join(e.Example[f], " "))
	}
	table.Rowf("%d\t\tin all, %d of them faults\t", sum, faults)
	b.WriteString(table.String())
	_, err := io.WriteString(out, b.String())
	return err
}
