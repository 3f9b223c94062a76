package relay

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"troutusher/internal/core"
	"troutusher/internal/emulator/loopback"
)

const testSettings = `{"accounts":[{"name":"acme","quota_per_s":1000,"share":1}],"balancers":1,
 "classes":[
  {"deadline_us":20000000,"dedup_window_us":5000000,"group":"all",
   "late_worth":0.1,"name":"plain","repeat":"retryable","target_us":1500000,"worth":1},
  {"deadline_us":20000000,"dedup_window_us":20000000,"group":"all",
   "late_worth":0.3,"name":"keyed","repeat":"dedup","target_us":3000000,"worth":1},
  {"deadline_us":20000000,"dedup_window_us":5000000,"group":"all",
   "late_worth":0.4,"name":"once","repeat":"fragile","target_us":3000000,"worth":3}],
 "discovery":"pushed","kinds":["k"],"localities":["a","b"],
 "limits":{"connect_timeout_us":1500000,"keepalive_us":10000000,"max_retry_after_us":2000000,"may_cancel":true,
  "most_held":100,"most_tries":8,"probing":true,"retry_after":true,"streams_per_conn":8},
 "safety":{"answer_slack_us":20000,"drain_grace_us":2000000,"fall_us":2000000,"overload_factor":1.5,
  "ramp_time_us":13000000,"start_capacity":0.26},
 "specifics":{"calls_out":16,"kind_batch":[1],"late":"linear","own_limits":[false]},
 "report":{"fields":[],"how":"none"},
 "tick_us":5000,"value_by":"request","weights":"nominal","zone":0}`

// waitFor polls until a condition holds and fails the test after 30 s. Tests use it in place of
// fixed delays.
func waitFor(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out after 30 s waiting for %s", what)
}

func quietLog() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// testConfig writes a configuration, with known as its endpoint list, and returns the environment
// of a relay that uses it.
func testConfig(t testing.TB, discovery *fakeDiscovery, diskMB int, known ...core.Member) map[string]string {
	t.Helper()
	listen := freeAddr(t)
	dir := t.TempDir()
	state := filepath.Join(dir, "state")
	if err := os.Mkdir(state, 0o700); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "config.json")
	list := ""
	if len(known) > 0 {
		text, err := json.Marshal(core.EndpointList{Revision: 1, Complete: true, Members: known})
		if err != nil {
			t.Fatal(err)
		}
		list = `"known":` + string(text) + ","
	}
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","surplus":1,`+list+`
		"limits":{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":%d},"settings":%s}`,
		listen, discovery.Addr(), diskMB, testSettings)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return map[string]string{
		"ROUTER_CONFIG": path, "ROUTER_STATE": state, "ROUTER_LISTEN": listen,
		"ROUTER_DISCOVERY": discovery.Addr(), "ROUTER_NAME": "n1",
	}
}

// freeAddr returns an address that no other server gets until the end of the test, so that a relay of the test can
// listen on it, also after a restart.
func freeAddr(t testing.TB) string {
	t.Helper()
	port, err := loopback.ReservePort()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = port.Close() }) // a relay that still listens keeps the port
	return port.Addr()
}

// rewriteConfig applies a change to the text of the configuration file.
func rewriteConfig(t *testing.T, env map[string]string, change func(string) string) {
	t.Helper()
	path := env["ROUTER_CONFIG"]
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(change(string(text))), 0o600); err != nil {
		t.Fatal(err)
	}
}

// setKnownList replaces the endpoint list in the configuration file.
func setKnownList(t *testing.T, env map[string]string, list *core.EndpointList) {
	t.Helper()
	rewriteConfig(t, env, func(text string) string {
		var cfg map[string]any
		if err := json.Unmarshal([]byte(text), &cfg); err != nil {
			t.Fatal(err)
		}
		cfg["known"] = list
		changed, err := json.Marshal(cfg)
		if err != nil {
			t.Fatal(err)
		}
		return string(changed)
	})
}

// replaceDiscovery returns a change for rewriteConfig: it replaces the discovery address from by
// that of d.
func replaceDiscovery(d *fakeDiscovery, from string) func(string) string {
	return func(text string) string {
		return strings.Replace(text, fmt.Sprintf(`"discovery":%q`, from), fmt.Sprintf(`"discovery":%q`, d.Addr()), 1)
	}
}

// unreachableMember returns a draining endpoint. Through it a destination is in the endpoint list
// but has no endpoint that can be called.
func unreachableMember(id string, dest int) core.Member {
	return core.Member{ID: id, HostPort: "127.0.0.1:1", Dest: dest, Phase: core.Draining}
}

// folderSize returns the sum of the sizes of a folder's files, each rounded up to blocks of 512
// bytes.
func folderSize(t *testing.T, dir string) (sum int64) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		if info, err := e.Info(); err == nil {
			sum += (info.Size() + 511) / 512 * 512
		}
	}
	return sum
}
