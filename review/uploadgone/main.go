//go:build review

// Uploadgone plays a gateway with an HTTP/2 listener. Some clients send the first part of an upload at once and go. It checks that the
// gateway goes on running, and that the other clients are answered.
package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sorrelrudder/review/harness"
)

const (
	playTime   = 60 * time.Second
	uploaders  = 8
	pause      = 20 * time.Millisecond // between two uploads of a client
	declared   = 256 << 10             // length of an upload
	sentAtOnce = 80 << 10              // what a client that goes has sent of it
	goesWithin = time.Millisecond      // from the last byte that it sends
	readers    = 2                     // clients that read, by HTTP/1.1
	readEvery  = 50 * time.Millisecond
	patience   = 2 * time.Second
)

// config is the smallest file of docs/operate/http.md with HTTP/2 at its listener.
const config = `[process]
name = "gateway"
[[listeners]]
name = "web"
address = %q
h2c = true
[pools.photos]
protocol = "http"
[[pools.photos.servers]]
name = "store-1"
address = %q
[[pools.photos.servers]]
name = "store-2"
address = %q
`

// startStore starts a server of net/http that reads each body to its end and answers 200.
func startStore(c *harness.Case, name string) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		if r.Method == http.MethodPost {
			c.Log("%s: upload %s, %d bytes, err %v", name, r.URL.Path, n, err)
		}
		if err == nil {
			fmt.Fprintf(w, "%s has %d bytes", r.URL.Path, n)
		}
	})
	go func() { _ = http.Serve(listener, handler) }() // until the process ends
	return listener.Addr().String(), nil
}

// upload is the body of an upload. Its client goes once it has sent limit bytes, if that is less than the whole.
type upload struct {
	ctx         context.Context
	sent, limit int
	atLimit     func()
}

// Read implements io.Reader.
func (u *upload) Read(p []byte) (int, error) {
	if u.sent == u.limit {
		if u.limit == declared {
			return 0, io.EOF
		}
		u.atLimit()
		<-u.ctx.Done()
		return 0, u.ctx.Err()
	}
	n := min(len(p), u.limit-u.sent)
	clear(p[:n])
	u.sent += n
	return n, nil
}

// play is the traffic of the case.
type play struct {
	c       *harness.Case
	address string
	gateway *harness.Program
	until   time.Time

	gone, stored, asked, answered atomic.Int64
}

func (p *play) over() bool {
	return !time.Now().Before(p.until) || !p.gateway.Running() || p.c.Context.Err() != nil
}

// uploadAll has one client upload one photo after the other on an HTTP/2 connection. With the disruption it goes halfway each time.
func (p *play) uploadAll(number int) {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	defer transport.CloseIdleConnections()
	rng := rand.New(rand.NewPCG(uint64(number), 1))
	for n := 1; !p.over(); n++ {
		p.upload(transport, fmt.Sprintf("/photo-%d-%d", number, n), time.Duration(rng.Int64N(int64(goesWithin))))
		p.c.Sleep(pause)
	}
}

func (p *play) upload(transport *http.Transport, path string, goesAfter time.Duration) {
	ctx, cancel := context.WithTimeout(p.c.Context, patience)
	defer cancel()
	body := &upload{ctx: ctx, limit: declared}
	if p.c.Trouble {
		body.limit = sentAtOnce
		body.atLimit = func() { time.AfterFunc(goesAfter, cancel) }
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.address+path, body)
	if err != nil {
		panic(err)
	}
	request.ContentLength = declared
	response, err := transport.RoundTrip(request)
	switch {
	case err == nil:
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		p.stored.Add(1)
		p.c.Log("client: %s answered %d", path, response.StatusCode)
	case errors.Is(err, context.Canceled):
		p.gone.Add(1)
		p.c.Log("client: has sent %d bytes of %s and went", body.sent, path)
	default:
		p.c.Log("client: %s ended with %v", path, err)
	}
}

// readAll has one client read by HTTP/1.1 and counts its answers.
func (p *play) readAll(number int) {
	for n := 1; !p.over(); n++ {
		p.asked.Add(1)
		status, err := p.read(fmt.Sprintf("/status-%d-%d", number, n))
		if err == nil {
			p.answered.Add(1)
		} else {
			p.c.Log("reader %d: request %d has no answer: %v", number, n, err)
		}
		_ = status
		p.c.Sleep(readEvery)
	}
}

// read sends one request on a new connection.
func (p *play) read(path string) (status int, err error) {
	conn, err := net.DialTimeout("tcp", p.address, patience)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(patience))
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: photos\r\nConnection: close\r\n\r\n", path); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

func run(c *harness.Case) error {
	first, err := startStore(c, "store-1")
	if err != nil {
		return err
	}
	second, err := startStore(c, "store-2")
	if err != nil {
		return err
	}
	address, err := harness.FreeAddress()
	if err != nil {
		return err
	}
	path, err := c.Write("gateway.toml", fmt.Sprintf(config, address, first, second))
	if err != nil {
		return err
	}
	gateway, err := c.Start("gateway", "exec bin/sorrelrudder run "+path, nil, nil)
	if err != nil {
		return err
	}
	if _, err := gateway.AwaitLog(c.Context, "msg=ready", 20*time.Second); err != nil {
		return err
	}
	p := &play{c: c, address: address, gateway: gateway, until: time.Now().Add(playTime)}
	var all sync.WaitGroup
	for i := range uploaders {
		all.Go(func() { p.uploadAll(i + 1) })
	}
	for i := range readers {
		all.Go(func() { p.readAll(i + 1) })
	}
	all.Wait()
	c.Log("uploads: %d stored, %d given up; reads: %d asked, %d answered", p.stored.Load(), p.gone.Load(), p.asked.Load(), p.answered.Load())
	if !gateway.Running() {
		at, code := gateway.End()
		c.Break("the gateway crashed with exit code %d, %v before the end of the play, after %d uploads that their clients gave up; %d of %d reads had no answer",
			code, p.until.Sub(at).Round(time.Millisecond), p.gone.Load(), p.asked.Load()-p.answered.Load(), p.asked.Load())
		log, err := os.ReadFile(filepath.Join(c.Dir, "gateway.log"))
		if i := strings.Index(string(log), "panic: "); err == nil && i >= 0 {
			c.Log("%s", log[i:min(len(log), i+2500)])
		}
		return nil
	}
	if p.answered.Load() == 0 || !c.Trouble && p.stored.Load() == 0 || c.Trouble && p.gone.Load() == 0 {
		return errors.New("the play had no traffic")
	}
	if lost := p.asked.Load() - p.answered.Load(); lost > 0 {
		c.Break("%d reads had no answer", lost)
	}
	return nil
}

func main() { harness.Main(run) }
