// Command standin plays one case of the review: it starts the relay and stand-ins for its clients,
// endpoints, discovery and platform, and judges what these can see.
package main

import (
	"fmt"
	"os"
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
		fmt.Println("usage: standin CASE FOLDER")
		os.Exit(exitCannotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(w *world) error, dir string) (code int) {
	w, err := newWorld(dir)
	if err != nil {
		fmt.Println("cannot run:", err)
		return exitCannotRun
	}
	defer w.close()
	time.AfterFunc(longestCase, func() {
		fmt.Println("cannot run: out of time")
		w.endProcesses()
		os.Exit(exitCannotRun)
	})
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
