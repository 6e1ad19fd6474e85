// Package program is what the mains of the nodes share: their flags, the check
// and print of settings, and the exit codes.
package program

import (
	"flag"
	"fmt"
	"io"
	"os"

	"heathershed/internal/version"
)

// Exit codes.
const (
	// ExitOK is a planned end.
	ExitOK = iota
	// ExitFailed is an end by a failure.
	ExitFailed
	// ExitUsage is for wrong usage or settings.
	ExitUsage
)

// Settings can be printed as a settings file.
type Settings interface{ Print(w io.Writer) error }

// Run reads the flags and the settings, and serves with them unless they were
// only to be checked or printed. It returns the exit code.
func Run[S Settings](name string, load func(path string) (S, error), serve func(cfg S, path string) int) int {
	path := flag.String("config", "", "settings file (INI)")
	check := flag.Bool("check", false, "check the settings and exit")
	show := flag.Bool("print", false, "print the settings in force and exit")
	showVersion := flag.Bool("version", false, "print the version and exit")
	flag.Parse()
	if *showVersion {
		fmt.Println(version.Version)
		return ExitOK
	}
	if *path == "" || flag.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "usage: %s -config FILE [-check | -print]\n", name)
		return ExitUsage
	}
	cfg, err := load(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage
	}
	switch {
	case *check:
		return ExitOK
	case *show:
		return printed(cfg.Print(os.Stdout))
	}
	return serve(cfg, *path)
}

func printed(err error) int {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitFailed
	}
	return ExitOK
}
