package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"sorrelrudder/internal/fake"
)

// TestFloodsOfHTTP2Frames guards against HTTP/2 connections whose clients send frames at full speed: other clients must be answered in time.
func TestFloodsOfHTTP2Frames(t *testing.T) {
	testFrameFloods(t, map[string]func(f *http2.Framer, n int) error{
		"pings":    func(f *http2.Framer, _ int) error { return f.WritePing(false, [8]byte{}) },
		"settings": func(f *http2.Framer, _ int) error { return f.WriteSettings() },
		"resets": func(f *http2.Framer, n int) error {
			if err := writeRequest(f, n, "shop.example.org"); err != nil {
				return err
			}
			return f.WriteRSTStream(streamID(n), http2.ErrCodeCancel)
		},
		"unknown hosts": func(f *http2.Framer, n int) error { return writeRequest(f, n, "other.example.org") },
	})
}

// TestSoundFloodsOfHTTP2Requests guards against HTTP/2 connections with as many sound requests at once as they may have: other clients must be
// answered in time.
func TestSoundFloodsOfHTTP2Requests(t *testing.T) {
	testFrameFloods(t, map[string]func(f *http2.Framer, n int) error{
		"sound": func(f *http2.Framer, n int) error { return writeRequest(f, n, "shop.example.org") },
	})
}

// testFrameFloods plays floods of the frames that the functions write, by their names, beside clients that must be answered in time.
func testFrameFloods(t *testing.T, kinds map[string]func(f *http2.Framer, n int) error) {
	const floods, clients = 6, 10
	const playTime, timeout = 2 * time.Second, 150 * time.Millisecond
	dir := t.TempDir()
	program, file := filepath.Join(dir, "sorrelrudder"), filepath.Join(dir, "gateway.toml")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "answer") }))
	defer server.Close()
	text := fmt.Sprintf("[process]\ndescriptors = 256\n[[listeners]]\nname = \"farm\"\naddress = \"127.0.0.1:0\"\nh2c = true\n"+
		"[pools.shop]\nprotocol = \"http\"\n[[pools.shop.servers]]\nname = \"s0\"\naddress = %q\n"+
		"[[routes]]\nname = \"shop\"\nhosts = [\"shop.example.org\"]\npool = \"shop\"\n", server.Listener.Addr())
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, write := range kinds {
		t.Run(name, func(t *testing.T) {
			addr, _ := startProgram(t, program, "run", file)
			until, stop := context.WithTimeout(t.Context(), playTime)
			defer stop()
			var all sync.WaitGroup
			for range floods {
				all.Go(func() { floodFrames(until, addr, write) })
			}
			results := make([]fake.RegularResults, clients)
			client := fake.RegularClient{Addr: addr, Patience: timeout + 500*time.Millisecond}
			for i := range clients {
				all.Go(func() {
					results[i] = client.Run(until, func(int) string { return "GET /a HTTP/1.1\r\nHost: shop.example.org\r\n\r\n" })
				})
			}
			all.Wait()
			total := fake.MergeRegularResults(results...)
			t.Log(total)
			if total.Unanswered > 0 || total.Last() > timeout {
				t.Errorf("%d requests were not answered, and an answer took %v, want none and at most %v", total.Unanswered, total.Last(), timeout)
			}
		})
	}
}

// streamID returns the id of the stream with a serial number on its connection.
func streamID(n int) uint32 { return uint32(2*n + 1) }

// writeRequest writes a request without a body.
func writeRequest(f *http2.Framer, n int, host string) error {
	return f.WriteHeaders(http2.HeadersFrameParam{
		StreamID: streamID(n), BlockFragment: fake.EncodeRequestHeaders("GET", host, "/a", strconv.Itoa(n)), EndStream: true, EndHeaders: true,
	})
}

// floodFrames writes frames on one HTTP/2 connection at full speed until ctx ends, and reads what comes back. It connects again if the connection
// ends. write gets the serial number of the call on its connection.
func floodFrames(ctx context.Context, addr string, write func(f *http2.Framer, n int) error) {
	for ctx.Err() == nil {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return
		}
		stop := context.AfterFunc(ctx, func() { c.Close() })
		go func() { _, _ = io.Copy(io.Discard, c) }()
		_, _ = io.WriteString(c, http2.ClientPreface)
		framer := http2.NewFramer(c, c)
		err = framer.WriteSettings()
		for n := 0; err == nil; n++ {
			err = write(framer, n)
		}
		stop()
		c.Close()
	}
}
