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
	"strconv"
	"strings"
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

func (p *Program) appendLine(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.env.options.Log != nil {
		fmt.Fprintln(p.env.options.Log, line)
	}
	if len(p.lines) < maxLogLines {
		p.lines = append(p.lines, line)
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// AwaitLog waits until the log has n lines with text, and returns the last of them.
func (p *Program) AwaitLog(ctx context.Context, text string, n int) (string, error) {
	for {
		p.mu.Lock()
		found := 0
		for _, line := range p.lines {
			if strings.Contains(line, text) {
				if found++; found == n {
					p.mu.Unlock()
					return line, nil
				}
			}
		}
		more := p.changed
		p.mu.Unlock()
		select {
		case <-more:
		case <-p.ended:
			return "", errors.New("it has ended")
		case <-ctx.Done():
			return "", fmt.Errorf("no %d lines with %q: %w", n, text, ctx.Err())
		}
	}
}

// CountLog is how many lines of the log have text.
func (p *Program) CountLog(text string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, line := range p.lines {
		if strings.Contains(line, text) {
			n++
		}
	}
	return n
}

// LogTail is the last lines of the log.
func (p *Program) LogTail(n int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.lines[max(0, len(p.lines)-n):], "\n")
}

// Addr is where the listener of that name listens, "" if it never was ready.
func (p *Program) Addr(listener string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.lines) - 1; i >= 0; i-- {
		line := p.lines[i]
		if strings.Contains(line, "msg=ready ") && LogField(line, "listener") == listener {
			return LogField(line, "listen")
		}
	}
	return ""
}

// LogField is the value of a key in a line of the log, without quotes.
func LogField(line, key string) string {
	_, rest, ok := strings.Cut(" "+line, " "+key+"=")
	if !ok {
		return ""
	}
	if strings.HasPrefix(rest, `"`) {
		if q, err := strconv.QuotedPrefix(rest); err == nil {
			s, _ := strconv.Unquote(q)
			return s
		}
	}
	v, _, _ := strings.Cut(rest, " ")
	return v
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

// LogLines are the lines of its log so far.
func (p *Program) LogLines() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lines[:len(p.lines):len(p.lines)]
}

// CPU is the processor time that the program has taken.
func (p *Program) CPU() (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	// The name in parentheses may hold anything; user and system time are the 12th and 13th field behind it.
	_, rest, ok := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if !ok || len(fields) < 13 {
		return 0, fmt.Errorf("/proc: cannot read %q", text)
	}
	ticks := 0
	for _, f := range fields[11:13] {
		n, err := strconv.Atoi(f)
		if err != nil {
			return 0, err
		}
		ticks += n
	}
	const perSecond = 100 // USER_HZ, the same on all of Linux's architectures that Go supports
	return time.Duration(ticks) * time.Second / perSecond, nil
}

// MemoryMB is the program's resident memory.
func (p *Program) MemoryMB() (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0, fmt.Errorf("/proc: cannot read %q", text)
	}
	pages, err := strconv.Atoi(fields[1])
	return float64(pages*os.Getpagesize()) / (1 << 20), err
}

// Descriptors is how many descriptors the program holds.
func (p *Program) Descriptors() (int, error) {
	all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(all), err
}
