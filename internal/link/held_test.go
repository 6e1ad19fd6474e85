package link

import (
	"bytes"
	"testing"
	"time"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
)

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
	waitFor(t, func() bool {
		held, expired := h.stats()
		return held == 0 && expired == 1
	})
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
