package load

import (
	"time"

	"github.com/cockroachdb/errors"

	"heathershed/internal/contract"
)

// Route is one request kind as callers and upstreams of this package handle it.
// Limits are in the catalogue; a Route describes the work of a request.
type Route struct {
	// Kind is the name in the catalogue, Service the service that runs it.
	Kind, Service string
	// Method and Path are those in the catalogue. Path is a prefix if it ends
	// in "/", otherwise it must match exactly.
	Method, Path string
	Class        contract.Class
	// ServiceTime is the mean time in a slot, without nested calls.
	ServiceTime time.Duration
	// AnswerBytes is the size of the answer's body.
	AnswerBytes int
	// NestedCalls are the kinds that the upstream calls, concurrently, while it
	// holds its slot. The answer is complete only if all of their answers are.
	NestedCalls []string
}

// IsOrder reports whether a request of the route runs at most once.
func (r Route) IsOrder() bool { return r.Class == contract.ClassOrder }

// Pool is the upstreams of one service.
type Pool struct {
	Service string
	// Targets is the number of upstreams, spread over the data centres.
	Targets int
	// Slots is the number of requests that one upstream runs concurrently.
	Slots int
}

// Stream is one kind of caller.
type Stream struct {
	Kind string
	// Rate is the mean number of arrivals a second.
	Rate float64
	// Timeout is the timeout of each attempt.
	Timeout time.Duration
	// Attempts bounds a caller's own attempts outside a surge. A caller with 1
	// never retries.
	Attempts int
	// DuplicateShare is the fraction of orders that are sent twice
	// concurrently, with the same id, to two nodes.
	DuplicateShare float64
}

// Profile is a deployment: its services, call graph and callers.
type Profile struct {
	Name        string
	Region      string
	Datacentres []string
	Pools       []Pool
	Routes      []Route
	Streams     []Stream
	// DeepService is the service at the bottom of the call graph that the
	// default trigger slows down.
	DeepService string
	// Probe is the kind that is used to measure the added latency.
	Probe string
}

// Route returns the route of the kind.
func (p *Profile) Route(kind string) (Route, bool) {
	for _, r := range p.Routes {
		if r.Kind == kind {
			return r, true
		}
	}
	return Route{}, false
}

// Calls returns the services that the service's upstreams call.
func (p *Profile) Calls(service string) []string {
	var out []string
	seen := make(map[string]bool)
	for _, r := range p.Routes {
		if r.Service != service {
			continue
		}
		for _, nested := range r.NestedCalls {
			if to, ok := p.Route(nested); ok && !seen[to.Service] {
				seen[to.Service] = true
				out = append(out, to.Service)
			}
		}
	}
	return out
}

// ProfileByName returns the profile filao or teranga.
func ProfileByName(name string) (*Profile, error) {
	switch name {
	case "filao":
		return Filao(), nil
	case "teranga":
		return Teranga(), nil
	default:
		return nil, errors.Newf("profile %q: want filao or teranga", name)
	}
}
