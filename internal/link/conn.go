package link

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	linkpb "heathershed/api/link"
)

// finishPoll is how often a connection that takes no new calls is looked at.
const finishPoll = 50 * time.Millisecond

// conn is one connection of a link: its control session and its calls.
type conn struct {
	grpc    *grpc.ClientConn
	client  linkpb.LinkClient
	session *Session
	// peer is the node at the other end; zero until it has told.
	peer Peer
	// inFlight counts the calls. It grows only while the connection is the
	// present one of its link.
	inFlight atomic.Int64
	// doubt ends when the link is taken for dead, and gone when the process at
	// the other end is known to have ended. Calls in flight end with gone alone.
	doubt, gone     context.Context
	suspect, giveUp context.CancelFunc
}

func newConn(c *grpc.ClientConn) *conn {
	n := &conn{grpc: c, client: linkpb.NewLinkClient(c)}
	n.doubt, n.suspect = context.WithCancel(context.Background())
	n.gone, n.giveUp = context.WithCancel(context.Background())
	return n
}

// close ends the connection with the calls that are still in flight.
func (c *conn) close() {
	c.suspect()
	c.giveUp()
	_ = c.grpc.Close() // a connection that is closed already is as good
}

// drain closes the connection once its calls have ended. Each has a deadline,
// and they end by their answers, their deadlines and their callers; earlier only
// where ctx ends or the process at the other end is known to be gone.
func (c *conn) drain(ctx context.Context) {
	defer c.close()
	ticker := time.NewTicker(finishPoll)
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
