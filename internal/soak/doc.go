// Package soak runs the real programs as separate processes on loopback,
// injects faults drawn from a seed into their dependencies, and checks the
// promises made to callers and upstreams while the processes run.
//
// NewPlan draws the faults: node processes that are killed, shut down
// gracefully, paused, throttled or signalled to reload; upstreams that crash,
// drain, fail, truncate their answers, are slow, or say in their answers that
// they leave or take only so many requests a second; connections to upstreams,
// between nodes and to the object API that a proxy delays, resets or
// blackholes, one of them or all; an object API that is down or slow, serves
// stale reads or loses answers. Faults occur in series and overlap.
//
// The Ledger records the outcomes that clients got and what upstreams ran. It
// also records when each fault was active, so that a failure is excused only
// where a fault explains it.
package soak
