// Package sidecar is what the platform tells one of its sidecars, and that as a gateway with one pool. It knows neither the
// operator's file nor anything that only the product needs.
package sidecar

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"strconv"
	"time"

	"sorrelrudder/internal/discovery"
	"sorrelrudder/internal/gateway"
	"sorrelrudder/internal/settings"
)

// Config is what one sidecar is told at its start.
type Config struct {
	Name            string
	Listen          string // where clients connect
	Discovery       string // address of discovery
	discoveryInFile string // what the file says of it, whatever the environment does
	Seed            uint64
	MemoryMB        int // the sidecar is killed over it
	MaxDescriptors  int // descriptors that the process may hold
	CachedList      *discovery.EndpointList
	Settings        settings.Settings
	AdminAddress    string        // address of the operators' door; empty: none
	StatsInterval   time.Duration // how often the log is told what it saw and did; 0: never
	ListenerFD      int           // above 0: the descriptor of the listening socket, which the platform holds
	siblings        int           // other processes of this sidecar that are alive
	SharedDir       string        // the folder that it shares with the process whose place it takes, where the platform holds the socket
}

// The limits taken where the configuration gives none.
const (
	defaultMemoryMB       = 128
	defaultMaxDescriptors = 1024
)

// LoadConfig reads the file that GW_CONFIG names; GW_NAME, GW_LISTEN, GW_DISCOVERY and GW_ADMIN have precedence over
// it. GW_FD names the listening socket, where the platform holds it. An error names the variable or the key at fault.
func LoadConfig(getenv func(string) string) (Config, error) {
	path := getenv("GW_CONFIG")
	if path == "" {
		return Config{}, errors.New("GW_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("GW_CONFIG: %w", err)
	}
	var file struct {
		Name      string `json:"name"`
		Listen    string `json:"listen"`
		Discovery string `json:"discovery"`
		Seed      string `json:"seed"`
		Admin     string `json:"admin"`
		Limits    struct {
			MemoryMB float64 `json:"memory_mb"`
			Sockets  int     `json:"sockets"`
		} `json:"limits"`
		Known    json.RawMessage `json:"known"`
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return Config{}, fmt.Errorf("GW_CONFIG %s: %w", path, err)
	}
	c := Config{
		Name: file.Name, Listen: file.Listen, Discovery: file.Discovery,
		AdminAddress: file.Admin, discoveryInFile: file.Discovery, MemoryMB: defaultMemoryMB, MaxDescriptors: defaultMaxDescriptors,
	}
	for name, value := range map[string]*string{
		"GW_NAME": &c.Name, "GW_LISTEN": &c.Listen, "GW_DISCOVERY": &c.Discovery, "GW_ADMIN": &c.AdminAddress,
	} {
		if v := getenv(name); v != "" {
			*value = v
		}
	}
	if file.Limits.MemoryMB != 0 {
		c.MemoryMB = int(min(file.Limits.MemoryMB, math.MaxInt32))
	}
	if file.Limits.Sockets != 0 {
		c.MaxDescriptors = file.Limits.Sockets
	}
	switch {
	case c.Listen == "":
		return Config{}, errors.New("listen is not set")
	case c.Discovery == "":
		return Config{}, errors.New("discovery is not set")
	case c.MemoryMB < gateway.MinMemoryMB:
		return Config{}, fmt.Errorf("limits.memory_mb is %d, below %d", c.MemoryMB, gateway.MinMemoryMB)
	case c.MaxDescriptors < gateway.MinDescriptors:
		return Config{}, fmt.Errorf("limits.sockets is %d, below %d", c.MaxDescriptors, gateway.MinDescriptors)
	case len(file.Settings) == 0:
		return Config{}, errors.New("settings is not set")
	}
	if file.Seed != "" {
		if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
			return Config{}, fmt.Errorf("seed: %w", err)
		}
	}
	if v := getenv("GW_FIGURES_EVERY"); v != "" {
		if c.StatsInterval, err = time.ParseDuration(v); err != nil || c.StatsInterval < gateway.MinStatsInterval {
			return Config{}, fmt.Errorf("GW_FIGURES_EVERY is %q, no time of %v or more", v, gateway.MinStatsInterval)
		}
	}
	if v := getenv("GW_FD"); v != "" {
		if c.ListenerFD, err = strconv.Atoi(v); err != nil || c.ListenerFD <= 2 {
			return Config{}, fmt.Errorf("GW_FD is %q, not a descriptor above 2", v)
		}
		c.SharedDir = getenv("TMPDIR")
		c.Seed ^= uint64(os.Getpid()) << 32 // both processes of an upgrade are given the same
	}
	if len(file.Known) > 0 && string(file.Known) != "null" {
		if c.CachedList, err = discovery.ParseEndpointList(file.Known); err != nil {
			return Config{}, fmt.Errorf("known: %w", err)
		}
	}
	if c.Settings, err = settings.Parse(file.Settings); err != nil {
		return Config{}, err
	}
	return c, nil
}
