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

const patience = 20 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// ask is discovery at addr, on the platform's terms.
func ask(addr string) Client {
	return Client{Address: addr, Staleness: staleness.BoundFor(false, 10*time.Second, 2*time.Second)}
}

func next(t *testing.T, lists <-chan *EndpointList) *EndpointList {
	t.Helper()
	select {
	case l := <-lists:
		return l
	case <-time.After(patience):
		t.Fatal("no list came")
		return nil
	}
}

// watch watches a source until the test ends, and returns what it receives.
func watch(t *testing.T, s Source) (lists <-chan *EndpointList) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	told, end := make(chan *EndpointList, 10), make(chan error, 1)
	go func() { end <- s.Watch(ctx, 0, func(l *EndpointList) { told <- l }) }()
	t.Cleanup(func() {
		cancel()
		select {
		case err := <-end:
			if err == nil {
				t.Error("the watch ended without an error")
			}
		case <-time.After(patience):
			t.Error("the watch did not end")
		}
	})
	return told
}

// TestStatic: a list is sent at once, and again each time it is replaced.
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

// TestDiscovery: the complete list is sent first, and then what changes.
func TestDiscovery(t *testing.T) {
	d, err := fake.StartDiscovery(nil, fake.Endpoint{Host: "a", Address: "127.0.0.1:1", Health: "active"})
	if err != nil {
		t.Fatal(err)
	}
	lists := watch(t, ask(d.Addr()))
	if l := next(t, lists); !l.Complete || len(l.Endpoints) != 1 {
		t.Errorf("%+v", l)
	}
	d.SetEndpoints(fake.Endpoint{Host: "a", Address: "127.0.0.1:1", Health: "leaving"})
	if l := next(t, lists); l.Complete || l.Endpoints[0].Health != "leaving" {
		t.Errorf("%+v", l)
	}
	d.Close()
}

// TestBadDiscovery guards against taking over a part of a list that cannot be read, and against waiting for ever.
func TestBadDiscovery(t *testing.T) {
	for name, answer := range map[string]func(w io.Writer){
		"an error":   func(w io.Writer) { w.(http.ResponseWriter).WriteHeader(503) },
		"noise":      func(w io.Writer) { fmt.Fprintln(w, "{noise") },
		"no version": func(w io.Writer) { fmt.Fprintln(w, `{"whole":true,"hosts":[]}`) },
		"no state":   func(w io.Writer) { fmt.Fprintln(w, `{"seq":1,"hosts":[{"host":"a","dial":"b","health":"fine"}]}`) },
		"no address": func(w io.Writer) { fmt.Fprintln(w, `{"seq":1,"hosts":[{"host":"a","health":"active"}]}`) },
		// The client may hang up before it has read them, which is no fault.
		"an endless one": func(w io.Writer) { _, _ = io.WriteString(w, strings.Repeat("x", maxMessageBytes+10)) },
		"an endless text in one": func(w io.Writer) {
			_, _ = io.WriteString(w, `{"seq":1,"pad":"`+strings.Repeat("x", maxMessageBytes+10))
		},
		"the end": func(io.Writer) {},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { answer(w) })}
			go func() { _ = server.Serve(ln) }() // until it is closed
			defer server.Close()
			err = ask(ln.Addr().String()).Watch(context.Background(), 0, func(l *EndpointList) { t.Errorf("took over %+v", l) })
			if err == nil || errors.Is(err, context.Canceled) {
				t.Errorf("ended with %v", err)
			}
		})
	}
}

// FuzzParseEndpointList guards against a panic and against entries that cannot be used.
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
			t.Fatal("a list without a version")
		}
		for _, e := range l.Endpoints {
			if _, ok := endpointStates[e.Health]; !ok || e.ID == "" || e.Address == "" && e.Health != "left" {
				t.Fatalf("an entry of no use: %+v", e)
			}
		}
	})
}

// scriptedDiscovery answers each call by a script.
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

// write writes a part of a script to the client, which is expected to read it.
func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Error(err)
	}
}

// TestIndentedLists guards against taking a list that stands on several lines for one that can't be read.
func TestIndentedLists(t *testing.T) {
	release := make(chan struct{})
	addr := scriptedDiscovery(t, func(c net.Conn) {
		write(t, c, "HTTP/1.1 200 OK\r\n\r\n{\n  \"seq\": 1,\n  \"whole\": true,\n  \"hosts\": [\n    {\"host\": \"a\",\n     \"dial\": \"127.0.0.1:1\",\n     \"health\": \"active\"}\n  ]\n}\n\n\n")
		write(t, c, "{\"seq\":2,\"whole\":false,\"hosts\":[{\"host\":\"a\",\"dial\":\"127.0.0.1:1\",\"health\":\"leaving\"}]}{\n\"seq\":3,\n\n\"hosts\":[]}\n")
		<-release
	})
	lists := watch(t, ask(addr))
	for i, want := range []struct{ seq, hosts int64 }{{1, 1}, {2, 1}, {3, 0}} {
		if l := next(t, lists); *l.Version != want.seq || int64(len(l.Endpoints)) != want.hosts {
			t.Errorf("message %d: %+v, want %+v", i, l, want)
		}
	}
	close(release)
}

// TestSilentDiscovery guards against waiting for a watch that has fallen silent, wherever it did, and against giving up one that
// only has nothing to tell.
func TestSilentDiscovery(t *testing.T) {
	bound := staleness.Bound{WatchTimeout: 300 * time.Millisecond, CallTimeout: 300 * time.Millisecond}
	const head, list = "HTTP/1.1 200 OK\r\n\r\n", `{"seq":1,"whole":true,"hosts":[]}` + "\n"
	for name, script := range map[string]struct {
		text  string
		every string // is written each 50 ms behind it
		lists int
	}{
		"at once":                               {},
		"within the head":                       {text: head[:10]},
		"after the head":                        {text: head},
		"empty lines and no list":               {text: head, every: "\n"},
		"after a list":                          {text: head + list, lists: 1},
		"within a message":                      {text: head + list + list[:9], lists: 1},
		"in a message that comes by the byte":   {text: head + list + `{"pad":"`, every: "x", lists: 1},
		"in a first one that comes by the byte": {text: head + `{"pad":"`, every: "x"},
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
				t.Errorf("ended with %v, want %v with the address", err, ErrSilenceTimeout)
			}
			if lists != script.lists {
				t.Errorf("told %d lists, want %d", lists, script.lists)
			}
		})
	}
	t.Run("not with empty lines", func(t *testing.T) {
		t.Parallel()
		addr := scriptedDiscovery(t, func(c net.Conn) {
			write(t, c, head+list)
			for range 20 { // each well within the silence, all together far beyond it
				time.Sleep(50 * time.Millisecond)
				write(t, c, "\n")
			}
			write(t, c, list)
		})
		lists := 0
		if err := (Client{Address: addr, Staleness: bound}).Watch(context.Background(), 0, func(*EndpointList) { lists++ }); !errors.Is(err, io.EOF) {
			t.Errorf("ended with %v, want the end", err)
		}
		if lists != 2 {
			t.Errorf("told %d lists, want 2", lists)
		}
	})
}
