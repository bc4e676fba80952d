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
	// readyTimeout is how long the program may take to be ready.
	readyTimeout = 20 * time.Second
	// drainTimeout is how long it may take to drain: the longest deadline and some more.
	drainTimeout = 20 * time.Second
	// maxLogLines bounds what is kept of its log.
	maxLogLines = 20000
)

// Program is the real program, as a process of its own.
type Program struct {
	ConfigFile string // its configuration
	cmd        *exec.Cmd
	env        *Env

	mu      sync.Mutex
	lines   []string
	changed chan struct{} // closed, and made anew, with each line
	ended   chan struct{}
	err     error
}

// Start starts the program with a configuration and waits until it is ready at so many listeners.
func (e *Env) Start(ctx context.Context, text string, listeners int) (*Program, error) {
	return e.StartNamed(ctx, "sorrelrudder", text, listeners)
}

// StartNamed does the same with a file of that name, for one of several programs.
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
		if _, err := p.AwaitLog(ctx, "msg=ready ", n+1); err != nil {
			err = errors.Join(err, p.Stop())
			return nil, fmt.Errorf("the program is not ready: %w\n%s", err, p.LogTail(20))
		}
	}
	return p, nil
}

// Command starts the program with arguments.
func (e *Env) Command(args ...string) (*Program, error) { return e.CommandWithEnv(nil, args...) }

// CommandWithEnv does the same with more in its environment.
func (e *Env) CommandWithEnv(env []string, args ...string) (*Program, error) {
	if len(e.options.Program) == 0 {
		return nil, errors.New("lab: no program to start")
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
	go func() {
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			p.appendLine(lines.Text())
		}
		err := p.cmd.Wait()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(p.ended)
	}()
	e.Defer(func() { _ = p.Stop() }) // a scenario that cares has stopped it before
	return p, nil
}

// Reload replaces the configuration and tells the program so. It does not wait for it.
func (p *Program) Reload(text string) error {
	next := p.ConfigFile + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return err
	}
	if err := os.Rename(next, p.ConfigFile); err != nil { // never half a file
		return err
	}
	return p.cmd.Process.Signal(syscall.SIGHUP)
}

// Stop has the program drain, and returns how it ended. It may be called again.
func (p *Program) Stop() error {
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // fails if it has ended
	select {
	case <-p.ended:
	case <-time.After(drainTimeout):
		_ = p.cmd.Process.Kill() // fails if it has ended
		<-p.ended
		return errors.New("the program did not drain in time")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// Signal sends the program a signal.
func (p *Program) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) } // fails if it has ended

// Kill ends the program at once, stopped or not.
func (p *Program) Kill() {
	_ = p.cmd.Process.Kill() // fails if it has ended
	<-p.ended
}
