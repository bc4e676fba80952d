//go:build review

// Package stage runs the programs under review as processes of their own, for the cases of the second review: it picks free loopback ports,
// keeps files in a temporary folder, writes the record of a case, and ends all processes that it has started.
package stage

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	NotRun = 2 // the case could not run
)

// limit is how long a play may take.
const limit = 115 * time.Second

// The parent's death ends its children only if the thread that started them lives as long as the process.
func init() { runtime.LockOSThread() }

// Stage is one play of a case.
type Stage struct {
	Dir     string // temporary folder
	Trouble bool   // false: play without the disruption
	begin   time.Time

	mu     sync.Mutex
	record io.WriteCloser
	procs  []*Proc
	fleets int
}

// New starts a play. The record is written to the file that the first argument names. TROUBLE=0 in the environment selects a play without
// the disruption.
func New() *Stage {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM RECORD")
		os.Exit(NotRun)
	}
	record, err := os.Create(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	s := &Stage{Dir: dir, Trouble: os.Getenv("TROUBLE") != "0", begin: time.Now(), record: record}
	go s.watch()
	return s
}

// watch ends a play that is told to end, or that takes too long.
func (s *Stage) watch() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	select {
	case <-stop:
	case <-time.After(limit):
		s.Log("not over within %v", limit)
	}
	s.End(NotRun)
}

// Log writes a line to the record and to standard output, with the time since the start of the play.
func (s *Stage) Log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(s.begin).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	io.WriteString(s.record, line)
	io.WriteString(os.Stdout, line)
}

// End ends all processes, removes the temporary folder and exits with a status.
func (s *Stage) End(status int) {
	s.mu.Lock()
	procs := s.procs
	s.mu.Unlock()
	for _, p := range procs {
		p.Kill()
	}
	s.Log("result: %s", map[int]string{Held: "held", Broken: "BROKEN", NotRun: "could not run"}[status])
	s.record.Close()
	os.RemoveAll(s.Dir)
	os.Exit(status)
}

// NotRun ends the play because the case could not run.
func (s *Stage) NotRun(format string, args ...any) {
	s.Log(format, args...)
	s.mu.Lock()
	procs := s.procs
	s.mu.Unlock()
	for _, p := range procs {
		s.Log("log of %s, last lines:\n%s", p.Name, p.Tail(12))
	}
	s.End(NotRun)
}

// Path returns the path of a file in the temporary folder.
func (s *Stage) Path(name string) string { return filepath.Join(s.Dir, name) }

// Write writes a file in the temporary folder and returns its path.
func (s *Stage) Write(name, text string) string {
	if err := os.WriteFile(s.Path(name), []byte(text), 0o600); err != nil {
		s.NotRun("write %s: %v", name, err)
	}
	return s.Path(name)
}

// Ports returns n loopback addresses with free ports.
func (s *Stage) Ports(n int) []string {
	var addresses []string
	var listeners []net.Listener
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.NotRun("find a free port: %v", err)
		}
		listeners = append(listeners, l)
		addresses = append(addresses, l.Addr().String())
	}
	for _, l := range listeners {
		l.Close()
	}
	return addresses
}

// Proc is a started process. Its output goes to files.
type Proc struct {
	Name    string
	cmd     *exec.Cmd
	out     string
	err     string
	done    chan struct{}
	endedAt time.Time
	status  int
}

// Start starts a program. Standard output and error go to files in the temporary folder.
func (s *Stage) Start(name string, args ...string) *Proc {
	p := &Proc{Name: name, out: s.Path(name + ".out"), err: s.Path(name + ".err"), done: make(chan struct{})}
	out, err := os.OpenFile(p.out, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		s.NotRun("start %s: %v", name, err)
	}
	defer out.Close()
	log, err := os.OpenFile(p.err, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		s.NotRun("start %s: %v", name, err)
	}
	defer log.Close()
	p.cmd = exec.Command(args[0], args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = out, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		s.NotRun("start %s: %v", name, err)
	}
	go func() {
		err := p.cmd.Wait()
		p.endedAt = time.Now()
		var exit *exec.ExitError
		if errors.As(err, &exit) {
			p.status = exit.ExitCode()
		}
		close(p.done)
	}()
	s.mu.Lock()
	s.procs = append(s.procs, p)
	s.mu.Unlock()
	return p
}

// Signal sends a signal.
func (p *Proc) Signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

// Ended reports whether the process has ended, when, and with which status.
func (p *Proc) Ended() (at time.Time, status int, ended bool) {
	select {
	case <-p.done:
		return p.endedAt, p.status, true
	default:
		return time.Time{}, 0, false
	}
}

// Await waits until the process has ended.
func (p *Proc) Await(timeout time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Kill ends the process, also a stopped one, and waits for it.
func (p *Proc) Kill() {
	p.Signal(syscall.SIGKILL)
	p.Await(5 * time.Second)
}

// Output returns what the process has written to standard output.
func (p *Proc) Output() string { return read(p.out) }

// Log returns what the process has written to standard error.
func (p *Proc) Log() string { return read(p.err) }

// Tail returns the last lines of the log.
func (p *Proc) Tail(n int) string {
	lines := strings.Split(strings.TrimRight(p.Log(), "\n"), "\n")
	return strings.Join(lines[max(0, len(lines)-n):], "\n")
}

func read(path string) string {
	text, _ := os.ReadFile(path)
	return string(text)
}

// Run runs a program to its end and returns its output and whether its status was 0.
func (s *Stage) Run(args ...string) (output string, ok bool) {
	text, err := exec.Command(args[0], args[1:]...).CombinedOutput()
	return string(text), err == nil
}

// WaitFor waits until f returns true.
func (s *Stage) WaitFor(what string, timeout time.Duration, f func() bool) {
	if !Poll(timeout, f) {
		s.NotRun("%s: not within %v", what, timeout)
	}
}

// Poll calls f until it returns true, for at most timeout, and reports whether it did.
func Poll(timeout time.Duration, f func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); {
		if f() {
			return true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return f()
}
