// Package settings parses and validates the INI settings file of a node.
//
// Every key has a type and a range, and is either required or has a default;
// unknown keys are an error. All problems of a file are reported, one per line,
// with the file, the section, the key and what is allowed.
package settings

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// Settings are the settings of a node. See fields for keys, ranges and defaults.
type Settings struct {
	// VM names the VM, Datacentre and Region its location, and Service the
	// service of its upstream.
	VM, Datacentre, Region, Service string
	// Front, Link and Admin are listening addresses, ip:port: of the ingress for
	// callers and the local upstream, for other nodes, and for operators.
	Front, Link, Admin string
	// Upstream is the ip:port of the upstream beside this node.
	Upstream string
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	// HealthPath is the path of the upstream's health and load endpoint; empty if
	// it has none.
	HealthPath string
	// HealthEvery is the interval at which HealthPath is polled.
	HealthEvery time.Duration
	// Connections bounds the idle connections to the upstream that are kept for
	// reuse.
	Connections int
	// Calls are the services that the upstream calls.
	Calls []string
	// Platform are the addresses of the platform's object API.
	Platform []string
	// Peers are link addresses of some nodes, to join through while the platform
	// is down.
	Peers []string
	// Admission is the admission policy: adaptive, or one of the baselines none
	// and coin, see admission.Policy.
	Admission string
	// Retries is the retry policy: chain, or the baseline per-hop.
	Retries string
	// Grace bounds the duration of a graceful shutdown.
	Grace time.Duration
	// MemoryLimit is the memory limit of the process, in bytes.
	MemoryLimit int64
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// TimelineEvents is the number of events that the timeline retains.
	TimelineEvents int
}

// Load reads and parses the file at path.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return Parse(path, text)
}

// Parse parses settings from text; name is the name of the file in errors. The
// error lists all problems, one per line.
func Parse(name string, text []byte) (*Settings, error) {
	s := &Settings{}
	if err := parse(name, text, s.fields()); err != nil {
		return nil, err
	}
	return s, nil
}

// parse sets the known fields from text.
func parse(name string, text []byte, known []field) error {
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, text)
	if err != nil {
		return errors.Newf("%s: not an INI file: %v", name, err)
	}
	problems := unknownKeys(file, known)
	for _, f := range known {
		if err := f.read(file); err != nil {
			problems = append(problems, err.Error())
		}
	}
	if len(problems) > 0 {
		return errors.Newf("%s: %s", name, strings.Join(problems, "\n"+name+": "))
	}
	return nil
}

// Print writes the effective settings as an INI file.
func (s *Settings) Print(w io.Writer) error { return printFields(w, s.fields()) }

func printFields(w io.Writer, fields []field) error {
	section := ""
	for _, f := range fields {
		if f.section != section {
			section = f.section
			if _, err := fmt.Fprintf(w, "[%s]\n", section); err != nil {
				return err
			}
		}
		if _, err := fmt.Fprintf(w, "%s = %s\n", f.key, f.value); err != nil {
			return err
		}
	}
	return nil
}

func unknownKeys(file *ini.File, known []field) []string {
	names := make(map[string]bool)
	for _, f := range known {
		names[f.section] = true
		names[f.section+"."+f.key] = true
	}
	var problems []string
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		if !names[section.Name()] {
			problems = append(problems, fmt.Sprintf("[%s]: unknown section", section.Name()))
			continue
		}
		for _, key := range section.Keys() {
			if !names[section.Name()+"."+key.Name()] {
				problems = append(problems, fmt.Sprintf("[%s] %s: unknown key", section.Name(), key.Name()))
			}
		}
	}
	return problems
}
