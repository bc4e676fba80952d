package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// TestCurl guards against responses that change on their way through the program: what curl receives through it by HTTP/1.1 and HTTP/2 must
// equal what it receives directly from the server. It is skipped where curl is not installed.
func TestCurl(t *testing.T) {
	if _, err := exec.LookPath("curl"); err != nil {
		t.Skip("curl is not installed")
	}
	versions, err := exec.Command("curl", "--version").Output()
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		body, _ := io.ReadAll(q.Body)
		status := 200
		if n, err := strconv.Atoi(strings.TrimPrefix(q.URL.Path, "/status/")); err == nil {
			status = n
		}
		w.Header().Set("X-Answer", q.Method+" "+q.URL.RequestURI()+" "+q.Header.Get("X-Own"))
		w.Header().Set("Date", "Tue, 01 Dec 2026 12:00:00 GMT")
		w.WriteHeader(status)
		if status != 204 && status != 304 {
			fmt.Fprintf(w, "%d bytes\n", len(body))
		}
	}))
	defer server.Close()
	a := newAuthority(t)
	a.issue(t, "shop", "shop.example.org")
	directAddr := server.Listener.Addr().String()
	plain, secure := startPlain(t, "", directAddr), startTLS(t, a.listenerTLS("", "shop"), directAddr)
	curl := func(addr, scheme string, args ...string) string {
		t.Helper()
		_, port, err := net.SplitHostPort(addr)
		if err != nil {
			t.Fatal(err)
		}
		curlArgs := append([]string{"-sS", "-i", "--max-time", "20", "--cacert", a.Path("ca.pem"), "--noproxy", "*",
			"--resolve", "shop.example.org:" + port + ":127.0.0.1", "-H", "X-Own: 1"}, args...)
		curlArgs[len(curlArgs)-1] = scheme + "://shop.example.org:" + port + curlArgs[len(curlArgs)-1]
		out, err := exec.Command("curl", curlArgs...).CombinedOutput()
		if err != nil {
			t.Fatalf("curl %v: %v\n%s", curlArgs, err, out)
		}
		// These may differ: the version in the first line, the fields that RFC 9110 asks an intermediary to add, and the case and order of fields.
		head, body, _ := strings.Cut(strings.ReplaceAll(string(out), "\r\n", "\n"), "\n\n")
		lines := strings.Split(strings.ToLower(head), "\n")
		_, status, _ := strings.Cut(lines[0], " ")
		status, _, _ = strings.Cut(status, " ")
		fields := slices.DeleteFunc(lines[1:], func(l string) bool { return l == "via: 1.1 sorrelrudder" || strings.HasPrefix(l, "connection:") })
		slices.Sort(fields)
		return status + "\n" + strings.Join(fields, "\n") + "\n\n" + body
	}
	big := strings.Repeat("b", 100_000)
	for name, args := range map[string][]string{
		"get": {"/a?b=c"}, "head": {"-I", "/a"}, "post": {"-d", "x=1", "/form"}, "put": {"-X", "PUT", "-d", "x", "/p"}, "delete": {"-X", "DELETE", "/p"},
		"options": {"-X", "OPTIONS", "/p"}, "patch": {"-X", "PATCH", "-d", "{}", "/p"}, "long": {"-H", "Expect:", "-d", big, "/long"},
		"expects": {"-H", "Expect: 100-continue", "-d", big, "/long"}, "chunked": {"-H", "Transfer-Encoding: chunked", "-H", "Expect:", "-d", big, "/long"},
		"201": {"/status/201"}, "204": {"/status/204"}, "304": {"/status/304"}, "404": {"/status/404"}, "500": {"/status/500"},
	} {
		want := curl(directAddr, "http", append([]string{"--http1.1"}, args...)...)
		got := map[string]string{"HTTP/1.1": curl(plain, "http", append([]string{"--http1.1"}, args...)...),
			"HTTP/1.1 by TLS": curl(secure, "https", append([]string{"--http1.1"}, args...)...)}
		if strings.Contains(string(versions), "HTTP2") && name != "chunked" {
			got["HTTP/2"] = curl(secure, "https", append([]string{"--http2"}, args...)...)
		}
		if name == "expects" { // an interim response comes first, both directly and through the program
			for v, text := range got {
				got[v] = text[strings.LastIndex(text, "\n\n"):]
			}
			want = want[strings.LastIndex(want, "\n\n"):]
		}
		for version, text := range got {
			if text != want {
				t.Errorf("%s by %s:\n%s\ndirectly:\n%s", name, version, text, want)
			}
		}
	}
}
