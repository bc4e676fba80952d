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
	// MostCallers bounds the connections that are open at once, and so the descriptors that the door takes beside its
	// listener. One more makes the oldest close: a call takes no time, so that the oldest is one that completes none.
	MostCallers = 6
	// callTime bounds a connection: a caller who completes no call by then is not going to.
	callTime = 2 * time.Second
	// mostHead bounds the head of a call.
	mostHead = 4 << 10
)

// Figures are what GET /_vars tells.
type Figures struct {
	Results     map[string]metrics.Class `json:"results"`
	Forwards    int64                    `json:"forwards"`    // attempts written whole to servers
	Outstanding int                      `json:"outstanding"` // requests taken and not yet ended
	Discovered  int                      `json:"discovered"`  // servers on the list
	Ejected     int                      `json:"ejected"`     // those of them that are avoided now
}

// Process is what the door tells of.
type Process interface {
	// Ready reports whether the process can serve, and why not.
	Ready() error
	// Figures returns what is counted now.
	Figures() Figures
}

// Door is the operators' listener.
type Door struct {
	ln     *bounded
	server *http.Server
	ended  chan struct{}
}

// Open opens the door at an address. It ends with Close.
func Open(address string, p Process, log *slog.Logger) (*Door, error) {
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
		if err := json.NewEncoder(w).Encode(p.Figures()); err != nil {
			log.Warn("admin", "err", err) // the caller has gone
		}
	})
	d := &Door{ln: &bounded{Listener: ln}, ended: make(chan struct{}), server: &http.Server{
		Handler: mux, ReadTimeout: callTime, WriteTimeout: callTime, MaxHeaderBytes: mostHead,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}}
	d.server.SetKeepAlivesEnabled(false)
	go func() {
		defer close(d.ended)
		if err := d.server.Serve(d.ln); !errors.Is(err, http.ErrServerClosed) {
			log.Error("admin: the door has closed", "err", err)
		}
	}()
	return d, nil
}

// Addr is where the door is.
func (d *Door) Addr() net.Addr { return d.ln.Addr() }

// Close closes the door once the calls that are being answered have been, or with ctx.
func (d *Door) Close(ctx context.Context) {
	if d.server.Shutdown(ctx) != nil {
		d.server.Close()
	}
	<-d.ended
}

// bounded is a listener with at most MostCallers connections.
type bounded struct {
	net.Listener
	mu   sync.Mutex
	open []*caller // oldest first
}

// caller is one of them.
type caller struct {
	net.Conn
	of *bounded
}

// Accept is the method of net.Listener.
func (b *bounded) Accept() (net.Conn, error) {
	nc, err := b.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &caller{nc, b}
	b.mu.Lock()
	b.open = append(b.open, c)
	var oldest *caller
	if len(b.open) > MostCallers {
		oldest = b.open[0]
	}
	b.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
	return c, nil
}

// Close is the method of net.Conn.
func (c *caller) Close() error {
	b := c.of
	b.mu.Lock()
	for i, o := range b.open {
		if o == c {
			b.open = append(b.open[:i], b.open[i+1:]...)
			break
		}
	}
	b.mu.Unlock()
	return c.Conn.Close()
}
