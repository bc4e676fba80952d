package fake

import (
	"cmp"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// The values of Endpoint.Health in the platform's protocol.
const (
	healthActive   = "active"
	healthDraining = "leaving"
	healthLeft     = "left"
)

const (
	endpointListPath = "/v1/servers"
	watchHeartbeat   = 2 * time.Second // interval between empty lines of a watch
	headerTimeout    = 5 * time.Second
	lineEnd          = '\n'
)

// Endpoint is the entry of a backend in the endpoint list. Its JSON form is that of the platform's discovery protocol.
type Endpoint struct {
	Host        string  `json:"host"`
	Address     string  `json:"dial"`
	Zone        string  `json:"site"`
	MachineType string  `json:"class"`
	Cell        int     `json:"block"`
	Health      string  `json:"health"`
	Weight      float64 `json:"share"`
	StartMs     int64   `json:"born_ms"` // start time in Unix milliseconds
}

// endpointMessage is one line of an endpoint list or of a watch.
type endpointMessage struct {
	Endpoints []Endpoint `json:"hosts"`
	Version   int64      `json:"seq"`
	Complete  bool       `json:"whole"` // all endpoints, not only those that changed
}

// Discovery is a fake of the platform's discovery service. It serves the endpoint list and watches of the list. Its methods may
// be called concurrently.
type Discovery struct {
	recorder   *EffectRecorder
	server     *http.Server
	listener   net.Listener
	goroutines sync.WaitGroup

	mu        sync.Mutex // guards the fields below
	version   int64
	endpoints map[string]Endpoint // by host; includes endpoints that have left
	changedIn map[string]int64    // version of the last change, by host
	delay     time.Duration       // before a change is sent to watches
	changed   chan struct{}       // closed and replaced at each change
}

// StartDiscovery starts a discovery service that lists the endpoints. It reports to recorder which endpoints it has announced
// as active, and which as draining or left. recorder may be nil.
func StartDiscovery(recorder *EffectRecorder, endpoints ...Endpoint) (*Discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{
		recorder: recorder, listener: listener,
		endpoints: map[string]Endpoint{}, changedIn: map[string]int64{}, changed: make(chan struct{}),
	}
	d.SetEndpoints(endpoints...)
	d.server = &http.Server{Handler: d, ReadHeaderTimeout: headerTimeout}
	d.goroutines.Go(func() { d.server.Serve(listener) })
	return d, nil
}

// Addr returns the address where the service listens.
func (d *Discovery) Addr() string { return d.listener.Addr().String() }

// SetEndpoints replaces the endpoint list. Endpoints that the new list lacks are marked as having left.
func (d *Discovery) SetEndpoints(endpoints ...Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	listed := map[string]bool{}
	for _, endpoint := range endpoints {
		listed[endpoint.Host] = true
		if d.endpoints[endpoint.Host] != endpoint {
			d.setEndpoint(endpoint)
		}
	}
	for host, endpoint := range d.endpoints {
		if !listed[host] && endpoint.Health != healthLeft {
			endpoint.Health = healthLeft
			d.setEndpoint(endpoint)
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// setEndpoint stores an endpoint that changed in the current version. The caller holds mu.
func (d *Discovery) setEndpoint(endpoint Endpoint) {
	d.endpoints[endpoint.Host] = endpoint
	d.changedIn[endpoint.Host] = d.version
}

// SetDelay sets how long after a change the service notifies its watches.
func (d *Discovery) SetDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
}

// Close stops the service and ends all watches.
func (d *Discovery) Close() {
	d.server.Close()
	d.goroutines.Wait()
}

// fullUpdate returns all endpoints that have not left, and a channel that is closed at the next change.
func (d *Discovery) fullUpdate() (message endpointMessage, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.message(true, func(e Endpoint) bool { return e.Health != healthLeft }), d.changed
}

// delta returns the endpoints that changed after a version, and a channel that is closed at the next change.
func (d *Discovery) delta(version int64) (message endpointMessage, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.message(false, func(e Endpoint) bool { return d.changedIn[e.Host] > version }), d.changed
}

// message returns the endpoints for which include returns true, sorted by host. The caller holds mu.
func (d *Discovery) message(complete bool, include func(Endpoint) bool) endpointMessage {
	message := endpointMessage{Version: d.version, Complete: complete, Endpoints: []Endpoint{}}
	for _, endpoint := range d.endpoints {
		if include(endpoint) {
			message.Endpoints = append(message.Endpoints, endpoint)
		}
	}
	slices.SortFunc(message.Endpoints, func(a, b Endpoint) int { return cmp.Compare(a.Host, b.Host) })
	return message
}

// ServeHTTP answers a request with the complete endpoint list. With the query parameters follow and since, it continues with a
// watch of the list. The value of since must be a version, but is not used.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path != endpointListPath {
		http.NotFound(w, request)
		return
	}
	message, changed := d.fullUpdate()
	query := request.URL.Query()
	if !d.send(w, message) || query.Get("follow") == "" {
		return
	}
	w.(http.Flusher).Flush()
	if since, err := strconv.ParseInt(query.Get("since"), 10, 64); err != nil || since < 0 {
		return
	}
	d.watch(request.Context(), w, message.Version, changed)
}

// watch sends the changes after a version until ctx ends or a write fails.
func (d *Discovery) watch(ctx context.Context, w http.ResponseWriter, version int64, changed <-chan struct{}) {
	heartbeat := time.NewTicker(watchHeartbeat)
	defer heartbeat.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-heartbeat.C:
			if _, err := w.Write([]byte{lineEnd}); err != nil {
				return
			}
		case <-changed:
			if !d.waitDelay(ctx) {
				return
			}
			var message endpointMessage
			message, changed = d.delta(version)
			version = message.Version
			if len(message.Endpoints) > 0 && !d.send(w, message) {
				return
			}
		}
		w.(http.Flusher).Flush()
	}
}

// waitDelay waits for the delay set by SetDelay. It returns false if ctx ends first.
func (d *Discovery) waitDelay(ctx context.Context) bool {
	d.mu.Lock()
	delay := d.delay
	d.mu.Unlock()
	return sleep(ctx, delay)
}

// send records the health of the endpoints in a message, then writes the message as one line. It reports whether the write
// succeeded.
func (d *Discovery) send(w http.ResponseWriter, message endpointMessage) bool {
	text, err := json.Marshal(message)
	if err != nil {
		return false
	}
	if d.recorder != nil {
		for _, endpoint := range message.Endpoints {
			d.recorder.RecordDraining(endpoint.Host, endpoint.Health != healthActive)
		}
	}
	_, err = w.Write(append(text, lineEnd))
	return err == nil
}
