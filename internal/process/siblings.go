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
	// siblingFilePrefix begins the names of the files by which the processes of one sidecar know of each other.
	siblingFilePrefix = "sorrelrudder-process-"
	// joiningFilePrefix begins the name of such a file until it is locked.
	joiningFilePrefix = "joining-"
)

// SiblingGroup is the membership of this process among those that share a folder: while one takes the place of another, both together
// may hold no more than either alone. Each keeps a file there locked for as long as it lives. A lock ends with its process, however
// that ends, and holds across whatever hides one process from another; a process number would do neither.
type SiblingGroup struct {
	dir  string
	name string // of this process's file; empty: the others do not know of this process
	file *os.File
}

// JoinSiblingGroup joins the processes that share dir. It ends with Leave.
func JoinSiblingGroup(dir string) (*SiblingGroup, error) {
	file, err := os.CreateTemp(dir, joiningFilePrefix+"*")
	if err != nil {
		return nil, fmt.Errorf("company: %w", err)
	}
	g := &SiblingGroup{dir: dir, file: file}
	// Locked before it has its name: a file found unlocked under such a name counts as left over. Errors of the lock and of the
	// renaming are not reported; the others then do not know of this process.
	if lockExclusive(file) == nil {
		g.name = siblingFilePrefix + strings.TrimPrefix(filepath.Base(file.Name()), joiningFilePrefix)
		_ = os.Rename(file.Name(), filepath.Join(dir, g.name))
	}
	return g, nil
}

// Others returns how many other processes there are now. It removes the files of those that have ended.
func (g *SiblingGroup) Others() (int, error) {
	entries, err := os.ReadDir(g.dir)
	if err != nil {
		return 0, fmt.Errorf("company: %w", err)
	}
	others := 0
	for _, e := range entries {
		if !strings.HasPrefix(e.Name(), siblingFilePrefix) || e.Name() == g.name {
			continue
		}
		lives, err := siblingLives(filepath.Join(g.dir, e.Name()))
		if err != nil {
			return 0, fmt.Errorf("company: %w", err)
		}
		if lives {
			others++
		}
	}
	return others, nil
}

// Leave ends the membership.
func (g *SiblingGroup) Leave() {
	_ = os.Remove(filepath.Join(g.dir, g.name))
	g.file.Close()
}

// lockExclusive locks a file for as long as it is open, without waiting.
func lockExclusive(file *os.File) error {
	return syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
}

// siblingLives reports whether a process holds the lock of the file at path, and removes the file if none does.
func siblingLives(path string) (bool, error) {
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
	_ = os.Remove(path) // another process may have been faster
	return false, nil
}
