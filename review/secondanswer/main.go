//go:build review

// Secondanswer plays a sidecar whose upstreams send some of their answers twice, the second copy some milliseconds late, and checks that
// each client gets the answer that was made for its own request.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sorrelrudder/internal/fake"
	"sorrelrudder/review/harness"
)

const (
	playTime  = 45 * time.Second
	workTime  = 6 * time.Millisecond // an upstream's work for one request
	oneWay    = 8 * time.Millisecond // between the sites: 5.6 to 10 ms (BRIEF 1.3)
	copyLate  = 2 * time.Millisecond // "some milliseconds late"
	copyShare = 0.04                 // of the answers
	clients   = 2                    // connections that send one request after the other
	patience  = 2500 * time.Millisecond
	quietTime = 500 * time.Millisecond // until the end of the last exchanges
)

// settings is the settings object of site delta-water, as the users' page on the wire gives it, for a group of one.
const settings = `{"Clients":{"MarksRetry":false},"Family":"mesh","FamilyInfo":{"WarmKeys":false},
"Goal":{"Whole":0.55,"WorstClass":0.1,"WorstTenant":0.0,"WorstWindow":0.35},"GroupSize":1,"Kinds":["big-box","small-box","slow-box"],
"Limits":{"Cancelling":true,"ConnIdleUs":5000000,"CpuUsPerRequest":0.0,"CpuUsPerS":1501662,"DialTimeoutUs":250000,"MaxRetryAfterUs":1500000,
"MayDuplicate":true,"MostHeld":375415,"Peers":false,"Probes":true,"RetryAfter":true,"SendCap":3,"StreamsPerConn":1},
"Localities":["clare-pump","giru-office"],"MembershipMode":"on_request","Ordinal":0,"OverShareWorth":0.1,"RequestClasses":[
{"AimUs":600000,"DeadlineUs":3000000,"Effect":"read_like","Group":"all","KeyTtlUs":5000000,"LateShare":0.2,"Name":"allocation-check","Stream":false,"Worth":2.0},
{"AimUs":600000,"DeadlineUs":2500000,"Effect":"idempotency_key","Group":"all","KeyTtlUs":1500000,"LateShare":0.5,"Name":"delivery-order","Stream":false,"Worth":10.0},
{"AimUs":1200000,"DeadlineUs":2500000,"Effect":"idempotency_key","Group":"cell","KeyTtlUs":12000000,"LateShare":0.3,"Name":"meter-booking","Stream":false,"Worth":3.0}],
"Safety":{"AskEveryUs":10000000,"ColdFrom":0.31,"DrainGraceUs":2000000,"GraceToAnswerUs":20000,"OverloadForUs":1000000,"RampTimeUs":8600000,"TipMultiple":2.5},
"Tariffs":{"Connection":0.0,"CrossZone":0.03,"Handshake":0.0,"LateFail":0.05,"MembershipMode":0.0,"Moves":0.0,"Origin":0.0,"Peer":0.0,"Probe":0.05,"Waste":0.05},
"Telemetry":{"Fields":["eps","queue"],"Via":"on_probe"},"Tenants":[],"TickUs":5000,"Tier":0,"Tiers":["water-orders"],"ValueBy":"work","Weights":"off","Zone":"clare-pump"}`

// box is an upstream by the platform's protocol. It answers one request at a time on each connection, and keeps connections.
type box struct {
	c        *harness.Case
	name     string
	listener net.Listener
	copies   atomic.Int64
}

func startBox(c *harness.Case, name string) (*box, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &box{c: c, name: name, listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	return b, nil
}

// serve serves one connection. The first byte of a next request withdraws a second copy that is not sent yet: a copy is sent only while
// nothing waits on the connection.
func (b *box) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var mu sync.Mutex
	var copyDue *time.Timer
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		mu.Lock()
		if copyDue != nil {
			copyDue.Stop()
			copyDue = nil
		}
		mu.Unlock()
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		answer := b.answer(request)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		id := request.Header.Get("X-Request-Id")
		if b.c.Trouble && id != "" && rand.Float64() < copyShare {
			mu.Lock()
			var due *time.Timer
			due = time.AfterFunc(copyLate, func() {
				mu.Lock()
				defer mu.Unlock()
				if copyDue != due { // a request has arrived
					return
				}
				copyDue = nil
				b.copies.Add(1)
				b.c.Log("%s sends the answer to %s a second time", b.name, id)
				_, _ = io.WriteString(conn, answer)
			})
			copyDue = due
			mu.Unlock()
		}
	}
}

// answer returns the answer to a request: that of a probe, or one that names the request.
func (b *box) answer(request *http.Request) string {
	if request.Method == http.MethodGet && (request.URL.Path == "/load" || request.URL.Path == "/healthz") {
		return response("eps=0, queue=0")
	}
	id := request.Header.Get("X-Request-Id")
	if id == "" {
		return "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
	}
	b.c.Log("%s runs %s %s", b.name, id, request.URL.Path)
	time.Sleep(workTime)
	return response(answerTo(id))
}

func response(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// answerTo returns the body of the answer that is made for the request with the given id.
func answerTo(id string) string { return "answer made for request " + id }

// client sends one request after the other on a connection that it keeps, until the end.
type client struct {
	c       *harness.Case
	address string
	number  int
	conn    net.Conn
	reader  *bufio.Reader
	sent    int
	served  int
}

func (cl *client) run(until time.Time) error {
	rng := rand.New(rand.NewPCG(uint64(cl.number), 1))
	for time.Now().Before(until) && cl.c.Context.Err() == nil {
		cl.sent++
		id := fmt.Sprintf("%02d%014d", cl.number, cl.sent)
		if err := cl.ask(id, rng.IntN(3)); err != nil {
			return err
		}
	}
	if cl.conn != nil {
		cl.conn.Close()
	}
	return nil
}

// ask sends one request and judges its answer. The error says that the sidecar could not be reached.
func (cl *client) ask(id string, class int) error {
	if cl.conn == nil {
		conn, err := net.DialTimeout("tcp", cl.address, time.Second)
		if err != nil {
			return err
		}
		cl.conn, cl.reader = conn, bufio.NewReader(conn)
	}
	var text string
	head := fmt.Sprintf("Host: service.internal\r\nX-Request-ID: %s\r\nX-Timeout-Ms: %d\r\n", id, patience.Milliseconds())
	switch class {
	case 0:
		text = "GET /allocation-check/farm-" + id + " HTTP/1.1\r\n" + head + "\r\n"
	case 1:
		text = "POST /delivery-order/outlet-" + id + " HTTP/1.1\r\n" + head + "Idempotency-Key: k" + id + "\r\nContent-Length: 5\r\n\r\norder"
	default:
		text = "POST /meter-booking/meter-" + id + " HTTP/1.1\r\n" + head + "Idempotency-Key: k" + id + "\r\nContent-Length: 4\r\n\r\nbook"
	}
	cl.conn.SetDeadline(time.Now().Add(patience + time.Second))
	_, err := io.WriteString(cl.conn, text)
	var answer *http.Response
	var body []byte
	if err == nil {
		answer, err = http.ReadResponse(cl.reader, nil)
	}
	if err == nil {
		body, err = io.ReadAll(answer.Body)
	}
	if err != nil { // the sidecar closed the connection between two requests: the client goes on with a new one and a new request
		cl.c.Log("client %d: %s ended with %v", cl.number, id, err)
		cl.conn.Close()
		cl.conn = nil
		return nil
	}
	if answer.Close {
		cl.conn.Close()
		cl.conn = nil
	}
	path, _, _ := strings.Cut(strings.TrimPrefix(text, "GET "), " HTTP")
	cl.c.Log("client %d: %s answered %d %q", cl.number, id, answer.StatusCode, body)
	if answer.StatusCode != http.StatusOK {
		return nil
	}
	cl.served++
	if string(body) != answerTo(id) {
		cl.c.Break("client %d sent request %s (%s) and was served with %q, which no upstream made for it", cl.number, id, strings.TrimPrefix(path, "POST "), body)
	}
	return nil
}

// startBoxes starts two boxes at each site. The boxes of the far site are behind a link that takes oneWay.
func startBoxes(c *harness.Case) (boxes []*box, list []fake.Endpoint, err error) {
	for i, site := range []string{"clare-pump", "clare-pump", "giru-office", "giru-office"} {
		b, err := startBox(c, fmt.Sprintf("box-%d", i+1))
		if err != nil {
			return nil, nil, err
		}
		address := b.listener.Addr().String()
		if site == "giru-office" {
			link, err := fake.StartProxy(address)
			if err != nil {
				return nil, nil, err
			}
			link.SetDelay(oneWay)
			address = link.Addr()
		}
		c.Log("%s at %s, site %s", b.name, address, site)
		boxes = append(boxes, b)
		list = append(list, fake.Endpoint{
			Host: b.name, Address: address, Zone: site, MachineType: "big-box", Cell: i / 2, Health: "active", Weight: 1,
		})
	}
	return boxes, list, nil
}

func run(c *harness.Case) error {
	boxes, list, err := startBoxes(c)
	if err != nil {
		return err
	}
	discovery, err := fake.StartDiscovery(nil, list...)
	if err != nil {
		return err
	}
	defer discovery.Close()
	config := map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.Addr(), "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  map[string]any{"seq": 0, "whole": true, "hosts": list}, "settings": json.RawMessage(settings),
	}
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	path, err := c.Write("config.json", string(text))
	if err != nil {
		return err
	}
	command, err := c.RunCommand()
	if err != nil {
		return err
	}
	sidecar, err := c.Start("sidecar", command, []string{"GW_CONFIG=" + path, "TMPDIR=" + c.Dir}, nil)
	if err != nil {
		return err
	}
	line, err := sidecar.AwaitLog(c.Context, "msg=ready", 20*time.Second)
	if err != nil {
		return err
	}
	_, rest, _ := strings.Cut(line, "listen=")
	address, _, _ := strings.Cut(rest, " ")
	until := time.Now().Add(playTime)
	var all sync.WaitGroup
	errs := make([]error, clients)
	players := make([]*client, clients)
	for i := range clients {
		players[i] = &client{c: c, address: address, number: i + 1}
		all.Go(func() { errs[i] = players[i].run(until) })
	}
	all.Wait()
	c.Sleep(quietTime)
	copies := int64(0)
	for _, b := range boxes {
		copies += b.copies.Load()
	}
	sent, served := 0, 0
	for i, p := range players {
		sent, served = sent+p.sent, served+p.served
		if errs[i] != nil {
			return errs[i]
		}
	}
	c.Log("sent %d requests, %d served, %d answers sent a second time", sent, served, copies)
	if !sidecar.Running() {
		return fmt.Errorf("the sidecar ended")
	}
	if served*2 < sent || c.Trouble && copies == 0 {
		return fmt.Errorf("of %d requests only %d were served; %d answers were sent a second time", sent, served, copies)
	}
	return nil
}

func main() { harness.Main(run) }
