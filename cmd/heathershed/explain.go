package main

import (
	"context"
	"flag"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"heathershed/internal/explain"
)

func explainFlags(flags *flag.FlagSet, inv *invocation) {
	flags.StringVar(&inv.logs, "logs", "", "log files of the nodes, by commas; more may follow as arguments")
}

// runExplain prints the trace of one request, from log files alone.
func runExplain(_ context.Context, inv *invocation) error {
	if len(inv.args) < 1 {
		return usagef("explain: want the id of a request")
	}
	files := append(strings.FieldsFunc(inv.logs, func(r rune) bool { return r == ',' }), inv.args[1:]...)
	if len(files) == 0 {
		return usagef("explain: want -logs FILE")
	}
	index := explain.New()
	for _, name := range files {
		if err := readLog(index, name); err != nil {
			return err
		}
	}
	trace, ok := index.Trace(inv.args[0])
	if !ok {
		return errors.Newf("no log line names %s; only some of the requests that succeed are logged", inv.args[0])
	}
	return trace.Write(inv.stdout)
}

func readLog(index *explain.Index, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	defer f.Close()
	return errors.Wrap(index.Read(f), name)
}
