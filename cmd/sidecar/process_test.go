package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// runAsSidecar is the environment variable with which the test binary runs as the sidecar, in a process of its own.
const runAsSidecar = "SIDECAR_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runAsSidecar) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// process is a sidecar in a process of its own.
type process struct {
	cmd    *exec.Cmd
	listen chan string // receives the listening address once the sidecar is ready
	admin  chan string // receives the address of the admin server, if there is one
	ended  chan error
}

// startProcess starts a sidecar with a configuration file and a limit of open descriptors.
func startProcess(t *testing.T, config string, descriptors int) *process {
	t.Helper()
	return startProcessWith(t, config, descriptors, nil)
}

// startProcessWith is startProcess with further environment variables and open files. The first file is descriptor 3.
func startProcessWith(t *testing.T, config string, descriptors int, env []string, files ...*os.File) *process {
	t.Helper()
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return startProgram(t, program, config, descriptors, env, files...)
}

// startProgram starts a program that is the sidecar, as startProcessWith does.
func startProgram(t *testing.T, program, config string, descriptors int, env []string, files ...*os.File) *process {
	t.Helper()
	p := &process{listen: make(chan string, 1), admin: make(chan string, 1), ended: make(chan error, 1)}
	p.cmd = exec.Command("sh", "-c", `ulimit -n "$1" && exec "$2"`, "sh", strconv.Itoa(descriptors), program)
	p.cmd.Env = append(append(os.Environ(), runAsSidecar+"=1", "GW_CONFIG="+config), env...)
	p.cmd.ExtraFiles = files
	log, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	var lines []string
	var read sync.WaitGroup
	read.Go(func() {
		ready := regexp.MustCompile(`msg=ready .*listen=([0-9.:]+)`)
		adminReady := regexp.MustCompile(`msg="admin server ready" listen=([0-9.:]+)`)
		for from := bufio.NewScanner(log); from.Scan(); {
			lines = append(lines, from.Text())
			if m := ready.FindStringSubmatch(from.Text()); m != nil {
				p.listen <- m[1]
			}
			if m := adminReady.FindStringSubmatch(from.Text()); m != nil {
				p.admin <- m[1]
			}
		}
	})
	go func() {
		read.Wait()
		p.ended <- p.cmd.Wait()
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill() // the process may have ended already
		read.Wait()
		if t.Failed() {
			t.Log(strings.Join(lines, "\n"))
		}
	})
	return p
}

// signal sends a signal to the process.
func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// ready waits until the sidecar is ready, and returns its address.
func (p *process) ready(t *testing.T) (addr string) {
	t.Helper()
	return wait(t, "the sidecar to be ready", p.listen)
}

// awaitExit waits for the process to exit with status 0.
func (p *process) awaitExit(t *testing.T) {
	t.Helper()
	if err := wait(t, "the sidecar to exit", p.ended); err != nil {
		t.Errorf("sidecar exited with %v, want status 0", err)
	}
}

// wait returns the next value of a channel, and fails the test after testTimeout.
func wait[T any](t *testing.T, what string, from <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-from:
	case <-time.After(testTimeout):
		t.Fatalf("timed out waiting for %s", what)
	}
	return v
}

// hangingServer starts a server that sends the id of each request on the channel requests, and responds once release is closed.
func hangingServer(t *testing.T, release <-chan struct{}) (addr string, requests <-chan string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ids := make(chan string, 100)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		ids <- q.Header.Get("X-Request-Id")
		select {
		case <-release:
			_, _ = io.WriteString(w, q.Header.Get("X-Request-Id")) // the peer may have disconnected
		case <-q.Context().Done():
		}
	})}
	go serveHTTP(t, server, ln)
	t.Cleanup(func() { server.Close() })
	return ln.Addr().String(), ids
}

// serveHTTP serves until the server is closed.
func serveHTTP(t *testing.T, s *http.Server, ln net.Listener) {
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		t.Error(err)
	}
}

// send writes to a connection. Write errors are ignored: if the process has closed the connection, reading the response fails.
func send(c io.Writer, text string) { _, _ = io.WriteString(c, text) }

// configText returns a configuration with one class and a cached endpoint list of the servers.
func configText(t *testing.T, discovery string, sockets int, servers ...string) string {
	t.Helper()
	known := knownList(t, servers...)
	return fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:0","discovery":%q,"limits":{"memory_mb":64,"sockets":%d},"known":%s,
		"settings":{"GroupSize":1,"TickUs":1000,"Limits":{"SendCap":1,"DialTimeoutUs":2000000,"ConnIdleUs":5000000},"Safety":{"AskEveryUs":10000000},
		"RequestClasses":[{"Name":"check","Effect":"read_like","AimUs":10000000,"DeadlineUs":10000000,"Worth":1,"LateShare":1}]}}`, discovery, sockets, known)
}

// knownList returns a cached endpoint list of the servers.
func knownList(t *testing.T, servers ...string) []byte {
	t.Helper()
	hosts := []map[string]any{}
	for i, s := range servers {
		hosts = append(hosts, map[string]any{"host": fmt.Sprint("s", i), "dial": s, "health": "active"})
	}
	known, err := json.Marshal(map[string]any{"seq": 1, "whole": true, "hosts": hosts})
	if err != nil {
		t.Fatal(err)
	}
	return known
}

// get returns a request with the given id.
func get(id string) string {
	return "GET /check HTTP/1.1\r\nHost: h\r\nX-Request-ID: " + id + "\r\nX-Timeout-Ms: 10000\r\n\r\n"
}

// dial connects to addr. The connection has a deadline of testTimeout.
func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return c
}

// readResponse reads a response. Status 0 means that the connection was closed without a complete one.
func readResponse(t *testing.T, c net.Conn) (status int, body string) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(b)
}

// TestSIGTERMBeforeItIsReady guards against a process that is killed by a SIGTERM that arrives while the configuration is being read. The
// process must start, serve no request and exit with status 0.
func TestSIGTERMBeforeItIsReady(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	p := startProcess(t, path, 256)
	opened := make(chan *os.File, 1)
	go func() {
		f, err := os.OpenFile(path, os.O_WRONLY, 0) // returns once the process has opened the file for reading
		if err != nil {
			t.Error(err)
		}
		opened <- f
	}()
	f := wait(t, "the configuration to be read", opened)
	p.signal(t, syscall.SIGTERM)
	if _, err := io.WriteString(f, configText(t, "127.0.0.1:1", 256)); err != nil {
		t.Error(err)
	}
	f.Close()
	p.awaitExit(t)
}

// TestSignalsUnderARequest guards against losing a request in progress when signals arrive, one or several of them.
func TestSignalsUnderARequest(t *testing.T) {
	for name, signals := range map[string][]syscall.Signal{
		"SIGTERM":               {syscall.SIGTERM},
		"SIGTERM twice":         {syscall.SIGTERM, syscall.SIGTERM},
		"SIGHUP and SIGTERM":    {syscall.SIGHUP, syscall.SIGTERM},
		"SIGTERM and SIGHUP":    {syscall.SIGTERM, syscall.SIGHUP},
		"SIGHUP while draining": {syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			server, requests := hangingServer(t, release)
			path := filepath.Join(t.TempDir(), "config.json")
			write := func(discovery string) {
				t.Helper()
				if err := os.WriteFile(path, []byte(configText(t, discovery, 256, server)), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			write("127.0.0.1:1")
			p := startProcess(t, path, 256)
			addr := p.ready(t)
			open, idle, slow := dial(t, addr), dial(t, addr), dial(t, addr)
			half := len(get("slow")) / 2
			send(slow, get("slow")[:half])
			send(open, get("open"))
			wait(t, "the request in progress", requests)
			send(idle, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
			write("127.0.0.1:2") // the configuration that a reload reads
			for _, s := range signals {
				p.signal(t, s)
			}
			// A request that is sent while its connection is being closed is retried on a new one, as clients do.
			if _, err := io.Copy(io.Discard, idle); err != nil {
				t.Errorf("read on an idle connection: got %v, want EOF", err)
			}
			during := dial(t, addr)
			send(during, get("during"))
			wait(t, "the request during the drain", requests)
			send(slow, get("slow")[half:])
			wait(t, "the request that was half received", requests)
			close(release)
			for id, c := range map[string]net.Conn{"open": open, "during": during, "slow": slow} {
				if status, body := readResponse(t, c); status != 200 || body != id {
					t.Errorf("request %s: got status %d, body %q, want 200 and its id", id, status, body)
				}
			}
			p.awaitExit(t)
		})
	}
}

// TestIdleClientsWhileDiscoveryIsDown guards against clients that exhaust the descriptors while discovery is unreachable. Once discovery is
// back, the sidecar must still be able to fetch the list and to forward requests to its endpoints. The operating system enforces the limit
// of descriptors.
func TestIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	const sockets = 64
	release := make(chan struct{})
	close(release)
	server, _ := hangingServer(t, release)
	reserved, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	discovery := reserved.Addr().String()
	reserved.Close() // discovery is not running yet
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(configText(t, discovery, sockets)), 0o600); err != nil {
		t.Fatal(err)
	}
	p := startProcess(t, path, sockets)
	addr := p.ready(t)
	var idle []net.Conn
	for range 2 * sockets {
		c := dial(t, addr)
		send(c, "GET /check")
		idle = append(idle, c)
	}
	waiting := dial(t, addr)
	send(waiting, get("waits"))
	ln, err := net.Listen("tcp", discovery)
	if err != nil {
		t.Fatal(err)
	}
	back := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		fmt.Fprintf(w, `{"seq":2,"whole":true,"hosts":[{"host":"a","dial":%q,"health":"active"}]}`+"\n", server)
		w.(http.Flusher).Flush()
		<-q.Context().Done()
	})}
	go serveHTTP(t, back, ln)
	t.Cleanup(func() { back.Close() })
	status, body := readResponse(t, waiting)
	for tries := 0; status == 0 && tries < 100; tries++ { // closed to free a descriptor before the request was read: retry
		c := dial(t, addr)
		send(c, get("again"+strconv.Itoa(tries)))
		status, body = readResponse(t, c)
	}
	if status != 200 {
		t.Errorf("got status %d, body %q, want 200", status, body)
	}
	p.signal(t, syscall.SIGTERM)
	for _, c := range idle {
		c.Close()
	}
	p.awaitExit(t)
}
