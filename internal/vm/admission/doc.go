// Package admission decides, at the node of an upstream, which requests run,
// which wait and which are refused.
//
// # Limit
//
// The number of requests in flight is bounded by an adaptive limit. The
// announced slots are its ceiling, never its value: they may be four times the
// true capacity, and the load endpoint that reports them may be stuck. High
// latency only starts a probe; throughput decides whether the limit is too high.
// When requests take longer than the baseline latency of their kind, a probe
// lowers the limit by a quarter for one window. If throughput stays the same,
// the removed requests only waited inside the upstream, and the lower limit is
// kept. If throughput falls with the limit, a dependency of the upstream is
// slow; the limit is restored and the higher latency is accepted as normal. The
// limit is never collapsed to measure the baseline again.
//
// # Classes and reserve
//
// A free slot goes to the highest class that has a request waiting. Lookups
// leave a few slots of the limit to checks and orders, and checks leave some of
// these to orders. A full queue makes room for a request by evicting the lowest
// waiting one, if that is of a lower class or of a lower level in the same
// class. A refusal ends no other request than its own.
//
// # Threshold
//
// Within a class, a request is shed by its rank. All calls of a root request
// have the same rank on every hop, so the hops shed the same root requests
// without coordination. The threshold is computed from a histogram of the
// offered levels and the rate that the upstream can sustain. It rises
// immediately under overload, and falls in steps that double as long as no
// overload is observed. Calls deeper in the call tree get a bonus within their
// class, because work has already been invested in them.
//
// # Waiting
//
// A request waits while it can be answered by its deadline: it is refused
// immediately if the expected wait and the latency of its kind leave no time for
// that, and from the queue when they no longer do. Every refusal carries a retry
// time, spread at random so that refused requests do not all return at the same
// time.
//
// Controller makes the decisions. It is deterministic: it takes the time with
// each event and uses a seeded random source. Gate wraps it for concurrent use
// and blocks while a request is queued.
package admission
