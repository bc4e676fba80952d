//go:build review

// Keyedtask plays a fleet of three whose task is a keyed request. While one slot is due, the answers of the boxes get lost and the
// connections are reset under the requests. It checks that the work of no slot takes effect twice.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"sorrelrudder/review/harness"
)

const (
	window     = 1500 * time.Millisecond // all order boxes drop a repeat for so long (BRIEF, requests)
	slack      = 50 * time.Millisecond   // each time limit is 50 ms longer on sockets (PROTOCOL)
	workTime   = 100 * time.Millisecond  // 75 to 140 ms (BRIEF, requests)
	resetAfter = 900 * time.Millisecond  // from the request's last byte to the reset
	troubleFor = 6 * time.Second         // "for 6 s" (STANDING, split)
	slots      = 3
	playLimit  = 75 * time.Second
)

// The pool has the settings of site delta-water for its orders. The task has the defaults of the product's file, but for its period.
const pools = `[pools.farm]
%s
[[pools.farm.classes]]
name = "delivery-order"
effect = "keyed"
repeats_dropped_by = "all"
repeats_dropped_for = "1500ms"
aim = "600ms"
deadline = "2500ms"
worth = 10.0
late_share = 0.5
`

const tasks = `[[tasks]]
name = "reconcile"
pool = "farm"
path = "/delivery-order/reconcile"
every = "12s"
`

// boxes are the order boxes, which drop repeats together.
type boxes struct {
	c *harness.Case

	mu           sync.Mutex
	runs         map[string][]time.Time // by idempotency key: when it took effect
	sends        map[string]int
	served       map[string]bool
	troubledKey  string // the key under which the disruption began
	troubleUntil time.Time
}

// arrive records a request whose last byte has come, and reports whether it takes effect and whether its answer gets lost.
func (b *boxes) arrive(box, key, fencing string) (takesEffect, lost bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.sends[key]++
	if b.c.Trouble && b.troubledKey == "" && len(b.served) > 0 && !b.served[key] { // the second slot
		b.troubledKey, b.troubleUntil = key, now.Add(troubleFor)
		b.c.Log("for %v the answers of the boxes get lost, and connections are reset under their requests", troubleFor)
	}
	lost = now.Before(b.troubleUntil)
	runs := b.runs[key]
	if len(runs) > 0 && now.Sub(runs[len(runs)-1]) <= window+slack {
		b.c.Log("%s: %s (fencing token %s) is a repeat and is dropped, %v after it ran", box, key, fencing, now.Sub(runs[len(runs)-1]).Round(time.Millisecond))
		return false, lost
	}
	b.runs[key] = append(runs, now)
	if len(runs) > 0 {
		b.c.Break("slot %s took effect %d times: again %v after the first, when its key is no longer remembered (%v)", key, len(runs)+1, now.Sub(runs[0]).Round(time.Millisecond), window)
	} else {
		b.c.Log("%s: %s (fencing token %s) runs", box, key, fencing)
	}
	return true, lost
}

// done records an answer that went out, and returns how many slots have one.
func (b *boxes) done(key string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.served[key] = true
	return len(b.served)
}

// state returns how many slots were sent and how many of them were answered.
func (b *boxes) state() (sent, served int, troubled bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.sends), len(b.served), b.troubledKey != "" && time.Now().After(b.troubleUntil)
}

// start starts a box and returns its address.
func (b *boxes) start(name string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go b.serve(name, conn)
		}
	}()
	return listener.Addr().String(), nil
}

// serve serves one connection by the platform's protocol.
func (b *boxes) serve(name string, conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		at := time.Now()
		body := "inflight=0, queue=0, util=0.1"
		if request.Method == http.MethodPost {
			key := request.Header.Get("Idempotency-Key")
			takesEffect, lost := b.arrive(name, key, request.Header.Get("Fencing-Token"))
			if takesEffect {
				time.Sleep(workTime)
			}
			if lost {
				time.Sleep(time.Until(at.Add(resetAfter)))
				b.c.Log("%s: the answer to %s was lost, and the connection is reset", name, key)
				if tcp, ok := conn.(*net.TCPConn); ok {
					tcp.SetLinger(0)
				}
				return
			}
			b.done(key)
			b.c.Log("%s: %s is answered 200", name, key)
			body = "done " + key
		}
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
			return
		}
	}
}

func run(c *harness.Case) error {
	b := &boxes{c: c, runs: map[string][]time.Time{}, sends: map[string]int{}, served: map[string]bool{}}
	servers := ""
	for _, name := range []string{"box-1", "box-2"} {
		address, err := b.start(name)
		if err != nil {
			return err
		}
		servers += fmt.Sprintf("[[pools.farm.servers]]\nname = %q\naddress = %q\nzone = \"clare-pump\"\n", name, address)
	}
	f, err := c.StartFleet(fmt.Sprintf(pools, servers), tasks)
	if err != nil {
		return err
	}
	for until := time.Now().Add(playLimit); ; c.Sleep(100 * time.Millisecond) {
		sent, served, troubled := b.state()
		if sent >= slots && served >= slots-1 && (troubled || !c.Trouble) {
			break
		}
		if time.Now().After(until) || c.Context.Err() != nil {
			return fmt.Errorf("%d slots were sent and %d answered within %v, want %d", sent, served, playLimit, slots)
		}
	}
	c.Sleep(2 * time.Second) // later repeats of the last slot
	out, err := f.Ask(f.Members[0], "tier", "tasks")
	c.Log("tier tasks: %s", strings.ReplaceAll(out, "\n", " | "))
	return err
}

func main() { harness.Main(run) }
