// Command heathershed-platform is a stand-in for the platform's object API, for
// tests and trials. It supports versions, conditional updates, watches and
// fault injection, and keeps everything in memory.
//
// POST /faults sets the faults, POST /restore returns to an older copy of the
// content, and GET /counts returns the number of calls.
package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"heathershed/internal/platform/fake"
	"heathershed/internal/platform/standin"
)

// shutdownGrace bounds the wait for calls in flight at shutdown.
const shutdownGrace = 2 * time.Second

func main() {
	listen := flag.String("listen", "127.0.0.1:7400", "`ip:port` to serve on")
	seed := flag.Int64("seed", 1, "seed of the faults' chances")
	flag.Parse()
	if flag.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "heathershed-platform: unexpected argument %q\n", flag.Arg(0))
		os.Exit(2)
	}
	if err := run(*listen, *seed); err != nil {
		fmt.Fprintf(os.Stderr, "heathershed-platform: %v\n", err)
		os.Exit(1)
	}
}

func run(listen string, seed int64) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	srv := standin.New(fake.New(fake.WithSeed(seed)))
	slog.Info("platform stand-in serves", "address", l.Addr().String())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return srv.Serve(l) })
	group.Go(func() error {
		<-ctx.Done()
		end, cancel := context.WithTimeout(context.Background(), shutdownGrace)
		defer cancel()
		return srv.Shutdown(end)
	})
	return group.Wait()
}
