// Command heathershed-node is the one process beside each upstream. It is the
// ingress for callers, the admission control for its upstream, and the egress
// for that upstream's calls to other services.
//
// Exit codes: 0 after a graceful shutdown, 1 after a failure, 2 for wrong usage
// or settings.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"heathershed/internal/node"
	"heathershed/internal/program"
	"heathershed/internal/settings"
)

func main() { os.Exit(program.Run("heathershed-node", settings.Load, serve)) }

// handleSignals begins a graceful shutdown at the first signal and aborts it at
// the second.
func handleSignals(first, second func()) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	first()
	<-signals
	second()
}

func serve(cfg *settings.Settings, _ string) int {
	debug.SetMemoryLimit(cfg.MemoryLimit)
	var level slog.Level
	_ = level.UnmarshalText([]byte(cfg.LogLevel))
	log := slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	n, err := node.New(cfg, log)
	if err != nil {
		log.Error("start", "err", err)
		return program.ExitUsage
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go handleSignals(stop, n.Abort)
	if err := n.Run(ctx); err != nil {
		log.Error("stopped", "err", err)
		return program.ExitFailed
	}
	return program.ExitOK
}
