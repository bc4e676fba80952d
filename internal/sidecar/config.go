// Package sidecar is one sidecar of the platform: a gateway with one pool, and what the platform tells it. It knows neither the
// operator's file nor anything that only the product needs.
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

// Config configures one sidecar.
type Config struct {
	Name            string
	Listen          string // address for clients
	Discovery       string // address of the discovery service
	discoveryInFile string // what the file says of it, whatever the environment does
	Seed            uint64 // of the decision module's random choices
	MemoryMB        int    // the sidecar is killed over it
	MaxDescriptors  int    // file descriptors that the process may hold
	CachedList      *discovery.EndpointList
	Settings        settings.Settings
	AdminAddress    string        // address of the operators' endpoint; empty: none
	StatsInterval   time.Duration // how often statistics are logged; 0: never
	ListenerFD      int           // above 0: the descriptor of the listening socket, which the platform holds
	siblings        int           // other processes of this sidecar that are alive
	SharedDir       string        // TMPDIR: the folder shared with sibling processes, where the platform holds the socket; empty: none is looked for
}

const (
	// defaultMemoryMB and defaultMaxDescriptors are taken where the configuration gives no limit.
	defaultMemoryMB       = 128
	defaultMaxDescriptors = 1024
	// highestStandardFD is the descriptor of the standard error stream: a listening socket has a higher one.
	highestStandardFD = 2
)

// configFile is the form of the file that GW_CONFIG names.
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

type fileLimits struct {
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// notSetError is that a variable or a key has no value. It is its name.
type notSetError string

func (e notSetError) Error() string { return string(e) + " is not set" }

// LoadConfig reads the file that GW_CONFIG names; GW_NAME, GW_LISTEN, GW_DISCOVERY and GW_ADMIN have precedence over it. GW_FD is the
// descriptor of the listening socket, where the platform holds it. An error names the variable or the key at fault.
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

// readConfigFile reads the file at path.
func readConfigFile(path string) (*configFile, error) {
	if path == "" {
		return nil, notSetError("GW_CONFIG")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	var file configFile
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, fmt.Errorf("GW_CONFIG %s: %w", path, err)
	}
	return &file, nil
}

// newConfig returns what the file says of addresses and limits.
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

// overrideBy takes the variables of the environment that have precedence over the file.
func (c *Config) overrideBy(getenv func(string) string) {
	for name, value := range map[string]*string{
		"GW_NAME": &c.Name, "GW_LISTEN": &c.Listen, "GW_DISCOVERY": &c.Discovery, "GW_ADMIN": &c.AdminAddress,
	} {
		if v := getenv(name); v != "" {
			*value = v
		}
	}
}

func (c *Config) checkAddressesAndLimits() error {
	switch {
	case c.Listen == "":
		return notSetError("listen")
	case c.Discovery == "":
		return notSetError("discovery")
	case c.MemoryMB < gateway.MinMemoryMB:
		return fmt.Errorf("limits.memory_mb is %d, below %d", c.MemoryMB, gateway.MinMemoryMB)
	case c.MaxDescriptors < gateway.MinDescriptors:
		return fmt.Errorf("limits.sockets is %d, below %d", c.MaxDescriptors, gateway.MinDescriptors)
	}
	return nil
}

func (c *Config) parseSeed(text string) (err error) {
	if text == "" {
		return nil
	}
	if c.Seed, err = strconv.ParseUint(text, 16, 64); err != nil {
		return fmt.Errorf("seed: %w", err)
	}
	return nil
}

func (c *Config) parseStatsInterval(text string) (err error) {
	if text == "" {
		return nil
	}
	if c.StatsInterval, err = time.ParseDuration(text); err != nil || c.StatsInterval < gateway.MinStatsInterval {
		return fmt.Errorf("GW_FIGURES_EVERY is %q, no time of %v or more", text, gateway.MinStatsInterval)
	}
	return nil
}

// parseListenerFD reads what the platform says where it holds the listening socket.
func (c *Config) parseListenerFD(getenv func(string) string) (err error) {
	text := getenv("GW_FD")
	if text == "" {
		return nil
	}
	if c.ListenerFD, err = strconv.Atoi(text); err != nil || c.ListenerFD <= highestStandardFD {
		return fmt.Errorf("GW_FD is %q, not a descriptor above %d", text, highestStandardFD)
	}
	c.SharedDir = getenv("TMPDIR")
	c.Seed ^= uint64(os.Getpid()) << 32 // both processes of an upgrade are given the same
	return nil
}

func (c *Config) parseCachedList(text json.RawMessage) (err error) {
	if len(text) == 0 || string(text) == "null" {
		return nil
	}
	if c.CachedList, err = discovery.ParseEndpointList(text); err != nil {
		return fmt.Errorf("known: %w", err)
	}
	return nil
}
