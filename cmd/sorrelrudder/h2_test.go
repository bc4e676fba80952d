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

// client speaks to addr whatever host it asks for.
func (a *authority) client(t *testing.T, addr string, certs ...tls.Certificate) *http.Client {
	t.Helper()
	tr := &http.Transport{
		ForceAttemptHTTP2: true, DisableCompression: true, TLSClientConfig: &tls.Config{RootCAs: a.CertPool(), Certificates: certs},
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		},
	}
	t.Cleanup(tr.CloseIdleConnections)
	return &http.Client{Transport: tr, Timeout: patience}
}

// listenerTLS is the table of the TLS of the first listener.
func (a *authority) listenerTLS(more string, names ...string) string {
	text := "[listeners.tls]\n" + more
	for _, n := range names {
		text += fmt.Sprintf("[[listeners.tls.certificates]]\ncertificate = %q\nkey = %q\n", a.Path(n+".pem"), a.Path(n+".key"))
	}
	return text
}

func startTLS(t *testing.T, tables string, servers ...string) string {
	t.Helper()
	return startFile(t, "[[listeners]]\nname = \"farm\"\naddress = \"127.0.0.1:0\"\n"+tables+"[pools.shop]\nprotocol = \"http\"\n", "", servers...)
}

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
				t.Errorf("%s %s: the server had %d bytes, %v", method, path, len(service.body), service.seen)
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
		t.Errorf("a long body and answer: %v, %d bytes", err, len(got))
	}
}

// preface opens an HTTP/2 connection without TLS by hand.
func preface(t *testing.T, addr string) (net.Conn, *http2.Framer) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	io.WriteString(c, http2.ClientPreface)
	f := http2.NewFramer(c, c)
	f.WriteSettings()
	return c, f
}

func head(path string, more ...string) []byte {
	var b bytes.Buffer
	e := hpack.NewEncoder(&b)
	all := append([]string{":method", "GET", ":scheme", "http", ":authority", "shop.example.org", ":path", path}, more...)
	for i := 0; i < len(all); i += 2 {
		e.WriteField(hpack.HeaderField{Name: all[i], Value: all[i+1]})
	}
	return b.Bytes()
}

func clientH2C(addr string) *http.Client {
	return &http.Client{Timeout: patience, Transport: &http2.Transport{AllowHTTP: true, DialTLSContext: func(ctx context.Context, _, _ string, _ *tls.Config) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	}}}
}

func startH2C(t *testing.T, servers ...string) string {
	t.Helper()
	return startTLS(t, "h2c = true\n", servers...)
}

// TestHTTP2Floods guards against clients that cost others their answers: streams opened and reset, heads without end, fields that
// hide another request, answers that nobody reads.
func TestHTTP2Floods(t *testing.T) {
	var asked, hidden atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		asked.Add(1)
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
	usual := clientH2C(addr)
	served := func(what string) {
		t.Helper()
		for end := time.Now().Add(patience); ; time.Sleep(10 * time.Millisecond) {
			resp, err := usual.Get("http://shop.example.org/")
			if err != nil {
				t.Fatalf("%s: %v", what, err)
			}
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK && resp.ProtoMajor == 2 {
				return
			}
			// A refusal is right while the only server has a hundred of this process's requests.
			if resp.StatusCode != http.StatusServiceUnavailable || time.Now().After(end) {
				t.Fatalf("%s: %s %d", what, resp.Proto, resp.StatusCode)
			}
		}
	}
	served("before")

	_, f := preface(t, addr)
	for i := range 10_000 {
		id := uint32(2*i + 1)
		if f.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: head("/reset"), EndStream: true, EndHeaders: true}) != nil ||
			f.WriteRSTStream(id, http2.ErrCodeCancel) != nil {
			break // the connection was ended, as it may be
		}
	}
	served("10,000 streams opened and reset")

	_, f = preface(t, addr)
	f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: head("/"), EndStream: true})
	for range 5000 {
		if f.WriteContinuation(1, false, head("/", "x-pad", strings.Repeat("p", 1000))) != nil {
			break
		}
	}
	served("a head without end")

	for _, more := range [][]string{
		{"x-a", "b\r\nx-hidden: 1"}, {"x-a\r\nx-hidden", "1"}, {"x-a", "b\nGET /hidden HTTP/1.1"}, {"transfer-encoding", "chunked"}, {"content-length", "5"},
	} {
		c, f := preface(t, addr)
		f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: head("/x", more...), EndStream: true, EndHeaders: true})
		for ended := false; !ended; {
			frame, err := f.ReadFrame()
			if err != nil {
				break
			}
			switch frame.(type) {
			case *http2.RSTStreamFrame, *http2.GoAwayFrame:
				ended = true
			case *http2.HeadersFrame:
				ended = true // an error of ours
			}
		}
		c.Close()
	}
	for _, path := range []string{"/x HTTP/1.1\r\nx-hidden: 1", "hidden", "*", ""} {
		_, f := preface(t, addr)
		f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: head(path), EndStream: true, EndHeaders: true})
	}
	served("fields that hide another request")
	if n := hidden.Load(); n > 0 {
		t.Errorf("%d hidden requests came through", n)
	}

	_, f = preface(t, addr)
	for i := range 100 {
		f.WriteHeaders(http2.HeadersFrameParam{StreamID: uint32(2*i + 1), BlockFragment: head("/long"), EndStream: true, EndHeaders: true})
	}
	served("100 answers that nobody reads")
	usual.CloseIdleConnections()
}

// TestHTTP2Drain guards against streams that are lost when the process is told to end: each has one answer.
func TestHTTP2Drain(t *testing.T) {
	const streams = 200
	release := make(chan struct{})
	var come sync.WaitGroup
	come.Add(streams)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		come.Done()
		<-release
		io.WriteString(w, q.URL.Path)
	}))
	defer server.Close()
	stop := make(chan struct{})
	addr := startStopped(t, stop, "[[listeners]]\nname = \"farm\"\naddress = \"127.0.0.1:0\"\nh2c = true\n[pools.shop]\nprotocol = \"http\"\n", "", server.Listener.Addr().String())
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
	come.Wait()
	close(stop)
	time.AfterFunc(50*time.Millisecond, func() { close(release) })
	all.Wait()
}

// TestHTTP2MakesRoom guards against idle connections for many requests that keep others out.
func TestHTTP2MakesRoom(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") }))
	defer server.Close()
	addr := startFile(t, "[process]\ndescriptors = 64\n[[listeners]]\nname = \"farm\"\naddress = \"127.0.0.1:0\"\nh2c = true\n[pools.shop]\nprotocol = \"http\"\n", "",
		server.Listener.Addr().String())
	for i := range 60 { // clients may hold 21
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

// TestCertificates guards against the certificate of another name, clients without the one they need, and certificates that
// change: those that match are shown from then on, others leave what was there, and no open connection ends.
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
	kept := a.client(t, addr)
	if s, m := serial(kept, "shop.example.org"), serial(kept, "meters.example.org"); s != 2 || m != 3 {
		t.Errorf("shown %d and %d", s, m)
	}
	a.issue(t, "shop", "shop.example.org") // number 4
	for end := time.Now().Add(patience); serial(a.client(t, addr), "shop.example.org") != 4; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the new certificate is not shown")
		}
	}
	if n := serial(kept, "shop.example.org"); n != 2 {
		t.Errorf("the open connection shows %d", n)
	}
	if err := os.WriteFile(a.Path("shop.key"), []byte("no key"), 0o600); err != nil {
		t.Fatal(err)
	}
	time.Sleep(3 * certificateCheckInterval / 2) // it is looked at; nothing is to change
	if n := serial(a.client(t, addr), "shop.example.org"); n != 4 {
		t.Errorf("after a key that does not match, %d is shown", n)
	}

	needed := startTLS(t, a.listenerTLS(fmt.Sprintf("clients = \"need\"\nauthorities = %q\n", a.Path("ca.pem")), "meters"), server.Listener.Addr().String())
	if _, err := a.client(t, needed).Get("https://meters.example.org/"); err == nil {
		t.Error("served without a certificate")
	}
	own, err := tls.LoadX509KeyPair(a.Path("meters.pem"), a.Path("meters.key"))
	if err != nil {
		t.Fatal(err)
	}
	if n := serial(a.client(t, needed, own), "meters.example.org"); n != 3 {
		t.Errorf("shown %d", n)
	}
}
