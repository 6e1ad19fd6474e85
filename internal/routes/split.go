package routes

import "sync"

// maxTracked bounds the routes for which a Splitter keeps state.
const maxTracked = 4096

// Splitter distributes the requests of each route over its services by smooth
// weighted round robin, so that the shares hold over short periods too. The zero
// Splitter is ready to use. It is safe for concurrent use.
type Splitter struct {
	mu     sync.Mutex
	credit map[string][]int // per service of a route, by the route's name
}

// Next returns the service for the next request of the route.
func (s *Splitter) Next(r *Route) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.credit == nil || len(s.credit) >= maxTracked {
		s.credit = make(map[string][]int)
	}
	credit := s.credit[r.Name]
	if len(credit) != len(r.Services) {
		credit = make([]int, len(r.Services))
		s.credit[r.Name] = credit
	}
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
