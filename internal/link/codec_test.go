package link

import (
	"bytes"
	"runtime"
	"testing"

	"google.golang.org/grpc/mem"
	"google.golang.org/protobuf/proto"

	linkpb "heathershed/api/link"
)

// Guards against a large body that is changed, or encoded so that the standard codec of an
// older node reads it otherwise.
func TestCodecCarriesBodies(t *testing.T) {
	standard := newCodec().CodecV2
	for _, size := range []int{0, 1, copiedBody, copiedBody + 1, pooledMessage, smallBody, smallBody + 1, 3 << 20} {
		body := bytes.Repeat([]byte("0123456789abcde"), size/15+1)[:size]
		for _, m := range []proto.Message{
			&linkpb.CallRequest{Kind: "k", Body: body, Workspace: "w"},
			&linkpb.CallReply{Verdict: 1, Body: body, BodyLength: uint64(size), Vm: "vm"},
			&linkpb.FetchReply{Body: body},
			&linkpb.UploadPart{Body: body},
			&linkpb.ControlFrame{Documents: []*linkpb.Document{{Value: body}}},
		} {
			c := newCodec()
			encoded, err := c.Marshal(m)
			if err != nil {
				t.Fatal(err)
			}
			for name, decode := range map[string]func(mem.BufferSlice, any) error{"own": c.Unmarshal, "standard": standard.Unmarshal} {
				got := m.ProtoReflect().New().Interface()
				if err := decode(encoded, got); err != nil || !proto.Equal(got, m) {
					t.Errorf("%T with %d bytes, %s codec: got another message, error %v", m, size, name, err)
				}
			}
		}
	}
}

// Guards against messages of some ten KiB that each take a buffer of 1 MiB.
func TestEncodedMessageTakesItsSize(t *testing.T) {
	const count, size = 64, 60 << 10
	c := newCodec()
	held := make([]mem.BufferSlice, 0, count)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range count {
		encoded, err := c.Marshal(&linkpb.CallRequest{Body: make([]byte, size)})
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, encoded)
	}
	runtime.ReadMemStats(&after)
	if got, most := after.TotalAlloc-before.TotalAlloc, uint64(2*count*size); got > most {
		t.Errorf("%d messages of %d bytes took %d bytes, want at most %d", len(held), size, got, most)
	}
}

// Guards against input that ends the process, or that counts as a message.
func TestCodecRejectsBrokenMessages(t *testing.T) {
	c := newCodec()
	broken := append([]byte{0x2a, 0xff, 0xff, 0xff, 0x7f}, make([]byte, smallBody)...) // a field longer than the message
	if err := c.Unmarshal(mem.BufferSlice{mem.SliceBuffer(broken)}, new(linkpb.CallReply)); err == nil {
		t.Error("a broken message was decoded")
	}
}
