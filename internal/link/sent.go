package link

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc/encoding"
	grpcproto "google.golang.org/grpc/encoding/proto"
	"google.golang.org/grpc/mem"
	"google.golang.org/protobuf/proto"

	linkpb "heathershed/api/link"
)

const (
	// smallReply is the size of a body in bytes up to which a reply counts as sent
	// when its call returns.
	smallReply = 64 << 10
	// sentMargin is added to the time that a call has left. A reply that was not sent
	// by then is of no use to its caller.
	sentMargin = time.Second
)

type onSentKey struct{}

// OnSent makes fn be called once when the reply of the call that ctx belongs to has
// been written to its connection, or is given up. It reports false if ctx belongs to
// no call of a link.
func OnSent(ctx context.Context, fn func()) bool {
	at, ok := ctx.Value(onSentKey{}).(*func())
	if ok {
		*at = fn
	}
	return ok
}

// replyCodec is the codec of a server. It calls the function of OnSent when the
// transport releases an encoded reply.
type replyCodec struct {
	encoding.CodecV2
	// waiting maps a *linkpb.CallReply that is about to be encoded to its function.
	waiting sync.Map
}

func newReplyCodec() *replyCodec { return &replyCodec{CodecV2: encoding.GetCodecV2(grpcproto.Name)} }

// expect makes fn be called when the reply has been written, after the given time at
// the latest.
func (c *replyCodec) expect(reply *linkpb.CallReply, fn func(), within time.Duration) {
	if fn == nil {
		return
	}
	if len(reply.Body) <= smallReply {
		fn()
		return
	}
	once := sync.OnceFunc(fn)
	late := time.AfterFunc(within, func() {
		c.waiting.Delete(reply)
		once()
	})
	c.waiting.Store(reply, func() {
		late.Stop()
		once()
	})
}

// Marshal implements encoding.CodecV2.
func (c *replyCodec) Marshal(v any) (mem.BufferSlice, error) {
	fn, ok := c.waiting.LoadAndDelete(v)
	if !ok {
		return c.CodecV2.Marshal(v)
	}
	sent := fn.(func())
	data, err := proto.Marshal(v.(*linkpb.CallReply))
	if err != nil {
		sent()
		return nil, err
	}
	return mem.BufferSlice{mem.NewBuffer(&data, sentPool{sent})}, nil
}

// sentPool calls its function when the one buffer that it is given to is released.
type sentPool struct{ sent func() }

// Get implements mem.BufferPool.
func (sentPool) Get(length int) *[]byte {
	b := make([]byte, length)
	return &b
}

// Put implements mem.BufferPool.
func (p sentPool) Put(*[]byte) { p.sent() }
