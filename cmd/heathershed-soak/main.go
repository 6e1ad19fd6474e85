// Command heathershed-soak runs the real programs on loopback under faults
// drawn from a seed and prints each broken promise.
//
// Exit codes: 0 if all promises were kept, 1 if one was broken, 2 for wrong
// usage, 3 if a run could not be carried out.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"heathershed/internal/soak"
)

// Exit codes.
const (
	exitBroken = 1
	exitUsage  = 2
	exitFailed = 3
)

func main() {
	bin := flag.String("bin", "out", "directory of the programs")
	seed := flag.Uint64("seed", 0, "first seed; 0 takes a fresh one")
	seeds := flag.Int("seeds", 1, "number of runs, with seeds that follow each other")
	length := flag.Duration("length", 20*time.Second, "time in which faults begin, each run")
	vms := flag.Int("vms", 6, "number of VMs, 3 to 200")
	clients := flag.Int("clients", 3, "clients of each VM")
	network := flag.String("net", "77.1", "second and third byte of the loopback addresses")
	crash := flag.Bool("crash", false, "at the end, send a request that crashes upstreams")
	workspaces := flag.Bool("workspaces", false, "clients present keys, some of them revoked or unknown; upstreams report their load")
	crowd := flag.Bool("crowd", false, "each node also has clients that read slowly, stop in the middle of a body or exceed the limits")
	plan := flag.Bool("plan", false, "print the faults too")
	flag.Parse()
	if flag.NArg() > 0 || *vms < 3 || *vms > 200 || *seeds < 1 || *clients < 1 {
		flag.Usage()
		os.Exit(exitUsage)
	}
	if *seed == 0 {
		*seed = uint64(time.Now().UnixMilli())
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	cfg := soak.Config{Bin: *bin, VMs: *vms, Clients: *clients, Length: *length, Net: *network, Crash: *crash, Workspaces: *workspaces, Crowd: *crowd}
	os.Exit(runAll(ctx, cfg, *seed, *seeds, *plan))
}

// runAll carries out the runs and returns the exit code.
func runAll(ctx context.Context, cfg soak.Config, first uint64, seeds int, plan bool) (code int) {
	for i := range seeds {
		if ctx.Err() != nil {
			break
		}
		cfg.Seed = first + uint64(i)
		report, err := runOne(ctx, cfg, plan)
		switch {
		case err != nil:
			fmt.Fprintf(os.Stderr, "heathershed-soak: seed %d: %v\n", cfg.Seed, err)
			return exitFailed
		case len(report.Violations) > 0:
			code = exitBroken
		}
	}
	return code
}

// runOne carries out one run and prints its result. It removes the logs of a
// run in which all promises were kept.
func runOne(ctx context.Context, cfg soak.Config, plan bool) (soak.Report, error) {
	dir, err := soak.TempDir()
	if err != nil {
		return soak.Report{}, err
	}
	cfg.Dir = dir
	report, err := soak.Run(ctx, cfg)
	if plan {
		for _, e := range report.Plan {
			fmt.Println(e)
		}
	}
	for _, v := range report.Violations {
		fmt.Println(v)
	}
	fmt.Printf("seed %d, %d faults: %s\n", cfg.Seed, len(report.Plan), report.Summary)
	if err != nil || len(report.Violations) > 0 {
		fmt.Println("logs in", dir)
		return report, err
	}
	return report, os.RemoveAll(dir)
}
