package settings

import (
	"math"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

const (
	maxSlots          = 100_000
	maxConnections    = 100_000
	maxTimelineEvents = 1 << 20
	minMemoryLimit    = 16 << 20
	maxMemoryLimit    = 4 << 30
)

// value is a typed setting.
type value interface {
	// set parses text. An error describes what is allowed.
	set(text string) error
	// String returns the value in the syntax of a settings file.
	String() string
}

// field maps a key of a section to a setting.
type field struct {
	section, key string
	value        value
	// defaultText is the value of a field that is absent from the file; required
	// fields have none.
	defaultText string
	required    bool
}

func (f field) read(file *ini.File) error {
	text := f.defaultText
	section, err := file.GetSection(f.section)
	if err == nil && section.HasKey(f.key) {
		text = section.Key(f.key).String()
	} else if f.required {
		return errors.Newf("[%s] %s: missing", f.section, f.key)
	}
	if err := f.value.set(text); err != nil {
		return errors.Newf("[%s] %s = %q: want %v", f.section, f.key, text, err)
	}
	return nil
}

// fields returns all keys with their types, ranges and defaults.
func (s *Settings) fields() []field {
	return []field{
		{section: "vm", key: "name", value: name{&s.VM}, required: true},
		{section: "vm", key: "datacentre", value: name{&s.Datacentre}, required: true},
		{section: "vm", key: "region", value: name{&s.Region}, required: true},
		{section: "vm", key: "service", value: name{&s.Service}, required: true},
		{section: "addresses", key: "front", value: address{&s.Front}, required: true},
		{section: "addresses", key: "link", value: address{&s.Link}, required: true},
		{section: "addresses", key: "admin", value: address{&s.Admin}, required: true},
		{section: "upstream", key: "address", value: address{&s.Upstream}, required: true},
		{section: "upstream", key: "slots", value: number{&s.Slots, 1, maxSlots}, required: true},
		{section: "upstream", key: "health_path", value: path{&s.HealthPath}},
		{section: "upstream", key: "health_every", value: duration{&s.HealthEvery, 100 * time.Millisecond, time.Minute}, defaultText: "1s"},
		{section: "upstream", key: "connections", value: number{&s.Connections, 1, maxConnections}, defaultText: "256"},
		{section: "calls", key: "services", value: list{&s.Calls, checkName}},
		{section: "platform", key: "addresses", value: list{&s.Platform, checkAddress}},
		{section: "peers", key: "addresses", value: list{&s.Peers, checkAddress}},
		{section: "policy", key: "admission", value: choice{&s.Admission, []string{"adaptive", "none", "coin"}}, defaultText: "adaptive"},
		{section: "policy", key: "retries", value: choice{&s.Retries, []string{"chain", "per-hop"}}, defaultText: "chain"},
		{section: "process", key: "grace", value: duration{&s.Grace, time.Second, 10 * time.Minute}, defaultText: "30s"},
		{section: "process", key: "memory_limit", value: size{&s.MemoryLimit, minMemoryLimit, maxMemoryLimit}, defaultText: "60MiB"},
		{section: "process", key: "log_level", value: choice{&s.LogLevel, []string{"debug", "info", "warn", "error"}}, defaultText: "info"},
		{section: "process", key: "timeline_events", value: number{&s.TimelineEvents, 16, maxTimelineEvents}, defaultText: "4096"},
	}
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

func checkName(text string) error {
	if !namePattern.MatchString(text) {
		return errors.New("1 to 63 of a-z, 0-9, '.', '_', '-', beginning with a letter or digit")
	}
	return nil
}

func checkAddress(text string) error {
	if _, err := netip.ParseAddrPort(text); err != nil {
		return errors.New("an IP number and a port, such as 127.0.0.1:7001; host names are not looked up")
	}
	return nil
}

type name struct{ at *string }

func (v name) String() string { return *v.at }
func (v name) set(text string) error {
	*v.at = text
	return checkName(text)
}

type address struct{ at *string }

func (v address) String() string { return *v.at }
func (v address) set(text string) error {
	*v.at = text
	return checkAddress(text)
}

// optional is an address that may be empty.
type optional struct{ address }

func (v optional) set(text string) error {
	if text == "" {
		return nil
	}
	return v.address.set(text)
}

type path struct{ at *string }

func (v path) String() string { return *v.at }
func (v path) set(text string) error {
	*v.at = text
	if text != "" && !strings.HasPrefix(text, "/") {
		return errors.New("a path that begins with /, or nothing")
	}
	return nil
}

// number is a whole number from min to max.
type number struct {
	at       *int
	min, max int
}

func (v number) String() string { return strconv.Itoa(*v.at) }
func (v number) set(text string) error {
	n, err := strconv.Atoi(text)
	if err != nil || n < v.min || n > v.max {
		return errors.Newf("a whole number from %d to %d", v.min, v.max)
	}
	*v.at = n
	return nil
}

// duration is a duration from min to max.
type duration struct {
	at       *time.Duration
	min, max time.Duration
}

func (v duration) String() string { return v.at.String() }
func (v duration) set(text string) error {
	d, err := parseDuration(text)
	if err != nil || d < v.min || d > v.max {
		return errors.Newf("a time with its unit (ms, s, m) from %v to %v", v.min, v.max)
	}
	*v.at = d
	return nil
}

// scaledPattern matches a number with one unit of time.
var scaledPattern = regexp.MustCompile(`^([0-9.]+(?:[eE][+-]?[0-9]+)?)(ns|us|ms|s|m|h)$`)

// parseDuration is time.ParseDuration that also takes an exponent in a number with one
// unit, such as 1.5e3ms.
func parseDuration(text string) (time.Duration, error) {
	parts := scaledPattern.FindStringSubmatch(text)
	if parts == nil {
		return time.ParseDuration(text)
	}
	unit, err := time.ParseDuration("1" + parts[2])
	if err != nil {
		return 0, err
	}
	count, err := strconv.ParseFloat(parts[1], 64)
	if err != nil {
		return 0, err
	}
	d := math.Round(count * float64(unit))
	if d >= math.MaxInt64 {
		return 0, errors.Newf("%q is out of range", text)
	}
	return time.Duration(d), nil
}

// amount is a number from min to max, fractions included.
type amount struct {
	at       *float64
	min, max float64
}

func (v amount) String() string { return strconv.FormatFloat(*v.at, 'g', -1, 64) }
func (v amount) set(text string) error {
	a, err := strconv.ParseFloat(text, 64)
	if err != nil || !(a >= v.min && a <= v.max) {
		return errors.Newf("a number from %g to %g", v.min, v.max)
	}
	*v.at = a
	return nil
}

// ratio is a number from 0 to 1.
type ratio struct{ at *float64 }

func (v ratio) String() string { return strconv.FormatFloat(*v.at, 'g', -1, 64) }
func (v ratio) set(text string) error {
	r, err := strconv.ParseFloat(text, 64)
	if err != nil || !(r >= 0 && r <= 1) {
		return errors.New("a number from 0 to 1")
	}
	*v.at = r
	return nil
}

// size is a number of bytes, written in MiB, fractions included.
type size struct {
	at       *int64
	min, max int64
}

const mebibyte = 1 << 20

func (v size) String() string {
	return strconv.FormatFloat(float64(*v.at)/mebibyte, 'f', -1, 64) + "MiB"
}
func (v size) set(text string) error {
	digits, ok := strings.CutSuffix(text, "MiB")
	n, err := strconv.ParseFloat(strings.TrimSpace(digits), 64)
	bytes := math.Round(n * mebibyte)
	if !ok || err != nil || !(bytes >= float64(v.min) && bytes <= float64(v.max)) {
		return errors.Newf("a size in MiB from %dMiB to %dMiB", v.min/mebibyte, v.max/mebibyte)
	}
	*v.at = int64(bytes)
	return nil
}

// choice is one of the allowed texts.
type choice struct {
	at      *string
	allowed []string
}

func (v choice) String() string { return *v.at }
func (v choice) set(text string) error {
	*v.at = text
	if !slices.Contains(v.allowed, text) {
		return errors.Newf("one of %s", strings.Join(v.allowed, ", "))
	}
	return nil
}

// list is a comma-separated list whose items satisfy check.
type list struct {
	at    *[]string
	check func(string) error
}

func (v list) String() string { return strings.Join(*v.at, ", ") }
func (v list) set(text string) error {
	*v.at = nil
	for _, part := range strings.Split(text, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		if err := v.check(part); err != nil {
			return errors.Newf("a comma-separated list, each %v", err)
		}
		*v.at = append(*v.at, part)
	}
	return nil
}
