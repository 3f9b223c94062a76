// Command standin2 runs a case of the second review: it starts the relays and the stand-ins, plays the case, and
// exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sort"
	"syscall"
	"time"
)

// cases maps the name of a case to its function, which reports whether the rule was broken.
var cases = map[string]func(w *world) bool{
	"watch":   caseWatch,
	"key":     caseKey,
	"crowd":   caseCrowd,
	"copy":    caseCopy,
	"cold":    caseCold,
	"restart": caseRestart,
	"upgrade": caseUpgrade,
	"slow":    caseSlow,
}

// limit bounds the time of a case.
const limit = 110 * time.Second

func main() {
	run, ok := cases[os.Args[min(1, len(os.Args)-1)]]
	if !ok {
		var names []string
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Println("cases:", names)
		os.Exit(exitCannotRun)
	}
	os.Exit(play(run))
}

// play runs a case in a world of its own.
func play(run func(w *world) bool) (code int) {
	defer func() {
		if r := recover(); r != nil {
			fmt.Println("the case could not run:", r)
			code = exitCannotRun
		}
	}()
	w := newWorld()
	defer w.close()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	result := make(chan int, 1)
	go func() {
		defer func() {
			if r := recover(); r != nil {
				w.say("the case could not run: %v", r)
				result <- exitCannotRun
			}
		}()
		if run(w) {
			w.say("the rule was BROKEN")
			result <- exitBroken
			return
		}
		w.say("the rule held")
		result <- exitHeld
	}()
	select {
	case code := <-result:
		return code
	case s := <-ended:
		w.say("the case was ended by %v", s)
		return exitCannotRun
	case <-time.After(limit):
		w.say("the case took too long")
		return exitCannotRun
	}
}
