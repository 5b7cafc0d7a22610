package proof

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// drainTimeout bounds the wait for a draining router; its settings allow less.
const drainTimeout = 25 * time.Second

// process is one router process that this program has started.
type process struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{}
	err    error
}

// startProcess runs a program and appends its output to a log file in the folder.
func startProcess(folder, name, program string, environment []string, args ...string) (*process, error) {
	out, err := os.OpenFile(filepath.Join(folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, eris.Wrap(err, "open log")
	}
	defer func() { _ = out.Close() }()
	p := &process{name: name, cmd: exec.Command(program, args...), exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.Env = append(os.Environ(), environment...)
	// The kernel kills the router when the thread that started it ends, so that no router outlives a run, even if this program
	// is killed. The thread can end earlier than this program.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, eris.Wrapf(err, "start %s", name)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.exited)
	}()
	return p, nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) error {
	return eris.Wrapf(p.cmd.Process.Signal(s), "signal %s", p.name)
}

// drain sends SIGTERM and waits until the process has exited with code 0.
func (p *process) drain() error {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.exited:
		return eris.Wrapf(p.err, "%s exited with an error", p.name)
	case <-time.After(drainTimeout):
		return eris.Errorf("%s didn't exit within %s", p.name, drainTimeout)
	}
}

// kill kills the process if it still runs and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}
