// Command sidecar is a sidecar proxy for one client application. It accepts the application's requests and forwards each to the
// endpoint that the policy selects. SIGHUP reloads the configuration. SIGTERM and SIGINT shut the process down gracefully.
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

// run serves until SIGTERM or SIGINT, and returns once the sidecar has drained.
func run() error {
	// Signal handlers are installed first: an unhandled signal would end the process at once.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()

	cfg, err := sidecar.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	// The platform gives the process one core. More threads running Go code would only compete for that core.
	runtime.GOMAXPROCS(1)

	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	s, err := sidecar.New(cfg, log)
	if err != nil {
		return err
	}
	go reloadOnSignal(ctx, reload, s, log)
	return s.Run(ctx)
}

// reloadOnSignal reloads the configuration at each signal until ctx is done. An invalid configuration is logged, and the current one stays
// in force.
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
