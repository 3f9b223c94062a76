package policy

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
		{"drain", "endpoint.state != Ready || endpoint.identityRejectedUntil", "endpoint.identityRejectedUntil", "TestRules"},
		{"barred", "endpoint.identityRejectedUntil > engine.now || endpoint.limiter", "endpoint.limiter", "TestIdentityRejected"},
		{"opening", "return endpoint.requiredTokens * (1 + engine.connectCost(endpoint))", "return endpoint.requiredTokens", "TestConnectCostIsPaid"},
		{"cold", "Recovering: c.endpoint.unhealthy", "Recovering: false", "TestSendTellsOfRecovery"},
		{"opened", "engine.settleConnectCost(c, e)", "_ = engine.settleConnectCost", "TestConnectCostIsSettled"},
		{"burst of a connection", "bucketDepth = max(bucketDepth, 1+endpoint.connectCost)", "_ = 0", "TestRecoveryBudgetWithConnections"},
		{"wait", " || endpoint.limiter.retryAfterUntil > engine.now || ", " || ", "TestRules"},
		{"unsafe", "if m.firstUncertainAt == 0 || m.class.Idempotency == Idempotent {", "if m.firstUncertainAt == 0 || m.class.Idempotency != IdempotentByKey {", "TestRules"},
		{"dedup window", " || engine.now >= engine.lastByteDeadline(m)", "", "TestRules"},
		{"dedup window of a late connection", "LastByteBy: engine.lastByteDeadline(m),", "LastByteBy: 0,", "TestRetriesStayInDedupWindow"},
		{"way of a repeat", "max(2*engine.settings.TickInterval, min(dedupTransitTime, m.class.DedupWindow/20))", "2*engine.settings.TickInterval", "TestRetriesStayInDedupWindow"},
		{"dedup zone", "m.class.DedupPerZone && endpoint.zone != m.firstUncertainZone", "false", "TestRules"},
		{"order", "l.messages[0] != m || ", "", "TestRules"},
		{"rest of a key", "m.attempts == 0 && l.backoffUntil > engine.now", "false", "TestRules"},
		{"answer in time", "engine.now < m.deadline-engine.deadlineMargin() && (m.startCall", "(m.startCall", "TestRules"},
		{"attempts", "engine.settings.MaxAttempts > 0 && m.attempts-m.uncountedAttempts >= engine.settings.MaxAttempts", "false", "TestRules"},
		{"attempts that never left", "if e.NotCounted && m.uncountedAttempts < engine.settings.MaxAttempts {", "if false {", "TestUnsentAttemptsNotCounted"},
		{"attempts that never leave", "e.NotCounted && m.uncountedAttempts < engine.settings.MaxAttempts", "e.NotCounted", "TestUnsentAttemptsNotCounted"},
		{"untried first", "if m.recoveredUntried && m.deadline > soon {", "if false {", "TestRecoveredUntriedGoFirst"},
		{"untried kept", "if engine.rejectable(m) && !m.recoveredUntried {", "if engine.rejectable(m) {", "TestRecoveredUntriedGoFirst"},
		{"untried until tried", "m.recoveredUntried = m.recoveredUntried && e.NotCounted", "_ = 0", "TestRecoveredUntriedGoFirst"},
		{"refusal", "return m.class.Idempotency == IdempotentByKey && !m.class.DedupPerZone", "return m.class.Idempotency == IdempotentByKey", "TestRules"},
		{"budget", "max(bucketDepth, requiredTokens)) >= requiredTokens", "max(bucketDepth, requiredTokens)) >= -99", "TestRecoveryBudget"},
		{"outage", "endpoint.unhealthy || endpoint.failureScore < unhealthyScore", "true", "TestPartialSuccessKeepsRecoveryBudget"},
		{"calling off", "engine.cancelOverdueCall(c)\n\t}\n\tl.rateBound", "}\n\tl.rateBound", "TestOverdueCallsAreCancelled"},
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
func TestRetriesStayInDedupWindow(t *testing.T) {
	for _, window := range []Time{1 * second, 6 * second, 20 * second} {
		s := singleClassSettings()
		s.Classes = []Class{{Name: "k", LatencyObjective: second / 2, Deadline: 30 * second, Weight: 1, LateWeight: 0.5, Idempotency: IdempotentByKey, DedupWindow: window}}
		p, err := New(s, 7)
		if err != nil {
			t.Fatal(err)
		}
		now := Time(100 * second)
		list := Event{Kind: EvListUpdated, ListUpdate: ListFull, Updates: []EndpointUpdate{{Endpoint: 1, Destination: 1, State: Ready, Rate: 1000}, {Endpoint: 2, Destination: 1, State: Ready, Rate: 1000}}}
		events := []Event{list, {Kind: EvMessageSubmitted, Message: 1, Destination: 1, TimeLeft: 30 * second}}
		var first Time
		sends, ended := 0, false
		for range 20000 {
			acts := p.Step(now, events, nil)
			events = nil
			for _, a := range acts {
				switch a.Kind {
				case ActSend:
					if sends++; sends == 1 {
						if first = now; a.LastByteBy != 0 {
							t.Errorf("window %d: a first attempt has until %d", window, a.LastByteBy-now)
						}
					} else if most := first + window - window/20; a.LastByteBy <= now || a.LastByteBy > max(most, first+window-dedupTransitTime) {
						t.Errorf("window %d: a repeat %d after the first has until %d", window, now-first, a.LastByteBy-first)
					}
					events = append(events, Event{Kind: EvAttemptEnded, Message: 1, Attempt: a.Attempt, Endpoint: a.Endpoint, Outcome: Failed, Latency: 1000})
					events[len(events)-1].Attempt = sends - 1
				case ActReject, ActFail:
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
