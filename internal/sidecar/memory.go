package sidecar

import (
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"

	"heathershed/internal/memory"
)

const (
	// bodyMemoryDivisor gives the part of the memory that the bodies of requests hold
	// together, and responseMemoryDivisor that of the answers that wait to be read by
	// their clients.
	bodyMemoryDivisor     = 8
	responseMemoryDivisor = 8
	// minBudget is the least size of a budget in bytes. It lets one lookup with the largest
	// body or answer in.
	minBudget = 13 << 20
	// bodyStall and responseStall are the times without progress after which a body
	// that is received, or an answer that is read, gives way to another one.
	bodyStall     = time.Second
	responseStall = 3 * time.Second
	// abortWait bounds the wait for memory that an aborted transfer releases.
	abortWait = 100 * time.Millisecond
	// connMemoryDivisor gives the part of the memory that the buffers of clients'
	// connections may take, and connMemory what one takes, in bytes: the read buffer,
	// stacks and the queues of the kernel.
	connMemoryDivisor = 4
	connMemory        = 48 << 10
	// descriptorDivisor gives the part of the process's descriptors that clients'
	// connections may take.
	descriptorDivisor = 2
)

// budgets are the bounds on the memory of requests and responses.
type budgets struct{ bodies, responses *memory.Budget }

func newBudgets(size int64) budgets {
	return budgets{
		bodies:    memory.New(max(size/bodyMemoryDivisor, minBudget), bodyStall),
		responses: memory.NewOnlyStalled(max(size/responseMemoryDivisor, minBudget), responseStall),
	}
}

// memoryGauges are the metrics of the memory that requests and responses hold, and of
// clients' connections. Those that end in Seen are the totals reported before.
type memoryGauges struct {
	bodies, responses, connections            tally.Gauge
	answersHeld, uploads                      tally.Gauge
	aborted, refused, connsClosed             tally.Counter
	abortedSeen, refusedSeen, connsClosedSeen int64
}

func newMemoryGauges(scope tally.Scope) *memoryGauges {
	return &memoryGauges{
		bodies:      scope.Gauge("request_memory_bytes"),
		responses:   scope.Gauge("response_memory_bytes"),
		connections: scope.Gauge("client_connections"),
		answersHeld: scope.Gauge("answers_held"),
		uploads:     scope.Gauge("uploads_running"),
		aborted:     scope.Counter("transfers_aborted"),
		refused:     scope.Counter("transfers_refused"),
		connsClosed: scope.Counter("client_connections_closed"),
	}
}

// updateMemory sets the metrics of memory and connections. It is called by one task.
func (n *Node) updateMemory() {
	m := n.metrics.memory
	bodies, bodiesAborted, bodiesRefused := n.budgets.bodies.Stats()
	responses, responsesAborted, responsesRefused := n.budgets.responses.Stats()
	open, closed := n.ingress.Connections()
	m.bodies.Update(float64(bodies))
	m.responses.Update(float64(responses))
	m.connections.Update(float64(open))
	m.answersHeld.Update(float64(n.linkServer.HeldBodies()))
	m.uploads.Update(float64(n.uploads.Load()))
	add := func(c tally.Counter, seen *int64, total int64) {
		c.Inc(total - *seen)
		*seen = total
	}
	add(m.aborted, &m.abortedSeen, bodiesAborted+responsesAborted)
	add(m.refused, &m.refusedSeen, bodiesRefused+responsesRefused)
	add(m.connsClosed, &m.connsClosedSeen, closed)
}

// maxClientConns returns the bound on the connections of clients, for a process that
// has the given memory.
func maxClientConns(size int64) int {
	most := int(size / connMemoryDivisor / connMemory)
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil {
		most = min(most, int(min(limit.Cur, 1<<30))/descriptorDivisor)
	}
	return most
}
