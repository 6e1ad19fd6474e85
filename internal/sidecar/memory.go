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
// connections.
type memoryGauges struct {
	bodies, responses, connections tally.Gauge
	answersHeld, uploads           tally.Gauge

	aborted, refused, connsClosed              totalCounter
	answersExpired, otherClosed, unreadRefused totalCounter
}

// totalCounter is a counter that is set to totals since the start.
type totalCounter struct {
	tally.Counter
	reported int64
}

// set raises the counter to a total.
func (c *totalCounter) set(total int64) {
	c.Inc(total - c.reported)
	c.reported = total
}

func newMemoryGauges(scope tally.Scope) *memoryGauges {
	return &memoryGauges{
		bodies:      scope.Gauge("request_memory_bytes"),
		responses:   scope.Gauge("response_memory_bytes"),
		connections: scope.Gauge("client_connections"),
		answersHeld: scope.Gauge("answers_held"),
		uploads:     scope.Gauge("uploads_running"),

		aborted:        totalCounter{Counter: scope.Counter("transfers_aborted")},
		refused:        totalCounter{Counter: scope.Counter("transfers_refused")},
		connsClosed:    totalCounter{Counter: scope.Counter("client_connections_closed")},
		answersExpired: totalCounter{Counter: scope.Counter("answers_expired")},
		otherClosed:    totalCounter{Counter: scope.Counter("other_connections_closed")},
		unreadRefused:  totalCounter{Counter: scope.Counter("refusals_unread")},
	}
}

// updateMemory sets the metrics of memory and connections. It is called by one task.
func (n *Node) updateMemory() {
	m := n.metrics.memory
	bodies, bodiesAborted, bodiesRefused := n.budgets.bodies.Stats()
	responses, responsesAborted, responsesRefused := n.budgets.responses.Stats()
	open, closed := n.ingress.Connections()
	held, expired := n.linkServer.HeldBodies()
	m.bodies.Update(float64(bodies))
	m.responses.Update(float64(responses))
	m.connections.Update(float64(open))
	m.answersHeld.Update(float64(held))
	m.uploads.Update(float64(n.uploads.Load()))
	m.aborted.set(bodiesAborted + responsesAborted)
	m.refused.set(bodiesRefused + responsesRefused)
	m.connsClosed.set(closed)
	m.answersExpired.set(expired)
	m.unreadRefused.set(n.ingress.UnreadRefusals())
	total := int64(0)
	for _, l := range n.otherListeners {
		total += l.Closed()
	}
	m.otherClosed.set(total)
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
