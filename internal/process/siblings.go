package process

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
)

const (
	// siblingFilePrefix is the prefix of the names of the files by which the processes of one sidecar detect each other.
	siblingFilePrefix = "sorrelrudder-process-"
	// joiningFilePrefix is the prefix of the name of such a file until it is locked.
	joiningFilePrefix = "joining-"
)

// SiblingGroup is the membership of this process in the group of processes that share a directory. While one process replaces another, both
// together must stay within the limits of one. Each process keeps a file in the directory locked while it runs. The lock is released
// however the process ends, and it also works between processes that cannot see each other. Neither holds for a process id.
//
// A process publishes records in its file, and reads those that its siblings publish; see Publish.
type SiblingGroup struct {
	dir  string
	name string // final name of this process's file; empty: it could not be locked, so other processes cannot detect this process
	file *os.File

	records siblingRecords
}

// JoinSiblingGroup joins the group of the processes that share dir. The caller ends the membership with Leave.
func JoinSiblingGroup(dir string) (*SiblingGroup, error) {
	file, err := os.CreateTemp(dir, joiningFilePrefix+"*")
	if err != nil {
		return nil, fmt.Errorf("join sibling processes: %w", err)
	}
	g := &SiblingGroup{dir: dir, file: file, records: siblingRecords{siblings: map[string]*publishedFile{}}}
	// The file is locked before it gets its final name, because an unlocked file with such a name counts as left by an ended process.
	// Errors of locking and renaming are ignored; other processes then cannot detect this process.
	if lockExclusive(file) == nil {
		g.name = siblingFilePrefix + strings.TrimPrefix(filepath.Base(file.Name()), joiningFilePrefix)
		_ = os.Rename(file.Name(), filepath.Join(dir, g.name))
	}
	return g, nil
}

// Others returns the number of other running processes of the group. It removes the files of processes that have ended.
func (g *SiblingGroup) Others() (int, error) {
	entries, err := os.ReadDir(g.dir)
	if err != nil {
		return 0, fmt.Errorf("count sibling processes: %w", err)
	}
	others := 0
	for _, e := range entries {
		if !strings.HasPrefix(e.Name(), siblingFilePrefix) || e.Name() == g.name {
			continue
		}
		running, err := siblingRunning(filepath.Join(g.dir, e.Name()))
		if err != nil {
			return 0, fmt.Errorf("count sibling processes: %w", err)
		}
		if running {
			others++
			g.records.follow(g.dir, e.Name())
		}
	}
	return others, nil
}

// Leave ends the membership. Other processes no longer count this process.
func (g *SiblingGroup) Leave() {
	_ = os.Remove(filepath.Join(g.dir, g.name))
	g.file.Close()
	g.records.close()
}

// lockExclusive locks a file exclusively until it is closed. It fails at once if the file is already locked.
func lockExclusive(file *os.File) error {
	return syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
}

// siblingRunning reports whether a process holds the lock of the file at path. It removes the file if no process does.
func siblingRunning(path string) (bool, error) {
	file, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	defer file.Close()
	if syscall.Flock(int(file.Fd()), syscall.LOCK_SH|syscall.LOCK_NB) != nil {
		return true, nil
	}
	_ = os.Remove(path) // another process may have removed the file already
	return false, nil
}
