// Command sidecar is a proxy beside one client application: it takes the application's requests, and sends each to the
// endpoint that the policy picks. SIGHUP makes it read its configuration again; SIGTERM and an interrupt shut it down
// gracefully.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"sorrelrudder/internal/sidecar"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "sidecar:", err)
		os.Exit(1)
	}
}

func run() error {
	// Signals are caught before all else: a signal that is not would end the process at once.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()

	cfg, err := sidecar.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	// The platform gives the process one core: more threads that run Go code would take turns on it.
	runtime.GOMAXPROCS(1)

	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	s, err := sidecar.New(cfg, log)
	if err != nil {
		return err
	}
	go reloadOnSignal(ctx, reload, s, log)
	return s.Run(ctx)
}

// reloadOnSignal reloads the configuration at each signal until ctx ends. One that is invalid leaves the present one in
// force.
func reloadOnSignal(ctx context.Context, reload <-chan os.Signal, s *sidecar.Sidecar, log *slog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
		}
		next, err := sidecar.LoadConfig(os.Getenv)
		if err != nil {
			log.Error("reload: the running configuration stays in force", "err", err)
			continue
		}
		s.Reload(next)
	}
}
