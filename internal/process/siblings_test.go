package process

import (
	"os"
	"path/filepath"
	"testing"
)

// TestSiblingGroup guards against counting oneself or those that have ended, by whatever way, and against missing one that lives.
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
			t.Errorf("%d others, %v, want %d", n, err, want)
		}
	}
	a := join()
	count(a, 0)
	b := join()
	count(a, 1)
	count(b, 1)
	b.file.Close() // as if it had been killed: its file stays, its lock does not
	count(a, 0)
	if _, err := os.Stat(filepath.Join(dir, b.name)); !os.IsNotExist(err) {
		t.Errorf("the file of one that has ended stays: %v", err)
	}
	d := join()
	a.Leave()
	count(d, 0)
	d.Leave()
	if left, _ := os.ReadDir(dir); len(left) > 0 {
		t.Errorf("%d files are left", len(left))
	}
	if _, err := JoinSiblingGroup(filepath.Join(dir, "missing")); err == nil {
		t.Error("joined in a folder that is not there")
	}
}
