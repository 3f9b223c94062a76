package policy

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"unicode/utf8"
)

// policyFiles are the files that hold a choice, as the deploy file lists them.
func policyFiles(t *testing.T) []string {
	t.Helper()
	text, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	list := regexp.MustCompile(`(?m)^policy = \[(.*)\]$`).FindStringSubmatch(string(text))
	if list == nil {
		t.Fatal("the deploy file lists no policy files")
	}
	var files []string
	for _, quoted := range strings.Split(list[1], ",") {
		files = append(files, strings.TrimPrefix(strings.Trim(quoted, ` "`), "policy/"))
	}
	return files
}

// TestLimits holds the limits on the text of the files that hold a choice: their lines that are not blank, all
// together, and the width of a line.
func TestLimits(t *testing.T) {
	const maxLines, maxColumns = 1200, 110
	total := 0
	for _, file := range policyFiles(t) {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(line) != "" {
				total++
			}
			if width := utf8.RuneCountInString(strings.ReplaceAll(line, "\t", "    ")); width > maxColumns {
				t.Errorf("%s:%d has %d columns", file, i+1, width)
			}
		}
	}
	if total > maxLines {
		t.Errorf("%d lines that are not blank, at most %d", total, maxLines)
	}
	text, err := os.ReadFile("engine.go")
	if err != nil {
		t.Fatal(err)
	}
	if first := strings.SplitAfterN(string(text), "\n", 4); !strings.Contains(strings.Join(first[:3], ""), "api.go") {
		t.Error("the first lines of the package's comment do not name api.go")
	}
}

// guard is a condition of the engine: its text, what stands in its place in a mutant, and the test that must fail for
// that.
type guard struct{ name, text, replacement, test string }

var guards = []guard{
	{"drain", "ep.state != Ready || ep.identityRejectedUntil", "ep.identityRejectedUntil", "TestRules"},
	{"identity", "ep.identityRejectedUntil > now || ep.limiter", "ep.limiter", "TestIdentityRejected"},
	{
		"cost of a connection",
		"endpoint.requiredTokens * (1 + e.nextConnectCost(endpoint))",
		"endpoint.requiredTokens",
		"TestConnectCostIsPaid",
	},
	{"recovering", "Recovering: call.endpoint.unhealthy", "Recovering: false", "TestSendTellsOfRecovery"},
	{
		"connections opened", "e.settleConnectCost(call, event)", "_ = e.settleConnectCost",
		"TestConnectCostIsSettled",
	},
	{
		"burst of a connection", "depth = max(depth, 1+endpoint.connectCost)", "_ = 0",
		"TestRecoveryBudgetWithConnections",
	},
	{"retry after", " || ep.limiter.retryAfterUntil > now ||\n", " ||\n", "TestRules"},
	{
		"non-idempotent", "if message.firstUncertainAt == 0 || message.class.Idempotency == Idempotent {",
		"if message.firstUncertainAt == 0 || message.class.Idempotency != IdempotentByKey {", "TestRules",
	},
	{"dedup window", " || e.now >= e.lastByteDeadline(message)", "", "TestRules"},
	{
		"dedup window of a late connection", "LastByteBy: e.lastByteDeadline(message),", "LastByteBy: 0,",
		"TestRetriesStayInDedupWindow",
	},
	{
		"transit of a retry", "max(2*e.settings.TickInterval, min(dedupTransitTime, window/20))",
		"2 * e.settings.TickInterval", "TestRetriesStayInDedupWindow",
	},
	{"dedup zone", "class.DedupPerZone && endpoint.zone != message.firstUncertainZone", "false", "TestRules"},
	{"order", "queue.first() != message || ", "", "TestRules"},
	{"backoff of a key", "message.attempts == 0 && queue.backoffUntil > e.now", "false", "TestRules"},
	{"answer in time", "inTime && (message.call", "(message.call", "TestRules"},
	{"attempts", "limit > 0 && counted >= limit", "limit > 0 && counted < 0", "TestRules"},
	{
		"attempts not sent",
		"if event.NotCounted && message.uncountedAttempts < e.settings.MaxAttempts {",
		"if false {",
		"TestUnsentAttemptsNotCounted",
	},
	{
		"attempts never sent",
		"event.NotCounted && message.uncountedAttempts < e.settings.MaxAttempts",
		"event.NotCounted",
		"TestUnsentAttemptsNotCounted",
	},
	{
		"untried first", "if message.recoveredUntried && message.deadline > soonest {", "if false {",
		"TestRecoveredUntriedGoFirst",
	},
	{
		"untried kept", "!e.rejectable(message) || message.recoveredUntried", "!e.rejectable(message)",
		"TestRecoveredUntriedGoFirst",
	},
	{
		"untried until tried", "message.recoveredUntried = message.recoveredUntried && event.NotCounted", "_ = 0",
		"TestRecoveredUntriedGoFirst",
	},
	{
		"rejection", "return class.Idempotency == IdempotentByKey && !class.DedupPerZone",
		"return class.Idempotency == IdempotentByKey", "TestRules",
	},
	{"budget", "budget.depth) >= budget.cost", "budget.depth) >= -99", "TestRecoveryBudget"},
	{"outage", "failed.unhealthy || !mostFail", "true", "TestPartialSuccessKeepsRecoveryBudget"},
	{
		"cancellation", "e.cancelOverdueCall(call)\n\t}\n\tlimiter.rateBound", "}\n\tlimiter.rateBound",
		"TestOverdueCallsAreCancelled",
	},
}

const mutantVariable = "POLICY_MUTANT" // set where the tests of a mutant run

// TestGuardsMatter takes one guard at a time out of a copy of the module and expects its test to fail: the checker
// can tell, and no second path hides the loss.
func TestGuardsMatter(t *testing.T) {
	if os.Getenv(mutantVariable) != "" {
		t.Skip("a mutant does not mutate")
	}
	goTool, err := exec.LookPath("go")
	if err != nil {
		t.Fatal("the go tool is needed: ", err)
	}
	t.Run("none", func(t *testing.T) {
		t.Parallel()
		dir := copyModule(t)
		out, err := testMutant(goTool, dir, "TestRules|TestRecoveryBudget|TestOverdueCallsAreCancelled")
		if err != nil {
			t.Fatalf("the copy itself fails:\n%s", out)
		}
	})
	for _, guard := range guards {
		t.Run(guard.name, func(t *testing.T) {
			t.Parallel()
			dir := copyModule(t)
			removeGuard(t, dir, guard)
			switch out, err := testMutant(goTool, dir, guard.test); {
			case err == nil:
				t.Fatalf("without the guard %s still passes", guard.test)
			case !strings.Contains(out, "--- FAIL"):
				t.Fatalf("the mutant does not build:\n%s", out)
			}
		})
	}
}

// copyModule copies the package into a module of its own.
func copyModule(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		if file == "example_test.go" {
			continue // it imports the module by name
		}
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, file), text, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.WriteFile(filepath.Join(dir, "go.mod"), []byte("module mutant\n\ngo 1.24\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	return dir
}

// removeGuard replaces the text of a guard, which stands once in the files that hold a choice.
func removeGuard(t *testing.T, dir string, guard guard) {
	t.Helper()
	found := 0
	for _, file := range policyFiles(t) {
		path := filepath.Join(dir, file)
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		count := strings.Count(string(text), guard.text)
		if count == 0 {
			continue
		}
		found += count
		mutated := strings.Replace(string(text), guard.text, guard.replacement, 1)
		if err := os.WriteFile(path, []byte(mutated), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if found != 1 {
		t.Fatalf("%q stands %d times in the files that hold a choice", guard.text, found)
	}
}

// testMutant runs tests of a copy, and gives what they print.
func testMutant(goTool, dir, tests string) (string, error) {
	cmd := exec.Command(goTool, "test", "-vet=off", "-run", "^("+tests+")$", ".")
	cmd.Dir = dir
	cmd.Env = append(os.Environ(), mutantVariable+"=1", "GOFLAGS=", "GOWORK=off")
	out, err := cmd.CombinedOutput()
	return string(out), err
}
