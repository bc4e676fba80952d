package e2e

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sorrelrudder/internal/fake"
)

const (
	defaultHTTPSProcess = "[process]\ndescriptors = 512\n"
	httpsClientTimeout  = 5 * time.Second
	httpsCertificate    = "farm" // name of the certificate files, without an extension
	httpsBackends       = 4
)

// httpsFarm is a program with a TLS listener in front of ordinary HTTP services.
type httpsFarm struct {
	env      *Env
	program  *Program
	ca       *fake.CertificateAuthority
	recorder *fake.EffectRecorder
}

// startHTTPS starts the program with the default [process] section.
func (e *Env) startHTTPS(ctx context.Context) (*httpsFarm, error) {
	return e.startHTTPSWith(ctx, defaultHTTPSProcess)
}

// startHTTPSWith starts the program with the given [process] section.
func (e *Env) startHTTPSWith(ctx context.Context, process string) (*httpsFarm, error) {
	w := &httpsFarm{env: e, recorder: fake.NewEffectRecorder()}
	backends, err := e.startBackends("box", httpsBackends, w.recorder, func(c *fake.BackendConfig) { c.LoadReporting = fake.ReportORCA })
	if err != nil {
		return nil, err
	}
	if w.ca, err = fake.NewCertificateAuthority(e.Dir); err != nil {
		return nil, err
	}
	if err := w.ca.Issue(httpsCertificate, farmHost); err != nil {
		return nil, err
	}
	const listenerAddress = "address = \"127.0.0.1:0\"\n"
	certificates := fmt.Sprintf("[[listeners.tls.certificates]]\ncertificate = %q\nkey = %q\n",
		filepath.Join(e.Dir, httpsCertificate+".pem"), filepath.Join(e.Dir, httpsCertificate+".key"))
	text := strings.Replace(httpPoolTOML(fake.ReportORCA, backends), defaultHTTPSProcess, process, 1)
	text = strings.Replace(text, listenerAddress, listenerAddress+certificates, 1)
	w.program, err = e.Start(ctx, text, 1)
	return w, err
}

// dialHTTP2 opens a TLS connection for HTTP/2.
func (w *httpsFarm) dialHTTP2() (*tls.Conn, error) {
	return tls.Dial("tcp", w.program.Addr("farm"), &tls.Config{RootCAs: w.ca.CertPool(), ServerName: farmHost, NextProtos: []string{"h2"}})
}

// newClient returns an HTTP/2 client that reuses its connections, and a function that closes its idle connections.
func (w *httpsFarm) newClient() (client *http.Client, closeIdle func()) {
	addr := w.program.Addr("farm")
	transport := &http.Transport{
		ForceAttemptHTTP2: true, TLSClientConfig: &tls.Config{RootCAs: w.ca.CertPool()},
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		},
	}
	return &http.Client{Transport: transport, Timeout: httpsClientTimeout}, transport.CloseIdleConnections
}

// httpsCounts counts requests by outcome.
type httpsCounts struct {
	requests, served, rejected, failed, other atomic.Int64
	http2                                     atomic.Int64 // responses over HTTP/2
}

// httpsLoad configures a load of clients. Each client sends one request after the other.
type httpsLoad struct {
	name    string // prefix of the request ids
	clients int
	renew   time.Duration // interval at which a client opens a new connection; 0 means that all clients share connections
}

// run runs the clients of a load until ctx ends.
func (w *httpsFarm) run(ctx context.Context, load httpsLoad, counts *httpsCounts) {
	shared, closeShared := w.newClient()
	defer closeShared()
	var clients sync.WaitGroup
	for n := range load.clients {
		rng := rand.New(rand.NewPCG(w.env.Seed, uint64(n)))
		clients.Go(func() {
			client, closeIdle := shared, func() {}
			defer func() { closeIdle() }()
			since := time.Now()
			for i := 0; ctx.Err() == nil; i++ {
				if load.renew > 0 && time.Since(since) > load.renew {
					closeIdle()
					client, closeIdle = w.newClient()
					since = time.Now()
				}
				w.send(client, farmClasses[rng.IntN(len(farmClasses))], fmt.Sprintf("%s-%d-%d", load.name, n, i), counts)
			}
		})
	}
	clients.Wait()
}

// send sends one request and counts its outcome.
func (w *httpsFarm) send(client *http.Client, class fake.ClassLoad, id string, counts *httpsCounts) {
	request, key, err := newHTTPSRequest(class, id)
	if err != nil {
		counts.failed.Add(1)
		return
	}
	w.recorder.RecordSent(w.recorder.BeginOperation(class.Idempotency), id, class.Deadline)
	counts.requests.Add(1)
	response, body, err := exchangeHTTPS(client, request)
	if err != nil {
		w.recorder.RecordClientGone(id)
		counts.failed.Add(1)
		return
	}
	bodyMatches := strings.HasPrefix(body, fake.ResponseBody(class.Name, id, key))
	w.recorder.RecordResponse(id, response.StatusCode, bodyMatches)
	if response.ProtoMajor == 2 {
		counts.http2.Add(1)
	}
	switch {
	case response.StatusCode == http.StatusOK && bodyMatches:
		counts.served.Add(1)
	case response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests:
		counts.rejected.Add(1)
	default:
		counts.other.Add(1)
	}
}

// exchangeHTTPS sends a request and reads the complete response.
func exchangeHTTPS(client *http.Client, request *http.Request) (response *http.Response, body string, err error) {
	response, err = client.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

// newHTTPSRequest returns a request of a class and its idempotency key, which is "" for classes without one.
func newHTTPSRequest(class fake.ClassLoad, id string) (request *http.Request, key string, err error) {
	method, body := http.MethodGet, ""
	if class.Idempotency != fake.Idempotent {
		method, body = http.MethodPost, strings.Repeat("b", class.BodyBytes)
	}
	request, err = http.NewRequest(method, fmt.Sprintf("https://%s/%s/%s", farmHost, class.Name, id), strings.NewReader(body))
	if err != nil {
		return nil, "", err
	}
	request.Header.Set("X-Request-ID", id)
	request.Header.Set("X-Timeout-Ms", strconv.FormatInt(class.Deadline.Milliseconds(), 10))
	if class.Idempotency == fake.IdempotentByKey {
		key = id
		request.Header.Set("Idempotency-Key", key)
	}
	request.GetBody = nil // prevents the transport from retrying the request
	return request, key, nil
}

// measureHTTPS measures the outcomes of a load, and returns the fraction served.
func (e *Env) measureHTTPS(prefix string, counts *httpsCounts) (served float64) {
	requests := counts.requests.Load()
	e.Measure(prefix+"requests", float64(requests))
	e.Measure(prefix+"refused", float64(counts.rejected.Load()))
	e.Measure(prefix+"failed", float64(counts.failed.Load()+counts.other.Load()))
	served = float64(counts.served.Load()) / float64(max(1, requests))
	e.Measure(prefix+"served", served)
	return served
}

// finish shuts the program down and checks the rules. requests is the number of requests that expected a response.
func (w *httpsFarm) finish(requests int64) {
	if err := w.program.Stop(); err != nil {
		w.env.Fail("the program ended with %v", err)
	}
	v := w.env.CheckRules(w.recorder)
	w.env.AtLeast("answered_once", float64(v.Answered)/float64(max(1, requests)), 1)
	w.env.AtMost("duplicates", float64(v.DuplicateEffects), 0)
}
