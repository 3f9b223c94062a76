package runner

import (
	"os/exec"
	"syscall"
)

// setProcessAttributes makes the kernel kill a child process when this process dies for any reason
// (PR_SET_PDEATHSIG in prctl(2)). The child gets a process group of its own, so that it does not
// receive a terminal's signals.
func setProcessAttributes(cmd *exec.Cmd) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
}
