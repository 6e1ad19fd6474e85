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

// watcher is a view that watches the store, with members that renew or not.
type watcher struct {
	*View
	now      time.Time
	answered time.Time // the store has answered since; zero while it is down
	members  []*linkpb.Member
	next     []time.Time // of each member's renewal; zero: it is dead
	lapsed   map[string]time.Time
}

func newWatcher(members int, r *rand.Rand) *watcher {
	w := &watcher{View: NewView(testMember(0, 1)), now: start, answered: start, lapsed: make(map[string]time.Time)}
	for i := range members {
		w.members = append(w.members, testMember(i+1, 1))
		w.next = append(w.next, start.Add(time.Duration(r.Int63n(int64(RenewInterval)))))
	}
	w.Apply(start, w.members)
	return w
}

// step lets one tick pass. Members renew where the store answers.
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
		w.lapsed[m.Vm] = w.now
	}
}

// Outages of the store and pauses of this process, of any length: nobody who
// lives lapses. A VM that is dead lapses once the store answers again for long
// enough.
func TestNoLapseFromSilence(t *testing.T) {
	p := properties(11, 300)
	p.Property("no lapse from the store's silence", prop.ForAll(func(seed int64) (bool, error) {
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
			case 3: // this process is paused; the others are not, the store may be
				w.now = w.now.Add(time.Duration(r.Intn(1000)) * time.Second)
			}
			w.step()
		}
		if len(w.lapsed) > 0 {
			return false, errors.Newf("lapsed: %v", w.lapsed)
		}
		w.next[0] = time.Time{}
		w.answered = w.now
		for range 2 * LeaseTTL / tick {
			w.step()
		}
		if len(w.lapsed) != 1 {
			return false, errors.Newf("one is dead, lapsed: %v", w.lapsed)
		}
		return true, nil
	}, gen.Int64()))
	p.TestingRun(t)
}

func TestLapse(t *testing.T) {
	silent := func(w *watcher, dead int, steps time.Duration) {
		for i := range dead {
			w.next[i] = time.Time{}
		}
		for range steps / tick {
			w.step()
		}
	}
	for name, c := range map[string]struct {
		members, dead int
		run           func(w *watcher, dead int)
		want          int
	}{
		"within the lease":    {12, 2, func(w *watcher, d int) { silent(w, d, LeaseTTL-tick) }, 0},
		"after the lease":     {12, 2, func(w *watcher, d int) { silent(w, d, LeaseTTL+RenewInterval) }, 2},
		"store down":          {12, 2, func(w *watcher, d int) { w.answered = time.Time{}; silent(w, d, time.Hour) }, 0},
		"store flapping":      {12, 2, func(w *watcher, d int) { flap(w, d, silent) }, 0},
		"at most three":       {12, 8, func(w *watcher, d int) { silent(w, d, LeaseTTL+RenewInterval) }, 3},
		"then three more":     {12, 8, func(w *watcher, d int) { silent(w, d, 2*LeaseTTL+RenewInterval) }, 6},
		"at most a tenth":     {100, 60, func(w *watcher, d int) { silent(w, d, LeaseTTL+RenewInterval) }, 10},
		"heard on a link":     {12, 1, func(w *watcher, d int) { heard(w, d, silent) }, 0},
		"paused, then called": {12, 2, func(w *watcher, d int) { w.step(); w.now = w.now.Add(time.Hour); silent(w, d, tick) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWatcher(c.members, rand.New(rand.NewSource(1)))
			c.run(w, c.dead)
			if len(w.lapsed) != c.want {
				t.Errorf("%d lapsed, want %d: %v", len(w.lapsed), c.want, w.lapsed)
			}
			for vm := range w.lapsed {
				lapsed, _ := w.Member(vm)
				alive := NewView(testMember(0, 1))
				alive.self.Vm, alive.self.Sequence = vm, lapsed.Sequence-1
				back := alive.Apply(w.now, []*linkpb.Member{lapsed})
				if len(back) != 1 || len(w.Apply(w.now, back)) != 1 || !IsLive(back[0]) {
					t.Errorf("%s lives and can't contradict: %v", vm, back)
				}
			}
		})
	}
}

func flap(w *watcher, dead int, silent func(*watcher, int, time.Duration)) {
	for range 9 {
		w.answered = w.now
		silent(w, dead, LeaseTTL-tick)
		w.answered = time.Time{}
		silent(w, dead, tick)
	}
}

func heard(w *watcher, dead int, silent func(*watcher, int, time.Duration)) {
	for range 9 {
		silent(w, dead, LeaseTTL-tick)
		w.RecordContact(w.now, w.members[0].Vm)
	}
}
