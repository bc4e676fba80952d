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
		Summary: "10,000 HTTP/2 connections over TLS that have asked once and stand idle: what they hold",
	})
}

const (
	// idleConns is how many connections stand idle, and idleDialers how many are opened at once.
	idleConns   = 10_000
	idleDialers = 64
)

// httpIdle opens connections that each ask once, holds them, and looks at the program's memory; then usual clients ask beside them.
func httpIdle(ctx context.Context, e *Env) error {
	w, err := e.startWebAs(ctx, "[process]\ndescriptors = 24000\nmemory = \"1GiB\"\n")
	if err != nil {
		return err
	}
	before, err := w.p.MemoryMB()
	if err != nil {
		return err
	}
	e.Phase("connections are opened", time.Minute)
	var next, failed atomic.Int64
	var all sync.WaitGroup
	conns := make([]*tls.Conn, idleConns)
	defer func() {
		for _, c := range conns {
			if c != nil {
				c.NetConn().Close()
			}
		}
	}()
	for range idleDialers {
		all.Go(func() {
			for ctx.Err() == nil {
				i := next.Add(1) - 1
				if i >= idleConns {
					return
				}
				c, err := w.askOnce()
				if err != nil {
					failed.Add(1)
					continue
				}
				conns[i] = c
			}
		})
	}
	all.Wait()
	if err := ctx.Err(); err != nil {
		return err
	}
	during, err := w.p.MemoryMB()
	if err != nil {
		return err
	}
	e.Phase("usual clients beside them", e.Duration)
	load, cancel := context.WithTimeout(ctx, e.Duration)
	defer cancel()
	var n webCounts
	w.load(load, "beside", e.Seed, 20, 0, &n)
	e.AtLeast("share_served", e.told("", &n), 0.99)
	open := idleConns - failed.Load()
	e.Measure("idle_connections", float64(open))
	e.AtMost("not_opened", float64(failed.Load()), 0)
	e.Measure("memory_mb_before", before)
	e.Measure("memory_mb", during)
	e.Measure("kb_a_connection", (during-before)*1024/float64(max(1, open)))
	return w.end(e, n.asked.Load())
}

// askOnce opens a connection, asks for what no server is asked for, and leaves it open.
func (w *web) askOnce() (*tls.Conn, error) {
	c, err := tls.Dial("tcp", w.p.Addr("farm"), &tls.Config{RootCAs: w.ca.CertPool(), ServerName: webHost, NextProtos: []string{"h2"}})
	if err != nil {
		return nil, err
	}
	c.SetDeadline(time.Now().Add(30 * time.Second))
	io.WriteString(c, http2.ClientPreface)
	f := http2.NewFramer(c, bufio.NewReaderSize(c, 512))
	f.WriteSettings()
	for {
		frame, err := f.ReadFrame()
		if err != nil {
			c.Close()
			return nil, fmt.Errorf("no settings: %w", err)
		}
		if s, ok := frame.(*http2.SettingsFrame); ok && s.IsAck() {
			c.SetDeadline(time.Time{})
			return c, nil
		}
	}
}
