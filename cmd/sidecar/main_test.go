package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// testTimeout bounds the wait for an expected event.
const testTimeout = 20 * time.Second

// TestSignals guards against a process that ends on SIGHUP, with a valid or an invalid new configuration, and against an error on SIGTERM.
// The process shows that it still runs by calling discovery at the address in the file.
func TestSignals(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(discovery string) {
		t.Helper()
		text := fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:0","discovery":%q,
			"settings":{"GroupSize":1,"Limits":{"SendCap":1},"Safety":{"AskEveryUs":1000000}}}`, discovery)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	awaitCall := func(ln net.Listener) {
		t.Helper()
		if err := ln.(*net.TCPListener).SetDeadline(time.Now().Add(testTimeout)); err != nil {
			t.Fatal(err)
		}
		c, err := ln.Accept()
		if err != nil {
			t.Fatalf("discovery was not called: %v", err)
		}
		t.Cleanup(func() { c.Close() })
	}
	discovery := make([]net.Listener, 2)
	for i := range discovery {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		discovery[i] = ln
	}
	signal := func(s syscall.Signal) {
		t.Helper()
		if err := syscall.Kill(os.Getpid(), s); err != nil {
			t.Fatal(err)
		}
	}

	write(discovery[0].Addr().String())
	t.Setenv("GW_CONFIG", path)
	t.Setenv("GW_DISCOVERY", discovery[0].Addr().String()) // unchanged by the reload
	ended := make(chan error, 1)
	go func() { ended <- run() }()
	awaitCall(discovery[0])

	if err := os.WriteFile(path, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	signal(syscall.SIGHUP)
	write(discovery[1].Addr().String())
	signal(syscall.SIGHUP)
	awaitCall(discovery[1])

	signal(syscall.SIGTERM)
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(testTimeout):
		t.Error("timed out waiting for run to return after SIGTERM")
	}
}
