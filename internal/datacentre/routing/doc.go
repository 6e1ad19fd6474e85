// Package routing chooses the upstream that receives a call, and the bounded
// set of upstreams that a node keeps links to.
//
// A node trusts what it measures itself: its calls in flight and their latency,
// refusals and failures. The load that upstreams announce may be stale or
// wrong, so it changes the cost of a target by a bounded factor only and loses
// its effect within seconds. Announced slots weight the targets of a service
// against each other, clamped to a range around the median of the service.
//
// Targets fall into three tiers: local data centre, local region, elsewhere.
// Within a tier, two targets are drawn at random with probability proportional
// to their weight, and the one with the lower cost is the more likely choice.
// The cost is the expected time of a call, raised by the node's own calls in
// flight relative to the weight. Drawing by weight bounds the share of a target
// that is warming up or announces false figures; comparing costs keeps calls
// away from a slow or stuck target. Calls leave the local data centre, and then
// the local region, in the proportion in which the expected time here exceeds
// the expected time there, distance included. Spill-over therefore grows and
// shrinks without steps or oscillation.
//
// A target is excluded immediately when it is known to be leaving, when its
// link is down or unresponsive, or when its VM was restarted. A target that
// fails more often than the others is ejected as an outlier for a limited time,
// though never more than half of the targets of a service, and is reinstated
// after a few successful idempotent calls. Orders are never used as probes.
//
// The table is a pure data structure: it takes times and events as arguments
// and uses no clock, socket, goroutine or random source. Router guards it with
// a mutex.
package routing
