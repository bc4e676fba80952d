package e2e

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	readyTimeout = 20 * time.Second // for a program to become ready
	drainTimeout = 20 * time.Second // for a program to drain: the longest deadline of a request and a margin
	maxLogLines  = 20000            // log lines kept of a program; further ones are dropped
	maxLogLine   = 1 << 20          // bytes of a log line

	readyMessage = "msg=ready "
)

// Program is the real program, running as a process. Its methods may be called concurrently.
type Program struct {
	ConfigFile string // empty if it was started with other arguments
	cmd        *exec.Cmd
	env        *Env
	ended      chan struct{} // closed once the process has ended

	mu      sync.Mutex    // guards the fields below
	lines   []string      // of the log
	changed chan struct{} // closed and replaced with each line
	err     error         // exit error, valid once ended is closed
}

// Start starts the program with a configuration and waits until the given number of listeners is ready.
func (e *Env) Start(ctx context.Context, text string, listeners int) (*Program, error) {
	return e.StartNamed(ctx, "sorrelrudder", text, listeners)
}

// StartNamed is like Start, with a configuration file of the given name, for scenarios that start several programs.
func (e *Env) StartNamed(ctx context.Context, name, text string, listeners int) (*Program, error) {
	file := filepath.Join(e.Dir, name+".toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	p, err := e.Command("run", file)
	if err != nil {
		return nil, err
	}
	p.ConfigFile = file
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for n := range listeners {
		if _, err := p.AwaitLog(ctx, readyMessage, n+1); err != nil {
			err = errors.Join(err, p.Stop())
			return nil, fmt.Errorf("the program is not ready: %w\n%s", err, p.LogTail(20))
		}
	}
	return p, nil
}

// errNoProgram is returned if Options.Program is empty.
var errNoProgram = errors.New("lab: Options.Program is empty: no program to start")

// Command starts the program with arguments. It does not wait until the program is ready.
func (e *Env) Command(args ...string) (*Program, error) { return e.CommandWithEnv(nil, args...) }

// CommandWithEnv is like Command, with additional environment variables.
func (e *Env) CommandWithEnv(env []string, args ...string) (*Program, error) {
	if len(e.options.Program) == 0 {
		return nil, errNoProgram
	}
	all := append(append([]string{}, e.options.Program[1:]...), args...)
	p := &Program{cmd: exec.Command(e.options.Program[0], all...), env: e, changed: make(chan struct{}), ended: make(chan struct{})}
	if len(env) > 0 {
		p.cmd.Env = append(os.Environ(), env...)
	}
	out, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	p.cmd.Stdout = io.Discard
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go p.readLog(out)
	e.Defer(func() { _ = p.Stop() }) // a scenario that checks the exit error has called Stop before
	return p, nil
}

// readLog records the log until the program ends, and then how it ended.
func (p *Program) readLog(out io.Reader) {
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		p.appendLine(lines.Text())
	}
	err := p.cmd.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(p.ended)
}

// Reload replaces the configuration file and sends the program SIGHUP. It does not wait until the configuration is in force.
func (p *Program) Reload(text string) error {
	next := p.ConfigFile + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return err
	}
	if err := os.Rename(next, p.ConfigFile); err != nil { // atomically
		return err
	}
	return p.cmd.Process.Signal(syscall.SIGHUP)
}

// errDrainTimeout is returned by Stop if the program did not drain within drainTimeout and was killed.
var errDrainTimeout = errors.New("the program did not drain in time")

// Stop shuts the program down gracefully and returns its exit error. If the program does not end within drainTimeout, Stop kills it and
// returns errDrainTimeout. Stop may be called again.
func (p *Program) Stop() error {
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // fails if the process has ended
	select {
	case <-p.ended:
	case <-time.After(drainTimeout):
		_ = p.cmd.Process.Kill() // fails if the process has ended
		<-p.ended
		return errDrainTimeout
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// Signal sends the program a signal, if it is running.
func (p *Program) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) } // fails if the process has ended

// Kill kills the program and waits until the process has ended.
func (p *Program) Kill() {
	_ = p.cmd.Process.Kill() // fails if the process has ended
	<-p.ended
}
