// Package routes implements the route table of a deployment whose operators
// describe request kinds by host and path: which service runs a request, how
// many attempts are allowed, how long it may take and how urgent it is.
//
// A Table is immutable and safe for concurrent use.
package routes

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"heathershed/internal/workspace"
)

// WeightedService is a service that receives a share of a route's requests.
type WeightedService struct {
	Service string
	// Weight is relative to the weights of the route's other services; at least
	// 0.
	Weight int
}

// Route is one request kind.
type Route struct {
	Name string
	// Host is matched case-insensitively. Of several matching routes the one with
	// the longest Prefix applies.
	Host, Prefix string
	// Services lists the services that run the requests; at least one has a
	// weight above 0, unless the route is unavailable.
	Services []WeightedService
	// Unavailable reports that the entry of the route does not say which service
	// runs its requests. They must not fall to a route with a shorter prefix.
	Unavailable bool
	// Public reports whether requests without a key are served, see package
	// workspace.
	Public bool
	// Idempotent reports whether requests may run more than once. Requests of
	// other routes are orders.
	Idempotent bool
	// Timeout bounds the time until the final answer; 0 means no bound.
	Timeout time.Duration
	// Objective is the latency that operators aim at; 0 means none. It is for
	// reports alone: no request is held, refused or ordered by it.
	Objective time.Duration
	// Rank orders requests under overload; 0 is the most urgent.
	Rank int
	// Attempts bounds the upstreams that one request is sent to; at least 1.
	Attempts int
}

// HasPath reports whether the route has a host and a valid prefix.
func (r *Route) HasPath() bool { return r.Host != "" && strings.HasPrefix(r.Prefix, "/") }

// Service is the configuration of one service.
type Service struct {
	Name string
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConnections bounds the connections to one upstream; 0 if unknown.
	MaxConnections int
}

// Limits bound the size of a client's request in bytes, the time to receive its
// header and the time for which a connection may be idle.
type Limits struct {
	HeaderBytes, BodyBytes int
	HeaderTimeout          time.Duration
	IdleTimeout            time.Duration
}

// Table is one version of the routes, services, limits and workspaces.
type Table struct {
	Version uint64
	Limits  Limits
	// Workspaces is nil if the configuration has none; requests need no key then.
	Workspaces *workspace.Table
	routes     int
	services   map[string]Service
	targets    []string            // the services that run requests, sorted
	hosts      map[string][]*Route // by lower-case host, longest prefix first
}

// New builds a table. Each error names an invalid route: one with a valid host
// and prefix is kept as unavailable, any other is left out.
func New(version uint64, all []Route, services []Service, limits Limits) (*Table, []error) {
	t := &Table{
		Version:  version,
		Limits:   limits,
		services: make(map[string]Service, len(services)),
		hosts:    make(map[string][]*Route),
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	var invalid []error
	for i := range all {
		if err := t.add(&all[i]); err != nil {
			invalid = append(invalid, errors.Wrapf(err, "route %.80q", all[i].Name))
		}
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	t.targets = t.findTargets()
	return t, invalid
}

// add adds a route as far as it is valid.
func (t *Table) add(r *Route) error {
	if !r.HasPath() {
		return errors.Newf("host %.80q, path prefix %.80q: must have a host and begin with /", r.Host, r.Prefix)
	}
	var invalid error
	if !r.Unavailable {
		invalid = validate(r)
		r.Unavailable = invalid != nil
	}
	host := strings.ToLower(r.Host)
	t.hosts[host] = append(t.hosts[host], r)
	t.routes++
	return invalid
}

func validate(r *Route) error {
	total := 0
	for _, s := range r.Services {
		if s.Service == "" || s.Weight < 0 {
			return errors.Newf("service %q with weight %d: must have a name and a weight of 0 or more", s.Service, s.Weight)
		}
		total += s.Weight
	}
	if total < 1 {
		return errors.New("no service has a weight above 0")
	}
	if r.Attempts < 1 {
		return errors.Newf("attempts %d: must be 1 or more", r.Attempts)
	}
	if r.Timeout < 0 || r.Objective < 0 {
		return errors.New("timeout or objective is negative")
	}
	return nil
}

// Match returns the route of the host with the longest prefix of the path. A
// port in host is ignored.
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

// Service returns the configuration of a service, or the zero Service if there
// is none.
func (t *Table) Service(name string) Service { return t.services[name] }

// NumRoutes returns the number of routes.
func (t *Table) NumRoutes() int { return t.routes }

// NumWorkspaces returns the number of workspaces.
func (t *Table) NumWorkspaces() int {
	if t.Workspaces == nil {
		return 0
	}
	return t.Workspaces.Len()
}

// Targets returns the services to which routes send requests, sorted. The caller
// must not change the slice.
func (t *Table) Targets() []string { return t.targets }

func (t *Table) findTargets() []string {
	var names []string
	for _, list := range t.hosts {
		for _, r := range list {
			if r.Unavailable {
				continue
			}
			for _, s := range r.Services {
				if s.Weight > 0 {
					names = append(names, s.Service)
				}
			}
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
