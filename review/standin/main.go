// Command standin plays one case of the review: it starts the relay and stand-ins for its clients,
// endpoints, discovery and platform, and judges what these can see.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitCannotRun = 2
	longestCase   = 110 * time.Second
)

// cases play a case and return the exit code; an error means that the case could not run.
var cases = map[string]func(w *world) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE RECORD")
		os.Exit(exitCannotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(w *world) error, record string) (code int) {
	w, err := newWorld(record)
	if err != nil {
		fmt.Println("cannot run:", err)
		return exitCannotRun
	}
	defer w.close()
	giveUp := func(why string) {
		fmt.Println("cannot run:", why)
		w.endProcesses()
		os.Exit(exitCannotRun)
	}
	time.AfterFunc(longestCase, func() { giveUp("out of time") })
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-stop
		giveUp("stopped")
	}()
	err = run(w)
	if err == nil {
		err = w.failure
	}
	if err != nil {
		fmt.Println("cannot run:", err)
		return exitCannotRun
	}
	return w.verdict()
}
