// Package config reads the operator's file: listeners, pools, routes, sites and the fleet, in TOML. It reports every error with its
// file, line and key, writes out what it read with all defaults, and returns the configuration of the process. The words of the
// file are mapped to the terms of the code here and nowhere else.
package config

import (
	"fmt"
	"os"
	"strings"
	"time"

	"sorrelrudder/internal/fleet"
	"sorrelrudder/internal/gateway"
	"sorrelrudder/internal/sitelink"
)

// maxFileBytes bounds a file: 1,000 pools take some 1 MiB.
const maxFileBytes = 16 << 20

const (
	day      = 24 * time.Hour
	maxCount = 1 << 20
)

// File is an operator's file as it was read.
type File struct {
	Gateway   gateway.Config
	Cores     int              // that may run Go code at once
	Warnings  []string         // what is allowed and may be dangerous
	SiteLinks *sitelink.Config // nil: the process has no peers at other sites
	Fleet     *fleet.Config    // nil: the process is in no fleet
	root      *section
}

// Load reads the file at path. The error is an Errors, or says why the file cannot be read.
func Load(path string) (*File, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("%s has %d bytes, over %d", path, info.Size(), maxFileBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse reads text, which is the content of file. The error is an Errors with everything that is wrong.
func Parse(file string, text []byte) (*File, error) {
	tree, err := parseTree(file, text)
	if err != nil {
		return nil, err
	}
	r := &reader{file: file}
	f := &File{root: r.section(tree)}
	f.read(r)
	if len(r.errs) > 0 {
		return nil, r.errs.sorted()
	}
	return f, nil
}

// String returns the file with all defaults written out. It reads as the same configuration.
func (f *File) String() string {
	var b strings.Builder
	f.root.write(&b, "")
	return strings.TrimLeft(b.String(), "\n")
}

func (f *File) read(r *reader) {
	process := f.readProcess()
	f.readListeners(r)
	f.readSite(r)
	names, pools := f.readPools(r)
	f.readRoutes(r, names, pools)
	f.readFleet(r)
	f.root.finish()
	if len(r.errs) > 0 {
		return
	}
	if err := f.Gateway.Validate(); err != nil {
		r.fail(process.node, "%v", err)
	}
}

// readProcess reads the limits of the process, and returns their table.
func (f *File) readProcess() *section {
	c := &f.Gateway
	process := f.root.table("process")
	c.Name = process.text("name", "sorrelrudder")
	c.MemoryMB = int(process.size("memory", 192<<20, gateway.MinMemoryMB<<20, 1<<40) >> 20)
	c.StatsInterval = process.duration("figures_every", 0, 0, time.Hour)
	c.Descriptors = int(process.integer("descriptors", 1024, gateway.MinDescriptors, maxCount))
	f.Cores = int(process.integer("cores", 1, 1, 256))
	process.finish()
	return process
}
