package routes

import "sync"

// maxSplits bounds the routes whose shares are remembered.
const maxSplits = 4096

// Splitter deals the requests of each route over its parts by weight: smooth
// weighted round robin, so that the shares hold over short times too. The zero
// Splitter is ready; it is safe for concurrent use.
type Splitter struct {
	mu     sync.Mutex
	credit map[string][]int
}

// Next returns the service for the next request of the route.
func (s *Splitter) Next(r *Route) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.credit == nil || len(s.credit) >= maxSplits {
		s.credit = make(map[string][]int)
	}
	credit := s.credit[r.Name]
	if len(credit) != len(r.Services) {
		credit = make([]int, len(r.Services))
		s.credit[r.Name] = credit
	}
	best, total := 0, 0
	for i, p := range r.Services {
		credit[i] += p.Weight
		total += p.Weight
		if credit[i] > credit[best] {
			best = i
		}
	}
	credit[best] -= total
	return r.Services[best].Service
}
