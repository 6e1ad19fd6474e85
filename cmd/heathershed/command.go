package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// command is one sub-command.
type command struct {
	name  string // with its group, as in "catalogue show"
	args  string // positional arguments, for the usage text
	about string
	flags func(*flag.FlagSet, *invocation)
	run   func(context.Context, *invocation) error
}

// commands returns the sub-commands in the order of the usage text.
func commands() []command {
	return []command{
		{"catalogue show", "[VERSION]", "print the catalogue in the store, or a kept version", nil, runShow},
		{"catalogue check", "FILE", "check a file as a catalogue, without the store", nil, runCheck},
		{"catalogue edit", "NAME KEY=VALUE...", "add or change one entry, or delete it", editFlags, runEdit},
		{"catalogue apply", "FILE", "make a file the catalogue", applyFlags, runApply},
		{"catalogue diff", "FROM [TO]", "compare versions or files; TO is the newest version if left out", nil, runDiff},
		{"catalogue history", "", "list the kept versions, newest first", nil, runHistory},
		{"catalogue revert", "VERSION", "make a new version with the content of an old one", changeFlags, runRevert},
		{"report", "", "what is in force at each node, and what is shed and why", nil, runReport},
		{"timeline", "", "events of all nodes in causal order", timelineFlags, runTimeline},
		{"explain", "ID", "the trace of one request, from logs alone", explainFlags, runExplain},
		{"where", "HOST/PATH", "where nodes would route a request now and why, without sending it", whereFlags, runWhere},
		{"order-id", "", "print a fresh order id", nil, runOrderID},
		{"drain", "VM", "begin the planned stop of a VM's node", nil, runDrain},
		{"version", "", "print the versions of this command and of the nodes", nil, runVersion},
	}
}

// invocation is one run of a sub-command: its flags, arguments and settings.
type invocation struct {
	process
	settings settings
	args     []string

	change   changeOptions
	timeline timelineOptions
	logs     string
	where    whereOptions
}

// usageError reports wrong usage of the command.
type usageError struct{ message string }

func (e *usageError) Error() string { return e.message }

func usagef(format string, args ...any) error {
	return &usageError{fmt.Sprintf(format, args...)}
}

// partialError reports that the command could not reach everything and used
// what it reached.
type partialError struct{ unseen []string }

func (e *partialError) Error() string {
	return "partial view, not seen: " + strings.Join(e.unseen, "; ")
}

// run runs the command and returns its exit code.
func run(ctx context.Context, p process, args []string) int {
	c, rest, ok := findCommand(args)
	if !ok {
		usage(p.stderr)
		if len(args) == 1 && (args[0] == "help" || args[0] == "-h" || args[0] == "-help") {
			return exitOK
		}
		return exitUsage
	}
	inv := &invocation{process: p}
	err := inv.parse(c, rest)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, inv.settings.timeout)
		defer cancel()
		err = c.run(ctx, inv)
	}
	return reportError(p.stderr, c, err)
}

// findCommand returns the sub-command that the arguments name, and the
// remaining arguments.
func findCommand(args []string) (command, []string, bool) {
	for _, c := range commands() {
		words := strings.Fields(c.name)
		if len(args) >= len(words) && strings.Join(args[:len(words)], " ") == c.name {
			return c, args[len(words):], true
		}
	}
	return command{}, nil, false
}

// parse reads the flags and arguments, in any order, and then the settings.
func (inv *invocation) parse(c command, args []string) error {
	flags := flag.NewFlagSet("heathershed "+c.name, flag.ContinueOnError)
	flags.SetOutput(inv.stderr)
	flags.Usage = func() {
		fmt.Fprintf(inv.stderr, "usage: heathershed %s %s\n%s\n", c.name, c.args, c.about)
		flags.PrintDefaults()
	}
	raw := settingsFlags(flags)
	if c.flags != nil {
		c.flags(flags, inv)
	}
	for {
		if err := flags.Parse(args); err != nil {
			if errors.Is(err, flag.ErrHelp) {
				return err
			}
			return usagef("%s", err)
		}
		if flags.NArg() == 0 {
			break
		}
		inv.args = append(inv.args, flags.Arg(0))
		args = flags.Args()[1:]
	}
	var err error
	inv.settings, err = raw.resolve(inv.getenv)
	return err
}

// checkArgs checks the number of positional arguments.
func (inv *invocation) checkArgs(c string, low, high int) error {
	if n := len(inv.args); n < low || n > high {
		return usagef("%s: wrong number of arguments: %d", c, n)
	}
	return nil
}

func usage(w io.Writer) {
	fmt.Fprintln(w, "usage: heathershed COMMAND [flags] [arguments]")
	fmt.Fprintln(w)
	for _, c := range commands() {
		fmt.Fprintf(w, "  %-37s %s\n", c.name+" "+c.args, c.about)
	}
	fmt.Fprintln(w)
	fmt.Fprintln(w, "heathershed COMMAND -h lists the flags. Exit codes: 0 done, 1 failed,")
	fmt.Fprintln(w, "2 wrong usage or settings, 3 conflict, 4 partial view.")
}

// callTimeout bounds one call to a node.
const callTimeout = 3 * time.Second
