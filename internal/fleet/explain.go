package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Standing says whether an upstream would be chosen for a request, and why.
type Standing string

// The standings. Of those that can be chosen, one is Lowest or none is.
const (
	// Lowest: it has the lowest cost apart from the random part.
	Lowest Standing = "lowest cost"
	// Possible: the random part of the costs may make it the lowest.
	Possible Standing = "within the random part of the lowest cost"
	// Costlier: it costs more, whatever the random part.
	Costlier Standing = "costs more"
	// Full: others have room and it has none.
	Full Standing = "full, others have room"
	// PassedOver: it names a limit, and others name none.
	PassedOver Standing = "passed over: names a limit, others do not"
	// Excluded: the request was sent there already, or may run at another one only.
	Excluded Standing = "excluded"
	// NotLinked, NotReady, Draining and Leaving: it takes no requests.
	NotLinked Standing = "no link to its node"
	NotReady  Standing = "not ready"
	Draining  Standing = "takes no requests now"
	Leaving   Standing = "leaves"
)

// Evaluation is an upstream of a service as it stands for one request.
type Evaluation struct {
	Upstream
	Standing Standing
	// Cost is valid if the upstream can take requests: the expected latency in seconds
	// times the factors that apply, or, if Full, a measure of its load alone.
	Cost float64
	Full bool
	// Expected is the expected latency, Outstanding the requests of this node there.
	Expected    time.Duration
	Outstanding int
}

// Explain returns all known upstreams of the service of a request, the ones that Pick
// would prefer first. It changes nothing.
func (f *Fleet) Explain(now time.Time, q Query) []Evaluation {
	f.mu.Lock()
	defer f.mu.Unlock()
	service, unlimited := f.kindLatency(now, q), f.hasUnlimited(q)
	var list, others []Evaluation
	for _, e := range f.byService[q.Service] {
		c := Evaluation{Upstream: e.Upstream, Outstanding: e.outstanding}
		c.Standing = e.obstacle(now, q, unlimited)
		if c.Standing != "" {
			others = append(others, c)
			continue
		}
		price := f.cost(now, e, q, service)
		c.Cost, c.Full, c.Expected = price.value, price.full, e.expectedLatency(now, q.Kind, service)
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b Evaluation) int {
		if a.Full != b.Full {
			if a.Full {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(a.Cost, b.Cost), strings.Compare(a.VM, b.VM))
	})
	for i := range list {
		list[i].Standing = standing(list[0], list[i], i == 0)
	}
	slices.SortFunc(others, func(a, b Evaluation) int { return strings.Compare(a.VM, b.VM) })
	return append(list, others...)
}

// obstacle returns why an upstream can't be chosen, or the empty string if it can.
func (e *entry) obstacle(now time.Time, q Query, unlimited bool) Standing {
	switch {
	case !e.linked:
		return NotLinked
	case !e.Ready:
		return NotReady
	case e.heard().Leaving:
		return Leaving
	case e.load.Draining:
		return Draining
	case !e.isCandidate(&q):
		return Excluded
	case unlimited && e.passedOver(now, &q):
		return PassedOver
	}
	return ""
}

// standing compares an upstream that can be chosen with the one that costs least.
func standing(lowest, c Evaluation, isLowest bool) Standing {
	switch {
	case isLowest:
		return Lowest
	case c.Full && !lowest.Full:
		return Full
	case c.Cost <= lowest.Cost*(1+jitter):
		return Possible
	}
	return Costlier
}
