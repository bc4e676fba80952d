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
	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/pool"
	"sorrelrudder/internal/process"
	"sorrelrudder/internal/quota"
	"sorrelrudder/internal/route"
	"sorrelrudder/internal/settings"
)

// Config is all that a process is told.
type Config struct {
	Name        string
	MemoryMB    int // the process is killed over it
	Descriptors int // that the process may hold
	// MaxDrain bounds how long what was taken may take to end after SIGTERM, beyond the window for new connections; 0: as long as
	// the longest deadline. What has no answer then is given up.
	MaxDrain     time.Duration
	Listeners    []Listener
	Pools        []Pool
	Routes       []route.Route // none: all requests are for the only pool
	AdminAddress string        // address of the operators' door; empty: none. Read at the start only

	// StatsInterval is how often the log is told what each pool saw and did; 0: never. Read as a pool starts.
	StatsInterval time.Duration
}

// Listener is where clients connect.
type Listener struct {
	Name, Address string
	FD            int  // above 0: the descriptor of a listening socket that the process has inherited, in place of an address
	InterSite     bool // other sites connect here, see Extension
	TLS           TLS
	H2C           bool // HTTP/2 without TLS, for clients that begin with it
}

// TLS is what a listener shows and asks for. It is comparable: another one is another listener.
type TLS struct {
	KeyPairs          string // files of certificates and their keys, one "CERTIFICATE\tKEY" a line; empty: no TLS
	ClientCAFile      string // file; empty: clients show none
	RequireClientCert bool   // clients must
	HTTP2             bool
}

// ListenerProtocols is what the process can speak at its listeners beside HTTP/1.1 without TLS. The zero value is nothing more.
type ListenerProtocols struct {
	Multiplexed downstream.MultiplexedProtocol
	// TLSConfig makes what a listener needs for its TLS. It holds until ctx ends.
	TLSConfig func(ctx context.Context, t TLS) (*tls.Config, error)
}

// Pool is what the process is told of one pool. It has either a discovery or a list of its own.
type Pool struct {
	Name            string
	Settings        settings.Settings
	Discovery       string                  // address
	StaticEndpoints []discovery.Endpoint    // if there is no discovery
	CachedList      *discovery.EndpointList // what was last known of discovery's list, or nil
	Seed            uint64
	Limits          Limits
	Dialect         pool.BackendProtocol // how its clients and servers speak; nil: the platform's protocol
}

// Limits is what a pool may have of the process. Of each resource, half is kept for the pools by their weights; the rest
// goes to who asks first.
type Limits struct {
	Weight                float64 // of this pool beside the others, above 0
	Rate                  float64 // requests a second; 0: no limit
	Burst                 float64 // requests at once beyond the rate
	OpenRequests          int64   // requests open at once; 0: no limit but the whole
	BodyBytes             int64   // bytes of bodies of open requests; 0: no limit but the whole
	Descriptors           int64   // connections to servers; 0: no limit but the whole
	QueueWithoutEndpoints bool    // requests wait in the module while the list names no server, rather than be refused
}

const (
	// MinMemoryMB and LeastDescriptors are the least that a process can work with.
	MinMemoryMB    = 24
	MinDescriptors = 64
	// MinStatsInterval bounds how often the log is told figures.
	MinStatsInterval = 100 * time.Millisecond
	// reservedShare is the part of each resource that is kept for the pools by their weights.
	reservedShare = 0.5
	// unassignedShare is the part of the clients' descriptors that is kept for connections that have brought no request yet.
	unassignedShare = 0.25
	// bodyMemoryShare is the part of the memory that bodies may take: they are held as long as an attempt may need them, beside
	// answers of the same size, buffers and what is not collected yet.
	bodyMemoryShare = 1.0 / 8
)

// usableDescriptors is how many descriptors are left for connections of clients and to servers: each discovery and each listener
// beyond the first takes one, and the operators' door some.
func (c *Config) usableDescriptors() int {
	n := c.Descriptors - max(0, len(c.Listeners)-1)
	if c.AdminAddress != "" {
		n -= 1 + admin.MaxConnections
	}
	watched := 0
	for _, p := range c.Pools {
		if p.Discovery != "" {
			watched++
		}
	}
	return n - max(0, watched-1)
}

// Validate returns all that keeps c from being used, and cannot be seen by looking at one key alone.
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
	if len(c.Pools) == 0 {
		errs = append(errs, errors.New("there is no pool"))
	}
	names := map[string]bool{}
	for _, p := range c.Pools {
		switch {
		case names[p.Name]:
			errs = append(errs, fmt.Errorf("pool %q is there twice", p.Name))
		case !(p.Limits.Weight > 0):
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
	return errors.Join(errs...)
}

// poolQuotas are what one pool may have, as share counts it.
type poolQuotas struct {
	admission                quota.Limits
	descriptors, connections quota.Claim
}

// quotasFor shares what the process has between its pools.
func (c *Config) quotasFor(p Pool) poolQuotas {
	sum := 0.0
	for _, q := range c.Pools {
		sum += q.Limits.Weight
	}
	part := p.Limits.Weight / sum * reservedShare
	claim := func(total, most int64) quota.Claim {
		if most == 0 {
			most = quota.Unlimited
		}
		return quota.Claim{Reserved: min(int64(float64(total)*part), most), Limit: most}
	}
	clients := process.MaxClientDescriptors(c.usableDescriptors())
	conns := claim(clients, 0)
	if len(c.Pools) == 1 { // nobody is to be kept from it
		conns.Reserved = 0
	}
	return poolQuotas{
		admission: quota.Limits{
			OpenRequests: claim(clients, p.Limits.OpenRequests), BodyBytes: claim(c.bodyMemory(), p.Limits.BodyBytes),
			Rate: p.Limits.Rate, Burst: p.Limits.Burst, WaitForServers: p.Limits.QueueWithoutEndpoints,
		},
		descriptors: claim(process.MinUpstreamDescriptors(c.usableDescriptors()), p.Limits.Descriptors),
		connections: conns,
	}
}

// unassignedClaim is what connections may have of which it is not known yet for which pool they are: those of all pools begin as
// such, so that a part is kept for them.
func (c *Config) unassignedClaim() quota.Claim {
	most := quota.Claim{Limit: quota.Unlimited}
	if len(c.Pools) > 1 {
		most.Reserved = int64(float64(process.MaxClientDescriptors(c.usableDescriptors())) * unassignedShare)
	}
	return most
}

// bodyMemory is how many bytes of bodies the process may hold.
func (c *Config) bodyMemory() int64 {
	return max(httpmsg.MaxBufferedBodyBytes, int64(float64(c.MemoryMB<<20)*bodyMemoryShare))
}
