package catalogue

import (
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"heathershed/internal/contract"
)

// Bounds and defaults of the values of an entry.
const (
	// MaxName bounds the names of entries, owners and services and edit ids, in
	// bytes.
	MaxName = 64
	// MaxPath bounds the path, in bytes.
	MaxPath = 256
	// MinTimeout and MaxTimeout bound the timeout.
	MinTimeout = time.Millisecond
	MaxTimeout = time.Minute
	// MaxRetries bounds the retries of a root request over its whole call tree.
	MaxRetries = 10
	// MaxBody bounds max_request and max_answer, in bytes.
	MaxBody = 4 << 20
	// DefaultBody is the value of max_request and max_answer in an entry that
	// leaves them out, in bytes.
	DefaultBody = 1 << 20
	// MaxRate bounds the rate, in calls per second.
	MaxRate = 1e6
	// MaxConcurrency bounds the calls in flight at one upstream.
	MaxConcurrency = 100_000
)

// field describes one key of an entry.
type field struct {
	name     string
	required bool
	parse    func(k *contract.Kind, value string) error
	format   func(k *contract.Kind) string
}

// fields lists the keys of an entry in the order of the text format.
var fields = []field{
	{"owner", true,
		func(k *contract.Kind, v string) error { return parseName(&k.Owner, v) },
		func(k *contract.Kind) string { return k.Owner }},
	{"service", true,
		func(k *contract.Kind, v string) error { return parseName(&k.Service, v) },
		func(k *contract.Kind) string { return k.Service }},
	{"class", true, parseClass, func(k *contract.Kind) string { return k.Class.String() }},
	{"idempotent", true, parseIdempotent,
		func(k *contract.Kind) string { return strconv.FormatBool(k.Idempotent) }},
	{"method", true, parseMethod, func(k *contract.Kind) string { return k.Method }},
	{"path", true, parsePath, func(k *contract.Kind) string { return k.Path }},
	{"timeout", true, parseTimeout, func(k *contract.Kind) string { return k.Timeout.String() }},
	{"retries", false,
		func(k *contract.Kind, v string) error { return parseCount(&k.Retries, v, MaxRetries) },
		func(k *contract.Kind) string { return strconv.Itoa(k.Retries) }},
	{"max_request", false,
		func(k *contract.Kind, v string) error { return parseBytes(&k.MaxRequest, v) },
		func(k *contract.Kind) string { return formatBytes(k.MaxRequest) }},
	{"max_answer", false,
		func(k *contract.Kind, v string) error { return parseBytes(&k.MaxAnswer, v) },
		func(k *contract.Kind) string { return formatBytes(k.MaxAnswer) }},
	{"rate", false, parseRate, func(k *contract.Kind) string { return formatFloat(k.Rate) }},
	{"concurrency", false,
		func(k *contract.Kind, v string) error { return parseCount(&k.Concurrency, v, MaxConcurrency) },
		func(k *contract.Kind) string { return strconv.Itoa(k.Concurrency) }},
	{"share", false, parseShare, func(k *contract.Kind) string { return formatFloat(k.Share) }},
}

// defaultKind returns a kind with the default values of the optional keys.
func defaultKind(name string) *contract.Kind {
	return &contract.Kind{Name: name, MaxRequest: DefaultBody, MaxAnswer: DefaultBody, Share: 1}
}

func fieldNames() string {
	names := make([]string, len(fields))
	for i, f := range fields {
		names[i] = f.name
	}
	return strings.Join(names, ", ")
}

var namePattern = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

func parseName(to *string, v string) error {
	if len(v) > MaxName || !namePattern.MatchString(v) {
		return errors.Newf("%.80q: want lower-case letters, digits and single dashes, at most %d bytes", v, MaxName)
	}
	*to = v
	return nil
}

func parseClass(k *contract.Kind, v string) (err error) {
	k.Class, err = contract.ParseClass(v)
	return err
}

func parseIdempotent(k *contract.Kind, v string) error {
	if v != "true" && v != "false" {
		return errors.Newf("%.80q: want true or false", v)
	}
	k.Idempotent = v == "true"
	return nil
}

func parseMethod(k *contract.Kind, v string) error {
	switch v {
	case "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE":
		k.Method = v
		return nil
	}
	return errors.Newf("%.80q: want GET, HEAD, POST, PUT, PATCH or DELETE", v)
}

var pathPattern = regexp.MustCompile(`^(/[A-Za-z0-9._~!$&'()+,=:@%-]+)*/?$`)

// parsePath accepts normalised paths only, because nodes normalise the paths
// that callers send before they match them.
func parsePath(k *contract.Kind, v string) error {
	plain := strings.TrimSuffix(v, "*")
	if plain != v && !strings.HasSuffix(plain, "/") {
		return errors.Newf("%.80q: a prefix ends in \"/*\"", v)
	}
	if len(v) > MaxPath || plain == "" || !pathPattern.MatchString(plain) {
		return errors.Newf("%.80q: want an absolute path, or a prefix that ends in \"/*\", without query, at most %d bytes", v, MaxPath)
	}
	for _, segment := range strings.Split(plain, "/") {
		if segment == "." || segment == ".." {
			return errors.Newf("%.80q: \".\" and \"..\" are not allowed", v)
		}
	}
	k.Path = v
	return nil
}

func parseTimeout(k *contract.Kind, v string) error {
	d, err := time.ParseDuration(v)
	if err != nil {
		return errors.Newf("%.80q: want a duration with its unit, such as 2s or 250ms", v)
	}
	if d < MinTimeout || d > MaxTimeout {
		return errors.Newf("%s: want %s to %s", v, MinTimeout, MaxTimeout)
	}
	k.Timeout = d
	return nil
}

func parseCount(to *int, v string, limit int) error {
	n, err := strconv.Atoi(v)
	if err != nil || n < 0 || n > limit {
		return errors.Newf("%.80q: want a whole number from 0 to %d", v, limit)
	}
	*to = n
	return nil
}

var byteUnits = []struct {
	suffix string
	size   int
}{{"MiB", 1 << 20}, {"KiB", 1 << 10}, {"", 1}}

func parseBytes(to *int, v string) error {
	for _, unit := range byteUnits {
		number, ok := strings.CutSuffix(v, unit.suffix)
		if !ok {
			continue
		}
		n, err := strconv.Atoi(strings.TrimSpace(number))
		if err != nil || n < 0 || n > MaxBody/unit.size {
			break
		}
		*to = n * unit.size
		return nil
	}
	return errors.Newf("%.80q: want bytes, or a number with KiB or MiB, from 0 to %s", v, formatBytes(MaxBody))
}

func formatBytes(n int) string {
	for _, unit := range byteUnits {
		if n != 0 && n%unit.size == 0 {
			return strconv.Itoa(n/unit.size) + unit.suffix
		}
	}
	return strconv.Itoa(n)
}

func parseRate(k *contract.Kind, v string) error {
	rate, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(rate) || rate < 0 || rate > MaxRate {
		return errors.Newf("%.80q: want calls a second from 0 (no bound) to %g, without unit", v, MaxRate)
	}
	k.Rate = rate
	return nil
}

func parseShare(k *contract.Kind, v string) error {
	share, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(share) || share <= 0 || share > 1 {
		return errors.Newf("%.80q: want a part of the slots, over 0 and up to 1", v)
	}
	k.Share = share
	return nil
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }
