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

// asProgram is the variable by which this test's program is the sidecar itself, in a process of its own.
const asProgram = "SIDECAR_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// process is a sidecar as a process of its own.
type process struct {
	cmd    *exec.Cmd
	listen chan string // its address, once it is ready
	ended  chan error
}

// startProcess starts one that reads the file, and may hold so many descriptors.
func startProcess(t *testing.T, config string, descriptors int) *process {
	t.Helper()
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	p := &process{listen: make(chan string, 1), ended: make(chan error, 1)}
	p.cmd = exec.Command("sh", "-c", `ulimit -n "$1" && exec "$2"`, "sh", strconv.Itoa(descriptors), program)
	p.cmd.Env = append(os.Environ(), asProgram+"=1", "GW_CONFIG="+config)
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
		for from := bufio.NewScanner(log); from.Scan(); {
			lines = append(lines, from.Text())
			if m := ready.FindStringSubmatch(from.Text()); m != nil {
				p.listen <- m[1]
			}
		}
	})
	go func() {
		read.Wait()
		p.ended <- p.cmd.Wait()
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill() // it may have ended
		read.Wait()
		if t.Failed() {
			t.Log(strings.Join(lines, "\n"))
		}
	})
	return p
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

func (p *process) ready(t *testing.T) (addr string) {
	t.Helper()
	return wait(t, "the sidecar to be ready", p.listen)
}

// endsInOrder waits for the process to end by itself.
func (p *process) endsInOrder(t *testing.T) {
	t.Helper()
	if err := wait(t, "the sidecar to end", p.ended); err != nil {
		t.Errorf("ended with %v", err)
	}
}

func wait[T any](t *testing.T, what string, from <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-from:
	case <-time.After(patience):
		t.Fatalf("waited in vain for %s", what)
	}
	return v
}

// hangingServer reads requests, tells of each, and answers once release is closed.
func hangingServer(t *testing.T, release <-chan struct{}) (addr string, came <-chan string) {
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
			_, _ = io.WriteString(w, q.Header.Get("X-Request-Id")) // the other side may have gone
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

// send writes to a connection. Where the process has closed it, reading the response tells.
func send(c io.Writer, text string) { _, _ = io.WriteString(c, text) }

// configText is a configuration with one class, whose list names the servers.
func configText(t *testing.T, discovery string, sockets int, servers ...string) string {
	t.Helper()
	hosts := []map[string]any{}
	for i, s := range servers {
		hosts = append(hosts, map[string]any{"host": fmt.Sprint("s", i), "dial": s, "health": "active"})
	}
	known, err := json.Marshal(map[string]any{"seq": 1, "whole": true, "hosts": hosts})
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:0","discovery":%q,"limits":{"memory_mb":64,"sockets":%d},"known":%s,
		"settings":{"GroupSize":1,"TickUs":1000,"Limits":{"SendCap":1,"DialTimeoutUs":2000000,"ConnIdleUs":5000000},"Safety":{"AskEveryUs":10000000},
		"RequestClasses":[{"Name":"check","Effect":"read_like","AimUs":10000000,"DeadlineUs":10000000,"Worth":1,"LateShare":1}]}}`, discovery, sockets, known)
}

func get(id string) string {
	return "GET /check HTTP/1.1\r\nHost: h\r\nX-Request-ID: " + id + "\r\nX-Timeout-Ms: 10000\r\n\r\n"
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	return c
}

// answerOn reads an answer; status 0 is a close with none.
func answerOn(t *testing.T, c net.Conn) (status int, body string) {
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

// TestSIGTERMBeforeItIsReady guards against a process that is killed by the signal, and is not heard of again, because it came while the
// configuration was being read: it starts, serves nobody, and ends in order.
func TestSIGTERMBeforeItIsReady(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	p := startProcess(t, path, 256)
	opened := make(chan *os.File, 1)
	go func() {
		f, err := os.OpenFile(path, os.O_WRONLY, 0) // returns once the process reads there
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
	p.endsInOrder(t)
}

// TestSignalsUnderARequest guards against losing a request that is open as signals come, alone, together or twice.
func TestSignalsUnderARequest(t *testing.T) {
	for name, signals := range map[string][]syscall.Signal{
		"SIGTERM":             {syscall.SIGTERM},
		"SIGTERM twice":       {syscall.SIGTERM, syscall.SIGTERM},
		"SIGHUP and SIGTERM":  {syscall.SIGHUP, syscall.SIGTERM},
		"SIGTERM and SIGHUP":  {syscall.SIGTERM, syscall.SIGHUP},
		"SIGHUP in the drain": {syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			server, came := hangingServer(t, release)
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
			open, resting, slow := dial(t, addr), dial(t, addr), dial(t, addr)
			half := len(get("slow")) / 2
			send(slow, get("slow")[:half])
			send(open, get("open"))
			wait(t, "the request", came)
			send(resting, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
			write("127.0.0.1:2") // what a reload finds
			for _, s := range signals {
				p.signal(t, s)
			}
			// One that crosses the end of its connection comes again on a new one, as clients do.
			if _, err := io.Copy(io.Discard, resting); err != nil {
				t.Errorf("a resting connection ended with %v", err)
			}
			during := dial(t, addr)
			send(during, get("during"))
			wait(t, "the other request", came)
			send(slow, get("slow")[half:])
			wait(t, "the request that had half come", came)
			close(release)
			for id, c := range map[string]net.Conn{"open": open, "during": during, "slow": slow} {
				if status, body := answerOn(t, c); status != 200 || body != id {
					t.Errorf("%s: answered %d %q", id, status, body)
				}
			}
			p.endsInOrder(t)
		})
	}
}

// TestIdleClientsWhileDiscoveryIsDown guards against clients that take every descriptor while discovery cannot be reached: at its
// return the list is asked for and told all the same, and what it names is sent to. The process is held to its limit.
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
	reserved.Close() // nobody is there yet
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
	status, body := answerOn(t, waiting)
	for tries := 0; status == 0 && tries < 100; tries++ { // closed to make room before it was read: it comes again
		c := dial(t, addr)
		send(c, get("again"+strconv.Itoa(tries)))
		status, body = answerOn(t, c)
	}
	if status != 200 {
		t.Errorf("answered %d %q", status, body)
	}
	p.signal(t, syscall.SIGTERM)
	for _, c := range idle {
		c.Close()
	}
	p.endsInOrder(t)
}
