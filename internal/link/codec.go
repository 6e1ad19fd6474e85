package link

import (
	"sync"
	"time"

	"google.golang.org/grpc/encoding"
	grpcproto "google.golang.org/grpc/encoding/proto"
	"google.golang.org/grpc/mem"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	linkpb "heathershed/api/link"
)

// Numbers of the fields in api/link/link.proto that carry bodies.
const (
	callBodyField   protowire.Number = 20
	replyBodyField  protowire.Number = 5
	fetchBodyField  protowire.Number = 1
	uploadBodyField protowire.Number = 2
)

const (
	// smallBody is the size in bytes up to which a body counts as sent when its call
	// returns.
	smallBody = 64 << 10
	// copiedBody is the size in bytes up to which a body is copied into its message.
	copiedBody = 16 << 10
	// pooledMessage is the size in bytes up to which messages are in buffers of the
	// transport's pool. Its next larger buffers have 1 MiB.
	pooledMessage = 32 << 10
)

// bodyField is the field of a message that carries a body.
type bodyField struct {
	number protowire.Number
	body   *[]byte
}

// bodyOf returns the field of a message that carries a body; ok is false if it has none.
func bodyOf(v any) (f bodyField, ok bool) {
	switch m := v.(type) {
	case *linkpb.CallRequest:
		return bodyField{callBodyField, &m.Body}, true
	case *linkpb.CallReply:
		return bodyField{replyBodyField, &m.Body}, true
	case *linkpb.FetchReply:
		return bodyField{fetchBodyField, &m.Body}, true
	case *linkpb.UploadPart:
		return bodyField{uploadBodyField, &m.Body}, true
	}
	return bodyField{}, false
}

// codec encodes messages without a copy of a large body, and decodes them with one. It
// calls the functions that were registered with expect when the transport releases an
// encoded message.
type codec struct {
	encoding.CodecV2
	// waiting maps a message that is about to be encoded to its function.
	waiting sync.Map
}

func newCodec() *codec { return &codec{CodecV2: encoding.GetCodecV2(grpcproto.Name)} }

// expect makes fn be called when the body of a message has been written, after the given
// time at the latest.
func (c *codec) expect(m proto.Message, fn func(), within time.Duration) {
	if fn == nil {
		return
	}
	f, _ := bodyOf(m)
	if len(*f.body) <= smallBody {
		fn()
		return
	}
	once := sync.OnceFunc(fn)
	late := time.AfterFunc(within, func() {
		c.waiting.Delete(m)
		once()
	})
	c.waiting.Store(m, func() {
		late.Stop()
		once()
	})
}

// Marshal implements encoding.CodecV2. A large body is not copied: it must not change
// until the transport has released the message.
func (c *codec) Marshal(v any) (mem.BufferSlice, error) {
	f, ok := bodyOf(v)
	if !ok || len(*f.body) <= copiedBody {
		return c.marshalWhole(v)
	}
	sent := func() {}
	if fn, ok := c.waiting.LoadAndDelete(v); ok { // only bodies over smallBody have one
		sent = fn.(func())
	}
	body := *f.body
	*f.body = nil
	head, err := proto.Marshal(v.(proto.Message))
	*f.body = body
	if err != nil {
		sent()
		return nil, err
	}
	head = protowire.AppendTag(head, f.number, protowire.BytesType)
	head = protowire.AppendVarint(head, uint64(len(body)))
	return mem.BufferSlice{mem.SliceBuffer(head), mem.NewBuffer(&body, sentPool{sent})}, nil
}

// marshalWhole encodes a message into one buffer.
func (c *codec) marshalWhole(v any) (mem.BufferSlice, error) {
	m, ok := v.(proto.Message)
	if !ok || proto.Size(m) <= pooledMessage {
		return c.CodecV2.Marshal(v)
	}
	data, err := proto.Marshal(m)
	return mem.BufferSlice{mem.SliceBuffer(data)}, err
}

// Unmarshal implements encoding.CodecV2.
func (c *codec) Unmarshal(data mem.BufferSlice, v any) error {
	m, ok := v.(proto.Message)
	if !ok || data.Len() <= pooledMessage {
		return c.CodecV2.Unmarshal(data, v)
	}
	message := make([]byte, data.Len())
	data.CopyTo(message)
	f, ok := bodyOf(v)
	if !ok {
		return proto.Unmarshal(message, m)
	}
	rest, body, err := cutField(message, f.number)
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(rest, m); err != nil {
		return err
	}
	*f.body = body
	return nil
}

// cutField returns the last value of a field of an encoded message, which is not copied,
// and the message without the field.
func cutField(message []byte, field protowire.Number) (rest, value []byte, err error) {
	for len(message) > 0 {
		number, kind, tag := protowire.ConsumeTag(message)
		if tag < 0 {
			return nil, nil, protowire.ParseError(tag)
		}
		size := protowire.ConsumeFieldValue(number, kind, message[tag:])
		if size < 0 {
			return nil, nil, protowire.ParseError(size)
		}
		if number == field && kind == protowire.BytesType {
			value, _ = protowire.ConsumeBytes(message[tag:])
		} else {
			rest = append(rest, message[:tag+size]...)
		}
		message = message[tag+size:]
	}
	return rest, value, nil
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
