package relay

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"troutusher/internal/config"
	"troutusher/internal/core"
	"troutusher/internal/discovery/discoverytest"
)

// childProcessEnv makes the test's own program a relay, so that a test can kill one.
const childProcessEnv = "TROUTUSHER_TEST_CHILD"

// firstListTimeoutEnv is how long a child's first calls wait for discovery, and how
// long a watch may be silent there.
const firstListTimeoutEnv = "TROUTUSHER_TEST_FIRST_LIST"

// failpointEnv has something happen to a child at a point of the seam: POINT=WHAT. WHAT
// is KILL, TERM or HUP (the child has that signal, and goes on once it has been
// heard), HUP:FILE (likewise, with the file in the configuration's place), or
// WAIT:FILE (it stops until there is such a file, and makes FILE.at as it does).
const failpointEnv = "TROUTUSHER_TEST_CROSS"

func setFailpoint(text string, term context.Context, read <-chan struct{}) {
	point, what, _ := strings.Cut(text, "=")
	what, file, _ := strings.Cut(what, ":")
	self, once := os.Getpid(), false
	failpoint = func(at string) {
		if at != point || once {
			return
		}
		once = true
		switch what {
		case "KILL":
			syscall.Kill(self, syscall.SIGKILL)
			select {}
		case "TERM":
			syscall.Kill(self, syscall.SIGTERM)
			<-term.Done()
		case "HUP":
			if file != "" {
				os.Rename(file, os.Getenv("ROUTER_CONFIG"))
			}
			syscall.Kill(self, syscall.SIGHUP)
			<-read
		case "WAIT":
			os.WriteFile(file+".at", nil, 0o600)
			for _, err := os.Stat(file); err != nil; _, err = os.Stat(file) {
				time.Sleep(time.Millisecond)
			}
		}
	}
}

func TestMain(m *testing.M) {
	if os.Getenv(helperEnv) != "" {
		os.Exit(helperMain())
	}
	if os.Getenv(childProcessEnv) == "" {
		os.Exit(m.Run())
	}
	if d, err := time.ParseDuration(os.Getenv(firstListTimeoutEnv)); err == nil {
		firstListTimeout, watchSilenceTimeout = d, d
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		log.Error("child", "err", err)
		os.Exit(2)
	}
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	read := make(chan struct{}, 16)
	re := ReloadRequests{Signals: hup, Load: func() (*config.Config, error) {
		cfg, err := config.Reload(os.Getenv)
		read <- struct{}{}
		return cfg, err
	}}
	if at := os.Getenv(failpointEnv); at != "" {
		setFailpoint(at, ctx, read)
	}
	err = Run(cfg, log, ctx.Done(), re)
	if err != nil {
		log.Error("child", "err", err)
		os.Exit(1)
	}
	os.Exit(0)
}

const testSettings = `{"accounts":[{"name":"acme","quota_per_s":1000,"share":1}],"balancers":1,
 "classes":[
  {"deadline_us":20000000,"dedup_window_us":5000000,"group":"all","late_worth":0.1,"name":"plain","repeat":"retryable","target_us":1500000,"worth":1},
  {"deadline_us":20000000,"dedup_window_us":20000000,"group":"all","late_worth":0.3,"name":"keyed","repeat":"dedup","target_us":3000000,"worth":1},
  {"deadline_us":20000000,"dedup_window_us":5000000,"group":"all","late_worth":0.4,"name":"once","repeat":"fragile","target_us":3000000,"worth":3}],
 "discovery":"pushed","kinds":["k"],"localities":["a","b"],
 "limits":{"connect_timeout_us":1500000,"keepalive_us":10000000,"max_retry_after_us":2000000,"may_cancel":true,
  "most_held":100,"most_tries":8,"probing":true,"retry_after":true,"streams_per_conn":8},
 "safety":{"answer_slack_us":20000,"drain_grace_us":2000000,"fall_us":2000000,"overload_factor":1.5,"ramp_time_us":13000000,"start_capacity":0.26},
 "specifics":{"calls_out":16,"kind_batch":[1],"late":"linear","own_limits":[false]},
 "report":{"fields":[],"how":"none"},
 "tick_us":5000,"value_by":"request","weights":"nominal","zone":0}`

// waitFor waits for a condition, never for a time.
func waitFor(t testing.TB, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if cond() {
			return
		}
	}
	t.Fatalf("never came: %s", what)
}

func quietLog() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// fakeDiscovery is the agent on a relay's machine.
type fakeDiscovery = discoverytest.Agent

func newFakeDiscovery(t testing.TB, members ...core.Member) *fakeDiscovery {
	t.Helper()
	return discoverytest.New(t, members...)
}

// fakeEndpoint answers calls by a function and keeps what came.
type fakeEndpoint struct {
	*httptest.Server
	mu      sync.Mutex
	calls   []receivedCall
	handler func(w http.ResponseWriter, r *http.Request, n int)
}

type receivedCall struct {
	id, key, timeout string
	body             []byte
}

func newFakeEndpoint(t testing.TB, answer func(w http.ResponseWriter, r *http.Request, n int)) *fakeEndpoint {
	e := &fakeEndpoint{handler: answer}
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		e.mu.Lock()
		e.calls = append(e.calls, receivedCall{r.Header.Get("X-Request-ID"), r.Header.Get("Idempotency-Key"), r.Header.Get("X-Timeout-Ms"), body})
		n, answer := len(e.calls), e.handler
		e.mu.Unlock()
		if answer != nil {
			answer(w, r, n)
		}
	}))
	t.Cleanup(func() { e.CloseClientConnections(); e.Close() })
	return e
}

// hang holds a call until its caller is gone.
func hang(_ http.ResponseWriter, r *http.Request, _ int) { <-r.Context().Done() }

func respondStatus(code int) func(http.ResponseWriter, *http.Request, int) {
	return func(w http.ResponseWriter, _ *http.Request, _ int) { w.WriteHeader(code) }
}

func (e *fakeEndpoint) addr() string { return e.Listener.Addr().String() }

func (e *fakeEndpoint) setHandler(answer func(http.ResponseWriter, *http.Request, int)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handler = answer
}

func (e *fakeEndpoint) count(id string) (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.calls {
		if c.id == id {
			n++
		}
	}
	return n
}

func (e *fakeEndpoint) member(id string, cell int) core.Member {
	return core.Member{ID: id, HostPort: e.addr(), Locality: "a", Flavor: "k", Dest: cell, Phase: core.Up, Rate: 1000}
}

// testConfig writes a configuration and returns the environment that names it.
func testConfig(t testing.TB, d *fakeDiscovery, diskMB int, known ...core.Member) map[string]string {
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
		"limits":{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":%d},"settings":%s}`, listen, d.Addr(), diskMB, testSettings)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return map[string]string{"ROUTER_CONFIG": path, "ROUTER_STATE": state, "ROUTER_LISTEN": listen,
		"ROUTER_DISCOVERY": d.Addr(), "ROUTER_NAME": "n1"}
}

// child is a relay in a process of its own.
type child struct {
	cmd    *exec.Cmd
	env    map[string]string
	exited chan error // of those that another starts
}

func startChild(t testing.TB, env map[string]string) *child {
	t.Helper()
	c := &child{cmd: exec.Command(os.Args[0]), env: env}
	c.cmd.Env = append(os.Environ(), childProcessEnv+"=1")
	for k, v := range env {
		c.cmd.Env = append(c.cmd.Env, k+"="+v)
	}
	c.cmd.Stderr = testWriter{t}
	if err := c.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.cmd.Process.Kill(); c.cmd.Wait() })
	c.waitReady(t)
	return c
}

type testWriter struct{ t testing.TB }

func (w testWriter) Write(p []byte) (int, error) { os.Stderr.Write(p); return len(p), nil }

func (c *child) waitReady(t testing.TB) {
	t.Helper()
	waitFor(t, "PONG", func() bool {
		conn, err := net.Dial("tcp", c.env["ROUTER_LISTEN"])
		if err != nil {
			return false
		}
		defer conn.Close()
		io.WriteString(conn, "*1\r\n$4\r\nPING\r\n")
		s, _ := bufio.NewReader(conn).ReadString('\n')
		return s == "+PONG\r\n"
	})
}

func (c *child) kill() { c.cmd.Process.Kill(); c.cmd.Wait() }

// testClient hands messages in over one connection.
type testClient struct {
	t testing.TB
	net.Conn
	reader *bufio.Reader
}

func dialClient(t testing.TB, addr string) *testClient {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(30 * time.Second))
	return &testClient{t, conn, bufio.NewReader(conn)}
}

func encodePut(id, fields string, body []byte) string {
	var b strings.Builder
	b.WriteString("*5\r\n")
	for _, s := range []string{"MSG.PUT", "0000000000000000", id, fields, string(body)} {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(s), s)
	}
	return b.String()
}

func (c *testClient) put(id, fields string, body []byte) string {
	c.t.Helper()
	io.WriteString(c, encodePut(id, fields, body))
	return c.readLine()
}

func (c *testClient) readLine() string {
	c.t.Helper()
	s, err := c.reader.ReadString('\n')
	if err != nil {
		c.t.Fatalf("no answer: %v", err)
	}
	return strings.TrimSuffix(s, "\r\n")
}

func putFields(class string, deadlineMS int, dest int) string {
	s := fmt.Sprintf("c=%s,t=acme,d=%d,dest=%d", class, deadlineMS, dest)
	if class == "keyed" {
		s += ",k=5c0f6e1a2b3d4c59"
	}
	return s
}
