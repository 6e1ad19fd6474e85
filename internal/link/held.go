package link

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
)

// heldBodies are the bodies of answers whose callers have no room for them yet. Each is
// fetched or discarded by its caller, or dropped at the deadline of its call. It is safe
// for concurrent use.
type heldBodies struct {
	mu     sync.Mutex
	last   uint64
	bodies map[uint64]*heldBody
	// expired counts those that were dropped at the deadline, since the start.
	expired int64
}

// heldBody is one body. release gives back its memory, and timer drops it.
type heldBody struct {
	body    []byte
	release func()
	timer   *time.Timer
}

func newHeldBodies() *heldBodies { return &heldBodies{bodies: make(map[uint64]*heldBody)} }

// add keeps a body for the given time and returns its id.
func (h *heldBodies) add(body []byte, release func(), within time.Duration) uint64 {
	if release == nil {
		release = func() {}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.last++
	id := h.last
	h.bodies[id] = &heldBody{body: body, release: release, timer: time.AfterFunc(within, func() { h.expire(id) })}
	return id
}

// stats returns the number of bodies, and of those that were dropped at the deadline since
// the start.
func (h *heldBodies) stats() (held int, expired int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.bodies), h.expired
}

// expire drops a body at the deadline of its call.
func (h *heldBodies) expire(id uint64) {
	if !h.discard(id) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expired++
}

// take removes a body. It returns nil if there is none of that id.
func (h *heldBodies) take(id uint64) *heldBody {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.bodies[id]
	delete(h.bodies, id)
	if b != nil {
		b.timer.Stop()
	}
	return b
}

// discard removes a body that is not needed and reports whether it was there.
func (h *heldBodies) discard(id uint64) bool {
	b := h.take(id)
	if b == nil {
		return false
	}
	b.release()
	return true
}

// holdBody takes the body out of a reply whose caller has no room for it.
func (s *Server) holdBody(reply *linkpb.CallReply, room uint64, release func(), within time.Duration) bool {
	if room == 0 || uint64(len(reply.Body)) <= max(room, smallBody) {
		return false
	}
	reply.Held = s.held.add(reply.Body, release, within)
	reply.Body = nil
	return true
}

// HeldBodies returns the number of bodies of answers that their callers have yet to fetch,
// and of those that were not fetched by the deadline since the start.
func (s *Server) HeldBodies() (held int, expired int64) { return s.held.stats() }

// Fetch implements linkpb.LinkServer.
func (s *Server) Fetch(ctx context.Context, req *linkpb.FetchRequest) (*linkpb.FetchReply, error) {
	if req.Discard {
		s.held.discard(req.Held)
		return &linkpb.FetchReply{}, nil
	}
	b := s.held.take(req.Held)
	if b == nil {
		return nil, status.Error(codes.NotFound, "the body is not held any more")
	}
	reply := &linkpb.FetchReply{Body: b.body}
	s.codec.expect(reply, b.release, timeLeft(ctx)+sentMargin)
	return reply, nil
}

// discardTimeout bounds telling a node that a body is not needed.
const discardTimeout = time.Second

type roomKey struct{}

// WithRoom returns a context for calls whose answers may be left with the receiver. room
// waits until there is room for a body of n bytes; an error ends the call.
func WithRoom(ctx context.Context, room func(ctx context.Context, n int64) error) context.Context {
	return context.WithValue(ctx, roomKey{}, room)
}

// fetch completes a reply whose body was left with the receiver.
func (c *conn) fetch(ctx context.Context, vm string, reply *linkpb.CallReply) *linkpb.CallReply {
	room, ok := ctx.Value(roomKey{}).(func(context.Context, int64) error)
	if !ok {
		return failure(contract.MayHaveRun, contract.ReasonPartialAnswer, "body left with "+vm)
	}
	if err := room(ctx, int64(reply.BodyLength)); err != nil {
		go c.discard(reply.Held)
		if ctx.Err() != nil {
			return replyForError(ctx, vm, true, err)
		}
		return failure(contract.MayHaveRun, contract.ReasonOverload, "no memory is left for the answer")
	}
	fetched, err := c.client.Fetch(ctx, &linkpb.FetchRequest{Held: reply.Held})
	if err != nil {
		return replyForError(ctx, vm, true, err)
	}
	reply.Body, reply.Held = fetched.Body, 0
	return reply
}

// discard tells the receiver that a body is not needed.
func (c *conn) discard(held uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), discardTimeout)
	defer cancel()
	_, _ = c.client.Fetch(ctx, &linkpb.FetchRequest{Held: held, Discard: true}) // else dropped at the deadline
}
