package relay

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"troutusher/internal/console"
	"troutusher/internal/core"
	"troutusher/internal/upstream/upstreamtest"
)

// Guards the texts of replies to valid commands, and the form of replies that the core decides on.
func TestAnswersToClients(t *testing.T) {
	_, addr, _ := serveClients(t, acceptRequest)
	for text, want := range map[string]string{
		pingText:                           "+PONG",
		"*2\r\n$4\r\nping\r\n$2\r\nhi\r\n": "$2",
		encodePut("m", putFields("plain", 8000, 1), nil): "+OK",
	} {
		client := dialClient(t, addr)
		client.send(text)
		if got := client.readLine(); got != want {
			t.Errorf("reply to command %q = %q, want %q", text, got, want)
		}
	}
	for want, reply := range map[string]core.Reply{
		"+OK\r\n":         {OK: true},
		"-BUSY 7\r\n":     {RetryAfterMS: 7},
		"-BUSY\r\n":       {},
		"-ERR a??b??\r\n": {Err: errors.New("a\r\nb\x7f\u0080")},
	} {
		if got := replyText(reply); got != want {
			t.Errorf("replyText(%+v) = %q, want %q", reply, got, want)
		}
	}
}

// Guards the texts of the console's answers and the names and units of its metrics, before, during
// and after a drain, and the replies to clients during the drain.
func TestConsoleAnswers(t *testing.T) {
	endpoint := newFakeEndpoint(t, nil)
	env := testConfig(t, newFakeDiscovery(t, endpoint.member("s-1", 1)), 3)
	env["ROUTER_CONSOLE"] = freeAddr(t)
	startChild(t, env)
	var got strings.Builder
	for _, call := range strings.Fields("READY DRAIN DRAIN READY PING PUT UNDRAIN UNDRAIN PING READY STOP") {
		var answer string
		switch call {
		case "PING":
			client := dialClient(t, env["ROUTER_LISTEN"])
			client.send(pingText)
			answer = client.readLine()
		case "PUT":
			answer = dialClient(t, env["ROUTER_LISTEN"]).put("m", putFields("plain", 8000, 9), nil)
		default:
			answer = mustCall(t, env["ROUTER_CONSOLE"], call)
		}
		fmt.Fprintf(&got, "%s: %q\n", call, answer)
	}
	r := &Relay{stats: console.NewStats(classNames(testConfigParsed(t)))}
	r.consoleTLSPeers.Store(upstreamtest.NewTLSSite(t, nil).Dialer)
	for _, stats := range []string{mustCall(t, env["ROUTER_CONSOLE"], "STATS"), string(r.appendStats(nil))} {
		for line := range strings.Lines(stats) {
			name, rest, _ := strings.Cut(strings.TrimSpace(line), ":")
			_, unit, _ := strings.Cut(rest, "|")
			fmt.Fprintf(&got, "STATS %s %s\n", name, unit)
		}
	}
	compareWithFixture(t, "console.txt", got.String())
}
