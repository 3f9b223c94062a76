package decide

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestGuardsMatter takes one guard at a time out of a copy of the module and expects TestRules, or the named
// test, to fail: the checker can tell, and no second path hides the loss.
func TestGuardsMatter(t *testing.T) {
	if os.Getenv("YEWSPAN_MUTANT") != "" {
		t.Skip("a mutant does not mutate")
	}
	goTool, err := exec.LookPath("go")
	if err != nil {
		t.Fatal("the go tool is needed: ", err)
	}
	for _, m := range []struct{ name, old, new, run string }{
		{"none", "", "", ""},
		{"drain", "ep.state != Ready || ep.barred", "ep.barred", "TestRules"},
		{"barred", "ep.barred > p.now || ep.lane", "ep.lane", "TestBarred"},
		{"opening", "return ep.need * (1 + p.opening(ep))", "return ep.need", "TestOpeningIsPaid"},
		{"cold", "Cold: c.ep.sick", "Cold: false", "TestColdIsTold"},
		{"opened", "p.settle(c, e)", "_ = p.settle", "TestOpenedIsSettled"},
		{"burst of a connection", "depth = max(depth, 1+ep.opening)", "_ = 0", "TestFailBackBudgetWithConnections"},
		{"wait", " || ep.lane.waitUntil > p.now || ", " || ", "TestRules"},
		{"unsafe", "if m.doubtAt == 0 || m.class.Repeat == Safe {", "if m.doubtAt == 0 || m.class.Repeat != Keyed {", "TestRules"},
		{"dedup window", " || p.now >= p.lastByte(m)", "", "TestRules"},
		{"dedup window of a late connection", "By: p.lastByte(m),", "By: 0,", "TestRepeatsStayInTheirWindow"},
		{"way of a repeat", "max(2*p.set.Tick, min(keyedWay, m.class.DedupWindow/20))", "2*p.set.Tick", "TestRepeatsStayInTheirWindow"},
		{"dedup zone", "m.class.ZoneOnly && ep.zone != m.doubtIn", "false", "TestRules"},
		{"order", "l.turns[0] != m || ", "", "TestRules"},
		{"rest of a key", "m.tries == 0 && l.rest > p.now", "false", "TestRules"},
		{"answer in time", "p.now < m.deadline-p.margin() && (m.call", "(m.call", "TestRules"},
		{"attempts", "p.set.MaxAttempts > 0 && m.tries-m.void >= p.set.MaxAttempts", "false", "TestRules"},
		{"attempts that never left", "if e.Void && m.void < p.set.MaxAttempts {", "if false {", "TestNeverLeft"},
		{"attempts that never leave", "e.Void && m.void < p.set.MaxAttempts", "e.Void", "TestNeverLeft"},
		{"untried first", "if m.owed && m.deadline > soon {", "if false {", "TestUntriedGoFirst"},
		{"untried kept", "if p.refusable(m) && !m.owed {", "if p.refusable(m) {", "TestUntriedGoFirst"},
		{"untried until tried", "m.owed = m.owed && e.Void", "_ = 0", "TestUntriedGoFirst"},
		{"refusal", "return m.class.Repeat == Keyed && !m.class.ZoneOnly", "return m.class.Repeat == Keyed", "TestRules"},
		{"budget", "max(depth, need)) >= need", "max(depth, need)) >= -99", "TestFailBackBudget"},
		{"outage", "ep.sick || ep.score < scoreSick", "true", "TestPartialSuccessKeepsTheBudget"},
		{"calling off", "p.review(c)\n\t}\n\tl.bound", "}\n\tl.bound", "TestReclaim"},
	} {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			files, _ := filepath.Glob("*.go")
			for _, f := range files {
				if f == "example_test.go" {
					continue // it imports the module by name
				}
				text, err := os.ReadFile(f)
				if err != nil {
					t.Fatal(err)
				}
				if f == "decide.go" && m.old != "" {
					if strings.Count(string(text), m.old) != 1 {
						t.Fatalf("%q stands %d times in decide.go", m.old, strings.Count(string(text), m.old))
					}
					text = []byte(strings.Replace(string(text), m.old, m.new, 1))
				}
				if err := os.WriteFile(filepath.Join(dir, f), text, 0o644); err != nil {
					t.Fatal(err)
				}
			}
			if err := os.WriteFile(filepath.Join(dir, "go.mod"), []byte("module mutant\n\ngo 1.24\n"), 0o644); err != nil {
				t.Fatal(err)
			}
			run := m.run
			if run == "" {
				run = "TestRules|TestFailBackBudget|TestReclaim"
			}
			cmd := exec.Command(goTool, "test", "-vet=off", "-run", "^("+run+")$", ".")
			cmd.Dir = dir
			cmd.Env = append(os.Environ(), "YEWSPAN_MUTANT=1", "GOFLAGS=", "GOWORK=off")
			out, err := cmd.CombinedOutput()
			switch {
			case m.old == "" && err != nil:
				t.Fatalf("the copy itself fails:\n%s", out)
			case m.old != "" && err == nil:
				t.Fatalf("without the guard %s still passes", m.run)
			case m.old != "" && !strings.Contains(string(out), "--- FAIL"):
				t.Fatalf("the mutant does not build:\n%s", out)
			}
		})
	}
}

// A keyed message that may have run goes out again only as long as its endpoint
// knows the key for certain as it arrives, and each repeat says until when; one
// whose time for that is over is ended, and never sent.
func TestRepeatsStayInTheirWindow(t *testing.T) {
	for _, window := range []Time{1 * second, 6 * second, 20 * second} {
		s := one()
		s.Classes = []Class{{Name: "k", Aim: second / 2, Deadline: 30 * second, Worth: 1, LateWorth: 0.5, Repeat: Keyed, DedupWindow: window}}
		p, err := New(s, 7)
		if err != nil {
			t.Fatal(err)
		}
		now := Time(100 * second)
		list := Event{Kind: EvList, List: ListFull, Entries: []Entry{{Endpoint: 1, Dest: 1, State: Ready, Rate: 1000}, {Endpoint: 2, Dest: 1, State: Ready, Rate: 1000}}}
		events := []Event{list, {Kind: EvMessage, Message: 1, Dest: 1, Left: 30 * second}}
		var first Time
		sends, ended := 0, false
		for range 20000 {
			acts := p.Step(now, events, nil)
			events = nil
			for _, a := range acts {
				switch a.Kind {
				case ActSend:
					if sends++; sends == 1 {
						if first = now; a.By != 0 {
							t.Errorf("window %d: a first attempt has until %d", window, a.By-now)
						}
					} else if most := first + window - window/20; a.By <= now || a.By > max(most, first+window-keyedWay) {
						t.Errorf("window %d: a repeat %d after the first has until %d", window, now-first, a.By-first)
					}
					events = append(events, Event{Kind: EvOutcome, Message: 1, Attempt: a.Attempt, Endpoint: a.Endpoint, Outcome: Errored, Took: 1000})
					events[len(events)-1].Attempt = sends - 1
				case ActRefuse, ActFail:
					ended = true
				}
			}
			if ended {
				break
			}
			now += 5e3
		}
		if sends < 2 || !ended || now-first > window {
			t.Errorf("window %d: %d sends, ended %v after %d", window, sends, ended, now-first)
		}
	}
}
