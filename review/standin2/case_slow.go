package main

import "time"

// caseSlow: the first drain after a start is written to the open watch of a relay that also follows etcd, and
// discovery is slow with whole lists.
func caseSlow(w *world) bool {
	t := w.newTwoEndpoints()
	etcd := w.newCluster()
	etcd.do(`put /recepti/partners/%d {"v":1,"rate":400}`, knownDest)
	t.relay.extraEnv = []string{w.operatorFile(etcd.table())}
	t.begin(w)
	if w.trouble {
		w.log("whole lists are answered after 1.5 s from now on")
		t.agent.setListDelay(1500 * time.Millisecond)
	}
	told := t.agent.set("draining", t.near.name)
	time.Sleep(10 * time.Second)
	t.load.end()
	return t.judge(w, told, told.Add(drainGrace))
}
