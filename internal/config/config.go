// Package config reads the operator's configuration file in TOML: listeners, pools, routes, sites and the fleet. It reports every error
// with its file, line and key. It prints the configuration with all defaults. Keys and values of the file that are named differently in
// the code are translated in this package only.
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

// maxFileBytes is the maximum size of a file. A file with 1,000 pools has about 1 MiB.
const maxFileBytes = 16 << 20

const (
	day = 24 * time.Hour
	// maxCount is the maximum of most settings that are counts.
	maxCount = 1 << 20
)

// File is an operator's configuration file that was read without errors.
type File struct {
	Gateway   gateway.Config
	Cores     int              // GOMAXPROCS of the process
	Warnings  []string         // settings that are valid but may be dangerous
	SiteLinks *sitelink.Config // nil if the process has no peers at other sites
	Fleet     *fleet.Config    // nil if the process is not a member of a fleet
	root      *section
}

// Load reads and parses the file at path. The error is an Errors if the content is invalid; any other error says why the file
// could not be read.
func Load(path string) (*File, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("%s has %d bytes, more than the maximum of %d", path, info.Size(), maxFileBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse parses text, the content of file. The error is an Errors with all errors of the file; if text is not valid TOML, only
// the first syntax error is in it.
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

// String returns the file as TOML with all defaults. Parsing the result gives the same configuration.
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

// readProcess reads the table process, which sets the limits of the process, and returns it.
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
