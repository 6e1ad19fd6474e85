// Command heathershed is the operators' command. It shows and changes the
// catalogue and shows what the nodes report.
//
// It works with what it can reach: the platform's store, any nodes, or both. It
// names on standard error what it could not reach.
//
// Exit codes:
//
//	0  done
//	1  failed; the message says what to do next
//	2  wrong usage or settings; nothing was done
//	3  conflict with another operator's edit; nothing was done
//	4  done from a partial view: something could not be reached
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes.
const (
	exitOK = iota
	exitFailed
	exitUsage
	exitConflict
	exitPartial
)

// process holds the input, output and environment of one run of the command.
type process struct {
	stdin          io.Reader
	stdout, stderr io.Writer
	getenv         func(string) string
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	p := process{os.Stdin, os.Stdout, os.Stderr, os.Getenv}
	os.Exit(run(ctx, p, os.Args[1:]))
}
