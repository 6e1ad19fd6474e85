package scheduler

import (
	"testing"
	"time"

	"heathershed/internal/contract"
)

func TestUnresponsiveUpstreamGetsOnlyProbes(t *testing.T) {
	c := newController(4)
	hung := mustOffer(t, c, at(0), request(1, 60_000))
	mustOffer(t, c, at(0), request(1, 60_000))
	if _, refusal := c.offer(at(500), request(1, 60_000)); refusal != nil {
		t.Fatalf("rejected before the upstream counts as unresponsive: %v", refusal.Reason)
	}
	late := request(1, 60_000)
	if _, refusal := c.offer(at(1000), late); refusal == nil || refusal.Reason != contract.ReasonUpstreamSilent {
		t.Fatalf("request that is not idempotent at an unresponsive upstream: got %+v, want it rejected", refusal)
	}
	late.Idempotent = true
	probe, refusal := c.offer(at(1000), late)
	if refusal != nil {
		t.Fatalf("probe rejected: %v", refusal.Reason)
	}
	if _, refusal := c.offer(at(1001), late); refusal == nil {
		t.Fatal("second probe admitted within the probe interval")
	}
	c.release(at(1100), probe, true)
	if _, refusal := c.offer(at(1101), request(1, 60_000)); refusal != nil {
		t.Fatalf("rejected after an answer: %v", refusal.Reason)
	}
	c.release(at(1102), hung, false)
}

func TestSlowUpstreamThatAnswersIsResponsive(t *testing.T) {
	c := newController(4)
	c.latencies.observe("k", 2*time.Second)
	var running []*entry
	for i := range 4 {
		running = append(running, mustOffer(t, c, at(i*400), request(1, 60_000)))
	}
	for i, e := range running {
		c.release(at(1600+i*400), e, true)
		if _, refusal := c.offer(at(1600+i*400+300), request(1, 60_000)); refusal != nil {
			t.Fatalf("rejected %d ms after an answer: %v", 300, refusal.Reason)
		}
	}
}

func TestSingleLongRequestIsNotUnresponsiveness(t *testing.T) {
	c := newController(4)
	mustOffer(t, c, at(0), request(1, 60_000))
	if _, refusal := c.offer(at(5000), request(1, 60_000)); refusal != nil {
		t.Fatalf("rejected while a single long request runs: %v", refusal.Reason)
	}
}

func TestIdleUpstreamIsResponsive(t *testing.T) {
	c := newController(4)
	c.release(at(100), mustOffer(t, c, at(0), request(1, 60_000)), true)
	if _, refusal := c.offer(at(50_000), request(1, 60_000)); refusal != nil {
		t.Fatalf("rejected after a time without requests: %v", refusal.Reason)
	}
}
