// Package sidecar implements a sidecar of the platform: a gateway with one pool that is configured by the platform. It does not depend on
// the operator's configuration file or on features that only the gateway product needs.
package sidecar

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"strconv"
	"time"

	"sorrelrudder/internal/discovery"
	"sorrelrudder/internal/gateway"
	"sorrelrudder/internal/settings"
)

// Config is the configuration of one sidecar.
type Config struct {
	Name            string
	Listen          string // address for clients
	Discovery       string // address of the discovery service
	discoveryInFile string // address of the discovery service in the file, regardless of the environment
	Seed            uint64 // seeds the decision module's random choices
	MemoryMB        int    // memory limit in megabytes; the platform kills a sidecar that exceeds it
	MaxDescriptors  int    // maximum number of open file descriptors
	CachedList      *discovery.EndpointList
	Settings        settings.Settings
	AdminAddress    string        // address of the admin server; empty: none
	StatsInterval   time.Duration // interval between log lines of statistics; 0: none
	ListenerFD      int           // descriptor of the listening socket if the platform holds it; 0: the sidecar opens the socket
	siblings        int           // number of other live processes of this sidecar
	SharedDir       string        // TMPDIR if the platform holds the socket: directory shared with sibling processes; empty: none
}

const (
	// defaultMemoryMB and defaultMaxDescriptors are used where the configuration has no limit.
	defaultMemoryMB       = 128
	defaultMaxDescriptors = 1024
	// highestStandardFD is the descriptor of standard error. The descriptor of a listening socket must be higher.
	highestStandardFD = 2
)

// configFile is the content of the file that GW_CONFIG names.
type configFile struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"` // hexadecimal
	Admin     string          `json:"admin"`
	Limits    fileLimits      `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// fileLimits holds the limits of the process. A limit of 0 selects the default.
type fileLimits struct {
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// notSetError is the name of an environment variable or key that has no value.
type notSetError string

// Error implements error.
func (e notSetError) Error() string { return string(e) + " is not set" }

// LoadConfig reads the configuration file that GW_CONFIG names. GW_NAME, GW_LISTEN, GW_DISCOVERY and GW_ADMIN take precedence over the
// file. GW_FIGURES_EVERY is the interval of statistics. If the platform holds the listening socket, GW_FD is its descriptor and TMPDIR the
// shared directory. An error names the invalid variable or key.
func LoadConfig(getenv func(string) string) (Config, error) {
	file, err := readConfigFile(getenv("GW_CONFIG"))
	if err != nil {
		return Config{}, err
	}
	c := newConfig(file)
	c.overrideBy(getenv)
	if err := c.checkAddressesAndLimits(); err != nil {
		return Config{}, err
	}
	if len(file.Settings) == 0 {
		return Config{}, notSetError("settings")
	}
	if err := c.parseSeed(file.Seed); err != nil {
		return Config{}, err
	}
	if err := c.parseStatsInterval(getenv("GW_FIGURES_EVERY")); err != nil {
		return Config{}, err
	}
	if err := c.parseListenerFD(getenv); err != nil {
		return Config{}, err
	}
	if err := c.parseCachedList(file.Known); err != nil {
		return Config{}, err
	}
	c.Settings, err = settings.Parse(file.Settings)
	if err != nil {
		return Config{}, err
	}
	return c, nil
}

// readConfigFile reads and decodes the file at path, the value of GW_CONFIG.
func readConfigFile(path string) (*configFile, error) {
	if path == "" {
		return nil, notSetError("GW_CONFIG")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read GW_CONFIG file: %w", err)
	}
	var file configFile
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, fmt.Errorf("decode GW_CONFIG file %s: %w", path, err)
	}
	return &file, nil
}

// newConfig returns a configuration with the addresses and limits of the file, or the default limits.
func newConfig(file *configFile) Config {
	c := Config{
		Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, AdminAddress: file.Admin, discoveryInFile: file.Discovery,
		MemoryMB: defaultMemoryMB, MaxDescriptors: defaultMaxDescriptors,
	}
	if file.Limits.MemoryMB != 0 {
		c.MemoryMB = int(min(file.Limits.MemoryMB, math.MaxInt32))
	}
	if file.Limits.Sockets != 0 {
		c.MaxDescriptors = file.Limits.Sockets
	}
	return c
}

// overrideBy applies the environment variables that take precedence over the file.
func (c *Config) overrideBy(getenv func(string) string) {
	for name, value := range map[string]*string{
		"GW_NAME": &c.Name, "GW_LISTEN": &c.Listen, "GW_DISCOVERY": &c.Discovery, "GW_ADMIN": &c.AdminAddress,
	} {
		if v := getenv(name); v != "" {
			*value = v
		}
	}
}

// checkAddressesAndLimits checks that the required addresses are set and that the limits are not below their minimum.
func (c *Config) checkAddressesAndLimits() error {
	switch {
	case c.Listen == "":
		return notSetError("listen")
	case c.Discovery == "":
		return notSetError("discovery")
	case c.MemoryMB < gateway.MinMemoryMB:
		return fmt.Errorf("limits.memory_mb is %d, want at least %d", c.MemoryMB, gateway.MinMemoryMB)
	case c.MaxDescriptors < gateway.MinDescriptors:
		return fmt.Errorf("limits.sockets is %d, want at least %d", c.MaxDescriptors, gateway.MinDescriptors)
	}
	return nil
}

// parseSeed parses the seed, a hexadecimal number. An empty text leaves it 0.
func (c *Config) parseSeed(text string) (err error) {
	if text == "" {
		return nil
	}
	if c.Seed, err = strconv.ParseUint(text, 16, 64); err != nil {
		return fmt.Errorf("parse seed as a hexadecimal 64-bit number: %w", err)
	}
	return nil
}

// parseStatsInterval parses the value of GW_FIGURES_EVERY. An empty text leaves statistics disabled.
func (c *Config) parseStatsInterval(text string) (err error) {
	if text == "" {
		return nil
	}
	if c.StatsInterval, err = time.ParseDuration(text); err != nil || c.StatsInterval < gateway.MinStatsInterval {
		return fmt.Errorf("GW_FIGURES_EVERY is %q, want a duration of at least %v", text, gateway.MinStatsInterval)
	}
	return nil
}

// parseListenerFD reads the variables that the platform sets if it holds the listening socket: GW_FD and TMPDIR. It also makes the seed
// unique to this process. Without GW_FD it changes nothing.
func (c *Config) parseListenerFD(getenv func(string) string) (err error) {
	text := getenv("GW_FD")
	if text == "" {
		return nil
	}
	if c.ListenerFD, err = strconv.Atoi(text); err != nil || c.ListenerFD <= highestStandardFD {
		return fmt.Errorf("GW_FD is %q, want a file descriptor above %d", text, highestStandardFD)
	}
	c.SharedDir = getenv("TMPDIR")
	c.Seed ^= uint64(os.Getpid()) << 32 // both processes of an upgrade get the same seed from the file
	return nil
}

// parseCachedList parses the cached endpoint list. An absent or null list leaves CachedList nil.
func (c *Config) parseCachedList(text json.RawMessage) (err error) {
	if len(text) == 0 || string(text) == "null" {
		return nil
	}
	if c.CachedList, err = discovery.ParseEndpointList(text); err != nil {
		return fmt.Errorf("parse cached endpoint list in key known: %w", err)
	}
	return nil
}
