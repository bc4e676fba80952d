package main

import (
	"context"
	"crypto/tls"
	"log/slog"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"sorrelrudder/internal/config"
	"sorrelrudder/internal/fleet"
	"sorrelrudder/internal/gateway"
	"sorrelrudder/internal/h2"
	"sorrelrudder/internal/sitelink"
	"sorrelrudder/internal/tlsfiles"
)

// runCmd runs a gateway, and its host in a fleet if the file has a fleet.
type runCmd struct {
	File string `arg:"" help:"Read the gateway's configuration from this file."`
}

// Run implements the command. It returns once the gateway has drained.
func (c *runCmd) Run(s *streams) error {
	// The signal is caught before the file is read: its default action would end the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	f, err := config.Load(c.File)
	if err != nil {
		return err
	}
	applyLimits(f)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	log := slog.New(slog.NewTextHandler(s.err, nil))
	g, err := startGateway(f, log)
	if err != nil {
		return err
	}
	gatewayCtx := ctx
	if f.Fleet != nil {
		t, err := startFleetHost(*f.Fleet, g, log)
		if err != nil {
			g.Close()
			return err
		}
		defer t.Close()
		// The process gives up its leases before the gateway drains, once the task requests in flight have ended.
		drainCtx, startDrain := context.WithCancel(context.Background())
		defer startDrain()
		gatewayCtx = drainCtx
		go func() {
			<-ctx.Done()
			t.Leave()
			startDrain()
		}()
	}
	reloadDone := make(chan struct{})
	go func() {
		defer close(reloadDone)
		reloadOnSignal(ctx, reload, c.File, f, g, log)
	}()
	err = g.Run(gatewayCtx)
	stop()
	<-reloadDone
	return err
}

// startFleetHost starts the host of the process in its fleet.
func startFleetHost(cfg fleet.Config, g *gateway.Gateway, log *slog.Logger) (*fleet.Host, error) {
	t, err := fleet.New(cfg, log)
	if err != nil {
		return nil, err
	}
	if err := t.Start(g); err != nil {
		t.Close()
		return nil, err
	}
	return t, nil
}

// startGateway makes the gateway of a file and opens its listeners and site links.
func startGateway(f *config.File, log *slog.Logger) (*gateway.Gateway, error) {
	protocols := gateway.ListenerProtocols{Multiplexed: h2.Protocol{Log: log}, TLSConfig: tlsConfigWith(log)}
	if f.SiteLinks == nil {
		g, err := gateway.NewWithOptions(f.Gateway, log, gateway.Options{Protocols: protocols})
		if err != nil {
			return nil, err
		}
		return g, closeOnError(g, g.Listen())
	}
	b, err := sitelink.New(*f.SiteLinks, log)
	if err != nil {
		return nil, err
	}
	g, err := gateway.NewWithOptions(f.Gateway, log, gateway.Options{Extension: b, Protocols: protocols})
	if err != nil {
		b.Close()
		return nil, err
	}
	if err := closeOnError(g, b.Start(g)); err != nil {
		return nil, err
	}
	return g, closeOnError(g, g.Listen())
}

// certificateCheckInterval is the time between two checks of the certificate files for changes.
const certificateCheckInterval = time.Second

// tlsConfigWith returns a function that makes the TLS configuration of a listener from files and reloads these when they change, until its
// context ends.
func tlsConfigWith(log *slog.Logger) func(context.Context, gateway.TLS) (*tls.Config, error) {
	return func(ctx context.Context, t gateway.TLS) (*tls.Config, error) {
		s, err := tlsfiles.Load(config.CertificateConfig(t), log)
		if err != nil {
			return nil, err
		}
		go s.Watch(ctx, certificateCheckInterval)
		return s.Config(), nil
	}
}

// closeOnError closes g if err is not nil, and returns err.
func closeOnError(g *gateway.Gateway, err error) error {
	if err != nil {
		g.Close()
	}
	return err
}

// applyLimits limits the process to the cores and the memory of the file.
func applyLimits(f *config.File) {
	runtime.GOMAXPROCS(f.Cores)
	// A quarter of the memory is left for the runtime, the code and the kernel.
	debug.SetMemoryLimit(int64(f.Gateway.MemoryMB) << 20 / 4 * 3)
}

// reloadOnSignal reads the file and applies it at each signal until ctx ends. A file with errors leaves the running configuration in
// force. Changes of sites, peers, spillover, the fleet and its tasks take effect at the next start only.
func reloadOnSignal(ctx context.Context, reload <-chan os.Signal, file string, first *config.File, g *gateway.Gateway, log *slog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
		}
		f, err := config.Load(file)
		if err == nil {
			err = g.Apply(f.Gateway)
		}
		if err == nil && !reflect.DeepEqual(f.SiteLinks, first.SiteLinks) {
			log.Warn("reload: changes of sites, peers and spillover take effect at the next start")
		}
		if err == nil && !reflect.DeepEqual(f.Fleet, first.Fleet) {
			log.Warn("reload: changes of the fleet (tier) and its tasks take effect at the next start")
		}
		if err != nil {
			log.Error("reload: the running configuration stays in force", "err", err)
			continue
		}
		applyLimits(f)
		log.Info("reloaded", "file", file, "load", g.String())
	}
}
