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

// Entry is what discovery says of a box.
type Entry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs int64   `json:"born_ms"`
}

// Discovery is a stand-in for the platform's discovery: it speaks its lists and watches. It may be late, or down.
type Discovery struct {
	ledger *Ledger
	server *http.Server
	ln     net.Listener
	done   sync.WaitGroup

	mu      sync.Mutex
	seq     int64
	entries map[string]Entry // with those that left
	changed map[string]int64 // the version in which each changed last
	late    time.Duration
	notify  chan struct{} // closed, and made anew, at each change
}

// StartDiscovery starts a discovery that lists the entries. It tells ledger, which may be nil, what it has told.
func StartDiscovery(ledger *Ledger, entries ...Entry) (*Discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{
		ledger: ledger, ln: ln, entries: map[string]Entry{}, changed: map[string]int64{}, notify: make(chan struct{}),
	}
	d.Set(entries...)
	d.server = &http.Server{Handler: d, ReadHeaderTimeout: 5 * time.Second}
	d.done.Go(func() { d.server.Serve(ln) })
	return d, nil
}

// Addr is where discovery listens.
func (d *Discovery) Addr() string { return d.ln.Addr().String() }

// Set makes the entries the whole list: others have left.
func (d *Discovery) Set(entries ...Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	listed := map[string]bool{}
	for _, e := range entries {
		listed[e.Host] = true
		if d.entries[e.Host] != e {
			d.entries[e.Host] = e
			d.changed[e.Host] = d.seq
		}
	}
	for host, e := range d.entries {
		if !listed[host] && e.Health != "left" {
			e.Health = "left"
			d.entries[host] = e
			d.changed[host] = d.seq
		}
	}
	close(d.notify)
	d.notify = make(chan struct{})
}

// Late makes discovery tell of changes so much later.
func (d *Discovery) Late(by time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.late = by
}

// Close ends discovery; watches end with it.
func (d *Discovery) Close() {
	d.server.Close()
	d.done.Wait()
}

// since returns what has changed after version seq, and the present one. whole leaves out those that left.
func (d *Discovery) since(seq int64, whole bool) (entries []Entry, now int64, late time.Duration, notify chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for host, e := range d.entries {
		if whole && e.Health == "left" || !whole && d.changed[host] <= seq {
			continue
		}
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		if a.Host < b.Host {
			return -1
		}
		return 1
	})
	return entries, d.seq, d.late, d.notify
}

// ServeHTTP is the method of http.Handler.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path != "/v1/servers" {
		http.NotFound(w, q)
		return
	}
	line := func(entries []Entry, seq int64, whole bool) bool {
		if entries == nil {
			entries = []Entry{}
		}
		text, err := json.Marshal(map[string]any{"seq": seq, "whole": whole, "hosts": entries})
		if err != nil {
			return false
		}
		if d.ledger != nil {
			for _, e := range entries {
				d.ledger.Told(e.Host, e.Health != "active")
			}
		}
		_, err = w.Write(append(text, '\n'))
		return err == nil
	}
	entries, seq, _, notify := d.since(0, true)
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
			_, _, late, _ = d.since(seq, false)
			select {
			case <-time.After(late):
			case <-q.Context().Done():
				return
			}
			entries, seq, _, notify = d.since(seq, false)
			if len(entries) > 0 && !line(entries, seq, false) {
				return
			}
		}
		flush()
	}
}
