// Command sidecar is one real sidecar: it takes a client application's requests, and sends each to the
// upstream that the decision module picks.
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
	// Caught from the first moment on: left alone, they would end the process at once.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()

	cfg, err := sidecar.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	// The process has one core at most: more threads that run Go code would only take turns on it.
	runtime.GOMAXPROCS(1)

	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	s, err := sidecar.New(cfg, log)
	if err != nil {
		return err
	}
	go follow(ctx, reload, s, log)
	return s.Run(ctx)
}

// follow reloads the configuration at each signal until ctx ends. One that cannot be used leaves the present one in
// force.
func follow(ctx context.Context, reload <-chan os.Signal, s *sidecar.Sidecar, log *slog.Logger) {
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
