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

const (
	maxTrackedMessages = 4 << 20 // lines about further messages are only counted
	maxExamples        = 5       // number of message IDs that are shown for each outcome

	// noticeGrace is the time after a message's deadline within which a notice is not late. A notice
	// is a relay's report to the platform that a message ended undelivered.
	noticeGrace = 300 * time.Millisecond
	// restartNoticeGrace is the shortest time that a message has left when its relay starts again. If
	// the deadline of a message that was pending at the start is earlier, it counts as this long after
	// the start. Together with noticeGrace, a notice may be delivered up to 1.5 s after the start.
	restartNoticeGrace = 1500*time.Millisecond - noticeGrace
)

// Outcome says how a message ended that a relay accepted. Its value is its text in the report.
type Outcome string

// Outcomes of messages. The first four are correct, the next three mean that the logs do not show
// whether the relay was at fault, and the others are faults. FinishedAtEndpoint means that the endpoint
// replied with status 410, because it knew that the message had been withdrawn or had expired.
const (
	DeliveredInTime    Outcome = "delivered within its time"
	FinishedAtEndpoint Outcome = "over at its endpoint, which had heard so (410)"
	NoticeInTime       Outcome = "ended by a notice in time"
	ClientWithdrew     Outcome = "its client left before it was told"
	PendingAtEnd       Outcome = "held at the end of the logs, with time left"
	LogEndsEarly       Outcome = "its relay's log ends before its time was over"
	StateLost          Outcome = "its relay started again with no log: the machine was lost"
	DeliveredLate      Outcome = "delivered after its time"
	NoticeLate         Outcome = "its notice was taken more than 300 ms after its time"
	NoticeMissing      Outcome = "ended, and no notice was taken"
	NotRecovered       Outcome = "its relay started again and did not take it up"
	Unfinished         Outcome = "no end, though its relay went on past its time"
	EndedTwice         Outcome = "ended more than once"
)

// outcomeOrder is the order of the outcomes in the report. Faults are last.
var outcomeOrder = []Outcome{
	DeliveredInTime, FinishedAtEndpoint, NoticeInTime, ClientWithdrew,
	PendingAtEnd, LogEndsEarly, StateLost,
	DeliveredLate, NoticeLate, NoticeMissing, NotRecovered, Unfinished, EndedTwice,
}

// IsFault reports whether the relay failed to end the message exactly once and in time.
func (o Outcome) IsFault() bool {
	return slices.Index(outcomeOrder, o) >= slices.Index(outcomeOrder, DeliveredLate)
}

// messageHistory summarizes the log lines about one message. Relays log every line about a message only
// if it is traced, which they choose by sampling. About other messages they log only failed attempts,
// ends without a delivery, notices and recoveries.
type messageHistory struct {
	relay               string // the relay of the last line that was read
	firstSeen, deadline time.Time
	deliveredAt         time.Time // the last delivery
	noticedAt           time.Time // the first notice
	recoveredAt         time.Time // the last recovery
	deliveries, endings int       // endings: how often the relay handed the message back or gave it up
	withdrawn           bool      // the client closed its connection before the reply
	finishedAtEndpoint  bool      // an endpoint replied that the message had already ended
	traced              bool      // traced from its acceptance on, or since a restarted relay recovered it
}

// hasEnd reports whether the logs show how the message ended.
func (h *messageHistory) hasEnd() bool {
	return h.withdrawn || h.finishedAtEndpoint || h.endings > 0 || h.deliveries > 0
}

// relayHistory summarizes the log lines about a relay's processes.
type relayHistory struct {
	starts     []processStart
	lastLineAt time.Time // latest time of any line
}

// processStart is a start of a relay's process.
type processStart struct {
	at                   time.Time
	withoutWriteAheadLog bool // the process found no write-ahead log
}

// Outcomes holds the outcomes of all messages that the logs are about.
type Outcomes struct {
	Count          map[Outcome]int
	Examples       map[Outcome][]string // IDs of the first messages, in order of their first lines
	Accepted       int                  // accepted messages whose outcome was determined
	Untraced       int64                // messages that the relays chose not to trace
	UntrackedLines int                  // lines about messages beyond the maximum number of tracked ones
	LatestNotice   time.Duration        // the longest time from a message's deadline to its notice
	LongestUnread  time.Duration        // upper bound of the time that any request waited until its relay read it

	input      *inputSummary
	messages   map[string]*messageHistory
	relays     map[string]*relayHistory
	maxTracked int
}

// ReadOutcomes reads the files *.log in dir, one for each relay, and determines the outcome of each
// message. name is the folder's name in errors.
func ReadOutcomes(dir fs.FS, name string) (*Outcomes, error) {
	o := &Outcomes{
		Count: map[Outcome]int{}, Examples: map[Outcome][]string{},
		messages: map[string]*messageHistory{}, relays: map[string]*relayHistory{},
		maxTracked: maxTrackedMessages,
	}
	var err error
	if o.input, err = forEachLine(dir, name, o.addLine); err != nil {
		return nil, err
	}
	for _, id := range o.idsBySubmission() {
		message := o.messages[id]
		if !message.traced && !message.hasEnd() {
			continue // the message was not sampled: only its failed attempts were logged
		}
		outcome := o.outcomeOf(message)
		if outcome != ClientWithdrew {
			o.Accepted++
		}
		o.Count[outcome]++
		if len(o.Examples[outcome]) < maxExamples {
			o.Examples[outcome] = append(o.Examples[outcome], id)
		}
	}
	return o, nil
}

// idsBySubmission returns the messages' IDs in the order of their first lines.
func (o *Outcomes) idsBySubmission() []string {
	return slices.SortedFunc(maps.Keys(o.messages), func(a, b string) int {
		if order := o.messages[a].firstSeen.Compare(o.messages[b].firstSeen); order != 0 {
			return order
		}
		return strings.Compare(a, b)
	})
}

// addLine adds a line of a relay's log to the histories.
func (o *Outcomes) addLine(relayName string, line *logLine) {
	relay := o.relays[relayName]
	if relay == nil {
		relay = &relayHistory{}
		o.relays[relayName] = relay
	}
	if line.time.After(relay.lastLineAt) {
		relay.lastLineAt = line.time
	}
	switch line.text {
	case msgtrace.Ready:
		relay.starts = append(relay.starts, processStart{line.time, line.fields["log"] == "none"})
	case metrics.LogText:
		o.addUntraced(line)
	case msgtrace.Accepted, msgtrace.Withdrawn, msgtrace.Delivered, msgtrace.EndpointFinished,
		msgtrace.AttemptFailed, msgtrace.Ended, msgtrace.NoticeDelivered, msgtrace.Recovered:
		if message := o.history(line); message != nil {
			message.relay = relayName
			o.addToHistory(message, line)
		}
	} // lines about rejected messages are ignored, since these messages were never accepted
}

// addUntraced adds the number of untraced messages that a relay's metrics line reports for one second.
func (o *Outcomes) addUntraced(line *logLine) {
	for _, key := range line.keys {
		if !strings.HasSuffix(key, "."+metrics.Untraced) {
			continue
		}
		if n, err := strconv.ParseInt(line.fields[key], 10, 64); err == nil && n > 0 && n < maxCount {
			o.Untraced += n
		}
	}
}

// history returns the history of the message that a line is about, and creates it if needed. It returns
// nil if the line is about no message, or about one beyond the maximum number of tracked messages.
func (o *Outcomes) history(line *logLine) *messageHistory {
	id := line.fields["message"]
	if id == "" {
		return nil
	}
	message := o.messages[id]
	if message == nil {
		if len(o.messages) >= o.maxTracked {
			o.UntrackedLines++
			return nil
		}
		message = &messageHistory{firstSeen: line.time}
		o.messages[id] = message
	}
	return message
}

// addToHistory adds a line about a message to its history.
func (o *Outcomes) addToHistory(message *messageHistory, line *logLine) {
	left, ok := line.milliseconds("left_ms")
	setsDeadline := line.text == msgtrace.Accepted || line.text == msgtrace.Recovered || !message.traced
	if ok && setsDeadline {
		message.deadline = line.time.Add(left)
	}
	if waited, ok := line.milliseconds("waited_ms"); ok {
		o.LongestUnread = max(o.LongestUnread, waited)
	}
	switch line.text {
	case msgtrace.Accepted:
		message.traced = true
	case msgtrace.Withdrawn:
		message.withdrawn = true
	case msgtrace.Recovered:
		message.traced, message.recoveredAt = true, line.time
	case msgtrace.Delivered:
		message.deliveries++
		message.deliveredAt = line.time
	case msgtrace.EndpointFinished:
		message.finishedAtEndpoint = true
	case msgtrace.Ended:
		message.endings++
	case msgtrace.NoticeDelivered:
		if message.noticedAt.IsZero() {
			message.noticedAt = line.time
		}
	}
}

// outcomeOf determines the outcome of one message.
func (o *Outcomes) outcomeOf(message *messageHistory) Outcome {
	relay := o.relays[message.relay]
	switch {
	case message.deliveries+message.endings > 1 && message.recoveredAt.IsZero():
		return EndedTwice // after a recovery, an end that the write-ahead log does not have may be repeated
	case message.deliveries > 0 && relay.delay(message, message.deliveredAt) > 0:
		return DeliveredLate
	case message.deliveries > 0:
		return DeliveredInTime
	case message.finishedAtEndpoint:
		return FinishedAtEndpoint
	case message.withdrawn:
		return ClientWithdrew
	case !message.noticedAt.IsZero():
		delay := relay.delay(message, message.noticedAt)
		o.LatestNotice = max(o.LatestNotice, delay)
		if delay > noticeGrace {
			return NoticeLate
		}
		return NoticeInTime
	}
	return o.outcomeWithoutNotice(message, relay)
}

// outcomeWithoutNotice determines the outcome of a message for which the logs show neither an end at an
// endpoint, nor a withdrawal, nor a notice.
func (o *Outcomes) outcomeWithoutNotice(message *messageHistory, relay *relayHistory) Outcome {
	for _, start := range relay.starts {
		if start.at.After(message.firstSeen) && message.recoveredAt.Before(start.at) {
			if start.withoutWriteAheadLog {
				return StateLost
			}
			return NotRecovered
		}
	}
	noticeDue := message.deadline.Add(noticeGrace)
	logEndsBefore := relay.lastLineAt.Before(noticeDue)
	switch {
	case message.deadline.IsZero(),
		// The log ends more than relayEventWindow before the latest line of all logs.
		logEndsBefore && relay.lastLineAt.Before(o.endOfLogs().Add(-relayEventWindow)):
		return LogEndsEarly
	case logEndsBefore:
		return PendingAtEnd
	case message.endings > 0:
		return NoticeMissing
	}
	return Unfinished
}

// delay returns the time from a message's deadline to at, negative if at is before the deadline. During
// a restart the relay cannot deliver notices. If the relay started after the message's first line and
// not after at, the deadline is therefore no earlier than restartNoticeGrace after that start.
func (h *relayHistory) delay(message *messageHistory, at time.Time) time.Duration {
	due := message.deadline
	for _, start := range h.starts {
		graceEnd := start.at.Add(restartNoticeGrace)
		if start.at.After(message.firstSeen) && !start.at.After(at) && graceEnd.After(due) {
			due = graceEnd
		}
	}
	return at.Sub(due)
}

// endOfLogs returns the time of the latest line of all logs.
func (o *Outcomes) endOfLogs() (last time.Time) {
	for _, relay := range o.relays {
		if relay.lastLineAt.After(last) {
			last = relay.lastLineAt
		}
	}
	return last
}

// WriteText writes the number of messages and some message IDs for each outcome.
func (o *Outcomes) WriteText(out io.Writer) error {
	b := &strings.Builder{}
	writeLines(b, o.input.lines())
	fmt.Fprintf(b, "%d messages taken on, as far as they are told of", o.Accepted)
	if o.Untraced > 0 {
		fmt.Fprintf(b, "; %d more are not told of from their hand-in on", o.Untraced)
	}
	if o.UntrackedLines > 0 {
		fmt.Fprintf(b, "; %d lines on messages beyond %d", o.UntrackedLines, o.maxTracked)
	}
	fmt.Fprintf(b, "\nlatest notice: %d ms after its message's time; longest that a request stood unread: %d ms\n\n",
		o.LatestNotice.Milliseconds(), o.LongestUnread.Milliseconds())
	b.WriteString(o.table())
	_, err := io.WriteString(out, b.String())
	return err
}

// table returns the table of outcomes. Faults are marked with "!".
func (o *Outcomes) table() string {
	table := texttable.New()
	faults, total := 0, 0
	table.Rowf("messages\t\twhat became of them\tsome of them")
	for _, outcome := range outcomeOrder {
		n := o.Count[outcome]
		if n == 0 {
			continue
		}
		mark := ""
		if outcome.IsFault() {
			mark = "!"
			faults += n
		}
		total += n
		table.Rowf("%d\t%s\t%s\t%s", n, mark, outcome, strings.Join(o.Examples[outcome], " "))
	}
	table.Rowf("%d\t\tin all, %d of them faults\t", total, faults)
	return table.String()
}
