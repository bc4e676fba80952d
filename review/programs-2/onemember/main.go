//go:build review

// Command onemember adds [tier.copies] to the file of a fleet of one member, as an operator does who wants to use 'tier order', and restarts the
// process while clients send requests. It checks that the process runs on and that each request which it has taken is answered.
package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"sorrelrudder/review/programs-2/stage"
)

const (
	watch   = 15 * time.Second // after the restart
	clients = 4
)

func main() {
	s := stage.New()
	server := s.StartQuietServer(100 * time.Millisecond)
	ports := s.Ports(2)
	secret := s.Write("tier.secret", "a secret of the fleet under review\n")
	write := func(copies string) string {
		return s.Write("p1.toml", fmt.Sprintf(`[[listeners]]
name = "farm"
address = %q

[[pools.farm.servers]]
name = "box-1"
address = %q
[[pools.farm.classes]]
name = "allocation-check"
effect = "safe"
aim = "600ms"
deadline = "3s"

[tier]
name = "p1"
secret = %q
store = %q
council = ["p1"]
term = "3s"
%s
[[tier.members]]
name = "p1"
address = %q
`, ports[0], server.Address, secret, s.Path("p1.db"), copies, ports[1]))
	}
	file := write("")
	if text, ok := s.Run(stage.Program, "tier", "init", file); !ok {
		s.NotRun("tier init: %s", text)
	}
	p := s.Start("p1", stage.Program, "run", file)
	awaitListener(s, ports[0])
	time.Sleep(3 * time.Second)
	if s.Trouble {
		write("[tier.copies]\n")
		text, ok := s.Run(stage.Program, "check", file)
		s.Log("the file has [tier.copies] now; check: %s (valid: %t)", strings.TrimSpace(text), ok)
	}
	p.Signal(syscall.SIGTERM)
	if !p.Await(10 * time.Second) {
		s.NotRun("the process has not ended after SIGTERM")
	}
	s.Log("the process is restarted")
	p = s.Start("p1-again", stage.Program, "run", file)
	awaitListener(s, ports[0])
	answered, unanswered := play(s, p, ports[0])
	_, status, ended := p.Ended()
	s.Log("requests answered: %d, sent whole and never answered: %d", answered, unanswered)
	if ended {
		s.Log("the process has ended by itself with status %d: %s", status, firstLine(p.Log(), "panic:"))
		again := s.Start("p1-third", stage.Program, "run", file)
		ended = again.Await(10 * time.Second)
		s.Log("started once more; it has ended by itself: %t", ended)
		s.End(stage.Broken)
	}
	if unanswered > 0 {
		s.End(stage.Broken)
	}
	s.End(stage.Held)
}

// play has clients send requests until the process ends or the time is over. It counts the requests that were answered, and those that were
// written whole to a connection that the process had taken and got no answer.
func play(s *stage.Stage, p *stage.Proc, address string) (answered, unanswered int) {
	end := time.Now().Add(watch)
	var mu sync.Mutex
	var all sync.WaitGroup
	for client := range clients {
		all.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				if _, _, ended := p.Ended(); ended {
					return
				}
				written, ok := get(address, fmt.Sprintf("r-%d-%d", client, n))
				mu.Lock()
				if ok {
					answered++
				} else if written {
					unanswered++
				}
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	all.Wait()
	return answered, unanswered
}

// get sends a request on a connection of its own, and reports whether it was written whole and whether it had an answer.
func get(address, id string) (written, answered bool) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return false, false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(4 * time.Second))
	if _, err := fmt.Fprintf(c, "GET /allocation-check/7 HTTP/1.1\r\nHost: farm\r\nX-Request-ID: %s\r\nX-Timeout-Ms: 3000\r\nConnection: close\r\n\r\n", id); err != nil {
		return false, false
	}
	answer, err := io.ReadAll(c)
	return true, err == nil && strings.HasPrefix(string(answer), "HTTP/1.1 ")
}

func awaitListener(s *stage.Stage, address string) {
	s.WaitFor("a listener", 10*time.Second, func() bool {
		c, err := net.Dial("tcp", address)
		if err == nil {
			c.Close()
		}
		return err == nil
	})
}

// firstLine returns the first line of a text that begins with a prefix.
func firstLine(text, prefix string) string {
	for line := range strings.Lines(text) {
		if strings.HasPrefix(line, prefix) {
			return strings.TrimSpace(line)
		}
	}
	return ""
}
