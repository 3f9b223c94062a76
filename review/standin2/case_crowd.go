package main

import (
	"sync"
	"syscall"
	"time"
)

// caseCrowd: all relays are killed at once, and discovery is overbooked when they return. When it serves them again,
// an endpoint starts to drain.
func caseCrowd(w *world) bool {
	const (
		crowded = 12 * time.Second
		counts  = 6 * time.Second // after discovery had the change and could be reached
	)
	f := w.newFleet()
	for _, r := range w.relays {
		r.signal(syscall.SIGKILL)
	}
	for _, r := range w.relays {
		<-r.process.done
	}
	time.Sleep(600 * time.Millisecond)
	if w.trouble {
		for _, a := range f.agents {
			a.setCrowded(true)
		}
	}
	var starts sync.WaitGroup
	for _, r := range w.relays {
		starts.Add(1)
		go func() {
			defer starts.Done()
			r.launch()
		}()
	}
	starts.Wait()
	f.awaitReady()
	time.Sleep(crowded)
	for _, a := range f.agents {
		a.setCrowded(false)
	}
	told := f.drain()
	time.Sleep(20 * time.Second)
	return f.judge(told, counts+drainGrace)
}
