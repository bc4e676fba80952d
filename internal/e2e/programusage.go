package e2e

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// CPU returns the CPU time that the program has used so far, user and system.
func (p *Program) CPU() (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	// The process name in parentheses may contain spaces. User and system time are the 12th and 13th fields after it.
	_, rest, ok := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if !ok || len(fields) < 13 {
		return 0, fmt.Errorf("/proc: stat is %q, want at least 13 fields after the process name", text)
	}
	ticks := 0
	for _, f := range fields[11:13] {
		n, err := strconv.Atoi(f)
		if err != nil {
			return 0, err
		}
		ticks += n
	}
	const perSecond = 100 // USER_HZ, which is 100 on all Linux architectures that Go supports
	return time.Duration(ticks) * time.Second / perSecond, nil
}

// MemoryMB returns the resident memory of the program in MB.
func (p *Program) MemoryMB() (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0, fmt.Errorf("/proc: statm is %q, want at least 2 fields", text)
	}
	pages, err := strconv.Atoi(fields[1])
	return float64(pages*os.Getpagesize()) / (1 << 20), err
}

// Descriptors returns the number of open file descriptors of the program.
func (p *Program) Descriptors() (int, error) {
	all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(all), err
}
