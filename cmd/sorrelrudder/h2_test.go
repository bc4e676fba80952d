package main

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"sorrelrudder/internal/fake"
)

// authority issues certificates for tests.
type authority struct{ *fake.CertificateAuthority }

// newAuthority returns a certificate authority with its files in a temporary directory.
func newAuthority(t *testing.T) *authority {
	t.Helper()
	a, err := fake.NewCertificateAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return &authority{a}
}

// issue writes NAME.pem and NAME.key for a host.
func (a *authority) issue(t *testing.T, name, host string) {
	t.Helper()
	if err := a.Issue(name, host); err != nil {
		t.Fatal(err)
	}
}

// client returns a client that connects to addr for every host.
func (a *authority) client(t *testing.T, addr string, certs ...tls.Certificate) *http.Client {
	t.Helper()
	tr := &http.Transport{
		ForceAttemptHTTP2: true, DisableCompression: true, TLSClientConfig: &tls.Config{RootCAs: a.CertPool(), Certificates: certs},
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		},
	}
	t.Cleanup(tr.CloseIdleConnections)
	return &http.Client{Transport: tr, Timeout: testTimeout}
}

// listenerTLS returns the TLS table of the first listener, with the certificates of these names.
func (a *authority) listenerTLS(more string, names ...string) string {
	text := "[listeners.tls]\n" + more
	for _, n := range names {
		text += fmt.Sprintf("[[listeners.tls.certificates]]\ncertificate = %q\nkey = %q\n", a.Path(n+".pem"), a.Path(n+".key"))
	}
	return text
}

// startTLS starts a gateway whose listener has these tables, and returns the listener's address.
func startTLS(t *testing.T, tables string, servers ...string) string {
	t.Helper()
	return startFile(t, "[[listeners]]\nname = \"farm\"\naddress = \"127.0.0.1:0\"\n"+tables+"[pools.shop]\nprotocol = \"http\"\n", "", servers...)
}

// TestHTTP2 guards against requests or responses that lose parts between HTTP/2 clients and HTTP/1.1 servers.
func TestHTTP2(t *testing.T) {
	service := &echoService{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/long" {
			body, _ := io.ReadAll(q.Body)
			w.Write(body)
			w.Write(bytes.Repeat([]byte("l"), 1<<20))
			return
		}
		service.ServeHTTP(w, q)
	}))
	defer server.Close()
	a := newAuthority(t)
	a.issue(t, "shop", "shop.example.org")
	addr := startTLS(t, a.listenerTLS("", "shop"), server.Listener.Addr().String())
	c := a.client(t, addr)
	for _, method := range []string{"GET", "HEAD", "POST", "PUT", "DELETE"} {
		for _, path := range []string{"/a?b=c", "/status/204", "/status/304", "/status/404"} {
			body := ""
			if method == "POST" || method == "PUT" {
				body = strings.Repeat("b", 5000)
			}
			q, _ := http.NewRequest(method, "https://shop.example.org"+path, strings.NewReader(body))
			resp, err := c.Do(q)
			if err != nil {
				t.Fatalf("%s %s: %v", method, path, err)
			}
			text, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			want := 200
			if n, err := strconv.Atoi(strings.TrimPrefix(path, "/status/")); err == nil {
				want = n
			}
			if err != nil || resp.ProtoMajor != 2 || resp.StatusCode != want || resp.Header.Get("X-Answer") != method+" "+path {
				t.Errorf("%s %s: %v, %s %d %v", method, path, err, resp.Proto, resp.StatusCode, resp.Header)
			}
			if has := method != "HEAD" && want != 204 && want != 304; has != (len(text) > 0) {
				t.Errorf("%s %s: %d bytes", method, path, len(text))
			}
			service.mu.Lock()
			if len(service.body) != len(body) || service.seen.Get("X-Forwarded-Proto") != "https" {
				t.Errorf("%s %s: the server received %d bytes, %v", method, path, len(service.body), service.seen)
			}
			service.mu.Unlock()
		}
	}
	long := bytes.Repeat([]byte("0123456789"), 200_000)
	resp, err := c.Post("https://shop.example.org/long", "x/y", bytes.NewReader(long))
	if err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil || len(got) != len(long)+1<<20 || !bytes.HasPrefix(got, long) {
		t.Errorf("a long request and response body: %v, %d bytes", err, len(got))
	}
}

// openH2C opens an HTTP/2 connection without TLS, to send frames by hand.
func openH2C(t *testing.T, addr string) (net.Conn, *http2.Framer) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	io.WriteString(c, http2.ClientPreface)
	f := http2.NewFramer(c, c)
	f.WriteSettings()
	return c, f
}

// encodeHeaders returns the encoded header fields of a GET request. more has names and values in turn.
func encodeHeaders(path string, more ...string) []byte {
	var b bytes.Buffer
	e := hpack.NewEncoder(&b)
	all := append([]string{":method", "GET", ":scheme", "http", ":authority", "shop.example.org", ":path", path}, more...)
	for i := 0; i < len(all); i += 2 {
		e.WriteField(hpack.HeaderField{Name: all[i], Value: all[i+1]})
	}
	return b.Bytes()
}

// clientH2C returns a client that speaks HTTP/2 without TLS to addr.
func clientH2C(addr string) *http.Client {
	return &http.Client{Timeout: testTimeout, Transport: &http2.Transport{AllowHTTP: true, DialTLSContext: func(ctx context.Context, _, _ string, _ *tls.Config) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	}}}
}

// startH2C starts a gateway whose listener takes HTTP/2 without TLS, and returns the listener's address.
func startH2C(t *testing.T, servers ...string) string {
	t.Helper()
	return startTLS(t, "h2c = true\n", servers...)
}

// TestHTTP2Floods guards against clients that keep other clients from being served: by streams opened and reset, by header sections without
// end, by fields that hide another request, or by responses that the client does not read.
func TestHTTP2Floods(t *testing.T) {
	var received, hidden atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		received.Add(1)
		if q.URL.Path == "/hidden" || q.Header.Get("X-Hidden") != "" {
			hidden.Add(1)
		}
		if q.URL.Path == "/long" {
			w.Write(make([]byte, 1<<20))
		}
		io.WriteString(w, "ok")
	}))
	defer server.Close()
	addr := startH2C(t, server.Listener.Addr().String())
	otherClient := clientH2C(addr)
	requireServed := func(what string) {
		t.Helper()
		for end := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
			resp, err := otherClient.Get("http://shop.example.org/")
			if err != nil {
				t.Fatalf("%s: %v", what, err)
			}
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK && resp.ProtoMajor == 2 {
				return
			}
			// A rejection is correct while the only server has a hundred requests of this process.
			if resp.StatusCode != http.StatusServiceUnavailable || time.Now().After(end) {
				t.Fatalf("%s: %s %d", what, resp.Proto, resp.StatusCode)
			}
		}
	}
	requireServed("before")

	_, f := openH2C(t, addr)
	for i := range 10_000 {
		id := uint32(2*i + 1)
		if f.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: encodeHeaders("/reset"), EndStream: true, EndHeaders: true}) != nil ||
			f.WriteRSTStream(id, http2.ErrCodeCancel) != nil {
			break // the gateway may close the connection
		}
	}
	requireServed("10,000 streams opened and reset")

	_, f = openH2C(t, addr)
	f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: encodeHeaders("/"), EndStream: true})
	for range 5000 {
		if f.WriteContinuation(1, false, encodeHeaders("/", "x-pad", strings.Repeat("p", 1000))) != nil {
			break
		}
	}
	requireServed("a header section without end")

	for _, more := range [][]string{
		{"x-a", "b\r\nx-hidden: 1"}, {"x-a\r\nx-hidden", "1"}, {"x-a", "b\nGET /hidden HTTP/1.1"}, {"transfer-encoding", "chunked"}, {"content-length", "5"},
	} {
		c, f := openH2C(t, addr)
		f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: encodeHeaders("/x", more...), EndStream: true, EndHeaders: true})
		for ended := false; !ended; {
			frame, err := f.ReadFrame()
			if err != nil {
				break
			}
			switch frame.(type) {
			case *http2.RSTStreamFrame, *http2.GoAwayFrame:
				ended = true
			case *http2.HeadersFrame:
				ended = true // an error response of the gateway
			}
		}
		c.Close()
	}
	for _, path := range []string{"/x HTTP/1.1\r\nx-hidden: 1", "hidden", "*", ""} {
		_, f := openH2C(t, addr)
		f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: encodeHeaders(path), EndStream: true, EndHeaders: true})
	}
	requireServed("fields that hide another request")
	if n := hidden.Load(); n > 0 {
		t.Errorf("%d hidden requests reached the server", n)
	}

	_, f = openH2C(t, addr)
	for i := range 100 {
		f.WriteHeaders(http2.HeadersFrameParam{StreamID: uint32(2*i + 1), BlockFragment: encodeHeaders("/long"), EndStream: true, EndHeaders: true})
	}
	requireServed("100 responses that the client does not read")
	otherClient.CloseIdleConnections()
}

// TestHTTP2Drain guards against streams that are lost when the process drains: each must have one response.
func TestHTTP2Drain(t *testing.T) {
	const streams = 200
	release := make(chan struct{})
	var arrived sync.WaitGroup
	arrived.Add(streams)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		arrived.Done()
		<-release
		io.WriteString(w, q.URL.Path)
	}))
	defer server.Close()
	stop := make(chan struct{})
	addr := startStoppable(t, stop, "[[listeners]]\nname = \"farm\"\naddress = \"127.0.0.1:0\"\nh2c = true\n[pools.shop]\nprotocol = \"http\"\n", "", server.Listener.Addr().String())
	client := clientH2C(addr)
	defer client.CloseIdleConnections()
	var all sync.WaitGroup
	for i := range streams {
		all.Go(func() {
			path := fmt.Sprintf("/%d", i)
			resp, err := client.Get("http://shop.example.org" + path)
			if err != nil {
				t.Error(err)
				return
			}
			body, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			if resp.StatusCode != http.StatusOK || string(body) != path {
				t.Errorf("%s: %d %q", path, resp.StatusCode, body)
			}
		})
	}
	arrived.Wait()
	close(stop)
	time.AfterFunc(50*time.Millisecond, func() { close(release) })
	all.Wait()
}

// TestHTTP2MakesRoom guards against idle HTTP/2 connections that keep new clients out.
func TestHTTP2MakesRoom(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") }))
	defer server.Close()
	addr := startFile(t, "[process]\ndescriptors = 64\n[[listeners]]\nname = \"farm\"\naddress = \"127.0.0.1:0\"\nh2c = true\n[pools.shop]\nprotocol = \"http\"\n", "",
		server.Listener.Addr().String())
	for i := range 60 { // clients may hold 21 connections
		c := clientH2C(addr)
		defer c.CloseIdleConnections()
		resp, err := c.Get("http://shop.example.org/")
		if err != nil {
			t.Fatalf("connection %d: %v", i, err)
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}

// TestCertificates guards against the certificate of another name, against clients without a required certificate, and against wrong reloads
// of certificates: a new one that matches its key is shown from then on, one that does not match leaves the former one in use, and no open
// connection ends.
func TestCertificates(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") }))
	defer server.Close()
	a := newAuthority(t)
	a.issue(t, "shop", "shop.example.org")
	a.issue(t, "meters", "meters.example.org")
	addr := startTLS(t, a.listenerTLS("", "shop", "meters"), server.Listener.Addr().String())
	serial := func(c *http.Client, host string) int64 {
		t.Helper()
		resp, err := c.Get("https://" + host + "/")
		if err != nil {
			t.Fatalf("%s: %v", host, err)
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		return resp.TLS.PeerCertificates[0].SerialNumber.Int64()
	}
	openConnClient := a.client(t, addr)
	if s, m := serial(openConnClient, "shop.example.org"), serial(openConnClient, "meters.example.org"); s != 2 || m != 3 {
		t.Errorf("the certificates shown have the numbers %d and %d", s, m)
	}
	a.issue(t, "shop", "shop.example.org") // number 4
	for end := time.Now().Add(testTimeout); serial(a.client(t, addr), "shop.example.org") != 4; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the new certificate is not in use")
		}
	}
	if n := serial(openConnClient, "shop.example.org"); n != 2 {
		t.Errorf("the open connection shows the certificate number %d", n)
	}
	if err := os.WriteFile(a.Path("shop.key"), []byte("no key"), 0o600); err != nil {
		t.Fatal(err)
	}
	time.Sleep(3 * certificateCheckInterval / 2) // the files are checked; the certificate must not change
	if n := serial(a.client(t, addr), "shop.example.org"); n != 4 {
		t.Errorf("after a key that does not match, the certificate number %d is shown, want 4", n)
	}

	clientCertAddr := startTLS(t, a.listenerTLS(fmt.Sprintf("clients = \"need\"\nauthorities = %q\n", a.Path("ca.pem")), "meters"), server.Listener.Addr().String())
	if _, err := a.client(t, clientCertAddr).Get("https://meters.example.org/"); err == nil {
		t.Error("a client without a certificate was served")
	}
	own, err := tls.LoadX509KeyPair(a.Path("meters.pem"), a.Path("meters.key"))
	if err != nil {
		t.Fatal(err)
	}
	if n := serial(a.client(t, clientCertAddr, own), "meters.example.org"); n != 3 {
		t.Errorf("the certificate number %d is shown, want 3", n)
	}
}
