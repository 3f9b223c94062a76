package relay

import (
	"strings"
	"testing"
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
	if err != nil || c.State != "/y" || c.Seed != 0x1f || c.Policy.Slots != 16 || c.Policy.Streams != 1 || c.zones["b"] != 1 || c.classes["once"] != 2 {
		t.Errorf("got %+v, %v", c, err)
	}
	clients, endpoints := c.budget()
	if clients+endpoints+ownSockets > 256 || endpoints < c.Policy.Slots {
		t.Errorf("budget %d and %d of 256", clients, endpoints)
	}
}
