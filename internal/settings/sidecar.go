package settings

import (
	"io"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Sidecar are the settings of a node on the users' platform. See its fields for
// keys, ranges and defaults.
type Sidecar struct {
	// VM names the VM; Datacentre and Region say where it is; Service is that
	// of its upstream at the start.
	VM, Datacentre, Region, Service string
	// Clients, Link, Ready, Heartbeats and Metrics are listening addresses,
	// ip:port: for clients and the own upstream, for other nodes, for the
	// question whether the node takes work, for the upstream's heartbeats and
	// for scrapers.
	Clients, Link, Ready, Heartbeats, Metrics string
	// Announce is the ip:port at which other nodes reach Link; its default is
	// Link itself.
	Announce string
	// Upstream is the ip:port of the upstream beside this node.
	Upstream string
	// Platform is the ip:port of the object API.
	Platform string
	// Grace bounds a planned stop.
	Grace time.Duration
	// RetryRatio and RetrySlack bound what is sent to an upstream beyond the
	// first attempt, over all nodes: a part of the requests and a number in
	// each RetryWindow.
	RetryRatio  float64
	RetrySlack  int
	RetryWindow time.Duration
	// Memory is what the VM gives the process, in bytes.
	Memory int64
	// LogLevel is debug, info, warn or error.
	LogLevel string
}

const (
	maxRetrySlack = 1_000_000
	maxMemory     = 1 << 40
)

// LoadSidecar reads the file at path.
func LoadSidecar(path string) (*Sidecar, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return ParseSidecar(path, text)
}

// ParseSidecar reads settings from text; name stands for the file in messages.
// The error lists every problem, one a line.
func ParseSidecar(name string, text []byte) (*Sidecar, error) {
	s := &Sidecar{}
	if err := parse(name, text, s.fields()); err != nil {
		return nil, err
	}
	if s.Announce == "" {
		s.Announce = s.Link
	}
	return s, nil
}

// Print writes the settings in force, as an INI file.
func (s *Sidecar) Print(w io.Writer) error { return printFields(w, s.fields()) }

func (s *Sidecar) fields() []field {
	return []field{
		{section: "vm", key: "name", value: label{&s.VM}, required: true},
		{section: "vm", key: "datacentre", value: label{&s.Datacentre}, required: true},
		{section: "vm", key: "region", value: label{&s.Region}, required: true},
		{section: "vm", key: "service", value: label{&s.Service}, required: true},
		{section: "addresses", key: "clients", value: address{&s.Clients}, required: true},
		{section: "addresses", key: "link", value: address{&s.Link}, required: true},
		{section: "addresses", key: "announce", value: optional{address{&s.Announce}}},
		{section: "addresses", key: "ready", value: address{&s.Ready}, required: true},
		{section: "addresses", key: "heartbeats", value: address{&s.Heartbeats}, required: true},
		{section: "addresses", key: "metrics", value: address{&s.Metrics}, required: true},
		{section: "upstream", key: "address", value: address{&s.Upstream}, required: true},
		{section: "platform", key: "address", value: address{&s.Platform}, required: true},
		{section: "retries", key: "ratio", value: ratio{&s.RetryRatio}, preset: "0.2"},
		{section: "retries", key: "slack", value: number{&s.RetrySlack, 0, maxRetrySlack}, preset: "50"},
		{section: "retries", key: "window", value: duration{&s.RetryWindow, time.Second, time.Hour}, preset: "10s"},
		{section: "process", key: "grace", value: duration{&s.Grace, time.Second, 10 * time.Minute}, preset: "6s"},
		{section: "process", key: "memory", value: size{&s.Memory, minMemoryLimit, maxMemory}, preset: "284MiB"},
		{section: "process", key: "log_level", value: choice{&s.LogLevel, []string{"debug", "info", "warn", "error"}}, preset: "info"},
	}
}

// maxLabel bounds a name that the platform gives, in bytes.
const maxLabel = 200

// label is a name that the platform gives: any text without blanks.
type label struct{ at *string }

func (v label) String() string { return *v.at }
func (v label) set(text string) error {
	*v.at = text
	if text == "" || len(text) > maxLabel || strings.ContainsAny(text, " \t") {
		return errors.Newf("1 to %d characters without blanks", maxLabel)
	}
	return nil
}
