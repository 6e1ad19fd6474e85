// Command heathershed-sidecar is the heathershed node for the users' platform:
// the one process that runs beside each upstream.
//
// Exit codes: 0 after a graceful shutdown, 1 after a failure, 2 for wrong
// usage or settings.
package main

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"heathershed/internal/eventlog"
	"heathershed/internal/program"
	"heathershed/internal/settings"
	"heathershed/internal/sidecar"
)

// heapFraction is the part of the VM's memory that the heap may use before the
// garbage collector works harder. The rest is for stacks, buffers and the
// kernel.
const heapFraction = 0.5

// gcPercent is the growth of the heap between two collections, in percent. A
// lower value costs more processor time than the memory is worth.
const gcPercent = 100

func main() { os.Exit(program.Run("heathershed-sidecar", settings.LoadSidecar, serve)) }

func serve(cfg *settings.Sidecar, path string) int {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(cfg.Memory) * heapFraction))
	var level slog.LevelVar
	setLevel(&level, cfg)
	lines := eventlog.NewWriter(os.Stdout)
	log := slog.New(eventlog.NewLimiter(slog.NewJSONHandler(lines, &slog.HandlerOptions{Level: &level}))).With("at", cfg.VM)
	waitLog, endLog := startLogWriter(lines)
	defer waitLog()
	defer endLog()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	n := sidecar.New(cfg, log)
	go reload(ctx, path, log, func(next *settings.Sidecar) {
		setLevel(&level, next)
		n.Apply(next)
	})
	if err := n.Run(ctx); err != nil {
		log.Error("failed", "err", err)
		return program.ExitFailed
	}
	return program.ExitOK
}

// logFlushTimeout bounds the wait for the last lines of the log.
const logFlushTimeout = 200 * time.Millisecond

// startLogWriter starts the task that writes the log. wait waits up to
// logFlushTimeout for the last lines; end stops the task.
func startLogWriter(lines *eventlog.Writer) (wait, end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := lines.Run(ctx); err != nil {
			fmt.Fprintln(os.Stderr, "log:", err)
		}
	}()
	return func() {
		select {
		case <-done:
		case <-time.After(logFlushTimeout):
		}
	}, cancel
}

func setLevel(level *slog.LevelVar, cfg *settings.Sidecar) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(cfg.LogLevel)); err == nil {
		level.Set(l)
	}
}

// settingsPollInterval is how often the settings file is read, since it may
// change without a signal.
const settingsPollInterval = 2 * time.Second

// reload reads the settings again on each SIGHUP and whenever their file has
// changed. Invalid settings are logged and not applied.
func reload(ctx context.Context, path string, log *slog.Logger, apply func(*settings.Sidecar)) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last := read(path)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			signalled = true
		case <-ticker.C:
		}
		text := read(path)
		if !signalled && (text == nil || bytes.Equal(text, last)) {
			continue
		}
		last = text
		cfg, err := settings.ParseSidecar(path, text)
		if err != nil {
			log.Error("reload: settings refused, the old ones stay", "err", err)
			continue
		}
		apply(cfg)
	}
}

// read returns the content of the settings file, or nil if it can't be read.
func read(path string) []byte {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil
	}
	return text
}
