package link

import (
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	linkpb "heathershed/api/link"
)

// frameOverhead is the estimated overhead of a control frame in bytes: 5 for
// gRPC, 9 for HTTP/2, 52 for TCP and IP, and a TCP acknowledgement of 52.
const frameOverhead = 5 + 9 + 52 + 52

// Traffic counts control frames and their bytes since the start, the estimated
// overhead of the protocols below included. It is safe for concurrent use.
type Traffic struct {
	sentFrames, sentBytes         atomic.Uint64
	receivedFrames, receivedBytes atomic.Uint64
}

// TrafficCount is a snapshot of Traffic.
type TrafficCount struct {
	SentFrames, SentBytes         uint64
	ReceivedFrames, ReceivedBytes uint64
}

// Read returns the current counts.
func (t *Traffic) Read() TrafficCount {
	return TrafficCount{
		SentFrames:     t.sentFrames.Load(),
		SentBytes:      t.sentBytes.Load(),
		ReceivedFrames: t.receivedFrames.Load(),
		ReceivedBytes:  t.receivedBytes.Load(),
	}
}

func (t *Traffic) sent(f *linkpb.ControlFrame) {
	t.sentFrames.Add(1)
	t.sentBytes.Add(uint64(proto.Size(f) + frameOverhead))
}

func (t *Traffic) received(f *linkpb.ControlFrame) {
	t.receivedFrames.Add(1)
	t.receivedBytes.Add(uint64(proto.Size(f) + frameOverhead))
}
