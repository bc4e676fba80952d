package e2e

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http2"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "http-h2", Duration: 10 * time.Second, Run: httpH2,
		Summary: "clients with HTTP/2 over TLS, alone and beside floods of streams that are reset",
	})
	Register(Scenario{
		Name: "http-tls-rotate", Duration: 10 * time.Second, Run: httpRotate,
		Summary: "certificates change under load, now and then to ones that do not match their keys",
	})
}

// webHost is whom the clients of the web scenarios ask for.
const webHost = "farm.example.org"

// web is a program with a listener that speaks TLS, in front of plain backends.
type web struct {
	p        *Program
	ca       *fake.CertificateAuthority
	recorder *fake.EffectRecorder
}

func (e *Env) startWeb(ctx context.Context) (*web, error) {
	return e.startWebAs(ctx, "[process]\ndescriptors = 512\n")
}

// startWebAs is startWeb with another table of the process.
func (e *Env) startWebAs(ctx context.Context, process string) (*web, error) {
	w := &web{recorder: fake.NewEffectRecorder()}
	backends, err := e.startBackends("box", 4, w.recorder, func(c *fake.BackendConfig) { c.LoadReporting = fake.ReportORCA })
	if err != nil {
		return nil, err
	}
	if w.ca, err = fake.NewCertificateAuthority(e.Dir); err != nil {
		return nil, err
	}
	if err := w.ca.Issue("farm", webHost); err != nil {
		return nil, err
	}
	text := strings.Replace(httpPoolTOML(fake.ReportORCA, backends), "[process]\ndescriptors = 512\n", process, 1)
	text = strings.Replace(text, "address = \"127.0.0.1:0\"\n", fmt.Sprintf("address = \"127.0.0.1:0\"\n[[listeners.tls.certificates]]\ncertificate = %q\nkey = %q\n",
		filepath.Join(e.Dir, "farm.pem"), filepath.Join(e.Dir, "farm.key")), 1)
	w.p, err = e.Start(ctx, text, 1)
	return w, err
}

// client is one that keeps its connections and speaks HTTP/2.
func (w *web) client() (*http.Client, func()) {
	addr := w.p.Addr("farm")
	tr := &http.Transport{
		ForceAttemptHTTP2: true, TLSClientConfig: &tls.Config{RootCAs: w.ca.CertPool()},
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		},
	}
	return &http.Client{Transport: tr, Timeout: 5 * time.Second}, tr.CloseIdleConnections
}

// webCounts are what became of requests.
type webCounts struct {
	asked, served, refused, failed, other, streams atomic.Int64
}

// load has workers ask one after the other until ctx ends; each worker takes a client of its own from time to time if renew is set.
func (w *web) load(ctx context.Context, name string, seed uint64, workers int, renew time.Duration, n *webCounts) {
	classes := []fake.ClassLoad{deliveryOrder, meterBooking, allocationCheck}
	shared, end := w.client()
	defer end()
	var all sync.WaitGroup
	for worker := range workers {
		rng := rand.New(rand.NewPCG(seed, uint64(worker)))
		all.Go(func() {
			client, end := shared, func() {}
			defer func() { end() }()
			since := time.Now()
			for i := 0; ctx.Err() == nil; i++ {
				if renew > 0 && time.Since(since) > renew {
					end()
					client, end = w.client()
					since = time.Now()
				}
				w.ask(client, classes[rng.IntN(len(classes))], fmt.Sprintf("%s-%d-%d", name, worker, i), n)
			}
		})
	}
	all.Wait()
}

func (w *web) ask(client *http.Client, class fake.ClassLoad, id string, n *webCounts) {
	method, body := http.MethodGet, ""
	if class.Idempotency != fake.Idempotent {
		method, body = http.MethodPost, strings.Repeat("b", class.BodyBytes)
	}
	q, err := http.NewRequest(method, fmt.Sprintf("https://%s/%s/%s", webHost, class.Name, id), strings.NewReader(body))
	if err != nil {
		n.failed.Add(1)
		return
	}
	q.Header.Set("X-Request-ID", id)
	q.Header.Set("X-Timeout-Ms", strconv.FormatInt(class.Deadline.Milliseconds(), 10))
	key := ""
	if class.Idempotency == fake.IdempotentByKey {
		key = id
		q.Header.Set("Idempotency-Key", key)
	}
	q.GetBody = nil // its transport is not to send it again by itself
	w.recorder.RecordSent(w.recorder.BeginOperation(class.Idempotency), id, class.Deadline)
	n.asked.Add(1)
	resp, err := client.Do(q)
	if err != nil {
		w.recorder.RecordClientGone(id)
		n.failed.Add(1)
		return
	}
	text, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil {
		w.recorder.RecordClientGone(id)
		n.failed.Add(1)
		return
	}
	made := strings.HasPrefix(string(text), fake.ResponseBody(class.Name, id, key))
	w.recorder.RecordResponse(id, resp.StatusCode, made)
	if resp.ProtoMajor == 2 {
		n.streams.Add(1)
	}
	switch {
	case resp.StatusCode == http.StatusOK && made:
		n.served.Add(1)
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		n.refused.Add(1)
	default:
		n.other.Add(1)
	}
}

// told notes what became of a load.
func (e *Env) told(prefix string, n *webCounts) (served float64) {
	e.Measure(prefix+"requests", float64(n.asked.Load()))
	e.Measure(prefix+"refused", float64(n.refused.Load()))
	e.Measure(prefix+"failed", float64(n.failed.Load()+n.other.Load()))
	served = float64(n.served.Load()) / float64(max(1, n.asked.Load()))
	e.Measure(prefix+"served", served)
	return served
}

func httpH2(ctx context.Context, e *Env) error {
	w, err := e.startWeb(ctx)
	if err != nil {
		return err
	}
	var streams, asked int64
	for i, flood := range []bool{false, true} {
		name, prefix := "clients with HTTP/2", ""
		if flood {
			name, prefix = "the same beside streams that are reset", "beside_resets_"
		}
		e.Phase(name, e.Duration/2)
		load, cancel := context.WithTimeout(ctx, e.Duration/2)
		var n webCounts
		var resets int64
		var all sync.WaitGroup
		all.Go(func() { w.load(load, fmt.Sprintf("h2-%d", i), e.Seed, 30, 0, &n) })
		if flood {
			all.Go(func() { resets = resetStreams(load, w, 2000) })
		}
		all.Wait()
		cancel()
		e.AtLeast(prefix+"share_served", e.told(prefix, &n), 0.95)
		if flood {
			e.Measure("streams_reset", float64(resets))
		}
		streams, asked = streams+n.streams.Load(), asked+n.asked.Load()
	}
	memory, err := w.p.MemoryMB()
	if err != nil {
		return err
	}
	e.Measure("memory_mb", memory)
	e.Measure("share_of_http2", float64(streams)/float64(max(1, asked)))
	return w.end(e, asked)
}

// end stops the program and checks the rules; so many requests waited for their answers.
func (w *web) end(e *Env, asked int64) error {
	if err := w.p.Stop(); err != nil {
		e.Fail("the program ended with %v", err)
	}
	v := e.CheckRules(w.recorder)
	e.AtLeast("answered_once", float64(v.Answered)/float64(max(1, asked)), 1)
	e.AtMost("duplicates", float64(v.DuplicateEffects), 0)
	return nil
}

// resetStreams opens streams and resets them at once, so many a second at most, until ctx ends, on one connection after the other
// as each is ended for it.
func resetStreams(ctx context.Context, w *web, rate int) (n int64) {
	pause := time.Second / time.Duration(rate)
	for ctx.Err() == nil {
		c, err := tls.Dial("tcp", w.p.Addr("farm"), &tls.Config{RootCAs: w.ca.CertPool(), ServerName: webHost, NextProtos: []string{"h2"}})
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		c.SetDeadline(time.Now().Add(time.Minute))
		go io.Copy(io.Discard, c)
		io.WriteString(c, http2.ClientPreface)
		f := http2.NewFramer(c, c)
		f.WriteSettings()
		for id := uint32(1); ctx.Err() == nil; id += 2 {
			name := fmt.Sprintf("reset-%d", n)
			h := fake.EncodeRequestHeaders("GET", webHost, "/allocation-check/"+name, name)
			w.recorder.RecordSent(w.recorder.BeginOperation(fake.Idempotent), name, time.Second)
			w.recorder.RecordClientGone(name)
			if f.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: h, EndStream: true, EndHeaders: true}) != nil ||
				f.WriteRSTStream(id, http2.ErrCodeCancel) != nil {
				break
			}
			n++
			time.Sleep(pause)
		}
		c.Close()
	}
	return n
}

func httpRotate(ctx context.Context, e *Env) error {
	w, err := e.startWeb(ctx)
	if err != nil {
		return err
	}
	e.Phase("certificates change under load", e.Duration)
	load, cancel := context.WithTimeout(ctx, e.Duration)
	defer cancel()
	var n webCounts
	var all sync.WaitGroup
	all.Go(func() { w.load(load, "rotate", e.Seed, 20, 300*time.Millisecond, &n) })
	good, bad := 0, 0
	for i := 0; pause(load, 400*time.Millisecond); i++ {
		if i%3 == 2 { // a key that belongs to no certificate
			if err := os.WriteFile(filepath.Join(e.Dir, "farm.key"), []byte("no key\n"), 0o600); err != nil {
				return err
			}
			bad++
			continue
		}
		if err := w.ca.Issue("farm", webHost); err != nil {
			return err
		}
		good++
	}
	all.Wait()
	e.AtLeast("share_served", e.told("", &n), 0.98)
	e.Measure("certificates", float64(good))
	e.Measure("spoilt", float64(bad))
	e.Measure("read_again", float64(w.p.CountLog("certificates read again")))
	e.AtMost("failed_handshakes_or_answers", float64(n.failed.Load()), 0)
	return w.end(e, n.asked.Load())
}
