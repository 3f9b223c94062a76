//go:build !linux

package runner

import (
	"os/exec"
	"syscall"
)

// setProcessAttributes keeps a terminal's signals from a process. Only on Linux does the
// process end when this one is killed.
func setProcessAttributes(cmd *exec.Cmd) { cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} }
