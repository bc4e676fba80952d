// Package admin implements the HTTP server for operators. It reports whether the process can serve, and its metrics. It responds however
// busy the process is, so it neither uses the descriptors of clients nor waits for them.
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
	// connectionTimeout bounds the reading and the writing of a connection, which carries one request.
	connectionTimeout = 2 * time.Second
	// maxHeaderBytes bounds the size of the header of a request.
	maxHeaderBytes = 4 << 10
)

// Vars is the response to GET /_vars.
type Vars struct {
	Results     map[string]metrics.ClassCounts `json:"results"`     // by class name
	Forwards    int64                          `json:"forwards"`    // attempts that were written to an endpoint completely
	Outstanding int                            `json:"outstanding"` // requests in progress
	Discovered  int                            `json:"discovered"`  // endpoints on the endpoint lists
	Ejected     int                            `json:"ejected"`     // endpoints that are ejected now; 0 while more than half would be
}

// Process is the process on which a Server reports. Its methods must be safe for concurrent use.
type Process interface {
	// Ready returns nil if the process can serve, or else the reason why not.
	Ready() error
	// Vars returns the metrics.
	Vars() Vars
}

// Server is the HTTP server for operators.
type Server struct {
	listener *limitedListener
	http     *http.Server
	done     chan struct{} // closed once the server has stopped serving
}

// Listen starts a server on the TCP address. The caller stops it with Close.
func Listen(address string, p Process, log *slog.Logger) (*Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("start admin server: %w", err)
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

// serve serves until the server is closed.
func (s *Server) serve(log *slog.Logger) {
	defer close(s.done)
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		log.Error("admin: the server stopped unexpectedly", "err", err)
	}
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Close shuts the server down. It waits for requests in progress until ctx is done, and then aborts them.
func (s *Server) Close(ctx context.Context) {
	if s.http.Shutdown(ctx) != nil {
		s.http.Close()
	}
	<-s.done
}
