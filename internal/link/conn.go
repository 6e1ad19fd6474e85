package link

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	linkpb "heathershed/api/link"
)

// drainPoll is how often a draining connection is checked for calls in flight.
const drainPoll = 50 * time.Millisecond

// conn is one connection of a link: its control session and its calls.
type conn struct {
	grpc    *grpc.ClientConn
	client  linkpb.LinkClient
	session *Session
	// peer is the node at the other end; zero until its first frame.
	peer Peer
	// inFlight counts the calls. It grows only while the connection is the
	// current one of its link.
	inFlight atomic.Int64
	// suspicion is done when the link is suspected to have failed, and gone when
	// the process at the other end is known to have ended or the connection is
	// closed. Only gone ends the calls in flight.
	suspicion, gone   context.Context
	suspect, markGone context.CancelFunc
}

func newConn(c *grpc.ClientConn) *conn {
	n := &conn{grpc: c, client: linkpb.NewLinkClient(c)}
	n.suspicion, n.suspect = context.WithCancel(context.Background())
	n.gone, n.markGone = context.WithCancel(context.Background())
	return n
}

// close closes the connection, which ends the calls that are still in flight.
func (c *conn) close() {
	c.suspect()
	c.markGone()
	_ = c.grpc.Close() // fails only if the connection is already closed
}

// drain waits for the calls in flight and closes the connection. The calls end
// by their replies, their deadlines or their callers; each has a deadline. drain
// closes earlier only if ctx ends or the process at the other end is known to be
// gone.
func (c *conn) drain(ctx context.Context) {
	defer c.close()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for c.inFlight.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-c.gone.Done():
			return
		case <-ticker.C:
		}
	}
}
