package e2e

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// errProgramEnded is returned by AwaitLog if the program ended before its log had the awaited lines.
var errProgramEnded = errors.New("it has ended")

// appendLine records a line of the log and wakes up the callers of AwaitLog.
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

// AwaitLog waits until the log has n lines that contain text, and returns the last of them. The error is errProgramEnded, or wraps that of
// ctx.
func (p *Program) AwaitLog(ctx context.Context, text string, n int) (string, error) {
	for {
		line, found, changed := p.findLine(text, n)
		if found {
			return line, nil
		}
		select {
		case <-changed:
		case <-p.ended: // the last line may have been recorded since findLine
			if line, found, _ := p.findLine(text, n); found {
				return line, nil
			}
			return "", errProgramEnded
		case <-ctx.Done():
			return "", fmt.Errorf("no %d lines with %q: %w", n, text, ctx.Err())
		}
	}
}

// findLine returns the n-th line that contains text, and a channel that is closed with the next line.
func (p *Program) findLine(text string, n int) (line string, found bool, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, line := range p.lines {
		if !strings.Contains(line, text) {
			continue
		}
		if count++; count == n {
			return line, true, p.changed
		}
	}
	return "", false, p.changed
}

// CountLog returns the number of log lines that contain text.
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

// LogTail returns the last n lines of the log.
func (p *Program) LogTail(n int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.lines[max(0, len(p.lines)-n):], "\n")
}

// Addr returns the address on which the named listener listens, or "" if it has not become ready.
func (p *Program) Addr(listener string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.lines) - 1; i >= 0; i-- {
		line := p.lines[i]
		if strings.Contains(line, readyMessage) && LogField(line, "listener") == listener {
			return LogField(line, "listen")
		}
	}
	return ""
}

// LogField returns the unquoted value of a key in a log line, or "" if the line does not have the key.
func LogField(line, key string) string {
	_, rest, ok := strings.Cut(" "+line, " "+key+"=")
	if !ok {
		return ""
	}
	if strings.HasPrefix(rest, `"`) {
		if quoted, err := strconv.QuotedPrefix(rest); err == nil {
			value, _ := strconv.Unquote(quoted)
			return value
		}
	}
	value, _, _ := strings.Cut(rest, " ")
	return value
}

// LogLines returns the log lines so far. The caller must not modify them.
func (p *Program) LogLines() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lines[:len(p.lines):len(p.lines)]
}
