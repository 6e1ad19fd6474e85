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

// enterAll enters the kind until it is refused, at most n times.
func enterAll(q *Quota, k *contract.Kind, slots, n int) (leaves []func()) {
	for range n {
		leave, _, ok := q.Reserve(k, slots)
		if !ok {
			return leaves
		}
		leaves = append(leaves, leave)
	}
	return leaves
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
		{"an owner that is alone has all", lookup, 0, free, 60},
		{"a second owner gets its half", lookup, 40, other, 20},
		{"an owner leaves others what they use and one more", other, 1, lookup, 58},
		{"an owner leaves others the places they have", other, 30, lookup, 30},
		{"a narrow kind alone has all", narrow, 0, narrow, 60},
		{"a narrow kind has its share when slots are short", free, 30, narrow, 10},
		{"concurrency binds always", lookup, 0, few, 3},
		{"lookups of another owner don't bind orders", lookup, 60, order, 60},
		{"orders don't bind lookups", order, 60, lookup, 60},
	} {
		q, _ := newQuota()
		enterAll(q, row.first, 40, row.taken)
		if got := len(enterAll(q, row.second, 40, 60)); got != row.want {
			t.Errorf("%s: %d slots, want %d", row.name, got, row.want)
		}
	}
}

func TestOwnerStopsCountingWhenItAsksNoMore(t *testing.T) {
	q, c := newQuota()
	lookup, other := kind("lookup", "filao", contract.ClassLookup), kind("other", "teranga", contract.ClassLookup)
	leave, _, _ := q.Reserve(other, 10)
	leave()
	if got := len(enterAll(q, lookup, 10, 30)); got != 17 {
		t.Errorf("with another owner active: %d, want all of 10 and 8 that wait but one: 17", got)
	}
	c.now = c.now.Add(activeFor)
	if got := len(enterAll(q, lookup, 10, 10)); got != 10 {
		t.Errorf("after the other owner left: %d more, want 10", got)
	}
}

// TestEveryLimitIsUsed fills each number of slots while other owners ask now
// and then: all but one may be used, and a few calls wait, and the others get
// their part. A kind of a narrow share beside another may use so much as
// admission needs to see to raise its limit.
func TestEveryLimitIsUsed(t *testing.T) {
	for slots := 0; slots <= 64; slots++ {
		for others := 1; others <= 5; others++ {
			q, _ := newQuota()
			lookup := kind("lookup", "filao", contract.ClassLookup)
			var other *contract.Kind
			for i := range others {
				other = kind("other", string(rune('a'+i)), contract.ClassLookup)
				leave, _, _ := q.Reserve(other, slots)
				leave()
			}
			want := max(slots, 1) + max(slots/2, 8) - 1
			if got := len(enterAll(q, lookup, slots, 120)); got != want {
				t.Errorf("%d slots: %d beside %d idle owners, want %d", slots, got, others, want)
			}
			if got, part := len(enterAll(q, other, slots, 120)), max(1, slots/(others+1)); got < part {
				t.Errorf("%d slots: another owner gets %d, want its part, %d", slots, got, part)
			}
		}
		q, _ := newQuota()
		narrow, first := kind("narrow", "filao", contract.ClassLookup), kind("first", "filao", contract.ClassLookup)
		narrow.Share = 0.1
		enterAll(q, first, slots, 1)
		if got := 1 + len(enterAll(q, narrow, slots, 90)); float64(got) < scarceAt*float64(slots) {
			t.Errorf("%d slots: a narrow kind and one other have %d", slots, got)
		}
	}
}

// TestFloodMayNotWait lets an owner ask for five times what ends, beside
// another that asks now and then, and then no more than ends: in the flood next
// to nothing waits, before and after it the full number may.
func TestFloodMayNotWait(t *testing.T) {
	const slots, rounds = 32, 50 // rounds of 10 ms
	q, c := newQuota()
	lookup, other := kind("lookup", "filao", contract.ClassLookup), kind("other", "teranga", contract.ClassLookup)
	var held []func()
	for i, row := range []struct{ asked, want int }{{1, slots + slots/2 - 1}, {5, slots + slots/8 - 1}, {1, slots + slots/2 - 1}} {
		for range rounds {
			for range min(4, len(held)) {
				held[0]()
				held = held[1:]
			}
			leave, _, ok := q.Reserve(other, slots)
			if !ok {
				t.Fatal("the other owner is refused")
			}
			for range 4 * row.asked {
				held = append(held, enterAll(q, lookup, slots, 1)...)
			}
			leave()
			c.now = c.now.Add(10 * time.Millisecond)
		}
		leave, _, _ := q.Reserve(other, slots)
		leave()
		held = append(held, enterAll(q, lookup, slots, 60)...)
		if got := len(held); got != row.want {
			t.Errorf("phase %d: %d in flight, want %d", i, got, row.want)
		}
	}
}

func TestRateIsDividedAmongUpstreams(t *testing.T) {
	for _, targets := range []int{1, 4} {
		q, c := newQuota()
		k := kind("lookup", "filao", contract.ClassLookup)
		k.Rate = 400
		q.Adopt([]*contract.Kind{k}, targets)
		admitted := 0
		for range 10_000 {
			if leave, wait, ok := q.Reserve(k, 40); ok {
				admitted++
				leave()
			} else if wait <= 0 {
				t.Fatal("a refusal without a time to come back")
			}
			c.now = c.now.Add(time.Millisecond)
		}
		perTarget := 400 / float64(targets)
		want := perTarget * (10 + burst.Seconds())
		if float64(admitted) > want || float64(admitted) < 0.98*perTarget*10 {
			t.Errorf("%d upstreams: %d admitted in 10s, want %.0f", targets, admitted, want)
		}
		c.now = c.now.Add(time.Minute)
		if got := len(enterAll(q, k, 1e6, 1e3)); float64(got) > perTarget*burst.Seconds() {
			t.Errorf("%d upstreams: %d at once after a quiet minute, want %.0f", targets, got, perTarget*burst.Seconds())
		}
	}
}

// TestOrdersAndCounts draws random calls, ends and catalogues: an order within
// its own limits is never refused while orders leave slots free, and in the
// end nothing is held.
func TestOrdersAndCounts(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.Rng.Seed(4)
	parameters.MinSuccessfulTests = 1000
	properties := gopter.NewProperties(parameters)
	owners, slots := []string{"filao", "teranga"}, 12
	properties.Property("any sequence of calls", prop.ForAll(func(ops []uint32) string {
		q, c := newQuota()
		var leaves []func()
		orders := map[int]bool{}
		for _, op := range ops {
			c.now = c.now.Add(time.Duration(op>>24) * time.Millisecond)
			class := contract.Class(op >> 4 % contract.NumClasses)
			k := kind(class.String(), owners[op>>8&1], class) // edits move it to another owner
			k.Share = float64(op>>12%4) / 4
			switch op % 8 {
			case 0:
				q.Adopt([]*contract.Kind{k}, 1+int(op>>16%5))
			case 1, 2, 3:
				if len(leaves) > 0 {
					last := len(leaves) - 1
					leaves[last]()
					leaves = leaves[:last]
					delete(orders, last)
				}
			default:
				leave, _, ok := q.Reserve(k, slots)
				if !ok && class == contract.ClassOrder && float64(len(orders)) < scarceAt*float64(slots) {
					return "an order was refused for lookups"
				}
				if ok {
					if class == contract.ClassOrder {
						orders[len(leaves)] = true
					}
					leaves = append(leaves, leave)
				}
			}
		}
		for _, leave := range leaves {
			leave()
		}
		for _, owner := range q.owners {
			if owner.inFlight != [numGroups]int{} {
				return "an owner holds slots without calls"
			}
		}
		if q.groups[groupReads].inFlight != 0 || q.groups[groupOrders].inFlight != 0 {
			return "slots are held without calls"
		}
		return ""
	}, gen.SliceOfN(120, gen.UInt32())))
	properties.TestingRun(t)
}

func BenchmarkEnterLeave(b *testing.B) {
	q := New(time.Now)
	k := kind("lookup", "filao", contract.ClassLookup)
	k.Rate = 1e9
	b.ReportAllocs()
	for b.Loop() {
		leave, _, _ := q.Reserve(k, 40)
		leave()
	}
}
