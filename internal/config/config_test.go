package config

import (
	"strings"
	"testing"

	"troutusher/internal/operatorconfig"
)

const testSettings = `{"accounts":[{"name":"acme","quota_per_s":1000,"share":1}],"balancers":1,
 "classes":[
  {"deadline_us":20000000,"dedup_window_us":5000000,"group":"all","late_worth":0.1,"name":"plain",
   "repeat":"retryable","target_us":1500000,"worth":1},
  {"deadline_us":20000000,"dedup_window_us":20000000,"group":"all","late_worth":0.3,"name":"keyed",
   "repeat":"dedup","target_us":3000000,"worth":1},
  {"deadline_us":20000000,"dedup_window_us":5000000,"group":"all","late_worth":0.4,"name":"once",
   "repeat":"fragile","target_us":3000000,"worth":3}],
 "discovery":"pushed","kinds":["k"],"localities":["a","b"],
 "limits":{"connect_timeout_us":1500000,"keepalive_us":10000000,"max_retry_after_us":2000000,"may_cancel":true,
  "most_held":100,"most_tries":8,"probing":true,"retry_after":true,"streams_per_conn":8},
 "safety":{"answer_slack_us":20000,"drain_grace_us":2000000,"fall_us":2000000,"overload_factor":1.5,
  "ramp_time_us":13000000,"start_capacity":0.26},
 "specifics":{"calls_out":16,"kind_batch":[1],"late":"linear","own_limits":[false]},
 "report":{"fields":[],"how":"none"},
 "tick_us":5000,"value_by":"request","weights":"nominal","zone":0}`

const goodConfig = `{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","state":"/x","seed":"1f",
	"limits":{"cores":1,"memory_mb":64,"sockets":256,"disk_mb":2},"settings":` + testSettings + `}`

// goodConfigParsed is the configuration of a relay with the default limits.
func goodConfigParsed(t *testing.T) *Config {
	t.Helper()
	text := replacedOnce(t, goodConfig, `"limits":{"cores":1,"memory_mb":64,"sockets":256,"disk_mb":2},`, ``)
	c, err := Parse([]byte(text), environment(nil))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// A bad value stops the start, and the error names its key.
func TestBadConfig(t *testing.T) {
	for name, test := range map[string]struct{ old, replacement, key string }{
		"no name":      {`"name":"n1",`, ``, "name"},
		"no port":      {`"listen":"127.0.0.1:1"`, `"listen":"127.0.0.1"`, "listen"},
		"discovery":    {`"discovery":"127.0.0.1:2"`, `"discovery":"x"`, "discovery"},
		"no state":     {`"state":"/x",`, ``, "state"},
		"seed":         {`"seed":"1f"`, `"seed":"zz"`, "seed"},
		"no seed":      {`"seed":"1f",`, ``, "seed"},
		"sockets":      {`"sockets":256`, `"sockets":3`, "limits.sockets"},
		"memory":       {`"memory_mb":64`, `"memory_mb":"much"`, "memory_mb"},
		"disk":         {`"disk_mb":2`, `"disk_mb":-2`, "limits.disk_mb"},
		"slots":        {`"calls_out":16`, `"calls_out":0`, "Slots"},
		"class repeat": {`"repeat":"fragile"`, `"repeat":"maybe"`, "classes[2].repeat"},
		"class time": {
			`"deadline_us":20000000,"dedup_window_us":20000000`,
			`"deadline_us":0`,
			"Classes[1].Deadline",
		},
		"type":          {`"balancers":1`, `"balancers":"one"`, "balancers"},
		"localities":    {`"localities":["a","b"]`, `"localities":7`, "localities"},
		"not json":      {`{"name"`, `{name`, "config"},
		"no settings":   {`"settings"`, `"setting"`, "settings"},
		"negative time": {`"drain_grace_us":2000000`, `"drain_grace_us":-1`, "DrainGrace"},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(goodConfig, test.old, test.replacement, 1)
			if text == goodConfig {
				t.Fatal("nothing was changed")
			}
			_, err := Parse([]byte(text), environment(nil))
			if err == nil || !strings.Contains(err.Error(), test.key) {
				t.Errorf("error %v, want one that names %s", err, test.key)
			}
		})
	}
	c, err := Parse([]byte(goodConfig), environment(map[string]string{"ROUTER_STATE": "/y"}))
	if err != nil || c.State != "/y" || c.Seed != 0x1f || c.Policy.MaxConcurrentCalls != 16 ||
		c.Policy.StreamsPerConnection != 1 || c.Zones["b"] != 1 || c.Classes["once"] != 2 {
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
	c := goodConfigParsed(t)
	before := c.ConnLimits()
	clientSettings := operatorconfig.Clients{
		Descriptors:                900,
		MaxConns:                   700,
		MaxUnvalidated:             650,
		SingleUseEvictionThreshold: 690,
		IdleTimeoutS:               60,
		MemoryMB:                   3,
	}
	if err := c.applyClientSettings(&clientSettings); err != nil {
		t.Fatal(err)
	}
	limits, memory := c.ConnLimits(), c.CommandMemory()
	if limits.MaxConns != 700 || limits.MaxUnvalidated != 650 || limits.SingleUseEvictionThreshold != 690 ||
		limits.IdleTimeout != 60e6 || memory != 3<<20 ||
		limits.FirstCommandTimeout != before.FirstCommandTimeout {
		t.Errorf("%+v, %d", limits, memory)
	}
	clients, endpoints := c.DescriptorBudget()
	if clients != 700 || clients+endpoints+ReservedDescriptors != 900 || endpoints < c.Policy.MaxConcurrentCalls {
		t.Errorf("budget %d and %d of 900", clients, endpoints)
	}
	for key, bad := range map[string]operatorconfig.Clients{
		"clients.places":      {Descriptors: 900, MaxConns: 900 - ReservedDescriptors - c.Policy.MaxConcurrentCalls},
		"clients.descriptors": {Descriptors: operatorconfig.MaxDescriptors},
	} {
		if err := goodConfigParsed(t).applyClientSettings(&bad); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: %v", key, err)
		}
	}
}
