// Package limitedlog logs events that may come in large numbers, such as failed attempts, and leaves out those beyond a rate. It does not know
// what the events mean.
package limitedlog

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

const (
	// interval is the time for which the lines of a message are counted.
	interval = time.Second
	// maxLines is the number of lines of one message in an interval.
	maxLines = 5
)

// Logger logs at most maxLines lines of each message in an interval. The first line after some were left out says how many, as left_out. Its
// methods are safe for concurrent use. Messages must be constants, since each is remembered.
type Logger struct {
	log *slog.Logger
	now func() time.Time

	mu       sync.Mutex
	messages map[string]*count
}

// count counts the lines of a message.
type count struct {
	begin   time.Time // of the interval
	lines   int       // in the interval
	leftOut int       // since the last line
}

// New returns a Logger that passes lines on to log.
func New(log *slog.Logger) *Logger {
	return &Logger{log: log, now: time.Now, messages: map[string]*count{}}
}

// Info logs a line at level info.
func (l *Logger) Info(message string, args ...any) { l.write(slog.LevelInfo, message, args) }

// Warn logs a line at level warn.
func (l *Logger) Warn(message string, args ...any) { l.write(slog.LevelWarn, message, args) }

func (l *Logger) write(level slog.Level, message string, args []any) {
	leftOut, allowed := l.admit(message)
	if !allowed {
		return
	}
	if leftOut > 0 {
		args = append(args, "left_out", leftOut)
	}
	l.log.Log(context.Background(), level, message, args...)
}

// admit counts a line and reports whether it is to be written. leftOut is the number of lines left out before it.
func (l *Logger) admit(message string) (leftOut int, allowed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.messages[message]
	if c == nil {
		c = &count{}
		l.messages[message] = c
	}
	if now := l.now(); now.Sub(c.begin) >= interval {
		c.begin, c.lines = now, 0
	}
	if c.lines >= maxLines {
		c.leftOut++
		return 0, false
	}
	c.lines++
	leftOut, c.leftOut = c.leftOut, 0
	return leftOut, true
}
