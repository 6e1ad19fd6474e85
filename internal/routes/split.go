package routes

import (
	"slices"
	"sync"
)

// maxTracked bounds the routes for which a Splitter keeps state.
const maxTracked = 4096

// Splitter distributes the requests of each route over its services by smooth
// weighted round robin, so that the shares hold over short periods too. The zero
// Splitter is ready to use. It is safe for concurrent use.
type Splitter struct {
	mu     sync.Mutex
	routes map[string]*split // by the route's name
}

// split is the state of one route.
type split struct {
	services []WeightedService
	// credit is, for each service, its share of the requests so far less those
	// that it got, times the sum of the weights.
	credit []int
}

// Next returns the service for the next request of the route. Requests that were
// distributed by other services or weights do not count.
func (s *Splitter) Next(r *Route) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	credit := s.creditOf(r)
	best, total := 0, 0
	for i, ws := range r.Services {
		credit[i] += ws.Weight
		total += ws.Weight
		if credit[i] > credit[best] {
			best = i
		}
	}
	credit[best] -= total
	return r.Services[best].Service
}

// creditOf returns the credit of a route's services. The caller holds the lock.
func (s *Splitter) creditOf(r *Route) []int {
	known := s.routes[r.Name]
	if known != nil && slices.Equal(known.services, r.Services) {
		return known.credit
	}
	if s.routes == nil || len(s.routes) >= maxTracked {
		s.routes = make(map[string]*split)
	}
	known = &split{services: r.Services, credit: make([]int, len(r.Services))}
	s.routes[r.Name] = known
	return known.credit
}
