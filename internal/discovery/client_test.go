package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"sorrelrudder/internal/fake"
	"sorrelrudder/internal/staleness"
)

const testTimeout = 20 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// newClient returns a client of the service at addr with typical settings of the platform.
func newClient(addr string) Client {
	return Client{Address: addr, Staleness: staleness.BoundFor(false, 10*time.Second, 2*time.Second)}
}

// next returns the next list, and fails the test if none arrives.
func next(t *testing.T, lists <-chan *EndpointList) *EndpointList {
	t.Helper()
	select {
	case l := <-lists:
		return l
	case <-time.After(testTimeout):
		t.Fatal("timed out waiting for a list")
		return nil
	}
}

// watch watches a source until the test ends, and returns the channel of the lists that it receives.
func watch(t *testing.T, s Source) (lists <-chan *EndpointList) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	received, end := make(chan *EndpointList, 10), make(chan error, 1)
	go func() { end <- s.Watch(ctx, 0, func(l *EndpointList) { received <- l }) }()
	t.Cleanup(func() {
		cancel()
		select {
		case err := <-end:
			if err == nil {
				t.Error("Watch returned no error")
			}
		case <-time.After(testTimeout):
			t.Error("Watch did not return after its context was canceled")
		}
	})
	return received
}

// TestStatic guards against a static list that is not sent at once, or not again when it is replaced.
func TestStatic(t *testing.T) {
	s := NewStatic([]Endpoint{{ID: "a"}})
	lists := watch(t, s)
	if l := next(t, lists); !l.Complete || len(l.Endpoints) != 1 || l.Endpoints[0].ID != "a" {
		t.Errorf("%+v", l)
	}
	before := *s.List().Version
	s.Set([]Endpoint{{ID: "b"}, {ID: "c"}})
	if l := next(t, lists); !l.Complete || len(l.Endpoints) != 2 || *l.Version <= before {
		t.Errorf("%+v", l)
	}
}

// TestDiscovery guards against a watch that does not receive the complete list first and then each change.
func TestDiscovery(t *testing.T) {
	d, err := fake.StartDiscovery(nil, fake.Endpoint{Host: "a", Address: "127.0.0.1:1", Health: "active"})
	if err != nil {
		t.Fatal(err)
	}
	lists := watch(t, newClient(d.Addr()))
	if l := next(t, lists); !l.Complete || len(l.Endpoints) != 1 {
		t.Errorf("%+v", l)
	}
	d.SetEndpoints(fake.Endpoint{Host: "a", Address: "127.0.0.1:1", Health: "leaving"})
	if l := next(t, lists); l.Complete || l.Endpoints[0].Health != "leaving" {
		t.Errorf("%+v", l)
	}
	d.Close()
}

// TestBadDiscovery guards against using a part of an invalid list, and against waiting indefinitely.
func TestBadDiscovery(t *testing.T) {
	for name, answer := range map[string]func(w io.Writer){
		"error status":  func(w io.Writer) { w.(http.ResponseWriter).WriteHeader(503) },
		"noise":         func(w io.Writer) { fmt.Fprintln(w, "{noise") },
		"no version":    func(w io.Writer) { fmt.Fprintln(w, `{"whole":true,"hosts":[]}`) },
		"unknown state": func(w io.Writer) { fmt.Fprintln(w, `{"seq":1,"hosts":[{"host":"a","dial":"b","health":"fine"}]}`) },
		"no address":    func(w io.Writer) { fmt.Fprintln(w, `{"seq":1,"hosts":[{"host":"a","health":"active"}]}`) },
		// The client may close the connection before it has read all, so the write error is ignored.
		"too long without JSON": func(w io.Writer) { _, _ = io.WriteString(w, strings.Repeat("x", maxMessageBytes+10)) },
		"too long string": func(w io.Writer) {
			_, _ = io.WriteString(w, `{"seq":1,"pad":"`+strings.Repeat("x", maxMessageBytes+10))
		},
		"empty body": func(io.Writer) {},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { answer(w) })}
			go func() { _ = server.Serve(ln) }() // returns once the server is closed
			defer server.Close()
			err = newClient(ln.Addr().String()).Watch(context.Background(), 0, func(l *EndpointList) { t.Errorf("received invalid list %+v", l) })
			if err == nil || errors.Is(err, context.Canceled) {
				t.Errorf("Watch returned %v, want an error of the service", err)
			}
		})
	}
}

// FuzzParseEndpointList guards against a panic and against accepting invalid entries.
func FuzzParseEndpointList(f *testing.F) {
	f.Add(`{"seq":41,"whole":true,"hosts":[{"host":"a","dial":"127.0.0.1:1","health":"active","share":1,"born_ms":5}]}`)
	f.Add(`{"seq":42,"hosts":[{"host":"a","health":"left"}]}`)
	f.Add(`{"hosts":null}`)
	f.Fuzz(func(t *testing.T, text string) {
		l, err := ParseEndpointList([]byte(text))
		if err != nil {
			return
		}
		if l.Version == nil {
			t.Fatal("accepted a list without a version")
		}
		for _, e := range l.Endpoints {
			if _, ok := endpointStates[e.Health]; !ok || e.ID == "" || e.Address == "" && e.Health != "left" {
				t.Fatalf("accepted an invalid entry: %+v", e)
			}
		}
	})
}

// scriptedDiscovery starts a service that answers each call by the function answer.
func scriptedDiscovery(t *testing.T, answer func(c net.Conn)) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var calls sync.WaitGroup
	calls.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			calls.Go(func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					answer(c)
				}
			})
		}
	})
	t.Cleanup(func() {
		ln.Close()
		calls.Wait()
	})
	return ln.Addr().String()
}

// write writes text to the client, which is expected to read it.
func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Error(err)
	}
}

// TestIndentedLists guards against rejecting a list that spans several lines.
func TestIndentedLists(t *testing.T) {
	release := make(chan struct{})
	addr := scriptedDiscovery(t, func(c net.Conn) {
		write(t, c, "HTTP/1.1 200 OK\r\n\r\n{\n  \"seq\": 1,\n  \"whole\": true,\n  \"hosts\": [\n    {\"host\": \"a\",\n     \"dial\": \"127.0.0.1:1\",\n     \"health\": \"active\"}\n  ]\n}\n\n\n")
		write(t, c, "{\"seq\":2,\"whole\":false,\"hosts\":[{\"host\":\"a\",\"dial\":\"127.0.0.1:1\",\"health\":\"leaving\"}]}{\n\"seq\":3,\n\n\"hosts\":[]}\n")
		<-release
	})
	lists := watch(t, newClient(addr))
	for i, want := range []struct{ seq, hosts int64 }{{1, 1}, {2, 1}, {3, 0}} {
		if l := next(t, lists); *l.Version != want.seq || int64(len(l.Endpoints)) != want.hosts {
			t.Errorf("message %d: %+v, want %+v", i, l, want)
		}
	}
	close(release)
}

// TestSilentDiscovery guards against waiting indefinitely for a service that stops sending at any point of a watch, and against aborting a
// watch that has no changes to send but is kept alive by empty lines.
func TestSilentDiscovery(t *testing.T) {
	bound := staleness.Bound{WatchTimeout: 300 * time.Millisecond, CallTimeout: 300 * time.Millisecond}
	const head, list = "HTTP/1.1 200 OK\r\n\r\n", `{"seq":1,"whole":true,"hosts":[]}` + "\n"
	for name, script := range map[string]struct {
		text  string
		every string // written every 50 ms after it
		lists int
	}{
		"silent from the start":       {},
		"within the head":             {text: head[:10]},
		"after the head":              {text: head},
		"empty lines without a list":  {text: head, every: "\n"},
		"after a list":                {text: head + list, lists: 1},
		"within a message":            {text: head + list + list[:9], lists: 1},
		"within a slow message":       {text: head + list + `{"pad":"`, every: "x", lists: 1},
		"within a slow first message": {text: head + `{"pad":"`, every: "x"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			over := make(chan struct{})
			addr := scriptedDiscovery(t, func(c net.Conn) {
				write(t, c, script.text)
				tick := time.NewTicker(50 * time.Millisecond)
				defer tick.Stop()
				for {
					select {
					case <-over:
						return
					case <-tick.C:
						if _, err := io.WriteString(c, script.every); err != nil {
							<-over
							return
						}
					}
				}
			})
			defer close(over)
			lists := 0
			err := Client{Address: addr, Staleness: bound}.Watch(context.Background(), 0, func(*EndpointList) { lists++ })
			if !errors.Is(err, ErrSilenceTimeout) || !strings.Contains(err.Error(), addr) {
				t.Errorf("Watch returned %v, want %v with the address", err, ErrSilenceTimeout)
			}
			if lists != script.lists {
				t.Errorf("received %d lists, want %d", lists, script.lists)
			}
		})
	}
	t.Run("kept alive by empty lines", func(t *testing.T) {
		t.Parallel()
		addr := scriptedDiscovery(t, func(c net.Conn) {
			write(t, c, head+list)
			for range 20 { // each well within the timeout, in total far beyond it
				time.Sleep(50 * time.Millisecond)
				write(t, c, "\n")
			}
			write(t, c, list)
		})
		lists := 0
		if err := (Client{Address: addr, Staleness: bound}).Watch(context.Background(), 0, func(*EndpointList) { lists++ }); !errors.Is(err, io.EOF) {
			t.Errorf("Watch returned %v, want EOF", err)
		}
		if lists != 2 {
			t.Errorf("received %d lists, want 2", lists)
		}
	})
}
