package sidecar

import (
	"fmt"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
	"heathershed/internal/ingress"
	"heathershed/internal/memory"
	"heathershed/internal/outcome"
	"heathershed/platform"
)

const (
	// bodyMemoryDivisor gives the part of the memory that the bodies of requests hold
	// together, and responseMemoryDivisor that of the answers that wait to be read by
	// their clients.
	bodyMemoryDivisor     = 8
	responseMemoryDivisor = 8
	// wholeBodyDivisor gives the part of the memory that one body may hold.
	wholeBodyDivisor = 32
	// minBodyMemory lets one lookup of the largest size in.
	minBodyMemory = 13 << 20
	// bodyStall and responseStall are the times without progress after which a body
	// that is received, or an answer that is read, gives way to another one.
	bodyStall     = time.Second
	responseStall = 3 * time.Second
	// freeCallBody is the size in bytes up to which the body of a call from another
	// node needs no share of the memory, and callMemoryWait bounds the wait for one
	// that an aborted transfer releases.
	freeCallBody   = 64 << 10
	callMemoryWait = 100 * time.Millisecond
	// defaultMaxBody bounds the body of a request in bytes where the configuration
	// has no limit.
	defaultMaxBody = 8 << 20
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
		bodies:    memory.New(max(size/bodyMemoryDivisor, minBodyMemory), bodyStall),
		responses: memory.NewOnlyStalled(max(size/responseMemoryDivisor, minBodyMemory), responseStall),
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

// ingressOptions returns the options of the server for clients.
func (n *Node) ingressOptions() ingress.Options {
	return ingress.Options{
		HeaderBytes: maxHeaderBytes,
		IdleTimeout: clientIdleTimeout,
		Log:         connLog{n.log},
		Bodies: &ingress.BodyOptions{
			Budget:  n.budgets.bodies,
			Limit:   n.maxBody,
			Whole:   wholeBody(n.cfg.Memory),
			IsOrder: n.isOrder,
			Refuse:  n.refuseBody,
		},
		Responses:   n.budgets.responses,
		SmallQueues: true,
		MaxConns:    maxClientConns(n.cfg.Memory),
		Idempotent:  n.mayRunAhead,
		AnswerSize:  n.expectedAnswer,
	}
}

// maxBody returns the bound on the body of a request in bytes: that of the active
// configuration.
func (n *Node) maxBody() int {
	limit := defaultMaxBody
	if table := n.table.Load(); table != nil && table.Limits.BodyBytes > 0 {
		limit = table.Limits.BodyBytes
	}
	return limit
}

// wholeBody returns the size in bytes up to which a body is held completely, so that its
// request can be sent again; a larger one is passed on as it arrives.
func wholeBody(size int64) int { return int(min(ingress.MaxBody, size/wholeBodyDivisor)) }

// isOrder reports whether a request matches a route for orders. Without a route it
// is none, and will be rejected.
func (n *Node) isOrder(rc *fasthttp.RequestCtx) bool {
	route, ok := n.routeOf(&rc.Request)
	return ok && !route.Idempotent
}

// refuseBody answers a request whose body was not read completely. It has not run.
func (n *Node) refuseBody(rc *fasthttp.RequestCtx, err error) {
	now := time.Now()
	c := &call{received: now, deadline: now.Add(defaultTimeout)}
	if in, err := platform.ReadInbound(&rc.Request.Header); err == nil {
		c.attempt = in.Attempt
	}
	reply := n.bodyRefusal(rc, err)
	n.writeLocalReply(rc, c, reply)
	if err == ingress.ErrBodySlow {
		rc.SetStatusCode(fasthttp.StatusRequestTimeout)
	}
	n.metrics.calls.Record(reply, 0)
	n.metrics.countEnd(c, reply)
	n.logEnd(c, reply, 0)
}

func (n *Node) bodyRefusal(rc *fasthttp.RequestCtx, err error) *linkpb.CallReply {
	switch err {
	case ingress.ErrBodyTooLarge:
		size := "more bytes"
		if declared := ingress.DeclaredLength(&rc.Request.Header); declared > 0 {
			size = fmt.Sprint(declared, " bytes")
		}
		return outcome.NotRunReply(contract.ReasonTooLarge, fmt.Sprintf("body of %s, %d are allowed", size, n.maxBody()))
	case ingress.ErrNoMemory:
		return outcome.NotRunReply(contract.ReasonOverload, "no memory is left for the body")
	case ingress.ErrBodySlow:
		return outcome.NotRunReply(contract.ReasonDeadline, "the body was not received in time")
	}
	return outcome.NotRunReply(contract.ReasonBadRequest, "the body is incomplete or malformed")
}

// holdBody reserves memory for the body of a call from another node until release is
// called, as the call may wait for a slot. Without memory the returned reply rejects
// it; its sender may offer it to another node.
func (n *Node) holdBody(req *linkpb.CallRequest) (release func(), rejection *linkpb.CallReply) {
	size := int64(len(req.Body))
	if isUpload(req) {
		size = ingress.UploadMemory
	}
	if size <= freeCallBody {
		return func() {}, nil
	}
	claim := n.budgets.bodies.Claim(time.Now(), !req.Idempotent, nil)
	if !claim.Acquire(size, callMemoryWait) {
		n.metrics.countRejected(contract.ReasonOverload)
		return nil, outcome.NotRunReply(contract.ReasonOverload, "no memory is left for the body")
	}
	return claim.Release, nil
}
