package main

import (
	"os"
	"os/exec"
	"time"
)

// caseKey: an operator drains an endpoint by `troutusher publish drain`; only discovery lists it, etcd does not.
func caseKey(w *world) bool {
	t := w.newTwoEndpoints()
	etcd := w.newCluster()
	etcd.do(`put /recepti/partners/%d {"v":1,"rate":400}`, knownDest)
	env := w.operatorFile(etcd.table())
	t.relay.extraEnv = []string{env}
	if !w.trouble {
		etcd.do(`put /recepti/endpoints/s-near {"v":1,"host_port":"%s","dest":%d,"locality":"dvorana-a","flavor":"dostava"}`,
			t.near.addr, knownDest)
	}
	t.begin(w)
	cmd := exec.Command("bin/troutusher", "publish", "drain", "s-near")
	cmd.Env = append(os.Environ(), env)
	out, err := cmd.CombinedOutput()
	must(err)
	w.log("troutusher publish drain: %s", out)
	told := time.Now()
	time.Sleep(8 * time.Second)
	t.load.end()
	return t.judge(w, told, told.Add(drainGrace))
}
