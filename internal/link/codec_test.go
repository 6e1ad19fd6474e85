package link

import (
	"bytes"
	"runtime"
	"testing"
	"time"

	"google.golang.org/grpc/mem"
	"google.golang.org/protobuf/proto"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
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

// Guards against memory that is lost, or given back while the body can still be fetched.
func TestHeldBodyIsReleasedOnce(t *testing.T) {
	released := make(chan struct{}, 2)
	release := func() { released <- struct{}{} }
	h := newHeldBodies()
	body := []byte("body")

	id := h.add(body, release, time.Hour)
	b := h.take(id)
	if b == nil || !bytes.Equal(b.body, body) || len(released) != 0 {
		t.Fatalf("got %v, released %d times", b, len(released))
	}
	if h.take(id) != nil {
		t.Error("a body can be taken twice")
	}
	h.discard(id)
	if len(released) != 0 {
		t.Error("a body that was taken was released by discard")
	}
	h.discard(h.add(body, release, time.Hour))
	if len(released) != 1 {
		t.Errorf("discarded: released %d times, want 1", len(released))
	}
	<-released
	id = h.add(body, release, time.Millisecond)
	<-released
	if h.take(id) != nil {
		t.Error("a body can be taken after its time")
	}
}

// Guards against a body that is kept back from an older node, or sent to a caller without
// room for it.
func TestHoldBodyFollowsTheRoomOfTheCaller(t *testing.T) {
	const size = 1 << 20
	for _, c := range []struct {
		name string
		room uint64
		size int
		want bool
	}{
		{"older caller", 0, size, false},
		{"room", size, size, false},
		{"no room", size - 1, size, true},
		{"small body", 1, smallBody, false},
	} {
		s := &Server{held: newHeldBodies()}
		reply := &linkpb.CallReply{Verdict: uint32(contract.Ran), Body: make([]byte, c.size)}
		if got := s.holdBody(reply, c.room, nil, time.Hour); got != c.want || (reply.Held != 0) != c.want || (reply.Body == nil) != c.want {
			t.Errorf("%s: got %v, held %d, body of %d bytes", c.name, got, reply.Held, len(reply.Body))
		}
	}
}
