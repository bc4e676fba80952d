//go:build review

package stage

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Run is a request that a server has begun to execute.
type Run struct {
	Token, Slot string // Fencing-Token and Task-Slot
	Key         string // Idempotency-Key
	ID          string // X-Request-ID
	Begin       time.Time
	Left        time.Time // when its sender ended its connection; zero: it had its answer before, or waits for it
	End         time.Time // when the execution ended; zero: it runs
}

// Server is a server of the platform's protocol that executes each request in a fixed time. Ending the connection does not end an execution.
type Server struct {
	Address string
	stage   *Stage
	work    time.Duration
	quiet   bool // it writes nothing to the record

	mu   sync.Mutex
	runs []*Run
}

// StartServer starts a server that takes work for each request.
func (s *Stage) StartServer(work time.Duration) *Server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.NotRun("start a server: %v", err)
	}
	server := &Server{Address: l.Addr().String(), stage: s, work: work}
	go http.Serve(l, server)
	return server
}

// StartQuietServer is StartServer for many requests: they are not written to the record.
func (s *Stage) StartQuietServer(work time.Duration) *Server {
	server := s.StartServer(work)
	server.quiet = true
	return server
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" || r.URL.Path == "/load" {
		fmt.Fprint(w, "TEXT inflight=0, queue=0, util=0.0")
		return
	}
	h := r.Header
	run := &Run{Token: h.Get("Fencing-Token"), Slot: h.Get("Task-Slot"), Key: h.Get("Idempotency-Key"), ID: h.Get("X-Request-Id"), Begin: time.Now()}
	s.mu.Lock()
	s.runs = append(s.runs, run)
	s.mu.Unlock()
	s.log("server: begins slot %s with token %s (request %s, X-Timeout-Ms %s)", run.Slot, run.Token, run.ID, h.Get("X-Timeout-Ms"))
	work := time.NewTimer(s.work)
	left := r.Context().Done()
	for {
		select {
		case <-left:
			left = nil
			s.mu.Lock()
			run.Left = time.Now()
			s.mu.Unlock()
			s.log("server: the sender of slot %s with token %s has ended its connection", run.Slot, run.Token)
		case <-work.C:
			s.mu.Lock()
			run.End = time.Now()
			s.mu.Unlock()
			s.log("server: ends slot %s with token %s", run.Slot, run.Token)
			fmt.Fprintf(w, "done %s\n", run.Slot)
			return
		}
	}
}

// Runs returns copies of all runs so far.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	var runs []Run
	for _, r := range s.runs {
		runs = append(runs, *r)
	}
	return runs
}

// tolerance is the slack of the protocol page for limits of time.
const tolerance = 50 * time.Millisecond

// Overlap reports whether a request with a newer fencing token came while one with an older token was out: its sender waited for the answer.
func (s *Server) Overlap() (found bool) {
	runs := s.Runs()
	for i, older := range runs {
		until := older.End
		if !older.Left.IsZero() {
			until = older.Left
		}
		for _, newer := range runs[i+1:] {
			if newer.Token == older.Token || !until.IsZero() && until.Sub(newer.Begin) <= tolerance {
				continue
			}
			overlap := time.Since(newer.Begin)
			if !until.IsZero() {
				overlap = until.Sub(newer.Begin)
			}
			s.stage.Log("slot %s with token %s began while slot %s with token %s was out, %d ms before that ended or its sender gave it up",
				newer.Slot, newer.Token, older.Slot, older.Token, overlap.Milliseconds())
			found = true
		}
	}
	return found
}

// log writes a line to the record.
func (s *Server) log(format string, args ...any) {
	if !s.quiet {
		s.stage.Log(format, args...)
	}
}
