package logstats

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/fstest"
	"time"

	"troutusher/internal/msgtrace"
)

var dawn = time.Date(2026, 5, 1, 18, 0, 0, 0, time.UTC)

// at is a line of a relay's log, so many milliseconds after dawn.
func at(ms int, msg, rest string) string {
	return fmt.Sprintf("time=%s level=INFO msg=%s %s\n",
		dawn.Add(time.Duration(ms)*time.Millisecond).Format("2006-01-02T15:04:05.000Z07:00"), msg, rest)
}

func of(id string, more string) string { return "message=" + id + " " + more }

func fleet(files map[string]string) fstest.MapFS {
	dir := fstest.MapFS{}
	for name, text := range files {
		dir[name] = &fstest.MapFile{Data: []byte(text)}
	}
	return dir
}

// Each fate is told by what the logs show, and counted once.
func TestFates(t *testing.T) {
	taken := func(ms int, id string, left int) string {
		return at(ms, msgtrace.Accepted, of(id, fmt.Sprintf("class=c dest=1 left_ms=%d waited_ms=7", left)))
	}
	live := at(0, msgtrace.Ready, "log=none") + at(90_000, "tally", "second=90")
	for want, logs := range map[Fate]string{
		InTime:    live + taken(100, "m", 1000) + at(600, msgtrace.Delivered, of("m", "left_ms=500")),
		Elsewhere: live + taken(100, "m", 1000) + at(600, msgtrace.EndpointFinished, of("m", "left_ms=500")),
		Past:      live + taken(100, "m", 1000) + at(1200, msgtrace.Delivered, of("m", "left_ms=-100")),
		Noticed: live + taken(100, "m", 1000) + at(1100, msgtrace.Ended, of("m", "left_ms=0")) + at(
			1395, msgtrace.NoticeDelivered, of("m", ""),
		),
		NoticeLate: live + taken(100, "m", 1000) + at(1100, msgtrace.Ended, of("m", "left_ms=0")) + at(
			1402, msgtrace.NoticeDelivered, of("m", ""),
		),
		NoNotice: live + taken(100, "m", 1000) + at(1100, msgtrace.Ended, of("m", "left_ms=0")),
		NoEnd:    live + taken(100, "m", 1000) + at(500, msgtrace.AttemptFailed, of("m", "status=503")),
		Left:     live + at(100, msgtrace.Withdrawn, of("m", "waited_ms=3")),
		Twice: live + taken(100, "m", 1000) + at(
			600, msgtrace.Delivered, of("m", "left_ms=500"),
		) + at(700, msgtrace.Ended, of("m", "left_ms=400")),
		Forgotten:  live + taken(100, "m", 1000) + at(600, msgtrace.Ready, "log=found"),
		FolderGone: live + taken(100, "m", 1000) + at(600, msgtrace.Ready, "log=none"),
	} {
		e, err := ReadEnds(fleet(map[string]string{"n1.log": logs, "n2.log": at(95_000, "tally", "second=95")}), "logs")
		if err != nil {
			t.Fatal(err)
		}
		if e.Count[want] != 1 || len(e.Count) != 1 || len(e.Example[want]) != 1 || e.Example[want][0] != "m" {
			t.Errorf("want %q: %v", want, e.Count)
		}
		if taken := e.Taken; (taken == 1) == (want == Left) {
			t.Errorf("%q: %d taken on", want, taken)
		}
	}
	// What the end of the logs leaves open: one relay's ends long before the others'.
	e, err := ReadEnds(fleet(map[string]string{
		"n1.log": at(0, msgtrace.Ready, "log=none") + taken(100, "gone", 30_000) + at(2000, "tally", "second=2"),
		"n2.log": at(0, msgtrace.Ready, "log=none") + taken(9000, "held", 5000) + at(9500, "tally", "second=9"),
	}), "logs")
	if err != nil || e.Count[Gone] != 1 || e.Count[Held] != 1 || e.Taken != 2 {
		t.Errorf("%v %v", e, err)
	}
	for _, f := range fates {
		if want := f == Past || f == NoticeLate || f == NoNotice || f == NoEnd || f == Twice ||
			f == Forgotten; f.Fault() != want {
			t.Errorf("%q: a fault: %v", f, f.Fault())
		}
	}
}

// After a start what was due before it has 1.5 s from that; an end that the log
// of messages did not have may come again; what is resumed is not forgotten.
func TestFatesAcrossAStart(t *testing.T) {
	before := at(0, msgtrace.Ready, "log=none") + at(
		100, msgtrace.Accepted, of("m", "left_ms=1000"),
	) + at(2000, msgtrace.Ready, "log=found")
	for name, c := range map[string]struct {
		logs string
		want Fate
	}{
		"told soon after it": {
			at(
				1990, msgtrace.Recovered, of("m", "left_ms=-890"),
			) + at(1991, msgtrace.Ended, of("m", "left_ms=-891")) + at(3400, msgtrace.NoticeDelivered, of("m", "")),
			Noticed,
		},
		"too late after it": {
			at(
				1990, msgtrace.Recovered, of("m", "left_ms=-890"),
			) + at(1991, msgtrace.Ended, of("m", "left_ms=-891")) + at(3600, msgtrace.NoticeDelivered, of("m", "")),
			NoticeLate,
		},
		"delivered again": {
			at(500, msgtrace.Delivered, of("m", "left_ms=600")) + at(
				1990, msgtrace.Recovered, of("m", "left_ms=100"),
			) + at(2005, msgtrace.Delivered, of("m", "left_ms=85")),
			InTime,
		},
		"not taken up": {at(90_000, "tally", "second=90"), Forgotten},
	} {
		e, err := ReadEnds(
			fleet(map[string]string{"n1.log": before + c.logs + at(91_000, "tally", "second=91")}), "logs",
		)
		if err != nil || e.Count[c.want] != 1 || len(e.Count) != 1 {
			t.Errorf("%s: %v %v", name, e.Count, err)
		}
	}
}

// A story is told in order of time over all relays, with the starts round it and
// nothing else of them.
func TestFollow(t *testing.T) {
	s, err := Follow(fleet(map[string]string{
		"n1.log": "14.1 " + at(
			100, msgtrace.Accepted, of("m", "class=c left_ms=900"),
		) + at(0, msgtrace.Ready, "log=none") + at(9000, msgtrace.Ready, "log=none") +
			at(200, msgtrace.Accepted, of("other", "left_ms=1")) + at(
			300, msgtrace.AttemptFailed, of("m", `status=503 err="dial tcp: refused"`),
		),
		"n2.log": at(
			250, msgtrace.Accepted, of("m", "left_ms=700"),
		) + at(50, msgtrace.Stopping, "held=3") + "garbage\n" + at(1, msgtrace.Ready, "")[:20],
		"n3.log": at(150, msgtrace.Ready, "log=none"),
	}), "logs", "m")
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, x := range s.Steps {
		got = append(got, x.Relay+" "+x.Text)
	}
	if want := "n1 ready, n2 stopping, n1 taken, n2 taken, n1 attempt"; strings.Join(got, ", ") != want {
		t.Errorf("%v, want %s", got, want)
	}
	var b bytes.Buffer
	if err := s.WriteText(&b); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"3 relays", "1 foreign lines, 1 torn ones", "+0.200 s  n1  attempt", `err="dial tcp: refused"`,
		"-0.050 s  n2  (stopping)  held=3",
	} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("no %q in\n%s", want, b.String())
		}
	}
}

// Unknown ids and folders without a log are errors that name them; damage is
// counted and told.
func TestStoriesOfDamagedLogs(t *testing.T) {
	good := at(0, msgtrace.Ready, "log=none") + at(100, msgtrace.Accepted, of("m", "left_ms=900"))
	if _, err := Follow(fleet(map[string]string{"n.log": good}), "logs", "x"); !errors.Is(err, errUnknown) ||
		!strings.Contains(err.Error(), "x") {
		t.Errorf("unknown id: %v", err)
	}
	for _, dir := range []fstest.MapFS{
		fleet(nil), fleet(map[string]string{"n.log": "no line of ours\n"}), fleet(map[string]string{"n.txt": good}),
	} {
		if _, err := ReadEnds(dir, "here"); !errors.Is(err, errNothing) || !strings.HasPrefix(err.Error(), "here") {
			t.Errorf("nothing to read: %v", err)
		}
		if _, err := Follow(dir, "here", "m"); !errors.Is(err, errNothing) {
			t.Errorf("nothing to read: %v", err)
		}
	}
	e, err := ReadEnds(
		fleet(
			map[string]string{
				"n1.log": good + "x\n" + at(
					5000, "tally", "second=5 d1.in=9 d1.untold=4 d2.untold=2",
				) + at(100, msgtrace.Accepted, "")[:40],
				"n2.log": "",
			},
		),
		"logs",
	)
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if err := e.WriteText(&b); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"1 relays", "1 without a readable line: [n2.log]", "1 foreign lines, 1 torn ones", "1 messages taken on",
		"6 more are not told", "1         !  " + string(NoEnd),
	} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("no %q in\n%s", want, b.String())
		}
	}
}

// Messages beyond those that are followed are counted, and hold no memory.
func TestFollowedMost(t *testing.T) {
	e := &Ends{lives: map[string]*life{}, relays: map[string]*process{}, followed: 3}
	for i := range 10 {
		x, ok := parse([]byte(strings.TrimSpace(at(i, msgtrace.Accepted, of(fmt.Sprint("m", i), "left_ms=5")))))
		if !ok {
			t.Fatal("not read")
		}
		e.take("n", &x)
	}
	if len(e.lives) != 3 || e.Unknown != 7 {
		t.Errorf("%d followed, %d unknown", len(e.lives), e.Unknown)
	}
}

// Whatever stands in a log, its messages are each counted once, in few lines.
func FuzzEnds(f *testing.F) {
	f.Add(
		at(0, msgtrace.Ready, "log=none") + at(
			1, msgtrace.Accepted, of("m", "left_ms=5"),
		) + at(2, msgtrace.NoticeDelivered, of("m", "")),
	)
	f.Add(at(1, msgtrace.Accepted, of("m", "left_ms=99999999999999999999 waited_ms=-1")) + "time=x msg=taken\n\xff\n")
	f.Fuzz(func(t *testing.T, text string) {
		e, err := ReadEnds(fleet(map[string]string{"n.log": text}), "logs")
		if err != nil {
			return
		}
		sum := 0
		for _, n := range e.Count {
			sum += n
		}
		if sum != e.Taken+e.Count[Left] || sum > len(e.lives) {
			t.Errorf("%v of %d", e.Count, len(e.lives))
		}
		if err := e.WriteText(&bytes.Buffer{}); err != nil {
			t.Error(err)
		}
		for id := range e.lives {
			s, err := Follow(fleet(map[string]string{"n.log": text}), "logs", id)
			if err != nil || len(s.Steps) == 0 {
				t.Errorf("%q: %v", id, err)
			}
			return
		}
	})
}
