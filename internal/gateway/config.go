package gateway

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"time"

	"sorrelrudder/internal/admin"
	"sorrelrudder/internal/discovery"
	"sorrelrudder/internal/downstream"
	"sorrelrudder/internal/pool"
	"sorrelrudder/internal/route"
	"sorrelrudder/internal/settings"
)

const (
	// MinMemoryMB is the least memory that a process can work with, in megabytes.
	MinMemoryMB = 24
	// MinDescriptors is the least number of descriptors for connections that a process can work with.
	MinDescriptors = 64
	// MinStatsInterval bounds how often statistics are logged.
	MinStatsInterval = 100 * time.Millisecond
	// adminDescriptors is how many descriptors the admin server takes: its listener and its connections.
	adminDescriptors = 1 + admin.MaxConnections
)

// Config is the configuration of a process.
type Config struct {
	Name        string
	MemoryMB    int // the process is killed above it
	Descriptors int // that the process may hold
	// MaxDrain bounds how long open requests may take after SIGTERM, beyond the window for new connections; then they are
	// given up. 0: as long as the longest deadline.
	MaxDrain     time.Duration
	Listeners    []Listener
	Pools        []Pool
	Routes       []route.Route // none: all requests are for the only pool
	AdminAddress string        // of the admin server; empty: none. It is read at the start only

	// StatsInterval is how often each pool's statistics are logged; 0: never. It is read as a pool starts.
	StatsInterval time.Duration
}

// Listener is a socket at which clients, or other sites, connect. It is comparable: one that differs is another listener.
type Listener struct {
	Name, Address string
	FD            int  // above 0: the descriptor of an inherited listening socket, in place of Address
	InterSite     bool // other sites connect here, see Extension
	TLS           TLS
	H2C           bool // HTTP/2 without TLS, for clients with prior knowledge of it
}

// TLS is how a listener uses TLS. The zero value is no TLS.
type TLS struct {
	KeyPairs          string // files of certificates and their keys, one "CERTIFICATE\tKEY" a line
	ClientCAFile      string // file with the authorities of client certificates; empty: none are asked for
	RequireClientCert bool
	HTTP2             bool
}

// ListenerProtocols are what listeners can speak beside HTTP/1.1 without TLS.
type ListenerProtocols struct {
	Multiplexed downstream.MultiplexedProtocol // nil: none
	// TLSConfig makes the TLS configuration of a listener, and keeps it up to date until ctx ends; nil: no TLS.
	TLSConfig func(ctx context.Context, t TLS) (*tls.Config, error)
}

// Pool is the configuration of one pool. Its endpoint list comes from a discovery service or is StaticEndpoints.
type Pool struct {
	Name            string
	Settings        settings.Settings
	Discovery       string // address of the discovery service; empty: StaticEndpoints
	StaticEndpoints []discovery.Endpoint
	CachedList      *discovery.EndpointList // discovery's list as it was last known, or nil
	Seed            uint64                  // of the policy's random numbers; 0: a random one
	Limits          Limits
	Dialect         pool.BackendProtocol // how its clients and servers speak; nil: the platform's protocol
}

// Limits is what a pool may use of the process. Of each resource, half is reserved for the pools by their weights; the
// rest goes to the first that asks.
type Limits struct {
	Weight                float64 // relative to the other pools, above 0
	Rate                  float64 // requests a second; 0: no limit
	Burst                 float64 // requests at once beyond the rate
	OpenRequests          int64   // requests open at once; 0: no limit
	BodyBytes             int64   // bytes of bodies of open requests; 0: no limit
	Descriptors           int64   // connections to servers; 0: no limit
	QueueWithoutEndpoints bool    // requests wait while the list names no server, and else are rejected
}

// Validate returns all errors of c that cannot be seen by looking at one setting alone, joined.
func (c *Config) Validate() error {
	var errs []error
	if c.MemoryMB < MinMemoryMB {
		errs = append(errs, fmt.Errorf("the memory is %d MB, below %d", c.MemoryMB, MinMemoryMB))
	}
	if c.StatsInterval != 0 && c.StatsInterval < MinStatsInterval {
		errs = append(errs, fmt.Errorf("figures every %v, more often than every %v", c.StatsInterval, MinStatsInterval))
	}
	if n := c.usableDescriptors(); n < MinDescriptors {
		errs = append(errs, fmt.Errorf("%d descriptors are left for connections beside listeners and discoveries, below %d", n, MinDescriptors))
	}
	errs = append(errs, c.validatePools()...)
	return errors.Join(errs...)
}

func (c *Config) validatePools() (errs []error) {
	if len(c.Pools) == 0 {
		errs = append(errs, errors.New("there is no pool"))
	}
	names := map[string]bool{}
	for _, p := range c.Pools {
		switch {
		case names[p.Name]:
			errs = append(errs, fmt.Errorf("pool %q is there twice", p.Name))
		case !(p.Limits.Weight > 0): // NaN too
			errs = append(errs, fmt.Errorf("pool %q has weight %v, not above 0", p.Name, p.Limits.Weight))
		}
		names[p.Name] = true
	}
	if len(c.Routes) == 0 && len(c.Pools) > 1 {
		errs = append(errs, errors.New("there are several pools and no route"))
	}
	for _, r := range c.Routes {
		if !names[r.Pool] {
			errs = append(errs, fmt.Errorf("route %q leads to pool %q, which is not there", r.Name, r.Pool))
		}
	}
	return errs
}
