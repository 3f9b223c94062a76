package relay

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"troutusher/internal/config"
	"troutusher/internal/operatorconfig"
)

// Guards the listening addresses in the operator file: a relay must listen on all of them, beside
// its own, and must not start with an invalid operator file.
func TestOperatorFileListeners(t *testing.T) {
	env := testConfig(t, newFakeDiscovery(t), 3)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	secondAddr := ln.Addr().String()
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "operator.toml")
	env[operatorconfig.EnvVar] = path
	if err := os.WriteFile(path, []byte("[clients]\nlisten = [\""+secondAddr+"\"]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	startChild(t, env)
	for _, addr := range []string{env["ROUTER_LISTEN"], secondAddr} {
		client := dialClient(t, addr)
		client.send(pingText)
		if s := client.readLine(); s != "+PONG" {
			t.Errorf("PING on %s = %q, want +PONG", addr, s)
		}
	}
	if err := os.WriteFile(path, []byte("[clients]\nidle_s = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err = config.Load(func(k string) string { return env[k] })
	if err == nil || !strings.Contains(err.Error(), ":2: clients.idle_s: 1, want 2 to 86400") {
		t.Errorf("config.Load() with an invalid operator file: error %v, want one with line 2 and the range", err)
	}
}
