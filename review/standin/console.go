package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"syscall"
	"time"
)

// operatorCall makes one call at an operators' console and returns the line of the answer. A caller
// waits 1 s.
func operatorCall(address, line string) (string, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write([]byte(line + "\n")); err != nil {
		return "", err
	}
	answer, err := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(answer), err
}

// upgrade is an upgrade as the platform does it: run is started again beside the old process, with the
// same addresses but a new second one. When the new process says yes, the old one gets SIGTERM, and
// SIGKILL 3.7 s later.
func (w *world) upgrade() error {
	old := w.process
	w.relay.console = freeAddress()
	p, err := startRelay(&w.relay, "relay.log")
	if err != nil {
		return err
	}
	w.process = p
	w.processes = append(w.processes, p)
	w.rec.note("upgrade: process %d started", p.cmd.Process.Pid)
	for end := time.Now().Add(6 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		answer, err := operatorCall(w.relay.console, "READY")
		if err == nil && strings.HasPrefix(answer, "YES") {
			w.rec.note("upgrade: the new process answers READY with %q", answer)
			break
		}
		if time.Now().After(end) {
			return fmt.Errorf("the new process is not ready after 6 s: %q, %v", answer, err)
		}
	}
	old.signal(syscall.SIGTERM)
	w.rec.note("upgrade: SIGTERM to the old process")
	time.AfterFunc(3700*time.Millisecond, func() {
		if !old.hasExited() {
			old.signal(syscall.SIGKILL)
		}
	})
	return nil
}
