package main

import (
	"syscall"
	"time"
)

// caseRestart: an endpoint starts to drain while the relay, which also follows etcd, restarts.
func caseRestart(w *world) bool {
	t := w.newTwoEndpoints()
	etcd := w.newCluster()
	etcd.do(`put /recepti/partners/%d {"v":1,"rate":400}`, knownDest)
	t.relay.extraEnv = []string{w.operatorFile(etcd.table())}
	t.begin(w)
	told := time.Now()
	if !w.trouble {
		told = t.agent.set("draining", t.near.name)
		time.Sleep(2 * time.Second)
	}
	t.relay.signal(syscall.SIGTERM)
	select {
	case <-t.relay.process.done:
	case <-time.After(3700 * time.Millisecond):
		t.relay.signal(syscall.SIGKILL)
		<-t.relay.process.done
	}
	if w.trouble {
		told = t.agent.set("draining", t.near.name)
	}
	time.Sleep(600 * time.Millisecond)
	t.relay.start()
	binds := time.Now().Add(drainGrace)
	time.Sleep(12 * time.Second)
	t.load.end()
	return t.judge(w, told, binds)
}
