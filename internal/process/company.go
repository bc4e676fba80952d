package process

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
)

// siblingFilePrefix begins the names of the files by which the processes of one sidecar know of each other.
const siblingFilePrefix = "sorrelrudder-process-"

// SiblingGroup is the processes that share a folder: while one takes the place of another, both together may hold no more than
// either alone. Each keeps a file there locked for as long as it lives. A lock ends with its process, however that ends, and
// holds across whatever hides one process from another; a process number would do neither.
type SiblingGroup struct {
	dir  string
	name string
	file *os.File
}

// JoinSiblingGroup joins the processes that share dir. It ends with Leave.
func JoinSiblingGroup(dir string) (*SiblingGroup, error) {
	file, err := os.CreateTemp(dir, "joining-*")
	if err != nil {
		return nil, fmt.Errorf("company: %w", err)
	}
	c := &SiblingGroup{dir: dir, file: file}
	// Locked before it has its name: one found unlocked under such a name counts as left over.
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err == nil {
		c.name = siblingFilePrefix + strings.TrimPrefix(filepath.Base(file.Name()), "joining-")
		err = os.Rename(file.Name(), filepath.Join(dir, c.name))
	}
	if err != nil {
		file.Close()
		os.Remove(file.Name())
		return nil, fmt.Errorf("company: %w", err)
	}
	return c, nil
}

// Others is how many other processes there are now. Files of those that have ended are removed.
func (c *SiblingGroup) Others() (int, error) {
	entries, err := os.ReadDir(c.dir)
	if err != nil {
		return 0, fmt.Errorf("company: %w", err)
	}
	others := 0
	for _, e := range entries {
		if !strings.HasPrefix(e.Name(), siblingFilePrefix) || e.Name() == c.name {
			continue
		}
		path := filepath.Join(c.dir, e.Name())
		file, err := os.Open(path)
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return 0, fmt.Errorf("company: %w", err)
		}
		if syscall.Flock(int(file.Fd()), syscall.LOCK_SH|syscall.LOCK_NB) != nil {
			others++
		} else {
			os.Remove(path)
		}
		file.Close()
	}
	return others, nil
}

// Leave ends the membership.
func (c *SiblingGroup) Leave() {
	os.Remove(filepath.Join(c.dir, c.name))
	c.file.Close()
}
