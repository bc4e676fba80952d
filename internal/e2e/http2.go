package e2e

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"sync"
	"time"

	"golang.org/x/net/http2"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "http-h2", Duration: 10 * time.Second, Run: httpH2,
		Summary: "HTTP/2 clients over TLS, alone and beside a flood of streams that are reset at once",
	})
}

const (
	http2Clients         = 30
	resetStreamRate      = 2000 // per second, at most
	resetStreamDialPause = 10 * time.Millisecond
	resetStreamConnTime  = time.Minute
)

// httpH2 runs HTTP/2 clients: first alone, then beside connections that open streams and reset them at once.
func httpH2(ctx context.Context, e *Env) error {
	w, err := e.startHTTPS(ctx)
	if err != nil {
		return err
	}
	var http2Responses, requests int64
	for i, flood := range []bool{false, true} {
		phase, prefix := "HTTP/2 clients over TLS", ""
		if flood {
			phase, prefix = "HTTP/2 clients beside a flood of reset streams", "beside_resets_"
		}
		e.Phase(phase, e.Duration/2)
		load, cancel := context.WithTimeout(ctx, e.Duration/2)
		var counts httpsCounts
		var resets int64
		var all sync.WaitGroup
		all.Go(func() { w.run(load, httpsLoad{name: fmt.Sprintf("h2-%d", i), clients: http2Clients}, &counts) })
		if flood {
			all.Go(func() { resets = w.floodResets(load) })
		}
		all.Wait()
		cancel()
		e.AtLeast(prefix+"share_served", e.measureHTTPS(prefix, &counts), 0.95)
		if flood {
			e.Measure("streams_reset", float64(resets))
		}
		http2Responses, requests = http2Responses+counts.http2.Load(), requests+counts.requests.Load()
	}
	memory, err := w.program.MemoryMB()
	if err != nil {
		return err
	}
	e.Measure("memory_mb", memory)
	e.Measure("share_of_http2", float64(http2Responses)/float64(max(1, requests)))
	w.finish(requests)
	return nil
}

// floodResets opens streams and resets them at once until ctx ends. It opens a new connection whenever the current one is closed. It
// returns the number of streams reset.
func (w *httpsFarm) floodResets(ctx context.Context) (n int64) {
	for ctx.Err() == nil {
		conn, err := w.dialHTTP2()
		if err != nil {
			pause(ctx, resetStreamDialPause)
			continue
		}
		n = w.resetStreams(ctx, conn, n)
		conn.Close()
	}
	return n
}

// resetStreams resets streams on one connection until the connection or ctx ends. It adds their number to n and returns the sum.
func (w *httpsFarm) resetStreams(ctx context.Context, conn *tls.Conn, n int64) int64 {
	conn.SetDeadline(time.Now().Add(resetStreamConnTime))
	go io.Copy(io.Discard, conn)
	io.WriteString(conn, http2.ClientPreface)
	framer := http2.NewFramer(conn, conn)
	framer.WriteSettings()
	for id := uint32(1); ctx.Err() == nil; id += 2 {
		name := fmt.Sprintf("reset-%d", n)
		block := fake.EncodeRequestHeaders("GET", farmHost, "/allocation-check/"+name, name)
		w.recorder.RecordSent(w.recorder.BeginOperation(fake.Idempotent), name, time.Second)
		w.recorder.RecordClientGone(name)
		headers := http2.HeadersFrameParam{StreamID: id, BlockFragment: block, EndStream: true, EndHeaders: true}
		if framer.WriteHeaders(headers) != nil || framer.WriteRSTStream(id, http2.ErrCodeCancel) != nil {
			return n
		}
		n++
		time.Sleep(time.Second / resetStreamRate)
	}
	return n
}
