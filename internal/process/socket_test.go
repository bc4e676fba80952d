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

// TestNothingToRead guards against using a connection again on which bytes or the end have come.
func TestNothingToRead(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	near, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	far, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if !NothingToRead(near) {
		t.Error("a connection on which nothing came is not quiet")
	}
	loud := func(what string) {
		t.Helper()
		for end := time.Now().Add(patience); NothingToRead(near); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("quiet after %s", what)
			}
		}
	}
	write(t, far, "x")
	loud("a byte came")
	if _, err := near.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if !NothingToRead(near) {
		t.Error("not quiet once the byte was read")
	}
	far.Close()
	loud("the end")
	pipe, other := net.Pipe()
	defer other.Close()
	defer pipe.Close()
	if NothingToRead(pipe) {
		t.Error("what cannot be looked at must not count as quiet")
	}
}

// TestPeerClosed guards against taking a client for one that is still there because bytes stand before its end.
func TestPeerClosed(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	for name, end := range map[string]func(*net.TCPConn){
		"closed":             func(c *net.TCPConn) { _ = c.Close() },
		"closed with bytes":  func(c *net.TCPConn) { write(t, c, "more"); _ = c.Close() },
		"reset":              func(c *net.TCPConn) { c.SetLinger(0); _ = c.Close() },
		"reset behind bytes": func(c *net.TCPConn) { write(t, c, "more"); c.SetLinger(0); _ = c.Close() },
	} {
		far, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		near, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if PeerClosed(near) {
			t.Errorf("%s: ended before it was", name)
		}
		write(t, far, "x")
		for end := time.Now().Add(patience); NothingToRead(near) && time.Now().Before(end); time.Sleep(time.Millisecond) {
		}
		if PeerClosed(near) {
			t.Errorf("%s: ended when a byte had come", name)
		}
		end(far.(*net.TCPConn))
		for end := time.Now().Add(patience); !PeerClosed(near); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: never seen to end", name)
			}
		}
		near.Close()
	}
	pipe, other := net.Pipe()
	defer other.Close()
	defer pipe.Close()
	if PeerClosed(pipe) {
		t.Error("what cannot be looked at must not count as ended")
	}
}
