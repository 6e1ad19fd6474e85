package contract

import "time"

// Kind is one entry of the operators' catalogue: a kind of request to a service.
// A Kind must not be modified after its catalogue is published.
type Kind struct {
	// Name is unique in the catalogue, for example "span-history".
	Name string
	// Owner is the team that is responsible for the kind. Shares are enforced per
	// owner.
	Owner string
	// Service is the service whose upstreams run the kind.
	Service string
	Class   Class
	// Idempotent is false for orders, which run at most once.
	Idempotent bool
	Method     string
	// Path is an exact path, or a prefix if it ends in "/*".
	Path string
	// Timeout bounds the whole call unless the caller gives a shorter one.
	Timeout time.Duration
	// Retries bounds the retries of a root request over its whole call tree, the
	// caller's own retries included.
	Retries int
	// MaxRequest and MaxAnswer bound the bodies of request and answer, in bytes.
	MaxRequest, MaxAnswer int
	// Rate bounds the calls per second over all upstreams of the service. 0 means
	// no limit.
	Rate float64
	// Concurrency bounds the calls in flight at one upstream. 0 means no limit.
	Concurrency int
	// Share, in (0, 1], bounds the share of an upstream's slots that the kind may
	// hold while others want them. 0 counts as 1.
	Share float64
}

// IsOrder reports whether requests of this kind are orders, which run at most
// once.
func (k *Kind) IsOrder() bool { return !k.Idempotent }
