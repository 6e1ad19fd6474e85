// Package soak runs the real programs as separate processes on loopback, breaks
// what they depend on from outside by a seed, and checks the promises to
// callers and upstreams while it runs.
//
// Faults come from a Plan: processes killed, stopped in order, paused, short of
// processor time and told to reload; upstreams that crash, leave, fail and are
// slow; connections to upstreams, between nodes and to the object API delayed,
// reset and silenced by a proxy, one of them or all; an object API that is down,
// slow, stale or loses answers. They come in series and overlap.
//
// The Ledger notes what clients were told and what upstreams ran, and knows
// when something was broken, so that it excuses only what a fault explains.
package soak
