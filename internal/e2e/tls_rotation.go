package e2e

import (
	"context"
	"os"
	"sync"
	"time"
)

func init() {
	Register(Scenario{
		Name: "http-tls-rotate", Duration: 10 * time.Second, Run: httpRotate,
		Summary: "certificates are replaced under load, every third time with an invalid key",
	})
}

const (
	rotationInterval = 400 * time.Millisecond
	rotationRenew    = 300 * time.Millisecond // interval at which a client opens a new connection
)

// httpRotate replaces the certificate under load. Every third time it writes an invalid key instead.
func httpRotate(ctx context.Context, e *Env) error {
	w, err := e.startHTTPS(ctx)
	if err != nil {
		return err
	}
	e.Phase("certificates are replaced under load", e.Duration)
	load, cancel := context.WithTimeout(ctx, e.Duration)
	defer cancel()
	var counts httpsCounts
	var clients sync.WaitGroup
	clients.Go(func() { w.run(load, httpsLoad{name: "rotate", clients: 20, renew: rotationRenew}, &counts) })
	valid, invalid := 0, 0
	for i := 0; pause(load, rotationInterval); i++ {
		if i%3 == 2 {
			if err := os.WriteFile(w.ca.Path(httpsCertificate+".key"), []byte("no key\n"), 0o600); err != nil {
				return err
			}
			invalid++
			continue
		}
		if err := w.ca.Issue(httpsCertificate, farmHost); err != nil {
			return err
		}
		valid++
	}
	clients.Wait()
	e.AtLeast("share_served", e.measureHTTPS("", &counts), 0.98)
	e.Measure("certificates", float64(valid))
	e.Measure("spoilt", float64(invalid))
	e.Measure("read_again", float64(w.program.CountLog("certificates reloaded")))
	e.AtMost("failed_handshakes_or_answers", float64(counts.failed.Load()), 0)
	w.finish(counts.requests.Load())
	return nil
}
