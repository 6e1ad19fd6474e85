package routing

import (
	"time"

	"heathershed/internal/contract"
)

// Target is an upstream and its node, as listed by membership. VM names are
// unique over all services.
type Target struct {
	VM, Service, Datacentre, Region string
	// Address is the ip:port at which the node accepts links.
	Address string
	// Incarnation increases with every start of the VM.
	Incarnation uint64
	// Slots is the capacity announced by the upstream; 0 is unknown.
	Slots int
	// Leaving reports that the VM stops accepting calls.
	Leaving bool
}

// Load is the load of an upstream as announced by its node with an answer.
type Load struct {
	InFlight, Limit    uint32
	QueueWait, Latency time.Duration
	// Level is the node's active admission threshold; calls below it are shed.
	Level         contract.Level
	Leaving, Cold bool
}

// Query describes one attempt of a call for which a target is needed.
type Query struct {
	Service string
	// Order is set for calls that run at most once.
	Order bool
	// Exclude holds the VMs already tried by this call; empty names are
	// ignored.
	Exclude [4]string
	// Random drives the random decisions. The same table, time and Query yield
	// the same Choice.
	Random uint64
}

// excludes reports whether the call already tried the VM.
func (q *Query) excludes(vm string) bool {
	for i := range q.Exclude {
		if q.Exclude[i] == vm {
			return true
		}
	}
	return false
}

// Choice is a picked target. It must be passed to Done once.
type Choice struct {
	Target Target

	entry *entry
	order bool
}

// Result is how a picked call ended.
type Result struct {
	// Latency is the time from Pick to the end of the call.
	Latency time.Duration
	Verdict contract.Verdict
	Reason  contract.Reason
	// HasLoad reports that the answer carried the announced Load of the target.
	HasLoad bool
	Load    Load
}

// linkState is the last reported state of the link to a VM.
type linkState uint8

const (
	// linkUnknown: no state was reported; such a target is used only if no link
	// of the service is up.
	linkUnknown linkState = iota
	linkUp
	linkDown
)

// phase is the state of a target in outlier detection.
type phase uint8

const (
	phaseActive phase = iota
	phaseEjected
	// phaseProbing: the ejection has expired; single idempotent calls probe the
	// target.
	phaseProbing
)

// entry is what the table knows about one incarnation of a target.
type entry struct {
	Target
	pool     *pool
	hash     uint64
	tier     int
	distance time.Duration
	link     linkState
	leaving  bool
	// staleUntil is set when the VM reported another incarnation.
	staleUntil instant

	// rampFrom is when the weight began to ramp up; zero means full weight.
	rampFrom instant
	// warmingUp keeps orders away while other targets are usable. It ends after
	// the fraction 1/warmupDivisor of the ramp-up or after warmupAnswers
	// complete answers.
	warmingUp bool
	answers   int

	inFlight int
	latency  estimate
	// refusalShare is the share of refusals for lack of capacity, by
	// Query.Order.
	refusalShare [2]estimate
	// failureShare is the share of failures.
	failureShare estimate
	consecutive  int

	phase          phase
	phaseSince     instant
	ejectedUntil   instant
	ejections      int
	probeSuccesses int

	load   Load
	loadAt instant
	// weight is the target's share of the calls relative to the other targets,
	// in slots; fullWeight is the value that it ramps up to.
	weight, fullWeight float64
}

// orderIndex returns the index into state that is kept separately for orders.
func orderIndex(order bool) int {
	if order {
		return 1
	}
	return 0
}
