package membership

import (
	"math/rand"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"google.golang.org/protobuf/proto"

	linkpb "heathershed/api/link"
)

const tick = 10 * time.Second

// watcher is a view that observes the store, with simulated members.
type watcher struct {
	*View
	now      time.Time
	answered time.Time // time since which the store responds; zero while it is down
	members  []*linkpb.Member
	next     []time.Time // next renewal of each member; zero if it has failed
	expired  map[string]time.Time
}

func newWatcher(members int, r *rand.Rand) *watcher {
	w := &watcher{View: NewView(testMember(0, 1)), now: start, answered: start, expired: make(map[string]time.Time)}
	for i := range members {
		w.members = append(w.members, testMember(i+1, 1))
		w.next = append(w.next, start.Add(time.Duration(r.Int63n(int64(RenewInterval)))))
	}
	w.Apply(start, w.members)
	return w
}

// step advances the time by one tick. Members renew while the store responds.
func (w *watcher) step() {
	w.now = w.now.Add(tick)
	if !w.answered.IsZero() {
		for i, m := range w.members {
			if w.next[i].IsZero() || w.now.Before(w.next[i]) {
				continue
			}
			w.next[i] = w.now.Add(RenewInterval)
			renewed := proto.Clone(m).(*linkpb.Member)
			renewed.RenewedUnixMs = w.now.UnixMilli()
			w.members[i] = renewed
			w.Apply(w.now, []*linkpb.Member{renewed})
		}
	}
	for _, m := range w.ExpireLeases(w.now, w.answered, LeaseTTL) {
		w.expired[m.Vm] = w.now
	}
}

// Outages of the store and pauses of this process, of any length, must not
// expire the lease of a live VM. The lease of a failed VM expires once the store
// has responded for long enough.
func TestNoExpiryFromStoreOutage(t *testing.T) {
	p := properties(11, 300)
	p.Property("no expiry during store outages", prop.ForAll(func(seed int64) (bool, error) {
		r := rand.New(rand.NewSource(seed))
		w := newWatcher(12, r)
		for range 600 {
			switch r.Intn(40) {
			case 0:
				w.answered = time.Time{}
			case 1, 2:
				if w.answered.IsZero() {
					w.answered = w.now
				}
			case 3: // this process is paused; the members are not, the store may be down
				w.now = w.now.Add(time.Duration(r.Intn(1000)) * time.Second)
			}
			w.step()
		}
		if len(w.expired) > 0 {
			return false, errors.Newf("leases of live VMs expired: %v", w.expired)
		}
		w.next[0] = time.Time{}
		w.answered = w.now
		for range 2 * LeaseTTL / tick {
			w.step()
		}
		if len(w.expired) != 1 {
			return false, errors.Newf("one VM has failed, expired: %v", w.expired)
		}
		return true, nil
	}, gen.Int64()))
	p.TestingRun(t)
}

func TestExpireLeases(t *testing.T) {
	stop := func(w *watcher, failed int, steps time.Duration) {
		for i := range failed {
			w.next[i] = time.Time{}
		}
		for range steps / tick {
			w.step()
		}
	}
	for name, c := range map[string]struct {
		members, failed int
		run             func(w *watcher, failed int)
		want            int
	}{
		"within the lease":    {12, 2, func(w *watcher, d int) { stop(w, d, LeaseTTL-tick) }, 0},
		"after the lease":     {12, 2, func(w *watcher, d int) { stop(w, d, LeaseTTL+RenewInterval) }, 2},
		"store down":          {12, 2, func(w *watcher, d int) { w.answered = time.Time{}; stop(w, d, time.Hour) }, 0},
		"store flapping":      {12, 2, func(w *watcher, d int) { flap(w, d, stop) }, 0},
		"at most three":       {12, 8, func(w *watcher, d int) { stop(w, d, LeaseTTL+RenewInterval) }, 3},
		"then three more":     {12, 8, func(w *watcher, d int) { stop(w, d, 2*LeaseTTL+RenewInterval) }, 6},
		"at most a tenth":     {100, 60, func(w *watcher, d int) { stop(w, d, LeaseTTL+RenewInterval) }, 10},
		"contact on a link":   {12, 1, func(w *watcher, d int) { contact(w, d, stop) }, 0},
		"paused, then called": {12, 2, func(w *watcher, d int) { w.step(); w.now = w.now.Add(time.Hour); stop(w, d, tick) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWatcher(c.members, rand.New(rand.NewSource(1)))
			c.run(w, c.failed)
			if len(w.expired) != c.want {
				t.Errorf("%d leases expired, want %d: %v", len(w.expired), c.want, w.expired)
			}
			for vm := range w.expired {
				expired, _ := w.Member(vm)
				alive := NewView(testMember(0, 1))
				alive.self.Vm, alive.self.Sequence = vm, expired.Sequence-1
				back := alive.Apply(w.now, []*linkpb.Member{expired})
				if len(back) != 1 || len(w.Apply(w.now, back)) != 1 || !IsLive(back[0]) {
					t.Errorf("%s is alive but can't refute its expiry: %v", vm, back)
				}
			}
		})
	}
}

func flap(w *watcher, failed int, stop func(*watcher, int, time.Duration)) {
	for range 9 {
		w.answered = w.now
		stop(w, failed, LeaseTTL-tick)
		w.answered = time.Time{}
		stop(w, failed, tick)
	}
}

func contact(w *watcher, failed int, stop func(*watcher, int, time.Duration)) {
	for range 9 {
		stop(w, failed, LeaseTTL-tick)
		w.RecordContact(w.now, w.members[0].Vm)
	}
}
