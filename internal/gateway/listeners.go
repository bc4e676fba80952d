package gateway

import (
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"time"

	"sorrelrudder/internal/downstream"
)

// multiPoolAcceptors is the number of goroutines that accept connections from each listener of a process with several pools. While one pool
// is flooded, an acceptor may have to wait for a file descriptor; the others keep accepting.
const multiPoolAcceptors = 4

// errNoTLS is returned for a TLS listener in a program that was built without TLS support.
var errNoTLS = errors.New("TLS is configured, but this program does not support TLS on listeners")

// activeListener is an open listener.
type activeListener struct {
	*drainableListener
	served     net.Listener  // listener that the server accepts from, wrapped for other sites
	acceptDone chan struct{} // closed once the server has stopped accepting
	options    downstream.ListenerOptions
}

// Listen starts the admin server if it is not started yet, opens all listeners and starts to accept connections. On error none of the
// listeners is open.
func (g *Gateway) Listen() error {
	if err := g.StartAdmin(); err != nil {
		return err
	}
	g.configMu.Lock()
	defer g.configMu.Unlock()
	opened, err := g.openListeners(g.cfg.Listeners)
	if err != nil {
		return err
	}
	g.startAccepting(opened)
	g.listening.Store(true)
	return nil
}

// ListenerAddr returns the address of the named listener, or nil if it is not open.
func (g *Gateway) ListenerAddr(name string) net.Addr {
	g.configMu.Lock()
	defer g.configMu.Unlock()
	for l, ln := range g.listeners {
		if l.Name == name {
			return ln.Addr()
		}
	}
	return nil
}

// openListeners opens the listeners in want that are not open yet. On error none of them is left open. The caller holds configMu.
func (g *Gateway) openListeners(want []Listener) (map[Listener]*activeListener, error) {
	opened := map[Listener]*activeListener{}
	for _, l := range want {
		if g.listeners[l] != nil {
			continue
		}
		ln, err := g.openListener(l)
		if err != nil {
			closeListeners(opened)
			return nil, fmt.Errorf("listener %q: %w", l.Name, err)
		}
		opened[l] = ln
	}
	return opened, nil
}

// openListener opens one listener and sets up its protocols.
func (g *Gateway) openListener(l Listener) (*activeListener, error) {
	socket, err := l.open()
	if err != nil {
		return nil, err
	}
	ln := &activeListener{
		drainableListener: &drainableListener{TCPListener: socket, inherited: l.FD > 0},
		acceptDone:        make(chan struct{}),
	}
	ln.served = ln
	if ln.options, err = g.listenerOptions(l); err != nil {
		socket.Close()
		return nil, err
	}
	if l.InterSite {
		ln.served = g.extension.WrapListener(ln)
	}
	return ln, nil
}

func closeListeners(opened map[Listener]*activeListener) {
	for _, ln := range opened {
		ln.Close()
	}
}

// listenerOptions returns the protocols of listener l in addition to HTTP/1.1.
func (g *Gateway) listenerOptions(l Listener) (o downstream.ListenerOptions, err error) {
	o.H2C = l.H2C
	switch {
	case l.TLS == (TLS{}):
	case g.protocols.TLSConfig == nil:
		err = errNoTLS
	default:
		o.TLS, err = g.protocols.TLSConfig(g.ctx, l.TLS)
	}
	return o, err
}

// open opens the socket of l, or returns its inherited socket.
func (l Listener) open() (*net.TCPListener, error) {
	if l.FD > 0 {
		return inheritedSocket(l.FD, l.Name)
	}
	ln, err := net.Listen("tcp", l.Address)
	if err != nil {
		return nil, err
	}
	return ln.(*net.TCPListener), nil
}

// inheritedSocket returns the listening socket of a descriptor that the process has inherited at its start. It closes the descriptor, so it
// must be called once per descriptor.
func inheritedSocket(fd int, name string) (*net.TCPListener, error) {
	file := os.NewFile(uintptr(fd), name)
	if file == nil {
		return nil, fmt.Errorf("inherited descriptor %d is invalid", fd)
	}
	ln, err := net.FileListener(file) // duplicates the descriptor
	file.Close()
	if err != nil {
		return nil, err
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		ln.Close()
		return nil, fmt.Errorf("inherited descriptor %d is not a TCP socket", fd)
	}
	return tcp, nil
}

// startAccepting adds the opened listeners to g.listeners and starts to accept connections from them. The caller holds configMu.
func (g *Gateway) startAccepting(opened map[Listener]*activeListener) {
	acceptors := 1
	if len(g.cfg.Pools) > 1 {
		acceptors = multiPoolAcceptors
	}
	for l, ln := range opened {
		g.listeners[l] = ln
		g.log.Info("ready", "name", g.cfg.Name, "listen", ln.Addr().String(), "listener", l.Name, "load", g.String())
		server := g.serverFor(l)
		go func() {
			defer close(ln.acceptDone)
			_ = server.ServeWithOptions(g.ctx, ln.served, acceptors, ln.options) // returns when the listener is closed or ctx ends
		}()
	}
}

// serverFor returns the server that handles connections of listener l.
func (g *Gateway) serverFor(l Listener) *downstream.Server {
	if l.InterSite {
		return g.siteServer
	}
	return g.clientServer
}

// drainRemovedListeners drains the open listeners that are not in want. The caller holds configMu.
func (g *Gateway) drainRemovedListeners(want []Listener) {
	for l, ln := range g.listeners {
		if !slices.Contains(want, l) {
			delete(g.listeners, l)
			g.drainListener(l, ln)
		}
	}
}

// drainListener closes a listener once its backlog is empty, and drains the connections that it has accepted.
func (g *Gateway) drainListener(l Listener, ln *activeListener) {
	ln.drain(time.Now().Add(acceptWindow))
	g.drainTasks.Go(func() {
		<-ln.acceptDone
		ln.Close()
		g.serverFor(l).DrainListener(ln.served)
		g.log.Info("listener closed", "listener", l.Name)
	})
}
