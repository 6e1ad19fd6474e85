package link

import (
	"fmt"
	"testing"

	linkpb "heathershed/api/link"
	"heathershed/internal/contract"
)

// TestReplyWithoutAStatusIsMalformed guards against a reply whose status is none, of a
// faulty peer, that is taken for an answer: a client gets status 0 as 200. A status that
// announces another answer ends no call either.
func TestReplyWithoutAStatusIsMalformed(t *testing.T) {
	p := newPair(t)
	p.setTarget(7)
	waitFor(t, func() bool { return p.set.Up("b") })
	for status, valid := range map[uint32]bool{
		0: false, 1: false, 20: false, 99: false, 100: false, 103: false, 101: true, 199: false, 200: true, 204: true,
		421: true, 599: true, 600: false, 999: false, 1000: false, 1 << 31: false, 1<<32 - 200: false,
	} {
		p.served.status.Store(status)
		kind := fmt.Sprint("status ", status)
		close(p.served.releaseOf(kind))
		reply := <-p.call(t.Context(), kind)
		<-p.served.started
		if valid && (contract.Verdict(reply.Verdict) != contract.Ran || reply.Status != status || len(reply.Body) == 0) {
			t.Errorf("status %d: got %v, want the reply", status, reply)
		}
		if !valid && (contract.Verdict(reply.Verdict) != contract.MayHaveRun || reply.Status != 0 || len(reply.Body) > 0) {
			t.Errorf("status %d: got %v, want may-have-run and nothing of the reply", status, reply)
		}
	}
}

// TestReplyWithAnInvalidFieldIsMalformed guards against a line in an answer to a client that
// a node of another version has passed on and that is no field.
func TestReplyWithAnInvalidFieldIsMalformed(t *testing.T) {
	p := newPair(t)
	p.setTarget(7)
	waitFor(t, func() bool { return p.set.Up("b") })
	for _, c := range []struct {
		name, value string
		valid       bool
	}{
		{"x-y", "a\tb", true}, {"X Y", "1", false}, {"X ", "1", false}, {"", "1", false},
		{"Y", "1\r\nZ: 2", false}, {"Y\x01", "1", false}, {"Y", "\x00", false},
	} {
		p.served.header.Store(&linkpb.Header{Name: []byte(c.name), Value: []byte(c.value)})
		kind := fmt.Sprintf("field %q: %q", c.name, c.value)
		close(p.served.releaseOf(kind))
		reply := <-p.call(t.Context(), kind)
		<-p.served.started
		if ran := contract.Verdict(reply.Verdict) == contract.Ran; ran != c.valid || (len(reply.Body) > 0) != c.valid {
			t.Errorf("%s: got %v, want an answer: %v", kind, reply, c.valid)
		}
	}
}
