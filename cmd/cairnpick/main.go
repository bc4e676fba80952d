// Command cairnpick is one real sidecar: it takes a client application's requests, and sends each to the
// upstream that the decision module picks.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"heathstack/internal/sidecar"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "cairnpick:", err)
		os.Exit(1)
	}
}

func run() error {
	cfg, err := sidecar.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	// The process has one core at most: more threads that run Go code would only take turns on it.
	runtime.GOMAXPROCS(1)
	// Guards against being killed for memory: the rest is for stacks of the runtime, code and the kernel.
	debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 / 4 * 3)

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	s, err := sidecar.New(cfg, slog.New(slog.NewTextHandler(os.Stderr, nil)))
	if err != nil {
		return err
	}
	return s.Run(ctx)
}
