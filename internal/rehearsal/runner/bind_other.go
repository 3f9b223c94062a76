//go:build !linux

package runner

import (
	"os/exec"
	"syscall"
)

// bind keeps a terminal's signals from a process. Only on Linux does it end
// with a kit that was killed.
func bind(cmd *exec.Cmd) { cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} }
