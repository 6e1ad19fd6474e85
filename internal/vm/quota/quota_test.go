package quota

import (
	"testing"
	"time"

	"heathershed/internal/contract"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

type clock struct{ now time.Time }

func (c *clock) time() time.Time { return c.now }

func kind(name, owner string, class contract.Class) *contract.Kind {
	return &contract.Kind{Name: name, Owner: owner, Class: class, Idempotent: class != contract.ClassOrder}
}

func newQuota() (*Quota, *clock) {
	c := &clock{time.Unix(1e9, 0)}
	return New(c.time), c
}

// reserveAll makes calls of the kind until one is rejected, at most n.
func reserveAll(q *Quota, k *contract.Kind, slots, n int) (pending []func()) {
	for range n {
		done, _, ok := q.Reserve(k, slots)
		if !ok {
			return pending
		}
		pending = append(pending, done)
	}
	return pending
}

func TestShares(t *testing.T) {
	lookup, other := kind("lookup", "filao", contract.ClassLookup), kind("other", "teranga", contract.ClassLookup)
	order, free := kind("order", "teranga", contract.ClassOrder), kind("free", "filao", contract.ClassLookup)
	narrow := kind("narrow", "filao", contract.ClassLookup)
	narrow.Share = 0.25
	few := kind("few", "filao", contract.ClassLookup)
	few.Concurrency = 3
	for _, row := range []struct {
		name   string
		first  *contract.Kind // takes this many slots of 40
		taken  int
		second *contract.Kind
		want   int // slots the second gets of 60 tries
	}{
		{"an owner that is alone gets all slots", lookup, 0, free, 60},
		{"a second owner gets its half", lookup, 40, other, 20},
		{"an owner leaves others the slots they use and one more", other, 1, lookup, 58},
		{"an owner leaves others the slots they use", other, 30, lookup, 30},
		{"a kind with a small share gets all slots when alone", narrow, 0, narrow, 60},
		{"a kind with a small share gets its share when slots are scarce", free, 30, narrow, 10},
		{"the limit on concurrency always applies", lookup, 0, few, 3},
		{"lookups of another owner don't limit orders", lookup, 60, order, 60},
		{"orders don't limit lookups", order, 60, lookup, 60},
	} {
		q, _ := newQuota()
		reserveAll(q, row.first, 40, row.taken)
		if got := len(reserveAll(q, row.second, 40, 60)); got != row.want {
			t.Errorf("%s: got %d slots, want %d", row.name, got, row.want)
		}
	}
}

func TestIdleOwnerStopsCounting(t *testing.T) {
	q, c := newQuota()
	lookup, other := kind("lookup", "filao", contract.ClassLookup), kind("other", "teranga", contract.ClassLookup)
	done, _, _ := q.Reserve(other, 10)
	done()
	if got := len(reserveAll(q, lookup, 10, 30)); got != 17 {
		t.Errorf("with another owner active: got %d, want 17: 10 slots and 8 waiting, less one", got)
	}
	c.now = c.now.Add(activeFor)
	if got := len(reserveAll(q, lookup, 10, 10)); got != 10 {
		t.Errorf("after the other owner became idle: got %d more, want 10", got)
	}
}

// For every number of slots, an owner beside occasional callers must get all
// slots but one and some waiting calls, and the others their fair share. A kind
// with a small share must get the use that admission needs to raise its limit.
func TestSlotsAreNotLeftIdle(t *testing.T) {
	for slots := 0; slots <= 64; slots++ {
		for others := 1; others <= 5; others++ {
			q, _ := newQuota()
			lookup := kind("lookup", "filao", contract.ClassLookup)
			var other *contract.Kind
			for i := range others {
				other = kind("other", string(rune('a'+i)), contract.ClassLookup)
				done, _, _ := q.Reserve(other, slots)
				done()
			}
			want := max(slots, 1) + max(slots/2, 8) - 1
			if got := len(reserveAll(q, lookup, slots, 120)); got != want {
				t.Errorf("%d slots: got %d beside %d idle owners, want %d", slots, got, others, want)
			}
			if got, part := len(reserveAll(q, other, slots, 120)), max(1, slots/(others+1)); got < part {
				t.Errorf("%d slots: another owner got %d, want its fair share of at least %d", slots, got, part)
			}
		}
		q, _ := newQuota()
		narrow, first := kind("narrow", "filao", contract.ClassLookup), kind("first", "filao", contract.ClassLookup)
		narrow.Share = 0.1
		reserveAll(q, first, slots, 1)
		if got := 1 + len(reserveAll(q, narrow, slots, 90)); float64(got) < scarceAt*float64(slots) {
			t.Errorf("%d slots: a kind with a small share and one other got %d, want at least scarceAt of the slots", slots, got)
		}
	}
}

// In the flood, one owner makes five calls for each that ends, beside another
// owner with occasional calls. Few calls may wait during the flood, and the full
// number before and after it: a long queue would shed other owners' calls.
func TestFewCallsWaitInAFlood(t *testing.T) {
	const slots, rounds = 32, 50 // rounds of 10 ms
	q, c := newQuota()
	lookup, other := kind("lookup", "filao", contract.ClassLookup), kind("other", "teranga", contract.ClassLookup)
	var held []func()
	for i, row := range []struct{ calls, want int }{{1, slots + slots/2 - 1}, {5, slots + slots/8 - 1}, {1, slots + slots/2 - 1}} {
		for range rounds {
			for range min(4, len(held)) {
				held[0]()
				held = held[1:]
			}
			done, _, ok := q.Reserve(other, slots)
			if !ok {
				t.Fatal("the other owner's call was rejected")
			}
			for range 4 * row.calls {
				held = append(held, reserveAll(q, lookup, slots, 1)...)
			}
			done()
			c.now = c.now.Add(10 * time.Millisecond)
		}
		done, _, _ := q.Reserve(other, slots)
		done()
		held = append(held, reserveAll(q, lookup, slots, 60)...)
		if got := len(held); got != row.want {
			t.Errorf("phase %d: got %d in flight, want %d", i, got, row.want)
		}
	}
}

func TestRateIsDividedAmongUpstreams(t *testing.T) {
	for _, upstreams := range []int{1, 4} {
		q, c := newQuota()
		k := kind("lookup", "filao", contract.ClassLookup)
		k.Rate = 400
		q.SetKinds([]*contract.Kind{k}, upstreams)
		admitted := 0
		for range 10_000 {
			if done, wait, ok := q.Reserve(k, 40); ok {
				admitted++
				done()
			} else if wait <= 0 {
				t.Fatal("rejected without a time to retry after")
			}
			c.now = c.now.Add(time.Millisecond)
		}
		perUpstream := 400 / float64(upstreams)
		want := perUpstream * (10 + burst.Seconds())
		if float64(admitted) > want || float64(admitted) < 0.98*perUpstream*10 {
			t.Errorf("%d upstreams: got %d admitted in 10s, want %.0f", upstreams, admitted, want)
		}
		c.now = c.now.Add(time.Minute)
		if got := len(reserveAll(q, k, 1e6, 1e3)); float64(got) > perUpstream*burst.Seconds() {
			t.Errorf("%d upstreams: got %d at once after an idle minute, want at most %.0f", upstreams, got, perUpstream*burst.Seconds())
		}
	}
}

// Runs random sequences of calls, ends and new catalogues: an order within its
// own limits must not be rejected while orders leave slots free, and no slot may
// stay in use after all calls have ended.
func TestOrdersAreNotLimitedByLookupsAndSlotsAreFreed(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.Rng.Seed(4)
	parameters.MinSuccessfulTests = 1000
	properties := gopter.NewProperties(parameters)
	owners, slots := []string{"filao", "teranga"}, 12
	properties.Property("any sequence of calls", prop.ForAll(func(ops []uint32) string {
		q, c := newQuota()
		var pending []func()
		orders := map[int]bool{}
		for _, op := range ops {
			c.now = c.now.Add(time.Duration(op>>24) * time.Millisecond)
			class := contract.Class(op >> 4 % contract.NumClasses)
			k := kind(class.String(), owners[op>>8&1], class) // edits move it to another owner
			k.Share = float64(op>>12%4) / 4
			switch op % 8 {
			case 0:
				q.SetKinds([]*contract.Kind{k}, 1+int(op>>16%5))
			case 1, 2, 3:
				if len(pending) > 0 {
					last := len(pending) - 1
					pending[last]()
					pending = pending[:last]
					delete(orders, last)
				}
			default:
				done, _, ok := q.Reserve(k, slots)
				if !ok && class == contract.ClassOrder && float64(len(orders)) < scarceAt*float64(slots) {
					return "an order was rejected because of lookups"
				}
				if ok {
					if class == contract.ClassOrder {
						orders[len(pending)] = true
					}
					pending = append(pending, done)
				}
			}
		}
		for _, done := range pending {
			done()
		}
		for _, owner := range q.owners {
			if owner.inFlight != [numGroups]int{} {
				return "an owner holds slots after all calls ended"
			}
		}
		if q.groups[groupReads].inFlight != 0 || q.groups[groupOrders].inFlight != 0 {
			return "slots are held after all calls ended"
		}
		return ""
	}, gen.SliceOfN(120, gen.UInt32())))
	properties.TestingRun(t)
}

func BenchmarkReserveDone(b *testing.B) {
	q := New(time.Now)
	k := kind("lookup", "filao", contract.ClassLookup)
	k.Rate = 1e9
	b.ReportAllocs()
	for b.Loop() {
		done, _, _ := q.Reserve(k, 40)
		done()
	}
}
