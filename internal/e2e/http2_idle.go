package e2e

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http2"
)

func init() {
	Register(Scenario{
		Name: "http-h2-idle", Duration: 5 * time.Second, Run: httpIdle,
		Summary: "10,000 idle HTTP/2 connections over TLS: memory per connection, and the requests of other clients",
	})
}

const (
	idleHTTP2Conns       = 10_000
	idleHTTP2Dialers     = 64 // connections opened concurrently
	idleHTTP2DialTimeout = 30 * time.Second
)

// httpIdle opens idle HTTP/2 connections and measures the memory of the program. Then clients send requests beside them.
func httpIdle(ctx context.Context, e *Env) error {
	w, err := e.startHTTPSWith(ctx, "[process]\ndescriptors = 24000\nmemory = \"1GiB\"\n")
	if err != nil {
		return err
	}
	before, err := w.program.MemoryMB()
	if err != nil {
		return err
	}
	e.Phase("opening idle connections", time.Minute)
	conns, failed := w.openIdleConns(ctx)
	defer closeConns(conns)
	if err := ctx.Err(); err != nil {
		return err
	}
	during, err := w.program.MemoryMB()
	if err != nil {
		return err
	}
	e.Phase("clients beside the idle connections", e.Duration)
	load, cancel := context.WithTimeout(ctx, e.Duration)
	defer cancel()
	var counts httpsCounts
	w.run(load, httpsLoad{name: "beside", clients: 20}, &counts)
	e.AtLeast("share_served", e.measureHTTPS("", &counts), 0.99)
	open := idleHTTP2Conns - failed
	e.Measure("idle_connections", float64(open))
	e.AtMost("not_opened", float64(failed), 0)
	e.Measure("memory_mb_before", before)
	e.Measure("memory_mb", during)
	e.Measure("kb_a_connection", (during-before)*1024/float64(max(1, open)))
	w.finish(counts.requests.Load())
	return nil
}

// openIdleConns opens idleHTTP2Conns connections and returns the number of failures. Connections that failed are nil.
func (w *httpsFarm) openIdleConns(ctx context.Context) (conns []*tls.Conn, failed int64) {
	conns = make([]*tls.Conn, idleHTTP2Conns)
	var next, failures atomic.Int64
	var dialers sync.WaitGroup
	for range idleHTTP2Dialers {
		dialers.Go(func() {
			for ctx.Err() == nil {
				i := next.Add(1) - 1
				if i >= idleHTTP2Conns {
					return
				}
				conn, err := w.openIdleConn()
				if err != nil {
					failures.Add(1)
					continue
				}
				conns[i] = conn
			}
		})
	}
	dialers.Wait()
	return conns, failures.Load()
}

func closeConns(conns []*tls.Conn) {
	for _, conn := range conns {
		if conn != nil {
			conn.NetConn().Close()
		}
	}
}

// openIdleConn opens a connection, exchanges HTTP/2 settings and leaves the connection open.
func (w *httpsFarm) openIdleConn() (*tls.Conn, error) {
	conn, err := w.dialHTTP2()
	if err != nil {
		return nil, err
	}
	conn.SetDeadline(time.Now().Add(idleHTTP2DialTimeout))
	io.WriteString(conn, http2.ClientPreface)
	framer := http2.NewFramer(conn, bufio.NewReaderSize(conn, 512))
	framer.WriteSettings()
	for {
		frame, err := framer.ReadFrame()
		if err != nil {
			conn.Close()
			return nil, fmt.Errorf("waiting for the HTTP/2 settings acknowledgment: %w", err)
		}
		if settings, ok := frame.(*http2.SettingsFrame); ok && settings.IsAck() {
			conn.SetDeadline(time.Time{})
			return conn, nil
		}
	}
}
