package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"sorrelrudder/internal/process"
)

// startWithListener runs a sidecar whose listening socket ln is held by the platform. Sidecars with the same dir are sibling processes.
func startWithListener(t *testing.T, ln *net.TCPListener, dir string, getenv func(string) string) *running {
	t.Helper()
	file, err := ln.File()
	if err != nil {
		t.Fatal(err)
	}
	fd, err := syscall.Dup(int(file.Fd())) // the sidecar closes the duplicate
	file.Close()
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := LoadConfig(func(name string) string {
		switch name {
		case "GW_FD":
			return strconv.Itoa(fd)
		case "GW_ADMIN":
			return "127.0.0.1:0"
		case "TMPDIR":
			return dir
		}
		return getenv(name)
	})
	if err != nil {
		t.Fatal(err)
	}
	s, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{s, ln.Addr().String(), make(chan struct{}), cancel}
	go func() {
		defer close(r.ended)
		if err := s.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-r.ended
	})
	return r
}

// upgradeClients are clients that each send one request after the other on a reused connection.
type upgradeClients struct {
	addr    string
	stopped atomic.Bool
	served  atomic.Int64
	all     sync.WaitGroup
}

// startUpgradeClients starts four clients of the process at addr.
func startUpgradeClients(t *testing.T, addr string) *upgradeClients {
	t.Helper()
	u := &upgradeClients{addr: addr}
	for i := range 4 {
		u.all.Go(func() { u.run(t, strconv.Itoa(i)) })
	}
	return u
}

// stop ends the clients and returns once all have ended.
func (u *upgradeClients) stop() {
	u.stopped.Store(true)
	u.all.Wait()
}

// run is one client. It retries a request once, on a new connection, if the connection is closed before the response: the server may have
// closed it while the request was on its way.
func (u *upgradeClients) run(t *testing.T, name string) {
	var c *client
	again := false
	for n := 0; !u.stopped.Load(); {
		id := name + "-" + strconv.Itoa(n)
		if c == nil {
			var err error
			if c, err = u.dial(); err != nil {
				t.Error(err)
				return
			}
		}
		closes, err := u.roundTrip(t, c, id)
		if err != nil {
			c.Close()
			if c = nil; again {
				t.Errorf("request %s failed on a new connection too: %v", id, err)
				return
			}
			again = true
			continue
		}
		again = false
		n++
		if closes {
			c.Close()
			c = nil
		}
	}
	if c != nil {
		c.Close()
	}
}

// dial connects to the process.
func (u *upgradeClients) dial() (*client, error) {
	c, err := net.Dial("tcp", u.addr)
	if err != nil {
		return nil, err
	}
	c.SetDeadline(time.Now().Add(testTimeout))
	return &client{c, bufio.NewReader(c)}, nil
}

// roundTrip sends a request and checks its response. It reports whether the server closes the connection after it.
func (u *upgradeClients) roundTrip(t *testing.T, c *client, id string) (closes bool, err error) {
	send(c, get(id))
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK || string(body) != id {
		t.Errorf("request %s: got status %d, body %q, want 200 and its id", id, resp.StatusCode, body)
	}
	u.served.Add(1)
	return resp.Close, nil
}

// TestUpgrade guards against requests that are lost or answered wrongly while one process replaces another, and against two processes that
// together exceed the limits of one.
func TestUpgrade(t *testing.T) {
	u := startUpstream(t, echo)
	go func() { // drains the channel so that u never blocks on it
		for range u.seen {
		}
	}()
	addr, queries := startDiscovery(t, u)
	go func() {
		for range queries {
		}
	}()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	ln, dir := listener.(*net.TCPListener), t.TempDir()
	getenv := configEnv(t, addr, 256, nil)
	old := startWithListener(t, ln, dir, getenv)
	waitFor(t, "the first process to be ready", func() bool { return old.Ready() == nil })

	clients := startUpgradeClients(t, old.addr)
	awaitServed := func(what string) {
		t.Helper()
		from := clients.served.Load()
		waitFor(t, what, func() bool { return clients.served.Load() > from+200 })
	}
	awaitServed("responses of the first process")
	waitFor(t, "the learned state of the first process", func() bool {
		_, err := os.Stat(filepath.Join(dir, learnedStateFile))
		return err == nil
	})
	next := startWithListener(t, ln, dir, getenv)
	waitFor(t, "the second process to be ready", func() bool { return next.Ready() == nil })
	for _, s := range []*running{old, next} {
		waitFor(t, "both processes to share the limits", func() bool { return s.processCount() == 2 })
	}
	awaitServed("responses of both processes")
	old.end()
	<-old.ended
	waitFor(t, "the second process to use the whole limits", func() bool { return next.processCount() == 1 })
	awaitServed("responses of the second process")
	clients.stop()
	sum := int64(0)
	for _, s := range []*running{old, next} {
		c := s.Vars().Results["check"]
		if c.Succeeded == 0 || c.Rejected != 0 || c.Failed != 0 || s.Vars().Forwards < c.Succeeded {
			t.Errorf("metrics: got %+v, want only successes, each forwarded", s.Vars())
		}
		sum += c.Succeeded
	}
	if served := clients.served.Load(); sum != served {
		t.Errorf("metrics count %d responses, clients got %d", sum, served)
	}
}

// TestSuccessorPollsAtOnce guards against a successor process that serves clients with its cached endpoint list. Other processes delay the
// first call of discovery after their start, so that the calls of a group are spread. A successor must call at once, because the list of
// discovery is binding soon after the process is ready.
func TestSuccessorPollsAtOnce(t *testing.T) {
	u := startUpstream(t, echo)
	addr, queries := startDiscovery(t, u)
	go func() {
		for range queries {
		}
	}()
	for range 4 { // other processes make the first call within two of six seconds
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		dir := t.TempDir()
		other, err := process.JoinSiblingGroup(dir)
		if err != nil {
			t.Fatal(err)
		}
		defer other.Leave()
		getenv := configEnv(t, addr, 256, listOf(t, u))
		path := getenv("GW_CONFIG")
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		text = bytes.Replace(text, []byte(`"GroupSize":1`), []byte(`"GroupSize":48`), 1)
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		next := startWithListener(t, listener.(*net.TCPListener), dir, getenv)
		waitFor(t, "the second process to be ready", func() bool { return next.Ready() == nil })
		if !next.EndpointsKnown() {
			t.Error("the process is ready but has no list from discovery")
		}
		next.end()
		<-next.ended
	}
}

// TestCorruptLearnedState guards against a start that fails because of a corrupt file of learned state.
func TestCorruptLearnedState(t *testing.T) {
	dir := t.TempDir()
	s := &Sidecar{cfg: Config{SharedDir: dir}, log: slog.New(slog.DiscardHandler)}
	for _, text := range []string{"", "{", `{"Pools":{"platform":{"Servers":7}}}`, `{"Clients":{"x":1}}`} {
		if err := os.WriteFile(filepath.Join(dir, learnedStateFile), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		s.readLearnedState() // would panic if it imported any state, because there is no gateway
	}
}

// TestPlatformVariables guards against accepting an invalid GW_FD and against ignoring a valid one.
func TestPlatformVariables(t *testing.T) {
	getenv := configEnv(t, "127.0.0.1:1", 256, nil)
	for fd, ok := range map[string]bool{"": true, "5": true, "x": false, "0": false, "-1": false} {
		c, err := LoadConfig(func(name string) string {
			if name == "GW_FD" {
				return fd
			}
			return getenv(name)
		})
		if (err == nil) != ok {
			t.Errorf("GW_FD %q: got error %v, want one only if the value is invalid", fd, err)
		}
		if err == nil && fd == "5" && c.ListenerFD != 5 {
			t.Errorf("GW_FD 5: got descriptor %d, want 5", c.ListenerFD)
		}
	}
}
