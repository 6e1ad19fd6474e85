// Package quota implements the limits of workspaces that hold over all nodes together.
//
// Each node owns an equal share of every limit and may create tokens at that rate. It
// delegates its share for a short time to the owner of the workspace, one of a few
// coordinators that all nodes rank alike. An owner creates tokens for the shares that
// are delegated to it and grants them to the nodes that ask. A token may be spent once,
// by anyone, within a fixed time after its creation. At no time can more be created than
// the limit allows, whatever nodes believe of one another, and no token outlives its
// time, so the requests in any window are bounded; see docs/design/quotas.md.
//
// A Node has no clock, network or goroutines. All times are those of one clock that
// never jumps and that counts suspensions.
package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// holdShare and poolShare divide the tolerance of a limit: tokens may wait at a
	// node for the first part of it, and at an owner for the second. The rest covers
	// the drift of clocks, errors of measured delays and differing views of the number
	// of nodes.
	holdShare = 0.4
	poolShare = 0.5
	// minHold bounds from below how long a node may hold a token. An answer takes a
	// round trip to arrive; without this, nodes could not spend any token of a limit
	// without tolerance.
	minHold = 20 * time.Millisecond
	// minAmount replaces a rate or a cap of zero in divisions.
	minAmount = 1e-9
)

// Config holds what is common to all limits: in any window, the requests of a workspace
// must not exceed (rate x Window + burst) x (1 + Overage) + Slack.
type Config struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Enabled reports whether the deployment has limits.
func (c Config) Enabled() bool { return c.Window > 0 }

// Limit is the limit of one workspace, over all nodes.
type Limit struct {
	// Rate is in requests a second, Burst in requests.
	Rate, Burst float64
}

// lower reports whether l allows less than other in some respect.
func (l Limit) lower(other Limit) bool { return l.Rate < other.Rate || l.Burst < other.Burst }

// terms are the amounts that follow from a limit and the Config.
type terms struct {
	Limit
	// pooled and held are how long after its creation a token expires at an owner, and
	// how long after a grant at the node that holds it.
	pooled, held time.Duration
}

func (c Config) terms(l Limit) terms {
	tolerance := c.Overage*(l.Rate*c.Window.Seconds()+l.Burst) + c.Slack
	rate := max(l.Rate, minAmount)
	return terms{
		Limit:  l,
		pooled: seconds(min((l.Burst+poolShare*tolerance)/rate, maxSeconds)),
		held:   max(seconds(min(holdShare*tolerance/rate, maxSeconds)), minHold),
	}
}

// maxSeconds bounds the life of a token of a limit with a very low rate. Shorter lives
// only lower what is spent.
const maxSeconds = 3600

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// ID identifies a node or a workspace by a hash of its name.
type ID uint64

// IDOf returns the id of a name.
func IDOf(name string) ID { return ID(xxhash.Sum64String(name)) }

// mix returns a pseudo-random number that depends on all bits of x.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9 // the finalizer of splitmix64
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// ownerIn returns the owner of a workspace among the coordinators (rendezvous hashing),
// or 0 if there are none.
func ownerIn(coordinators []ID, workspace ID) ID {
	var owner ID
	var best uint64
	seed := mix(uint64(workspace))
	for _, c := range coordinators {
		score := mix(uint64(c) ^ seed)
		if owner == 0 || score > best || score == best && c > owner {
			owner, best = c, score
		}
	}
	return owner
}
