package runner

import (
	"os/exec"
	"syscall"
)

// setProcessAttributes has the system end a process together with this one, however that
// ends (prctl(2), PR_SET_PDEATHSIG), and keeps a terminal's signals from it.
func setProcessAttributes(cmd *exec.Cmd) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
}
