package outcome

import (
	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
)

// Attempts is what the attempts of one call that brought no answer have shown.
type Attempts struct {
	// ReachedUpstream counts those that reached an upstream, run or not.
	ReachedUpstream int
	// MayHaveRun is set once one of them may have run.
	MayHaveRun bool
}

// Add takes in the reply of one more attempt.
func (a *Attempts) Add(reply *linkpb.CallReply) {
	if hasArrived(reply) {
		a.ReachedUpstream++
	}
	a.MayHaveRun = a.MayHaveRun || MayHaveRun(reply)
}

// MergeInto makes the reply of one attempt true of all: where any may have run,
// the call may have.
func (a *Attempts) MergeInto(reply *linkpb.CallReply) *linkpb.CallReply {
	if a.MayHaveRun {
		reply.Verdict = uint32(contract.MayHaveRun)
	}
	return reply
}

// hasArrived reports whether an attempt reached an upstream, run or not.
func hasArrived(reply *linkpb.CallReply) bool {
	if MayHaveRun(reply) {
		return true
	}
	switch contract.Reason(reply.Reason) {
	case contract.ReasonUpstreamRefused, contract.ReasonStaleTarget:
		return true
	}
	return false
}
