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
	// MinMemoryMB is the smallest memory limit of a process, in megabytes.
	MinMemoryMB = 24
	// MinDescriptors is the smallest number of file descriptors that a process needs for connections.
	MinDescriptors = 64
	// MinStatsInterval is the shortest interval at which statistics may be logged.
	MinStatsInterval = 100 * time.Millisecond
	// adminDescriptors is the number of file descriptors that the admin server uses: its listener and its connections.
	adminDescriptors = 1 + admin.MaxConnections
)

// Config is the configuration of a proxy process.
type Config struct {
	Name        string
	MemoryMB    int // memory limit; the process is killed when it uses more
	Descriptors int // maximum number of open file descriptors of the process
	// MaxDrain bounds the time for open requests after SIGTERM, counted from the end of the window in which new connections are accepted.
	// Requests that are still open then are aborted. 0 means the longest request deadline of all pools.
	MaxDrain     time.Duration
	Listeners    []Listener
	Pools        []Pool
	Routes       []route.Route // empty: all requests go to the only pool
	AdminAddress string        // listen address of the admin server, read only at start; empty: no admin server

	// StatsInterval is the interval at which statistics of each pool are logged; 0 disables them. It is read when a pool starts.
	StatsInterval time.Duration
}

// Listener is the configuration of a listening socket for clients or for other sites. It is comparable: a reload treats listeners that
// differ in any field as different listeners.
type Listener struct {
	Name, Address string
	FD            int  // if above 0, the descriptor of an inherited listening socket, which is used instead of Address
	InterSite     bool // the listener is for other sites, see Extension
	TLS           TLS
	H2C           bool // accept HTTP/2 without TLS from clients with prior knowledge
}

// TLS is the TLS configuration of a listener. The zero value disables TLS.
type TLS struct {
	KeyPairs          string // certificate and key files, one "CERTIFICATE\tKEY" per line
	ClientCAFile      string // CA file for client certificates; empty: client certificates are not requested
	RequireClientCert bool   // reject clients without a valid certificate
	HTTP2             bool   // negotiate HTTP/2 by ALPN
}

// ListenerProtocols are the protocols that listeners support in addition to HTTP/1.1 without TLS.
type ListenerProtocols struct {
	Multiplexed downstream.MultiplexedProtocol // nil: no multiplexed protocol
	// TLSConfig returns the TLS configuration of a listener, and keeps it up to date until ctx ends. If it is nil, TLS is not supported.
	TLSConfig func(ctx context.Context, t TLS) (*tls.Config, error)
}

// Pool is the configuration of one pool. Its endpoint list comes from a discovery service, or is StaticEndpoints.
type Pool struct {
	Name            string
	Settings        settings.Settings
	Discovery       string // address of the discovery service; empty: StaticEndpoints is used
	StaticEndpoints []discovery.Endpoint
	CachedList      *discovery.EndpointList // last known list of the discovery service, or nil
	Seed            uint64                  // seed of the policy's random numbers; 0: a random seed
	Limits          Limits
	Dialect         pool.BackendProtocol // application protocol of the pool's clients and endpoints; nil: the platform's protocol
}

// Limits are the limits of a pool on the resources of the process. Half of each resource is reserved for the pools in proportion to their
// weights. The other half is shared first come, first served. In a process with several pools, a quarter of the client connections is
// also reserved, for connections without a request so far.
type Limits struct {
	Weight                float64 // weight relative to the other pools, above 0
	Rate                  float64 // requests per second; 0: no limit
	Burst                 float64 // requests at once beyond the rate
	OpenRequests          int64   // maximum number of open requests; 0: no limit
	BodyBytes             int64   // maximum body bytes of open requests; 0: no limit
	Descriptors           int64   // maximum number of connections to endpoints; 0: no limit
	QueueWithoutEndpoints bool    // queue requests while no endpoint is ready; otherwise they are rejected
}

// Validate checks limits of c and references between its settings. It returns all violations as one joined error.
func (c *Config) Validate() error {
	var errs []error
	if c.MemoryMB < MinMemoryMB {
		errs = append(errs, fmt.Errorf("memory limit is %d MB, want at least %d MB", c.MemoryMB, MinMemoryMB))
	}
	if c.StatsInterval != 0 && c.StatsInterval < MinStatsInterval {
		errs = append(errs, fmt.Errorf("statistics interval is %v, want 0 or at least %v", c.StatsInterval, MinStatsInterval))
	}
	if n := c.usableDescriptors(); n < MinDescriptors {
		errs = append(errs, fmt.Errorf("%d descriptors are left for connections besides those of listeners and endpoint discovery, want at least %d", n, MinDescriptors))
	}
	errs = append(errs, c.validatePools()...)
	return errors.Join(errs...)
}

func (c *Config) validatePools() (errs []error) {
	if len(c.Pools) == 0 {
		errs = append(errs, errors.New("no pool is configured"))
	}
	names := map[string]bool{}
	for _, p := range c.Pools {
		switch {
		case names[p.Name]:
			errs = append(errs, fmt.Errorf("pool %q is configured more than once", p.Name))
		case !(p.Limits.Weight > 0): // also true for NaN
			errs = append(errs, fmt.Errorf("pool %q has weight %v, want a weight above 0", p.Name, p.Limits.Weight))
		}
		names[p.Name] = true
	}
	if len(c.Routes) == 0 && len(c.Pools) > 1 {
		errs = append(errs, errors.New("more than one pool is configured, but no route"))
	}
	for _, r := range c.Routes {
		if !names[r.Pool] {
			errs = append(errs, fmt.Errorf("route %q refers to unknown pool %q", r.Name, r.Pool))
		}
	}
	return errs
}
