package relay

import (
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"troutusher/internal/operatorconfig"
)

// A bad value stops the start, and the error names its key.
func TestBadConfig(t *testing.T) {
	good := `{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","state":"/x","seed":"1f",
		"limits":{"cores":1,"memory_mb":64,"sockets":256,"disk_mb":2},"settings":` + testSettings + `}`
	for name, x := range map[string]struct{ old, new, key string }{
		"no name":       {`"name":"n1",`, ``, "name"},
		"no port":       {`"listen":"127.0.0.1:1"`, `"listen":"127.0.0.1"`, "listen"},
		"discovery":     {`"discovery":"127.0.0.1:2"`, `"discovery":"x"`, "discovery"},
		"no state":      {`"state":"/x",`, ``, "state"},
		"seed":          {`"seed":"1f"`, `"seed":"zz"`, "seed"},
		"no seed":       {`"seed":"1f",`, ``, "seed"},
		"sockets":       {`"sockets":256`, `"sockets":3`, "limits.sockets"},
		"memory":        {`"memory_mb":64`, `"memory_mb":"much"`, "memory_mb"},
		"disk":          {`"disk_mb":2`, `"disk_mb":-2`, "limits.disk_mb"},
		"slots":         {`"calls_out":16`, `"calls_out":0`, "Slots"},
		"class repeat":  {`"repeat":"fragile"`, `"repeat":"maybe"`, "classes[2].repeat"},
		"class time":    {`"deadline_us":20000000,"dedup_window_us":20000000`, `"deadline_us":0`, "Classes[1].Deadline"},
		"type":          {`"balancers":1`, `"balancers":"one"`, "balancers"},
		"localities":    {`"localities":["a","b"]`, `"localities":7`, "localities"},
		"not json":      {`{"name"`, `{name`, "config"},
		"no settings":   {`"settings"`, `"setting"`, "settings"},
		"negative time": {`"drain_grace_us":2000000`, `"drain_grace_us":-1`, "DrainGrace"},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(good, x.old, x.new, 1)
			if text == good {
				t.Fatal("nothing was changed")
			}
			_, err := parseConfig([]byte(text), func(string) string { return "" }, false)
			if err == nil || !strings.Contains(err.Error(), x.key) {
				t.Errorf("error %v, want one that names %s", err, x.key)
			}
		})
	}
	c, err := parseConfig([]byte(good), func(k string) string { return map[string]string{"ROUTER_STATE": "/y"}[k] }, false)
	if err != nil || c.State != "/y" || c.Seed != 0x1f || c.Policy.MaxConcurrentCalls != 16 || c.Policy.StreamsPerConnection != 1 || c.Zones["b"] != 1 || c.Classes["once"] != 2 {
		t.Errorf("got %+v, %v", c, err)
	}
	clients, endpoints := c.DescriptorBudget()
	if clients+endpoints+ReservedDescriptors > 256 || endpoints < c.Policy.MaxConcurrentCalls {
		t.Errorf("budget %d and %d of 256", clients, endpoints)
	}
}

// What the operator's file says comes before what follows from the limits, and
// never leaves the calls out without descriptors.
func TestOperatorFileOverrides(t *testing.T) {
	c := testConfigParsed(t)
	before := c.ServerOptions()
	if err := c.applyClientSettings(&operatorconfig.Clients{Descriptors: 900, MaxConns: 700, MaxUnvalidated: 650, SingleUseEvictionThreshold: 690, IdleTimeoutS: 60, MemoryMB: 3}); err != nil {
		t.Fatal(err)
	}
	o := c.ServerOptions()
	l := o.Limits
	if l.MaxConns != 700 || l.MaxUnvalidated != 650 || l.SingleUseEvictionThreshold != 690 || l.IdleTimeout != 60e6 || o.MemoryLimit != 3<<20 || l.FirstCommandTimeout != before.Limits.FirstCommandTimeout {
		t.Errorf("%+v, %d", l, o.MemoryLimit)
	}
	clients, endpoints := c.DescriptorBudget()
	if clients != 700 || clients+endpoints+ReservedDescriptors != 900 || endpoints < c.Policy.MaxConcurrentCalls {
		t.Errorf("budget %d and %d of 900", clients, endpoints)
	}
	for key, bad := range map[string]operatorconfig.Clients{"clients.places": {Descriptors: 900, MaxConns: 900 - ReservedDescriptors - c.Policy.MaxConcurrentCalls},
		"clients.descriptors": {Descriptors: operatorconfig.MaxDescriptors}} {
		if err := testConfigParsed(t).applyClientSettings(&bad); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: %v", key, err)
		}
	}
}

// A relay that is started with the file listens on all of its addresses; one
// with a wrong file does not start.
func TestOperatorFileListeners(t *testing.T) {
	env := testConfig(t, newFakeDiscovery(t), 3)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	second := ln.Addr().String()
	ln.Close()
	path := filepath.Join(t.TempDir(), "operator.toml")
	env[operatorconfig.EnvVar] = path
	if err := os.WriteFile(path, []byte("[clients]\nlisten = [\""+second+"\"]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	startChild(t, env)
	for _, addr := range []string{env["ROUTER_LISTEN"], second} {
		cl := dialClient(t, addr)
		io.WriteString(cl, "*1\r\n$4\r\nPING\r\n")
		if s := cl.readLine(); s != "+PONG" {
			t.Errorf("%s: %q", addr, s)
		}
	}
	if err := os.WriteFile(path, []byte("[clients]\nidle_s = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err = LoadConfig(func(k string) string { return env[k] })
	if err == nil || !strings.Contains(err.Error(), ":2: clients.idle_s: 1, want 2 to 86400") {
		t.Errorf("error %v", err)
	}
}
