package process

import (
	"io"
	"net"
	"testing"
	"time"
)

func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Error(err)
	}
}

// TestNothingToRead guards against reusing a connection on which unread bytes or its end have arrived.
func TestNothingToRead(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	local, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer local.Close()
	remote, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if !NothingToRead(local) {
		t.Error("new connection: got false, want true")
	}
	awaitReadable := func(what string) {
		t.Helper()
		for end := time.Now().Add(testTimeout); NothingToRead(local); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("timed out waiting for false after %s", what)
			}
		}
	}
	write(t, remote, "x")
	awaitReadable("a received byte")
	if _, err := local.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if !NothingToRead(local) {
		t.Error("after the byte was read: got false, want true")
	}
	remote.Close()
	awaitReadable("the end")
	pipe, other := net.Pipe()
	defer other.Close()
	defer pipe.Close()
	if NothingToRead(pipe) {
		t.Error("connection that cannot be inspected: got true, want false")
	}
}

// TestPeerClosed guards against treating a disconnected client as connected because unread bytes precede the end of its connection.
func TestPeerClosed(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	for name, end := range map[string]func(*net.TCPConn){
		"closed":            func(c *net.TCPConn) { _ = c.Close() },
		"closed with bytes": func(c *net.TCPConn) { write(t, c, "more"); _ = c.Close() },
		"reset":             func(c *net.TCPConn) { c.SetLinger(0); _ = c.Close() },
		"reset after bytes": func(c *net.TCPConn) { write(t, c, "more"); c.SetLinger(0); _ = c.Close() },
	} {
		remote, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		local, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if PeerClosed(local) {
			t.Errorf("%s: got true before the peer closed the connection", name)
		}
		write(t, remote, "x")
		for end := time.Now().Add(testTimeout); NothingToRead(local) && time.Now().Before(end); time.Sleep(time.Millisecond) {
		}
		if PeerClosed(local) {
			t.Errorf("%s: got true after a byte was received", name)
		}
		end(remote.(*net.TCPConn))
		for end := time.Now().Add(testTimeout); !PeerClosed(local); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: timed out waiting for true after the peer closed the connection", name)
			}
		}
		local.Close()
	}
	pipe, other := net.Pipe()
	defer other.Close()
	defer pipe.Close()
	if PeerClosed(pipe) {
		t.Error("connection that cannot be inspected: got true, want false")
	}
}
