//go:build !linux

package runner

import (
	"os/exec"
	"syscall"
)

// setProcessAttributes puts a child process into a process group of its own, so that it does not
// receive a terminal's signals. Only on Linux is the child also killed when this process dies.
func setProcessAttributes(cmd *exec.Cmd) { cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} }
