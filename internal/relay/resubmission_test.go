package relay

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// Guards against a second run of a message that comes again after its client has left: it has been delivered
// meanwhile, here or by the process that this one has replaced.
func TestDeliveredMessageComesAgain(t *testing.T) {
	endpoint := newFakeEndpoint(t, nil)
	env := testConfig(t, newFakeDiscovery(t, endpoint.member("s-1", 1)), 3)
	current := startAndWait(t, env)
	submit := func(id, class string) {
		client := dialClient(t, env["ROUTER_LISTEN"])
		client.mustPut(id, putFields(class, 20000, 1), nil)
		if err := client.Close(); err != nil {
			t.Error(err)
		}
	}
	for _, class := range []string{"once", "keyed", "plain"} {
		for upgrades := range 3 {
			id := fmt.Sprintf("%s-%d", class, upgrades)
			submit(id, class)
			waitFor(t, "the call of "+id, func() bool { return endpoint.count(id) == 1 })
			waitFor(t, "the end of "+id, func() bool { return readStats(t, current.console())["current"] == 0 })
			for range upgrades {
				current = upgrade(t, current)
			}
			submit(id, class)
			submit(id+"-next", class)
			waitFor(t, "the call of the next message", func() bool { return endpoint.count(id+"-next") == 1 })
			if n := endpoint.count(id); n != 1 {
				t.Errorf("calls of message %s, submitted again after %d upgrades = %d, want 1", id, upgrades, n)
			}
		}
	}
}

// Guards against a second run of a message that must not be repeated: it has been given up, may have run,
// and comes again.
func TestGivenUpMessageComesAgain(t *testing.T) {
	endpoint := newFakeEndpoint(t, hang)
	discovery := newFakeDiscovery(t, endpoint.member("s-1", 1))
	env := testConfig(t, discovery, 3)
	startChild(t, env)
	client := dialClient(t, env["ROUTER_LISTEN"])
	client.mustPut("m", putFields("once", 300, 1), nil)
	waitFor(t, "the notice of message m", func() bool {
		notice, found := discovery.Notice("m")
		return found && notice.Outcome == "given_up"
	})
	if reply := client.put("m", putFields("once", 20000, 1), nil); reply != "-ERR given up" {
		t.Errorf("reply to message m, which may have run = %q, want -ERR given up", reply)
	}
	client.mustPut("next", putFields("once", 300, 1), nil)
	waitFor(t, "the end of the next message", func() bool {
		_, found := discovery.Notice("next")
		return found
	})
	if n := endpoint.count("m"); n != 1 {
		t.Errorf("calls of message m = %d, want 1", n)
	}
}

// Guards against messages of clients that have left: they wrote many requests and closed their connections
// while the process was stopped, or while a successor took over. None may be sent on.
func TestRequestsOfClosedClientsAreNotSent(t *testing.T) {
	for name, writeAndClose := range map[string]func(t *testing.T, relay *child, write func()) (current *child){
		"process stopped": func(t *testing.T, relay *child, write func()) *child {
			relay.signal(t, syscall.SIGSTOP)
			waitFor(t, "the process to stop", func() bool { return processState(t, relay.cmd.Process.Pid) == 'T' })
			write()
			relay.signal(t, syscall.SIGCONT)
			return relay
		},
		"upgrade": func(t *testing.T, relay *child, write func()) *child {
			resumeFile := filepath.Join(t.TempDir(), "go")
			successor := startPeer(t, withFailpoint(relay.env, failpointIncomingAllReceived+"=WAIT:"+resumeFile))
			waitFor(t, "the successor to receive the state", func() bool {
				_, err := os.Stat(resumeFile + ".at")
				return err == nil
			})
			write()
			if err := os.WriteFile(resumeFile, nil, 0o600); err != nil {
				t.Fatal(err)
			}
			waitFor(t, "the successor to be ready", successor.isReady)
			return successor
		},
	} {
		t.Run(name, func(t *testing.T) {
			const clientCount, requests = 20, 50
			endpoint := newFakeEndpoint(t, nil)
			env := testConfig(t, newFakeDiscovery(t, endpoint.member("s-1", 1)), 3)
			relay := startAndWait(t, env)
			var clients []*testClient
			for n := range clientCount {
				client := dialClient(t, env["ROUTER_LISTEN"])
				client.mustPut(fmt.Sprintf("before-%d", n), putFields("plain", 20000, 1), nil)
				clients = append(clients, client)
			}
			waitFor(t, "the first messages", func() bool { return endpoint.callCount() == clientCount })
			current := writeAndClose(t, relay, func() {
				for n, client := range clients {
					client.send(requestsOf(n, requests))
					if err := client.Close(); err != nil {
						t.Error(err)
					}
				}
			})
			waitFor(t, "the closed connections to be noticed", func() bool {
				return readStats(t, current.console())["current"] == 0
			})
			client := dialClient(t, env["ROUTER_LISTEN"])
			client.mustPut("after", putFields("plain", 20000, 1), nil)
			waitFor(t, "the call of the next message", func() bool { return endpoint.count("after") == 1 })
			if n := endpoint.callCount(); n != clientCount+1 {
				t.Errorf("%d calls, want %d: the requests of closed clients were sent on", n, clientCount+1)
			}
		})
	}
}

// requestsOf returns a number of requests that a client writes at once.
func requestsOf(client, count int) string {
	var text strings.Builder
	for n := range count {
		text.WriteString(encodePut(fmt.Sprintf("closed-%d-%d", client, n), putFields("once", 20000, 1), []byte("body")))
	}
	return text.String()
}

// processState returns the state of a process, as in /proc: R, S, T and others.
func processState(t *testing.T, pid int) byte {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, fields, found := strings.Cut(string(text), ") ")
	if !found || fields == "" {
		t.Fatalf("state of process %d = %q, want one in /proc", pid, text)
	}
	return fields[0]
}
