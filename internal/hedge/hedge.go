// Package hedge sends a request to a second node while the first attempt, whose
// link is suspected to have failed, may still answer.
//
// A suspected link may still work. Cancelling the first attempt could discard
// work that is about to be answered, and waiting for it alone would fail the
// request if the link has failed. Both attempts therefore continue, and the
// first complete answer is returned.
package hedge

import (
	"context"

	linkpb "heathershed/api/link"
	"heathershed/internal/outcome"
)

// First runs the first attempt to completion. If its link is suspected to have
// failed meanwhile, First starts suspect once, in its own goroutine. suspected
// reports whether it did.
type First func(ctx context.Context, suspect func()) (reply *linkpb.CallReply, suspected bool)

// Second runs the hedged attempt next to a suspected one. It returns nil if no
// attempt was possible.
type Second func(ctx context.Context) *linkpb.CallReply

// Run runs first and, if it is suspected, second next to it. It returns the reply
// of the attempt that answered first and cancels the other one. If neither
// answered, it returns the reply that is more informative about what may have
// run, see MoreInformative. suspected reports whether first was suspected.
func Run(ctx context.Context, first First, second Second) (reply *linkpb.CallReply, suspected bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	hedged := make(chan *linkpb.CallReply, 1)
	reply, suspected = first(ctx, func() {
		other := second(ctx)
		ran := other != nil && outcome.Ran(other)
		hedged <- other // from here on it is the receiver's
		if ran {
			cancel()
		}
	})
	if !suspected || outcome.Ran(reply) {
		return reply, suspected
	}
	return MoreInformative(reply, <-hedged), true
}

// MoreInformative returns the reply that says more about what happened to a call:
// one that ran, else one that may have run. Of two equal ones it returns a if
// both ran, otherwise b. A nil reply stands for an attempt that was not made.
func MoreInformative(a, b *linkpb.CallReply) *linkpb.CallReply {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case outcome.Ran(a):
		return a
	case outcome.Ran(b), outcome.MayHaveRun(b):
		return b
	case outcome.MayHaveRun(a):
		return a
	}
	return b
}
