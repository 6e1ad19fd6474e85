// Package load drives a running system as its callers and its upstreams and
// checks what it promised. Since it plays both ends, it can compare the runs
// recorded at each upstream with the verdicts that each caller got.
//
// Callers arrive in an open loop: a seeded Poisson process that does not slow
// down when answers do, because closed-loop callers hide overload. Upstreams
// have slots, a distribution of service times and faults on demand, and hold
// their slot while they wait for their nested calls.
//
// Recovery is measured by arrival time: the share of the requests arriving
// within a second that got a complete answer. A surge, which offers more than
// the system can serve, and the randomness of arrivals therefore do not distort
// it.
package load
