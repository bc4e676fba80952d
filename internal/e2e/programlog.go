package e2e

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

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

// LogLines are the lines of its log so far.
func (p *Program) LogLines() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lines[:len(p.lines):len(p.lines)]
}
