package demo

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// stopTimeout bounds the wait for a process that has received SIGTERM.
const stopTimeout = 25 * time.Second

// process is a process that the demo has started.
type process struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{}
	err    error
}

// startProcess starts a program whose output goes to a log file in the directory.
func startProcess(dir, name, program string, args ...string) (*process, error) {
	out, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, eris.Wrap(err, "create log")
	}
	defer func() { _ = out.Close() }()
	p := &process{name: name, cmd: exec.Command(program, args...), exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		return nil, eris.Wrapf(err, "start %s", name)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.exited)
	}()
	return p, nil
}

// drain sends SIGTERM and waits until the process exits; it returns an error if the exit code isn't 0.
func (p *process) drain() error {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return eris.Wrapf(err, "stop %s", p.name)
	}
	select {
	case <-p.exited:
		return eris.Wrapf(p.err, "%s exited with an error", p.name)
	case <-time.After(stopTimeout):
		return eris.Errorf("%s didn't exit within %s of SIGTERM", p.name, stopTimeout)
	}
}

// kill kills the process if it still runs, and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// freeAddress returns a loopback address on which no process listens.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "find a free port")
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}
