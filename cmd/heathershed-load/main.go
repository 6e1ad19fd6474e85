// Command heathershed-load plays the callers and the upstreams of a running
// system. It drives a deployment's call graph, injects faults at given times,
// and compares the outcomes reported to callers with what upstreams ran.
//
// Exit codes: 0 if all promises were kept, 1 if one was broken, 2 for wrong
// usage, 3 if the run could not be carried out.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"heathershed/internal/load"
)

// Exit codes.
const (
	exitBroken = 1
	exitUsage  = 2
	exitFailed = 3
)

const usage = `usage:
  heathershed-load layout -dir DIR [-profile filao|teranga] [-base-port N]
                          [-admission MODE] [-retries MODE]
      write DIR/NAME.ini, the settings of each node, and print their names
  heathershed-load run [-profile filao|teranga] [-base-port N] [-duration 30s]
                       [-trigger LIST] [-seed N] [-scale X] [-cold 1s]
                       [-pids FILE] [-out FILE.json] [-svg FILE.svg]
                       [-timeline FILE.txt] [-direct]
      drive the running nodes
  heathershed-load table FILE.json...
      print results as a Markdown table

triggers: NAME[:TARGET[:VALUE]]@AT+FOR, by commas; NAME is one of slow, surge,
silent, store, kill, stop, pause, cut, truncate, idle, lie, refuse
`

func main() {
	if len(os.Args) < 2 {
		fail(exitUsage, usage)
	}
	switch os.Args[1] {
	case "layout":
		layout(os.Args[2:])
	case "run":
		run(os.Args[2:])
	case "table":
		table(os.Args[2:])
	default:
		fail(exitUsage, usage)
	}
}

func fail(code int, format string, args ...any) {
	fmt.Fprintf(os.Stderr, format, args...)
	os.Exit(code)
}

// layoutFlags adds the flags that select a layout. The returned function builds
// the layout after the flags were parsed.
func layoutFlags(f *flag.FlagSet) func() *load.Layout {
	profile := f.String("profile", "filao", "`deployment`: filao or teranga")
	base := f.Int("base-port", 21000, "first `port` on loopback; the platform's")
	return func() *load.Layout {
		p, err := load.ProfileByName(*profile)
		if err != nil {
			fail(exitUsage, "heathershed-load: %v\n", err)
		}
		return load.NewLayout(p, *base)
	}
}

func parse(f *flag.FlagSet, args []string) {
	_ = f.Parse(args) // exits on errors
	if f.NArg() > 0 {
		fail(exitUsage, "heathershed-load: unexpected argument %q\n", f.Arg(0))
	}
}

func layout(args []string) {
	f := flag.NewFlagSet("layout", flag.ExitOnError)
	makeLayout := layoutFlags(f)
	dir := f.String("dir", "", "`folder` to write to")
	admission := f.String("admission", "adaptive", "adaptive, none or coin")
	retries := f.String("retries", "chain", "chain or per-hop")
	parse(f, args)
	if *dir == "" {
		fail(exitUsage, "heathershed-load: -dir is missing\n")
	}
	l := makeLayout()
	policy := load.Policy{Admission: *admission, Retries: *retries}
	for _, vm := range l.VMs {
		file := filepath.Join(*dir, vm.Name+".ini")
		if err := os.WriteFile(file, []byte(l.Settings(vm, policy)), 0o644); err != nil {
			fail(exitFailed, "heathershed-load: %v\n", err)
		}
		fmt.Println(vm.Name)
	}
}

func run(args []string) {
	f := flag.NewFlagSet("run", flag.ExitOnError)
	makeLayout := layoutFlags(f)
	duration := f.Duration("duration", 30*time.Second, "length of the load")
	triggers := f.String("trigger", "", "`list` of triggers")
	seed := f.Int64("seed", 1, "seed of arrivals, work and choices")
	scale := f.Float64("scale", 1, "factor on all rates")
	warmUp := f.Duration("cold", 0, "time for which upstreams are cold after the start")
	pids := f.String("pids", "", "`file` of lines NAME PID")
	out := f.String("out", "", "result as JSON")
	svg := f.String("svg", "", "plot over time")
	timeline := f.String("timeline", "", "`file` for the time line of some requests")
	policy := f.String("policy", "heathershed", "name of the policy, for the result")
	direct := f.Bool("direct", false, "leave heathershed out")
	parse(f, args)
	l := makeLayout()
	list, err := load.ParseTriggers(*triggers, l)
	if err != nil {
		fail(exitUsage, "heathershed-load: %v\n", err)
	}
	processes, err := load.ReadProcesses(*pids)
	if err != nil {
		fail(exitUsage, "heathershed-load: %v\n", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	result, err := load.Run(ctx, load.Options{
		Layout: l, Policy: *policy, Duration: *duration, Seed: *seed, Triggers: list,
		Processes: processes, Scale: *scale, Direct: *direct, WarmUp: *warmUp,
	})
	if err != nil {
		fail(exitFailed, "heathershed-load: %v\n", err)
	}
	report(result, *out, *svg, *timeline)
}

func table(files []string) {
	var results []*load.Result
	for _, file := range files {
		r, err := load.ReadResult(file)
		if err != nil {
			fail(exitFailed, "heathershed-load: %v\n", err)
		}
		results = append(results, r)
	}
	load.WriteComparison(os.Stdout, results)
}

// report writes the result and exits with status 1 if a promise was broken.
func report(result *load.Result, out, svg, timeline string) {
	result.WriteTable(os.Stdout)
	if out != "" {
		if err := result.WriteJSON(out); err != nil {
			fail(exitFailed, "heathershed-load: %v\n", err)
		}
	}
	if svg != "" {
		if err := result.WritePlot(svg); err != nil {
			fail(exitFailed, "heathershed-load: %v\n", err)
		}
	}
	if timeline != "" && result.Timeline != nil {
		if err := result.Timeline.WriteFile(timeline); err != nil {
			fail(exitFailed, "heathershed-load: %v\n", err)
		}
	}
	if !result.Promises.Kept() {
		os.Exit(exitBroken)
	}
}
