package scheduler

import (
	"testing"
	"time"

	"heathershed/internal/contract"
)

func TestSilentUpstreamGetsAProbeNowAndThen(t *testing.T) {
	c := newController(4)
	hung := mustOffer(t, c, at(0), request(1, 60_000))
	mustOffer(t, c, at(0), request(1, 60_000))
	if _, refusal := c.offer(at(500), request(1, 60_000)); refusal != nil {
		t.Fatalf("refused before the upstream counts as silent: %v", refusal.Reason)
	}
	late := request(1, 60_000)
	if _, refusal := c.offer(at(1000), late); refusal == nil || refusal.Reason != contract.ReasonUpstreamSilent {
		t.Fatalf("an order went to a silent upstream: %+v", refusal)
	}
	late.Idempotent = true
	probe, refusal := c.offer(at(1000), late)
	if refusal != nil {
		t.Fatalf("no probe: %v", refusal.Reason)
	}
	if _, refusal := c.offer(at(1001), late); refusal == nil {
		t.Fatal("a second probe at once")
	}
	c.done(at(1100), probe, true)
	if _, refusal := c.offer(at(1101), request(1, 60_000)); refusal != nil {
		t.Fatalf("refused after an answer: %v", refusal.Reason)
	}
	c.done(at(1102), hung, false)
}

func TestSlowUpstreamThatAnswersIsNotSilent(t *testing.T) {
	c := newController(4)
	c.times.observe("k", 2*time.Second)
	var running []*entry
	for i := range 4 {
		running = append(running, mustOffer(t, c, at(i*400), request(1, 60_000)))
	}
	for i, e := range running {
		c.done(at(1600+i*400), e, true)
		if _, refusal := c.offer(at(1600+i*400+300), request(1, 60_000)); refusal != nil {
			t.Fatalf("refused %d ms after an answer: %v", 300, refusal.Reason)
		}
	}
}

func TestSingleLongRequestIsNoSilence(t *testing.T) {
	c := newController(4)
	mustOffer(t, c, at(0), request(1, 60_000))
	if _, refusal := c.offer(at(5000), request(1, 60_000)); refusal != nil {
		t.Fatalf("refused beside one request that takes long: %v", refusal.Reason)
	}
}

func TestIdleUpstreamIsNotSilent(t *testing.T) {
	c := newController(4)
	c.done(at(100), mustOffer(t, c, at(0), request(1, 60_000)), true)
	if _, refusal := c.offer(at(50_000), request(1, 60_000)); refusal != nil {
		t.Fatalf("refused after a pause without requests: %v", refusal.Reason)
	}
}
