//go:build review

// Command streamimport sends a long unsafe request to an ordinary HTTP service, which carries out each line of the body as it arrives. The
// server process is killed in the middle. A client that is answered 429 or 503 sends the request again.
//
// Started with the arguments "server ADDRESS FILE" it is that service: it appends each line that it carries out to FILE.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"sorrelrudder/review/programs-2/stage"
)

const (
	lines    = 6000
	lineLen  = 64
	rate     = 128 << 10 // bytes a second
	patience = 20 * time.Second
)

func main() {
	if len(os.Args) == 4 && os.Args[1] == "server" {
		serve(os.Args[2], os.Args[3])
		return
	}
	s := stage.New()
	ports := s.Ports(3)
	ledger := s.Path("ledger")
	var servers []*stage.Proc
	for i := range 2 {
		servers = append(servers, s.Start(fmt.Sprintf("shop-%d", i+1), os.Args[0], "server", ports[i], ledger))
	}
	file := s.Write("http.toml", fmt.Sprintf(`[[listeners]]
name = "web"
address = %q

[pools.shop]
protocol = "http"
[[pools.shop.servers]]
name = "shop-1"
address = %q
[[pools.shop.servers]]
name = "shop-2"
address = %q
`, ports[2], ports[0], ports[1]))
	s.Start("gateway", stage.Program, "run", file)
	for _, address := range ports {
		s.WaitFor("a listener at "+address, 10*time.Second, func() bool {
			c, err := net.Dial("tcp", address)
			if err == nil {
				c.Close()
			}
			return err == nil
		})
	}
	status := post(s, ports[2], func(sent int) {
		if !s.Trouble || sent != lines/2 {
			return
		}
		for i, server := range servers {
			if applied := count(ledger, fmt.Sprintf("shop-%d", i+1), ports[i]); applied > 0 {
				s.Log("SIGKILL to %s, which has carried out %d lines", server.Name, applied)
				server.Signal(syscall.SIGKILL)
			}
		}
	})
	s.Log("the first answer is %d", status)
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		s.Log("that promises that nothing has run: the client sends the request again")
		status = post(s, ports[2], func(int) {})
		s.Log("the second answer is %d", status)
	}
	twice := twiceApplied(ledger)
	s.Log("%d of %d lines were carried out twice", twice, lines)
	if twice > 0 {
		s.End(stage.Broken)
	}
	if status == 0 {
		s.NotRun("no answer")
	}
	s.End(stage.Held)
}

// post sends the request and returns the status of its answer, 0 without one. after is called after each line.
func post(s *stage.Stage, address string, after func(sent int)) int {
	c, err := net.Dial("tcp", address)
	if err != nil {
		s.NotRun("connect: %v", err)
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /stock/import HTTP/1.1\r\nHost: shop.example.org\r\nContent-Length: %d\r\n\r\n", lines*lineLen)
	answer := make(chan int, 1)
	go func() {
		c.SetReadDeadline(time.Now().Add(patience))
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			answer <- 0
			return
		}
		io.Copy(io.Discard, response.Body)
		answer <- response.StatusCode
	}()
	begin := time.Now()
	for i := range lines {
		line := fmt.Sprintf("add item %06d", i)
		line += strings.Repeat(" ", lineLen-1-len(line)) + "\n"
		if _, err := io.WriteString(c, line); err != nil {
			break
		}
		after(i + 1)
		due := begin.Add(time.Duration((i+1)*lineLen) * time.Second / rate)
		select {
		case status := <-answer:
			return status
		case <-time.After(time.Until(due)):
		}
	}
	return <-answer
}

// serve carries out the lines of each request as they arrive.
func serve(address, ledger string) {
	f, err := os.OpenFile(ledger, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	panic(http.ListenAndServe(address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := bufio.NewScanner(r.Body)
		n := 0
		for body.Scan() {
			n++
			fmt.Fprintf(f, "%s %s\n", address, strings.TrimSpace(body.Text()))
		}
		if err := body.Err(); err != nil {
			return
		}
		fmt.Fprintf(w, "%d lines carried out\n", n)
	})))
}

// count returns how many lines a server has carried out.
func count(ledger, _, address string) int {
	text, _ := os.ReadFile(ledger)
	return strings.Count(string(text), address+" ")
}

// twiceApplied returns how many lines were carried out more than once.
func twiceApplied(ledger string) int {
	text, _ := os.ReadFile(ledger)
	applied := map[string]int{}
	for line := range strings.Lines(string(text)) {
		if _, what, ok := strings.Cut(line, " "); ok {
			applied[what]++
		}
	}
	twice := 0
	for _, n := range applied {
		if n > 1 {
			twice++
		}
	}
	return twice
}
