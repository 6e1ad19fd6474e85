// Package routes is the catalogue of a deployment whose operators describe
// request kinds by host and path: which service runs a request, how often it
// may be tried, how long it may take and how urgent it is.
//
// A Table is immutable once built and safe for concurrent use.
package routes

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// WeightedService is a service that gets a share of a route's requests.
type WeightedService struct {
	Service string
	// Weight is relative to the weights of the other parts; at least 0.
	Weight int
}

// Route is one request kind.
type Route struct {
	Name string
	// Host is matched without regard to case, Prefix by the longest match.
	Host, Prefix string
	// Services are the services that run the requests, at least one with a weight.
	Services []WeightedService
	// Idempotent requests may run more than once; others are orders.
	Idempotent bool
	// Timeout bounds the time until the final answer; 0 is without bound.
	Timeout time.Duration
	// Objective is the latency within which an answer has its full worth; 0 is
	// without one.
	Objective time.Duration
	// Rank orders requests under overload; 0 is the most urgent.
	Rank int
	// Attempts bounds the upstreams that one request is sent to, at least 1.
	Attempts int
}

// Service is what the operators say about one service.
type Service struct {
	Name string
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConnections bounds the connections to one upstream; 0 is unknown.
	MaxConnections int
}

// Limits bound what a client may send and how long it may take.
type Limits struct {
	HeaderBytes, BodyBytes int
	HeaderTimeout          time.Duration
	IdleTimeout            time.Duration
}

// Table is one version of all routes, services and limits.
type Table struct {
	Version  uint64
	Limits   Limits
	routes   int
	services map[string]Service
	hosts    map[string][]*Route // longest prefix first
}

// New checks and builds a table. The error names the entry that is wrong.
func New(version uint64, all []Route, services []Service, limits Limits) (*Table, error) {
	t := &Table{
		Version:  version,
		Limits:   limits,
		routes:   len(all),
		services: make(map[string]Service, len(services)),
		hosts:    make(map[string][]*Route),
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	for i := range all {
		r := &all[i]
		if err := check(r); err != nil {
			return nil, errors.Wrapf(err, "route %q", r.Name)
		}
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t, nil
}

func check(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") {
		return errors.Newf("path prefix %q: want it to begin with /", r.Prefix)
	}
	total := 0
	for _, p := range r.Services {
		if p.Service == "" || p.Weight < 0 {
			return errors.Newf("part %q with weight %d: want a service and a weight of 0 or more", p.Service, p.Weight)
		}
		total += p.Weight
	}
	if total < 1 {
		return errors.New("no service has a weight")
	}
	if r.Attempts < 1 {
		return errors.Newf("attempts %d: want 1 or more", r.Attempts)
	}
	if r.Timeout < 0 || r.Objective < 0 {
		return errors.New("a time is negative")
	}
	return nil
}

// Match returns the route of the host, a port in it ignored, with the longest
// prefix that begins the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns what is known of a service; the zero Service where nothing.
func (t *Table) Service(name string) Service { return t.services[name] }

// NumRoutes is the number of routes.
func (t *Table) NumRoutes() int { return t.routes }
