package main

import (
	"strings"
	"syscall"
	"time"
)

// caseUpgrade: the open watch falls silent, an endpoint starts to drain, and the relay is upgraded.
func caseUpgrade(w *world) bool {
	t := w.newTwoEndpoints()
	t.begin(w)
	if w.trouble {
		t.agent.muteWatches()
	}
	silentAt := time.Now()
	time.Sleep(200 * time.Millisecond)
	told := t.agent.set("draining", t.near.name)
	time.Sleep(300 * time.Millisecond)
	old := t.relay.process
	t.relay.console = freeAddr()
	t.relay.launch()
	waitFor(6*time.Second, "READY of the new process", func() bool {
		require(!t.relay.process.ended(), "the new process ended")
		return strings.HasPrefix(t.relay.call("READY"), "YES")
	})
	yes := time.Now()
	w.log("READY of the new process: YES")
	_ = old.cmd.Process.Signal(syscall.SIGTERM)
	time.Sleep(3700 * time.Millisecond)
	_ = old.cmd.Process.Signal(syscall.SIGKILL)
	time.Sleep(12 * time.Second)
	t.load.end()
	// 6 s after the watch fell silent the change counts as told; after an upgrade it binds from 2 s after the yes.
	binds := silentAt.Add(6*time.Second + drainGrace)
	if from := yes.Add(drainGrace); from.After(binds) {
		binds = from
	}
	return t.judge(w, told, binds)
}
