package settings

import (
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Sidecar are the settings of a node on the users' platform. See its method
// fields for keys, ranges and defaults.
type Sidecar struct {
	// VM names the VM, Datacentre and Region its location, and Service the
	// service of its upstream.
	VM, Datacentre, Region, Service string
	// Clients, Link, Ready, Heartbeats and Metrics are listening addresses,
	// ip:port: for clients and the local upstream, for other nodes, for
	// readiness checks, for the upstream's heartbeats and for scrapers.
	Clients, Link, Ready, Heartbeats, Metrics string
	// Announce is the ip:port at which other nodes reach Link. The default is
	// Link.
	Announce string
	// Upstream is the ip:port of the upstream beside this node.
	Upstream string
	// Platform is the ip:port of the object API.
	Platform string
	// ApplyWithin is the time from when the object API accepts a configuration
	// until it is active here.
	ApplyWithin time.Duration
	// Grace bounds the duration of a graceful shutdown.
	Grace time.Duration
	// RetryRatio and RetrySlack bound the attempts on an upstream beyond the
	// first of each request, over all nodes: per RetryWindow, a fraction of the
	// requests plus a constant number, which may be a fraction.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// StrictRevoke says that a key which was taken away must be refused everywhere
	// within RevokeWithin, also at nodes that are cut off. Both are zero if the
	// deployment has no such bound.
	StrictRevoke bool
	RevokeWithin time.Duration
	// QuotaWindow is the time over which the limit of a workspace holds, over all
	// nodes; QuotaOverage is the fraction and QuotaSlack the number of requests in a
	// window by which it may be exceeded. All are zero if the deployment has none.
	QuotaWindow  time.Duration
	QuotaOverage float64
	QuotaSlack   float64
	// SlowStart limits the requests of an upstream that has started or recovered,
	// until its responses show that it takes more.
	SlowStart bool
	// UpstreamLoad says that the load which the upstream reports of itself counts in the
	// choice of upstreams.
	UpstreamLoad bool
	// Memory is the memory that the VM provides for the process, in bytes.
	Memory int64
	// LogLevel is debug, info, warn or error.
	LogLevel string
}

const (
	minApplyWithin = 200 * time.Millisecond
	maxRetrySlack  = 1_000_000
	maxQuotaSlack  = 1_000_000
	maxMemory      = 1 << 40
)

// LoadSidecar reads and parses the file at path.
func LoadSidecar(path string) (*Sidecar, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return ParseSidecar(path, text)
}

// ParseSidecar parses settings from text; name is the name of the file in
// errors. The error lists all problems, one per line.
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

// Print writes the effective settings as an INI file.
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
		{section: "upstream", key: "slow_start", value: toggle{&s.SlowStart}, defaultText: "false"},
		{section: "upstream", key: "reported_load", value: toggle{&s.UpstreamLoad}, defaultText: "false"},
		{section: "platform", key: "address", value: address{&s.Platform}, required: true},
		{section: "configuration", key: "apply_within", value: duration{&s.ApplyWithin, minApplyWithin, time.Hour}, defaultText: "2s"},
		{section: "retries", key: "ratio", value: ratio{&s.RetryRatio}, defaultText: "0.2"},
		{section: "retries", key: "slack", value: amount{&s.RetrySlack, 0, maxRetrySlack}, defaultText: "50"},
		{section: "retries", key: "window", value: duration{&s.RetryWindow, time.Second, time.Hour}, defaultText: "10s"},
		{section: "workspaces", key: "strict_revoke", value: toggle{&s.StrictRevoke}, defaultText: "false"},
		{section: "workspaces", key: "revoke_within", value: duration{&s.RevokeWithin, 0, time.Hour}, defaultText: "0s"},
		{section: "quotas", key: "window", value: duration{&s.QuotaWindow, 0, time.Hour}, defaultText: "0s"},
		{section: "quotas", key: "overage", value: amount{&s.QuotaOverage, 0, 1}, defaultText: "0"},
		{section: "quotas", key: "slack", value: amount{&s.QuotaSlack, 0, maxQuotaSlack}, defaultText: "0"},
		{section: "process", key: "grace", value: duration{&s.Grace, time.Second, 10 * time.Minute}, defaultText: "6s"},
		{section: "process", key: "memory", value: size{&s.Memory, minMemoryLimit, maxMemory}, defaultText: "284MiB"},
		{section: "process", key: "log_level", value: choice{&s.LogLevel, []string{"debug", "info", "warn", "error"}}, defaultText: "info"},
	}
}

// toggle is true or false.
type toggle struct{ at *bool }

func (v toggle) String() string { return strconv.FormatBool(*v.at) }
func (v toggle) set(text string) error {
	on, err := strconv.ParseBool(text)
	*v.at = on
	if err != nil {
		return errors.New("true or false")
	}
	return nil
}

// maxLabel bounds the length of a label, in bytes.
const maxLabel = 200

// label is a name assigned by the platform: any text without blanks.
type label struct{ at *string }

func (v label) String() string { return *v.at }
func (v label) set(text string) error {
	*v.at = text
	if text == "" || len(text) > maxLabel || strings.ContainsAny(text, " \t") {
		return errors.Newf("1 to %d characters without blanks", maxLabel)
	}
	return nil
}
