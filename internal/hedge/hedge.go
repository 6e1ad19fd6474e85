// Package hedge has a request tried at a second place while the first one, whose
// link is taken for dead, may still answer.
//
// That a link is dead is a suspicion: ending the first attempt could throw away
// work that is about to be answered, and waiting for it alone could wait in
// vain. So both go on, and the first whole answer is taken.
package hedge

import (
	"context"

	linkpb "heathershed/api/link"
	"heathershed/internal/outcome"
)

// First runs the first attempt to its end. It starts suspect once, in a
// goroutine of its own, where its link is taken for dead meanwhile, and reports
// whether it did.
type First func(ctx context.Context, suspect func()) (reply *linkpb.CallReply, suspected bool)

// Second runs what is tried beside a suspected attempt. It returns nil where
// nothing could be.
type Second func(ctx context.Context) *linkpb.CallReply

// Run returns the reply of first and, where it was suspected, that of the one
// of both that answered first. Where neither did, it is the reply that says more
// of what may have run. The other attempt is cancelled.
func Run(ctx context.Context, first First, second Second) (reply *linkpb.CallReply, suspected bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	beside := make(chan *linkpb.CallReply, 1)
	reply, suspected = first(ctx, func() {
		other := second(ctx)
		beside <- other
		if other != nil && outcome.Ran(other) {
			cancel()
		}
	})
	if !suspected || outcome.Ran(reply) {
		return reply, suspected
	}
	return MoreInformative(reply, <-beside), true
}

// MoreInformative returns the reply that says more about what happened to a call; nil is
// that of an attempt which was not made.
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
