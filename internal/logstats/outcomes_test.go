package logstats

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/fstest"
	"time"

	"troutusher/internal/metrics"
	"troutusher/internal/msgtrace"
)

var startOfLogs = time.Date(2026, 5, 1, 18, 0, 0, 0, time.UTC)

// logLineAt returns a line of a relay's log that was written ms milliseconds after startOfLogs.
func logLineAt(ms int, text, fields string) string {
	return fmt.Sprintf("time=%s level=INFO msg=%s %s\n",
		startOfLogs.Add(time.Duration(ms)*time.Millisecond).Format("2006-01-02T15:04:05.000Z07:00"), text, fields)
}

// messageLine returns a line about a message that was written ms milliseconds after startOfLogs.
func messageLine(ms int, text, id, fields string) string {
	return logLineAt(ms, text, "message="+id+" "+fields)
}

// readOutcomes returns the outcomes from log files, given by name and contents.
func readOutcomes(t *testing.T, files map[string]string) *Outcomes {
	t.Helper()
	outcomes, err := ReadOutcomes(logFolder(files), "logs")
	if err != nil {
		t.Fatal(err)
	}
	return outcomes
}

// logFolder returns a folder that holds files, given by name and contents.
func logFolder(files map[string]string) fstest.MapFS {
	dir := fstest.MapFS{}
	for name, text := range files {
		dir[name] = &fstest.MapFile{Data: []byte(text)}
	}
	return dir
}

// TestOutcomes checks, for each outcome, that logs which show it give that outcome once and no other.
func TestOutcomes(t *testing.T) {
	accepted := func(ms int, id string, left int) string {
		return messageLine(ms, msgtrace.Accepted, id, fmt.Sprintf("class=c dest=1 left_ms=%d waited_ms=7", left))
	}
	running := logLineAt(0, msgtrace.Ready, "log=none") + logLineAt(90_000, metrics.LogText, "second=90")
	ended := messageLine(1100, msgtrace.Ended, "m", "left_ms=0")
	for want, lines := range map[Outcome]string{
		DeliveredInTime:    accepted(100, "m", 1000) + messageLine(600, msgtrace.Delivered, "m", "left_ms=500"),
		FinishedAtEndpoint: accepted(100, "m", 1000) + messageLine(600, msgtrace.EndpointFinished, "m", "left_ms=500"),
		DeliveredLate:      accepted(100, "m", 1000) + messageLine(1200, msgtrace.Delivered, "m", "left_ms=-100"),
		NoticeInTime:       accepted(100, "m", 1000) + ended + messageLine(1395, msgtrace.NoticeDelivered, "m", ""),
		NoticeLate:         accepted(100, "m", 1000) + ended + messageLine(1402, msgtrace.NoticeDelivered, "m", ""),
		NoticeMissing:      accepted(100, "m", 1000) + ended,
		Unfinished:         accepted(100, "m", 1000) + messageLine(500, msgtrace.AttemptFailed, "m", "status=503"),
		ClientWithdrew:     messageLine(100, msgtrace.Withdrawn, "m", "waited_ms=3"),
		EndedTwice: accepted(100, "m", 1000) + messageLine(600, msgtrace.Delivered, "m", "left_ms=500") +
			messageLine(700, msgtrace.Ended, "m", "left_ms=400"),
		NotRecovered: accepted(100, "m", 1000) + logLineAt(600, msgtrace.Ready, "log=found"),
		StateLost:    accepted(100, "m", 1000) + logLineAt(600, msgtrace.Ready, "log=none"),
	} {
		outcomes := readOutcomes(t, map[string]string{
			"n1.log": running + lines, "n2.log": logLineAt(95_000, metrics.LogText, "second=95"),
		})
		examples := outcomes.Examples[want]
		if outcomes.Count[want] != 1 || len(outcomes.Count) != 1 || len(examples) != 1 || examples[0] != "m" {
			t.Errorf("outcomes = %v, examples of %q = %v, want only that outcome, for message m",
				outcomes.Count, want, examples)
		}
		if accepted := outcomes.Accepted; (accepted == 1) == (want == ClientWithdrew) {
			t.Errorf("%q: %d accepted messages, want 0 for a withdrawn one and 1 otherwise", want, accepted)
		}
	}
	// Two messages have not ended when the logs end. The log of one relay ends long before the other's.
	outcomes := readOutcomes(t, map[string]string{
		"n1.log": logLineAt(0, msgtrace.Ready, "log=none") + accepted(100, "early", 30_000) +
			logLineAt(2000, metrics.LogText, "second=2"),
		"n2.log": logLineAt(0, msgtrace.Ready, "log=none") + accepted(9000, "pending", 5000) +
			logLineAt(9500, metrics.LogText, "second=9"),
	})
	if outcomes.Count[LogEndsEarly] != 1 || outcomes.Count[PendingAtEnd] != 1 || outcomes.Accepted != 2 {
		t.Errorf("outcomes = %v, %d accepted, want 1 %q, 1 %q, 2 accepted",
			outcomes.Count, outcomes.Accepted, LogEndsEarly, PendingAtEnd)
	}
	faults := []Outcome{DeliveredLate, NoticeLate, NoticeMissing, Unfinished, EndedTwice, NotRecovered}
	for _, outcome := range outcomeOrder {
		if want := slices.Contains(faults, outcome); outcome.IsFault() != want {
			t.Errorf("%q.IsFault() = %v, want %v", outcome, outcome.IsFault(), want)
		}
	}
}

// TestOutcomesAcrossRestart checks messages that a relay accepted before a restart. A notice that was
// due before the start may be delivered up to 1.5 s after it. A delivery that the write-ahead log does
// not have may be repeated. A message that the new process does not recover is a fault.
func TestOutcomesAcrossRestart(t *testing.T) {
	beforeStart := logLineAt(0, msgtrace.Ready, "log=none") +
		messageLine(100, msgtrace.Accepted, "m", "left_ms=1000") +
		logLineAt(2000, msgtrace.Ready, "log=found")
	expired := messageLine(1990, msgtrace.Recovered, "m", "left_ms=-890") +
		messageLine(1991, msgtrace.Ended, "m", "left_ms=-891")
	for name, test := range map[string]struct {
		lines string
		want  Outcome
	}{
		"notice 1.4 s after start": {expired + messageLine(3400, msgtrace.NoticeDelivered, "m", ""), NoticeInTime},
		"notice 1.6 s after start": {expired + messageLine(3600, msgtrace.NoticeDelivered, "m", ""), NoticeLate},
		"delivered before and after the restart": {
			messageLine(500, msgtrace.Delivered, "m", "left_ms=600") +
				messageLine(1990, msgtrace.Recovered, "m", "left_ms=100") +
				messageLine(2005, msgtrace.Delivered, "m", "left_ms=85"),
			DeliveredInTime,
		},
		"not recovered by the new process": {logLineAt(90_000, metrics.LogText, "second=90"), NotRecovered},
	} {
		outcomes := readOutcomes(t, map[string]string{
			"n1.log": beforeStart + test.lines + logLineAt(91_000, metrics.LogText, "second=91"),
		})
		if outcomes.Count[test.want] != 1 || len(outcomes.Count) != 1 {
			t.Errorf("%s: outcomes = %v, want only %q", name, outcomes.Count, test.want)
		}
	}
}

// TestTrackedMessagesAreBounded checks that memory stays bounded: lines about messages beyond the
// maximum number of tracked ones are only counted.
func TestTrackedMessagesAreBounded(t *testing.T) {
	outcomes := &Outcomes{messages: map[string]*messageHistory{}, relays: map[string]*relayHistory{}, maxTracked: 3}
	for i := range 10 {
		text := messageLine(i, msgtrace.Accepted, fmt.Sprint("m", i), "left_ms=5")
		line, ok := parseLine([]byte(strings.TrimSpace(text)))
		if !ok {
			t.Fatalf("parseLine(%q) = false, want true", text)
		}
		outcomes.addLine("n", &line)
	}
	if len(outcomes.messages) != 3 || outcomes.UntrackedLines != 7 {
		t.Errorf("%d tracked messages, %d lines about others, want 3 and 7",
			len(outcomes.messages), outcomes.UntrackedLines)
	}
}

// FuzzOutcomes checks that for any input each message is counted at most once, that the report can be
// written, and that each message has a trace.
func FuzzOutcomes(f *testing.F) {
	f.Add(logLineAt(0, msgtrace.Ready, "log=none") + messageLine(1, msgtrace.Accepted, "m", "left_ms=5") +
		messageLine(2, msgtrace.NoticeDelivered, "m", ""))
	f.Add(messageLine(1, msgtrace.Accepted, "m", "left_ms=99999999999999999999 waited_ms=-1") +
		"time=x msg=taken\n\xff\n")
	f.Fuzz(func(t *testing.T, text string) {
		outcomes, err := ReadOutcomes(logFolder(map[string]string{"n.log": text}), "logs")
		if err != nil {
			return
		}
		sum := 0
		for _, n := range outcomes.Count {
			sum += n
		}
		if sum != outcomes.Accepted+outcomes.Count[ClientWithdrew] || sum > len(outcomes.messages) {
			t.Errorf("outcomes = %v of %d messages, %d accepted, want each message at most once",
				outcomes.Count, len(outcomes.messages), outcomes.Accepted)
		}
		if err := outcomes.WriteText(&bytes.Buffer{}); err != nil {
			t.Error(err)
		}
		for id := range outcomes.messages {
			trace, err := ReadMessageTrace(logFolder(map[string]string{"n.log": text}), "logs", id)
			if err != nil || len(trace.Events) == 0 {
				t.Errorf("ReadMessageTrace(%q) = error %v or no events, want at least one event", id, err)
			}
			return
		}
	})
}
