package fake

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Endpoint is what discovery says of a box.
type Endpoint struct {
	Host        string  `json:"host"`
	Address     string  `json:"dial"`
	Zone        string  `json:"site"`
	MachineType string  `json:"class"`
	Cell        int     `json:"block"`
	Health      string  `json:"health"`
	Weight      float64 `json:"share"`
	StartMs     int64   `json:"born_ms"`
}

// Discovery is a stand-in for the platform's discovery: it speaks its lists and watches. It may be late, or down.
type Discovery struct {
	recorder   *EffectRecorder
	server     *http.Server
	listener   net.Listener
	goroutines sync.WaitGroup

	mu        sync.Mutex
	version   int64
	endpoints map[string]Endpoint // with those that left
	changedIn map[string]int64    // the version in which each changed last
	delay     time.Duration
	notify    chan struct{} // closed, and made anew, at each change
}

// StartDiscovery starts a discovery that lists the entries. It tells ledger, which may be nil, what it has told.
func StartDiscovery(ledger *EffectRecorder, entries ...Endpoint) (*Discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{
		recorder: ledger, listener: ln, endpoints: map[string]Endpoint{}, changedIn: map[string]int64{}, notify: make(chan struct{}),
	}
	d.SetEndpoints(entries...)
	d.server = &http.Server{Handler: d, ReadHeaderTimeout: 5 * time.Second}
	d.goroutines.Go(func() { d.server.Serve(ln) })
	return d, nil
}

// Addr is where discovery listens.
func (d *Discovery) Addr() string { return d.listener.Addr().String() }

// SetEndpoints makes the entries the whole list: others have left.
func (d *Discovery) SetEndpoints(entries ...Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	listed := map[string]bool{}
	for _, e := range entries {
		listed[e.Host] = true
		if d.endpoints[e.Host] != e {
			d.endpoints[e.Host] = e
			d.changedIn[e.Host] = d.version
		}
	}
	for host, e := range d.endpoints {
		if !listed[host] && e.Health != "left" {
			e.Health = "left"
			d.endpoints[host] = e
			d.changedIn[host] = d.version
		}
	}
	close(d.notify)
	d.notify = make(chan struct{})
}

// SetDelay makes discovery tell of changes so much later.
func (d *Discovery) SetDelay(by time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = by
}

// Close ends discovery; watches end with it.
func (d *Discovery) Close() {
	d.server.Close()
	d.goroutines.Wait()
}

// changesSince returns what has changed after version seq, and the present one. whole leaves out those that left.
func (d *Discovery) changesSince(seq int64, whole bool) (entries []Endpoint, now int64, late time.Duration, notify chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for host, e := range d.endpoints {
		if whole && e.Health == "left" || !whole && d.changedIn[host] <= seq {
			continue
		}
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b Endpoint) int {
		if a.Host < b.Host {
			return -1
		}
		return 1
	})
	return entries, d.version, d.delay, d.notify
}

// ServeHTTP is the method of http.Handler.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path != "/v1/servers" {
		http.NotFound(w, q)
		return
	}
	line := func(entries []Endpoint, seq int64, whole bool) bool {
		if entries == nil {
			entries = []Endpoint{}
		}
		text, err := json.Marshal(map[string]any{"seq": seq, "whole": whole, "hosts": entries})
		if err != nil {
			return false
		}
		if d.recorder != nil {
			for _, e := range entries {
				d.recorder.RecordDraining(e.Host, e.Health != "active")
			}
		}
		_, err = w.Write(append(text, '\n'))
		return err == nil
	}
	entries, seq, _, notify := d.changesSince(0, true)
	if !line(entries, seq, true) || q.URL.Query().Get("follow") == "" {
		return
	}
	flush := w.(http.Flusher).Flush
	flush()
	if s, err := strconv.ParseInt(q.URL.Query().Get("since"), 10, 64); err != nil || s < 0 {
		return
	}
	beat := time.NewTicker(2 * time.Second)
	defer beat.Stop()
	for {
		select {
		case <-q.Context().Done():
			return
		case <-beat.C:
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
		case <-notify:
			var late time.Duration
			_, _, late, _ = d.changesSince(seq, false)
			select {
			case <-time.After(late):
			case <-q.Context().Done():
				return
			}
			entries, seq, _, notify = d.changesSince(seq, false)
			if len(entries) > 0 && !line(entries, seq, false) {
				return
			}
		}
		flush()
	}
}
