// Package admin is the door for operators: a listener of its own on which each connection carries one call. It tells whether
// the process can serve, and its figures. It must be answered however busy the process is, and so neither takes descriptors
// from clients nor waits behind them; what the figures mean it does not know.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"sorrelrudder/internal/metrics"
)

const (
	// MaxConnections bounds the connections that are open at once, and so the descriptors that the door takes beside its
	// listener. One more makes the oldest close: a call takes no time, so that the oldest is one that completes none.
	MaxConnections = 6
	// connectionTimeout bounds a connection: a caller who completes no call by then is not going to.
	connectionTimeout = 2 * time.Second
	// maxHeaderBytes bounds the head of a call.
	maxHeaderBytes = 4 << 10
)

// Vars are what GET /_vars tells.
type Vars struct {
	Results     map[string]metrics.ClassCounts `json:"results"`
	Forwards    int64                          `json:"forwards"`    // attempts written whole to servers
	Outstanding int                            `json:"outstanding"` // requests taken and not yet ended
	Discovered  int                            `json:"discovered"`  // servers on the list
	Ejected     int                            `json:"ejected"`     // those of them that are avoided now
}

// Process is what the door tells of.
type Process interface {
	// Ready reports whether the process can serve, and why not.
	Ready() error
	// Vars returns what is counted now.
	Vars() Vars
}

// Server is the operators' listener.
type Server struct {
	listener *limitedListener
	http     *http.Server
	done     chan struct{}
}

// Listen opens the door at an address. It ends with Close.
func Listen(address string, p Process, log *slog.Logger) (*Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /_ready", func(w http.ResponseWriter, _ *http.Request) {
		if err := p.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	mux.HandleFunc("GET /_vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(p.Vars()); err != nil {
			log.Warn("admin", "err", err) // the caller has gone
		}
	})
	d := &Server{listener: &limitedListener{Listener: ln}, done: make(chan struct{}), http: &http.Server{
		Handler: mux, ReadTimeout: connectionTimeout, WriteTimeout: connectionTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}}
	d.http.SetKeepAlivesEnabled(false)
	go func() {
		defer close(d.done)
		if err := d.http.Serve(d.listener); !errors.Is(err, http.ErrServerClosed) {
			log.Error("admin: the door has closed", "err", err)
		}
	}()
	return d, nil
}

// Addr is where the door is.
func (d *Server) Addr() net.Addr { return d.listener.Addr() }

// Close closes the door once the calls that are being answered have been, or with ctx.
func (d *Server) Close(ctx context.Context) {
	if d.http.Shutdown(ctx) != nil {
		d.http.Close()
	}
	<-d.done
}

// limitedListener is a listener with at most MostCallers connections.
type limitedListener struct {
	net.Listener
	mu          sync.Mutex
	connections []*limitedConn // oldest first
}

// limitedConn is one of them.
type limitedConn struct {
	net.Conn
	listener *limitedListener
}

// Accept is the method of net.Listener.
func (b *limitedListener) Accept() (net.Conn, error) {
	nc, err := b.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &limitedConn{nc, b}
	b.mu.Lock()
	b.connections = append(b.connections, c)
	var oldest *limitedConn
	if len(b.connections) > MaxConnections {
		oldest = b.connections[0]
	}
	b.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
	return c, nil
}

// Close is the method of net.Conn.
func (c *limitedConn) Close() error {
	b := c.listener
	b.mu.Lock()
	for i, o := range b.connections {
		if o == c {
			b.connections = append(b.connections[:i], b.connections[i+1:]...)
			break
		}
	}
	b.mu.Unlock()
	return c.Conn.Close()
}
