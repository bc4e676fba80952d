// Package admin is the HTTP server for operators: whether the process can serve, and its metrics. It is answered however
// busy the process is, and so neither takes descriptors from clients nor waits behind them.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"sorrelrudder/internal/metrics"
)

const (
	// connectionTimeout bounds a connection, which carries one request.
	connectionTimeout = 2 * time.Second
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 4 << 10
)

// Vars is the response to GET /_vars.
type Vars struct {
	Results     map[string]metrics.ClassCounts `json:"results"`     // by class
	Forwards    int64                          `json:"forwards"`    // attempts written to servers completely
	Outstanding int                            `json:"outstanding"` // requests that have not ended
	Discovered  int                            `json:"discovered"`  // servers on the lists
	Ejected     int                            `json:"ejected"`     // of them, those that are ejected now; 0 while more than half would be
}

// Process is the process that a Server reports on. Its methods are called from many goroutines at once.
type Process interface {
	// Ready returns nil if the process can serve, and else the reason.
	Ready() error
	// Vars returns the metrics.
	Vars() Vars
}

// Server is the HTTP server for operators.
type Server struct {
	listener *limitedListener
	http     *http.Server
	done     chan struct{} // closed once it serves no more
}

// Listen starts a server at an address. It ends with Close.
func Listen(address string, p Process, log *slog.Logger) (*Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	s := &Server{
		listener: &limitedListener{Listener: ln},
		done:     make(chan struct{}),
		http: &http.Server{
			Handler:        newHandler(p, log),
			ReadTimeout:    connectionTimeout,
			WriteTimeout:   connectionTimeout,
			MaxHeaderBytes: maxHeaderBytes,
			ErrorLog:       slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		},
	}
	s.http.SetKeepAlivesEnabled(false)
	go s.serve(log)
	return s, nil
}

// newHandler returns the handler of GET /_ready and GET /_vars.
func newHandler(p Process, log *slog.Logger) http.Handler {
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
			log.Warn("admin: writing a response failed", "err", err)
		}
	})
	return mux
}

func (s *Server) serve(log *slog.Logger) {
	defer close(s.done)
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		log.Error("admin: the server has ended", "err", err)
	}
}

// Addr returns the address of the server.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Close ends the server once the requests that are being answered have been, or with ctx.
func (s *Server) Close(ctx context.Context) {
	if s.http.Shutdown(ctx) != nil {
		s.http.Close()
	}
	<-s.done
}
