//go:build review

// Package harness starts the project's programs for the cases of the review, records what happens, and ends everything that it started.
package harness

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// timeLimit bounds a case; its script has 120 seconds.
const timeLimit = 110 * time.Second

// Case is the run of one case.
type Case struct {
	Context context.Context
	Dir     string // temporary folder
	Root    string // the repository
	Trouble bool   // the disruption is played

	start    time.Time
	mu       sync.Mutex
	record   *os.File
	programs []*Program
	broken   []string
}

// Main runs a case and exits with its code. The arguments of the process are the repository, the temporary folder and the record file.
func Main(run func(c *Case) error) {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: CASE REPOSITORY TEMPORARY-FOLDER RECORD")
		os.Exit(NotRun)
	}
	record, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
	c := &Case{
		Context: ctx, Root: os.Args[1], Dir: os.Args[2], Trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: record,
	}
	code := c.run(run)
	cancel()
	c.endPrograms()
	record.Close()
	os.Exit(code)
}

// run plays the case and returns its exit code.
func (c *Case) run(run func(c *Case) error) (code int) {
	defer func() {
		if r := recover(); r != nil {
			c.Log("the case panicked: %v", r)
			code = NotRun
		}
	}()
	c.Log("disruption played: %v", c.Trouble)
	err := run(c)
	c.mu.Lock()
	broken := append([]string(nil), c.broken...)
	c.mu.Unlock()
	switch {
	case len(broken) > 0:
		c.Log("RESULT: the rule was broken, %d times; the first: %s", len(broken), broken[0])
		fmt.Printf("broken (%d): %s\n", len(broken), broken[0])
		return Broken
	case err != nil:
		c.Log("RESULT: the case could not run: %v", err)
		fmt.Printf("not run: %v\n", err)
		return NotRun
	}
	c.Log("RESULT: the rule held")
	fmt.Println("held")
	return Held
}

// Log writes a line to the record.
func (c *Case) Log(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%9.4f  %s\n", time.Since(c.start).Seconds(), fmt.Sprintf(format, args...))
}

// Break records that the rule was broken.
func (c *Case) Break(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.Log("BROKEN: %s", text)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, text)
}

// Write writes a file into the temporary folder and returns its path.
func (c *Case) Write(name, text string) (string, error) {
	path := filepath.Join(c.Dir, name)
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// RunCommand returns the command of key run in the deploy file.
func (c *Case) RunCommand() (string, error) {
	text, err := os.ReadFile(filepath.Join(c.Root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Trim(strings.TrimSpace(rest), `"`), nil
		}
	}
	return "", fmt.Errorf("the deploy file names no command")
}

// Program is a process that the case has started.
type Program struct {
	name string
	cmd  *exec.Cmd
	log  string

	ended    chan struct{}
	endedAt  time.Time // valid once ended is closed
	exitCode int
}

// Start starts a command of the shell from the root of the repository, as the platform does. Its standard error goes to a file of the
// temporary folder; its standard output goes to output, or if that is nil to the same file.
func (c *Case) Start(name, command string, env []string, output io.Writer) (*Program, error) {
	p := &Program{name: name, log: filepath.Join(c.Dir, name+".log"), ended: make(chan struct{})}
	file, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	p.cmd = exec.Command("/bin/sh", "-c", command)
	p.cmd.Dir = c.Root
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stderr = file
	p.cmd.Stdout = file
	if output != nil {
		p.cmd.Stdout = output
	}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // if this driver is killed
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	c.Log("started %s (pid %d): %s", name, p.cmd.Process.Pid, filepath.Base(command))
	c.mu.Lock()
	c.programs = append(c.programs, p)
	c.mu.Unlock()
	go func() {
		_ = p.cmd.Wait() // the exit code tells
		p.endedAt, p.exitCode = time.Now(), p.cmd.ProcessState.ExitCode()
		close(p.ended)
	}()
	return p, nil
}

// Pid returns the id of the process.
func (p *Program) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Program) Signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

// Ended returns a channel that is closed once the process has ended.
func (p *Program) Ended() <-chan struct{} { return p.ended }

// End returns when the process ended and its exit code. Ended must be closed.
func (p *Program) End() (at time.Time, code int) { return p.endedAt, p.exitCode }

// Running reports whether the process runs.
func (p *Program) Running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// AwaitLog waits until the log of the process has a line that contains text, and returns the line.
func (p *Program) AwaitLog(ctx context.Context, text string, limit time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		data, err := os.ReadFile(p.log)
		if err != nil {
			return "", err
		}
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, text) {
				return strings.TrimSpace(line), nil
			}
		}
		if !p.Running() {
			return "", fmt.Errorf("%s ended: %s", p.name, lastLine(string(data)))
		}
		select {
		case <-ctx.Done():
			return "", fmt.Errorf("%s has not logged %q; its last line: %s", p.name, text, lastLine(string(data)))
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func lastLine(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return lines[len(lines)-1]
}

// endPrograms ends all processes that still run: by SIGTERM, and those that remain by SIGKILL.
func (c *Case) endPrograms() {
	c.mu.Lock()
	programs := c.programs
	c.mu.Unlock()
	for _, p := range programs {
		if p.Running() {
			p.Signal(syscall.SIGCONT)
			p.Signal(syscall.SIGTERM)
		}
	}
	limit := time.After(5 * time.Second)
	for _, p := range programs {
		select {
		case <-p.ended:
		case <-limit:
			limit = time.After(0)
			p.Signal(syscall.SIGKILL)
			<-p.ended
		}
	}
}

// Sleep waits, or until the case's time is over.
func (c *Case) Sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-c.Context.Done():
	}
}
