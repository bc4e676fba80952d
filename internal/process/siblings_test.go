package process

import (
	"os"
	"path/filepath"
	"testing"
)

// TestSiblingGroup guards against counting the process itself or a process that has ended in any way, and against missing a running
// process.
func TestSiblingGroup(t *testing.T) {
	dir := t.TempDir()
	join := func() *SiblingGroup {
		t.Helper()
		c, err := JoinSiblingGroup(dir)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	count := func(c *SiblingGroup, want int) {
		t.Helper()
		if n, err := c.Others(); err != nil || n != want {
			t.Errorf("got %d other processes, error %v, want %d", n, err, want)
		}
	}
	a := join()
	count(a, 0)
	b := join()
	count(a, 1)
	count(b, 1)
	b.file.Close() // like a killed process: its file remains, its lock is released
	count(a, 0)
	if _, err := os.Stat(filepath.Join(dir, b.name)); !os.IsNotExist(err) {
		t.Errorf("the file of an ended process was not removed: %v", err)
	}
	d := join()
	a.Leave()
	count(d, 0)
	d.Leave()
	if left, _ := os.ReadDir(dir); len(left) > 0 {
		t.Errorf("%d files are left, want none", len(left))
	}
	if _, err := JoinSiblingGroup(filepath.Join(dir, "missing")); err == nil {
		t.Error("joined a group in a missing directory, want an error")
	}
}
