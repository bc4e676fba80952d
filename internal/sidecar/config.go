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
	Name      string
	Listen    string // where clients connect
	Discovery string // address of discovery
	filed     string // what the file says of it, whatever the environment does
	Seed      uint64
	MemoryMB  int // the sidecar is killed over it
	Sockets   int // descriptors that the process may hold
	Known     *discovery.List
	Settings  settings.Settings
	Admin     string        // address of the operators' door; empty: none
	Figures   time.Duration // how often the log is told what it saw and did; 0: never
	FD        int           // above 0: the descriptor of the listening socket, which the platform holds
	beside    int           // other processes of this sidecar that are alive
	Shared    string        // the folder that it shares with the process whose place it takes, where the platform holds the socket
}

// The limits taken where the configuration gives none.
const (
	usualMemoryMB = 128
	usualSockets  = 1024
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
		Admin: file.Admin, filed: file.Discovery, MemoryMB: usualMemoryMB, Sockets: usualSockets,
	}
	for name, value := range map[string]*string{
		"GW_NAME": &c.Name, "GW_LISTEN": &c.Listen, "GW_DISCOVERY": &c.Discovery, "GW_ADMIN": &c.Admin,
	} {
		if v := getenv(name); v != "" {
			*value = v
		}
	}
	if file.Limits.MemoryMB != 0 {
		c.MemoryMB = int(min(file.Limits.MemoryMB, math.MaxInt32))
	}
	if file.Limits.Sockets != 0 {
		c.Sockets = file.Limits.Sockets
	}
	switch {
	case c.Listen == "":
		return Config{}, errors.New("listen is not set")
	case c.Discovery == "":
		return Config{}, errors.New("discovery is not set")
	case c.MemoryMB < gateway.LeastMemoryMB:
		return Config{}, fmt.Errorf("limits.memory_mb is %d, below %d", c.MemoryMB, gateway.LeastMemoryMB)
	case c.Sockets < gateway.LeastDescriptors:
		return Config{}, fmt.Errorf("limits.sockets is %d, below %d", c.Sockets, gateway.LeastDescriptors)
	case len(file.Settings) == 0:
		return Config{}, errors.New("settings is not set")
	}
	if file.Seed != "" {
		if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
			return Config{}, fmt.Errorf("seed: %w", err)
		}
	}
	if v := getenv("GW_FIGURES_EVERY"); v != "" {
		if c.Figures, err = time.ParseDuration(v); err != nil || c.Figures < gateway.LeastFiguresEvery {
			return Config{}, fmt.Errorf("GW_FIGURES_EVERY is %q, no time of %v or more", v, gateway.LeastFiguresEvery)
		}
	}
	if v := getenv("GW_FD"); v != "" {
		if c.FD, err = strconv.Atoi(v); err != nil || c.FD <= 2 {
			return Config{}, fmt.Errorf("GW_FD is %q, not a descriptor above 2", v)
		}
		c.Shared = getenv("TMPDIR")
		c.Seed ^= uint64(os.Getpid()) << 32 // both processes of an upgrade are given the same
	}
	if len(file.Known) > 0 && string(file.Known) != "null" {
		if c.Known, err = discovery.ParseList(file.Known); err != nil {
			return Config{}, fmt.Errorf("known: %w", err)
		}
	}
	if c.Settings, err = settings.Parse(file.Settings); err != nil {
		return Config{}, err
	}
	return c, nil
}
