package memory

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// Guards against claims that wait for each other, each with a part of the memory.
func TestWaitingClaimHoldsNothing(t *testing.T) {
	b := New(100, stall)
	first, second := b.Claim(start, true, nil), b.Claim(start, true, nil)
	for _, c := range []*Claim{first, second} {
		if !c.Acquire(40, 0) {
			t.Fatal("no memory")
		}
	}
	waited := make(chan error, 1)
	go func() { waited <- first.Await(t.Context(), 80) }()
	for first.Held() > 0 {
		time.Sleep(time.Millisecond)
	}
	if err := second.Await(t.Context(), 80); err != nil {
		t.Fatal(err)
	}
	second.Release()
	if err := <-waited; err != nil || first.Held() != 80 {
		t.Errorf("after the release: got %v, holds %d", err, first.Held())
	}
}

func TestAwaitEnds(t *testing.T) {
	b := New(100, stall)
	if !b.Claim(start, true, nil).Acquire(90, 0) {
		t.Fatal("no memory")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := b.Claim(start, true, nil).Await(ctx, 50); !errors.Is(err, context.Canceled) {
		t.Errorf("cancelled: got %v", err)
	}
	released := b.Claim(start, true, nil)
	released.Release()
	if err := released.Await(t.Context(), 1); !errors.Is(err, ErrEnded) {
		t.Errorf("released: got %v, want ErrEnded", err)
	}
	if used, _, _ := b.Stats(); used != 90 {
		t.Errorf("%d bytes are used, want 90", used)
	}
}

// Guards against a transfer that is aborted although its receiver takes bytes, which the
// writer can't see while the kernel holds them.
func TestTakenBytesAreProgress(t *testing.T) {
	b := New(100, stall)
	taken, aborted := int64(0), false
	c := b.Claim(start, true, nil)
	if v, _ := c.Reserve(start, 90); v != Granted {
		t.Fatal(v)
	}
	c.Begin(start, func() { aborted = true }, func() int64 { return taken })
	other := b.Claim(start, true, nil)
	now := start
	for range 3 {
		now = now.Add(2 * stall)
		taken++
		if v, _ := other.Reserve(now, 50); v != Refused || aborted {
			t.Fatalf("the receiver takes bytes: got %v, aborted %v", v, aborted)
		}
	}
	now = now.Add(stall)
	if v, _ := other.Reserve(now, 50); v != Wait || !aborted {
		t.Errorf("the receiver has stalled: got %v, aborted %v", v, aborted)
	}
}

// Guards against an order that cuts off an answer which its client reads.
func TestMovingTransferIsKeptFromOrders(t *testing.T) {
	b, aborted := NewOnlyStalled(100, stall), false
	c := b.Claim(start, false, func() { aborted = true })
	if v, _ := c.Reserve(start, 75); v != Granted {
		t.Fatal(v)
	}
	order := b.Claim(start, true, nil)
	if v, _ := order.Reserve(start, 50); v != Refused || aborted {
		t.Errorf("beside a moving lookup: got %v, aborted %v", v, aborted)
	}
	if v, _ := order.Reserve(start.Add(stall), 50); v != Wait || !aborted {
		t.Errorf("beside a stalled lookup: got %v, aborted %v", v, aborted)
	}
}

// Guards against answers that wait for memory while requests that have not run take it.
func TestAwaitedBytesComeBeforeExpectedOnes(t *testing.T) {
	b := New(100, stall)
	first, waiting, expected := b.Claim(start, true, nil), b.Claim(start, true, nil), b.Claim(start, true, nil)
	if !first.Acquire(80, 0) {
		t.Fatal("no memory")
	}
	waited := make(chan error, 1)
	go func() { waited <- waiting.Await(t.Context(), 40) }()
	for awaited(b) == 0 {
		time.Sleep(time.Millisecond)
	}
	if v, _ := expected.Reserve(time.Now(), 10); v != Refused {
		t.Errorf("expected bytes beside awaited ones: got %v, want Refused", v)
	}
	first.Release()
	if err := <-waited; err != nil || waiting.Held() != 40 {
		t.Errorf("awaited bytes: got %v, holds %d", err, waiting.Held())
	}
	if v, _ := expected.Reserve(time.Now(), 60); v != Granted {
		t.Errorf("expected bytes afterwards: got %v", v)
	}
}

// Guards against a budget that counts as full because of what is only expected.
func TestMostlyFree(t *testing.T) {
	b := New(100, stall)
	c := b.Claim(start, true, nil)
	if !c.Acquire(90, 0) || !b.MostlyFree() {
		t.Error("reserved bytes: not mostly free")
	}
	c.Settle(60)
	if b.MostlyFree() || c.Held() != 60 {
		t.Errorf("60 of 100 are there: mostly free, holds %d", c.Held())
	}
	c.Lower(40)
	if !b.MostlyFree() {
		t.Error("40 of 100 are there: not mostly free")
	}
	c.Release()
	if used, _, _ := b.Stats(); used != 0 || b.settled != 0 {
		t.Errorf("afterwards: %d used, %d settled", used, b.settled)
	}
}

// awaited returns the bytes that claims wait for.
func awaited(b *Budget) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.awaited
}
