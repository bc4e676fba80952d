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

// startHeld runs a sidecar whose listening socket ln is held by the platform, beside others that share dir.
func startHeld(t *testing.T, ln *net.TCPListener, dir string, getenv func(string) string) *running {
	t.Helper()
	file, err := ln.File()
	if err != nil {
		t.Fatal(err)
	}
	fd, err := syscall.Dup(int(file.Fd())) // the sidecar closes it
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

// upgradeClients ask one request after the other, each on a connection of its own that it uses again.
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

// stop ends the clients and returns once they have.
func (u *upgradeClients) stop() {
	u.stopped.Store(true)
	u.all.Wait()
}

// run is one client. A request that finds its connection closed, as it may have been while it was sent, is sent once more on a new one.
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
		closes, err := u.ask(t, c, id)
		if err != nil {
			c.Close()
			if c = nil; again {
				t.Errorf("%s: %v on a new connection too", id, err)
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

func (u *upgradeClients) dial() (*client, error) {
	c, err := net.Dial("tcp", u.addr)
	if err != nil {
		return nil, err
	}
	c.SetDeadline(time.Now().Add(patience))
	return &client{c, bufio.NewReader(c)}, nil
}

// ask sends a request and checks its answer. It reports whether the connection closes after it.
func (u *upgradeClients) ask(t *testing.T, c *client, id string) (closes bool, err error) {
	send(c, get(id))
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK || string(body) != id {
		t.Errorf("%s: got %d %q", id, resp.StatusCode, body)
	}
	u.served.Add(1)
	return resp.Close, nil
}

// TestUpgrade guards against requests that are lost or answered otherwise while one process takes the place of another, and
// against two processes that hold more than one may.
func TestUpgrade(t *testing.T) {
	u := startUpstream(t, echo)
	go func() { // nobody waits for what u has seen
		for range u.seen {
		}
	}()
	addr, watched := startDiscovery(t, u)
	go func() {
		for range watched {
		}
	}()
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	ln, dir := held.(*net.TCPListener), t.TempDir()
	getenv := configEnv(t, addr, 256, nil)
	old := startHeld(t, ln, dir, getenv)
	waitFor(t, "the first process", func() bool { return old.Ready() == nil })

	clients := startUpgradeClients(t, old.addr)
	more := func(what string) {
		t.Helper()
		from := clients.served.Load()
		waitFor(t, what, func() bool { return clients.served.Load() > from+200 })
	}
	more("answers of the first process")
	waitFor(t, "what the first process has learnt", func() bool {
		_, err := os.Stat(filepath.Join(dir, learnedStateFile))
		return err == nil
	})
	next := startHeld(t, ln, dir, getenv)
	waitFor(t, "the second process", func() bool { return next.Ready() == nil })
	for _, s := range []*running{old, next} {
		waitFor(t, "its part of the limits", func() bool { return s.processCount() == 2 })
	}
	more("answers of both")
	old.end()
	<-old.ended
	waitFor(t, "the whole of the limits", func() bool { return next.processCount() == 1 })
	more("answers of the second process")
	clients.stop()
	sum := int64(0)
	for _, s := range []*running{old, next} {
		c := s.Vars().Results["check"]
		if c.Succeeded == 0 || c.Rejected != 0 || c.Failed != 0 || s.Vars().Forwards < c.Succeeded {
			t.Errorf("figures: %+v", s.Vars())
		}
		sum += c.Succeeded
	}
	if served := clients.served.Load(); sum != served {
		t.Errorf("the figures tell of %d answers, clients had %d", sum, served)
	}
}

// TestSuccessorPollsAtOnce guards against a process that takes another's place, and the clients, with the list that it was given, because its
// first call is spread over the group as that of any that starts: what discovery tells binds it soon after it is ready.
func TestSuccessorPollsAtOnce(t *testing.T) {
	u := startUpstream(t, echo)
	addr, watched := startDiscovery(t, u)
	go func() {
		for range watched {
		}
	}()
	for range 4 { // the first call of any other is made within two of six seconds
		held, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer held.Close()
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
		next := startHeld(t, held.(*net.TCPListener), dir, getenv)
		waitFor(t, "the second process", func() bool { return next.Ready() == nil })
		if !next.EndpointsKnown() {
			t.Error("it is ready, and has not heard from discovery")
		}
		next.end()
		<-next.ended
	}
}

// TestCorruptLearnedState guards against a start that fails for what another process has left.
func TestCorruptLearnedState(t *testing.T) {
	dir := t.TempDir()
	s := &Sidecar{cfg: Config{SharedDir: dir}, log: slog.New(slog.DiscardHandler)}
	for _, text := range []string{"", "{", `{"Pools":{"platform":{"Servers":7}}}`, `{"Clients":{"x":1}}`} {
		if err := os.WriteFile(filepath.Join(dir, learnedStateFile), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		s.readLearnedState() // would panic if it used any of it: there is no gateway
	}
}

// TestPlatformVariables holds what the environment may say beside the file.
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
			t.Errorf("GW_FD %q: %v", fd, err)
		}
		if err == nil && fd == "5" && c.ListenerFD != 5 {
			t.Errorf("GW_FD 5 is taken as %d", c.ListenerFD)
		}
	}
}
