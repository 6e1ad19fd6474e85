// Package program implements what the main functions of the nodes share: the
// flags, checking and printing of settings, and the exit codes.
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
	// ExitOK is the code of a regular end.
	ExitOK = iota
	// ExitFailed is the code of an end by a failure.
	ExitFailed
	// ExitUsage is the code for wrong usage or invalid settings.
	ExitUsage
)

// Settings are settings that can be printed as a settings file.
type Settings interface{ Print(w io.Writer) error }

// Run parses the flags and loads the settings, then calls serve unless the flags
// ask only to check or print them. It returns the exit code.
func Run[S Settings](name string, load func(path string) (S, error), serve func(cfg S, path string) int) int {
	path := flag.String("config", "", "settings file (INI)")
	check := flag.Bool("check", false, "check the settings and exit")
	show := flag.Bool("print", false, "print the effective settings and exit")
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
		return exitCode(cfg.Print(os.Stdout))
	}
	return serve(cfg, *path)
}

func exitCode(err error) int {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitFailed
	}
	return ExitOK
}
