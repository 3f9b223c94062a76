package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is what a case starts: one relay of the deployment, its agent, endpoints and clients.
type world struct {
	rec       *recorder
	trouble   bool
	relay     relaySettings
	agent     *agent
	process   *relayProcess
	processes []*relayProcess
	stop      chan struct{}
	clients   sync.WaitGroup

	mu      sync.Mutex
	handed  []handed
	problem []string
	failure error
}

// handed is one message with its answer.
type handed struct {
	submission
	sentAt time.Time
	answer string
	err    error
}

func newWorld(record string) (*world, error) {
	rec, err := newRecorder(record)
	if err != nil {
		return nil, err
	}
	program, err := os.Executable() // review/bin/standin
	if err != nil {
		return nil, err
	}
	root := filepath.Dir(filepath.Dir(filepath.Dir(program)))
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &world{
		rec: rec, trouble: os.Getenv("TROUBLE") != "0", stop: make(chan struct{}),
		relay: relaySettings{
			root: root, folder: folder, listen: freeAddress(), console: freeAddress(),
			settings: defaultSettings(), limits: defaultLimits(),
		},
	}, nil
}

// startDiscovery starts the agent with a list, which the relay's configuration holds too.
func (w *world) startDiscovery(members ...member) error {
	w.agent = newAgent(w.rec, "a", 41, members)
	address, err := w.agent.serve()
	w.relay.discovery = address
	w.relay.known = w.agent.list()
	return err
}

// startRelay starts the relay and waits until it serves.
func (w *world) startRelay() error {
	// A start finds an empty $TMPDIR; the two processes of an upgrade share it.
	if err := os.RemoveAll(w.relay.tempFolder()); err != nil {
		return err
	}
	p, err := startRelay(&w.relay, "relay.log")
	if err != nil {
		return err
	}
	w.process = p
	w.processes = append(w.processes, p)
	w.rec.note("relay: process %d started", p.cmd.Process.Pid)
	if err := awaitReady(w.relay.listen, 10*time.Second); err != nil {
		return err
	}
	w.rec.note("relay: ready")
	return nil
}

// killAndRestart is a restart as the platform does it: SIGKILL, and the next start 0.6 s later.
func (w *world) killAndRestart(while func()) error {
	w.process.kill()
	w.rec.note("relay: killed")
	time.AfterFunc(100*time.Millisecond, func() { while() })
	time.Sleep(600 * time.Millisecond)
	return w.startRelay()
}

// submit hands in one message and notes the answer.
func (w *world) submit(c *client, s submission) handed {
	h := handed{submission: s, sentAt: time.Now()}
	h.answer, h.err = c.ask(s.command())
	if h.err != nil {
		w.rec.noteAt(h.sentAt, "client: message %s (%s) has no answer: %v", s.id, s.class, h.err)
	} else {
		w.rec.noteAt(h.sentAt, "client: message %s (%s) is answered %q", s.id, s.class, h.answer)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.handed = append(w.handed, h)
	return h
}

// traffic hands in messages at a rate until the case ends.
func (w *world) traffic(every time.Duration, next func(i int) submission) {
	w.clients.Add(1)
	go func() {
		defer w.clients.Done()
		c := client{address: w.relay.listen}
		defer c.close()
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-w.stop:
				return
			case <-ticker.C:
				w.submit(&c, next(i))
			}
		}
	}()
}

// close ends the clients and all processes.
func (w *world) close() {
	close(w.stop)
	w.clients.Wait()
	w.endProcesses()
}

// endProcesses ends all processes that the case started, and removes its temporary folder.
func (w *world) endProcesses() {
	for _, p := range w.processes {
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
	_ = os.RemoveAll(w.relay.folder)
}

func (w *world) broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.rec.note("RULE BROKEN: %s", text)
	w.problem = append(w.problem, text)
}

// verdict prints the result and returns the exit code.
func (w *world) verdict() int {
	if len(w.problem) > 0 {
		fmt.Println("rule broken:", strings.Join(w.problem, "; "))
		return 1
	}
	fmt.Println("rule held")
	return 0
}

func serveOK(after time.Duration) func(*call) answer {
	return func(*call) answer { return answer{status: 200, after: after} }
}

// fail notes that the case could not run.
func (w *world) fail(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failure = err
}

func errorf(format string, args ...any) error { return fmt.Errorf(format, args...) }

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// termin returns a function that makes messages of the class termin for a destination.
func (w *world) termin(dest int) func(int) submission {
	return func(int) submission {
		return submission{
			id: newID(), class: "termin", tenant: "kuhaj-doma", dest: dest, deadline: 8 * time.Second, body: "basket",
		}
	}
}
