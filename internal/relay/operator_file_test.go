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

// A relay that is started with the file listens on all of its addresses; one
// with a wrong file does not start.
func TestOperatorFileListeners(t *testing.T) {
	env := testConfig(t, newFakeDiscovery(t), 3)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	second := ln.Addr().String()
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "operator.toml")
	env[operatorconfig.EnvVar] = path
	if err := os.WriteFile(path, []byte("[clients]\nlisten = [\""+second+"\"]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	startChild(t, env)
	for _, addr := range []string{env["ROUTER_LISTEN"], second} {
		cl := dialClient(t, addr)
		cl.send(pingText)
		if s := cl.readLine(); s != "+PONG" {
			t.Errorf("%s: %q", addr, s)
		}
	}
	if err := os.WriteFile(path, []byte("[clients]\nidle_s = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err = config.Load(func(k string) string { return env[k] })
	if err == nil || !strings.Contains(err.Error(), ":2: clients.idle_s: 1, want 2 to 86400") {
		t.Errorf("error %v", err)
	}
}
