package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestEmulate guards against runs of one seed that differ, and against an invalid file or flag that is not reported with its place.
func TestEmulate(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good := file("good.toml", "length = \"3s\"\ninstances = 4\nservers = 6\n[clients]\nrate = 80\n")
	code, out, errs := runCLI("emulate", "--runs", "3", good)
	if code != 0 || !strings.Contains(out, "over 3 runs") || !strings.Contains(out, " +- ") {
		t.Errorf("exit %d\n%s%s", code, out, errs)
	}
	if _, again, _ := runCLI("emulate", "--runs", "3", good); again != out {
		t.Error("the same seeds gave different results")
	}
	if code, out, _ := runCLI("emulate", "--runs", "2", "--json", good); code != 0 || strings.Count(out, "\"seed\":") != 2 {
		t.Errorf("exit %d\n%s", code, out)
	}
	for path, want := range map[string]string{
		file("bad.toml", "servers = 3\nspeed = 1\n"): "bad.toml:2: speed: unknown key", filepath.Join(dir, "none"): "none",
	} {
		if code, _, errs := runCLI("emulate", path); code != exitUsage || !strings.Contains(errs, want) {
			t.Errorf("%s: exit %d: %s", path, code, errs)
		}
	}
	if code, _, errs := runCLI("emulate", "--runs", "0", good); code != exitUsage || !strings.Contains(errs, "--runs") {
		t.Errorf("exit %d: %s", code, errs)
	}
	if code, _, errs := runCLI("emulate", "--runs", "1", filepath.Join("..", "..", "deploy", "day.toml")); code != 0 {
		t.Errorf("the worked example: exit %d: %s", code, errs)
	}
}
