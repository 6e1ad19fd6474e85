package resolve

import (
	"context"
	"fmt"
	"math/rand"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"heathershed/internal/platform"
	"heathershed/internal/platform/fake"
)

// clock is a fake clock that advances by the durations it is asked to sleep.
type clock struct{ t time.Time }

func (c *clock) now() time.Time { return c.t }

func (c *clock) sleep(ctx context.Context, d time.Duration) error {
	c.t = c.t.Add(d)
	return ctx.Err()
}

func open(seed int64, opts Options) (*Store, *fake.Store, *clock) {
	c := &clock{t: time.Unix(1000, 0)}
	f := fake.New(fake.WithClock(c.now), fake.WithSeed(seed), fake.WithSleep(c.sleep))
	opts.Now, opts.Sleep, opts.Seed = c.now, c.sleep, seed
	return New(f, opts), f, c
}

func TestLostAnswerIsResolved(t *testing.T) {
	for _, tc := range []struct {
		name string
		// between runs after the first answer was lost, as another writer.
		between func(f *fake.Store, first platform.Object)
		faults  fake.Faults
		want    error
	}{
		{"took effect", nil, fake.Faults{LostAnswer: 1}, nil},
		{"never took effect", nil, fake.Faults{DroppedWrite: 1}, nil},
		{"takes effect later", nil, fake.Faults{DelayedWrite: 1, WriteDelay: time.Hour}, nil},
		{"replaced by another writer since", replace, fake.Faults{LostAnswer: 1}, nil},
		{"replaced, changes compacted", func(f *fake.Store, o platform.Object) { replace(f, o); f.Compact() },
			fake.Faults{LostAnswer: 1}, platform.ErrUnknown},
		{"lost to another writer", replace, fake.Faults{DroppedWrite: 1}, platform.ErrUnknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := &clock{t: time.Unix(1000, 0)}
			f := fake.New(fake.WithClock(c.now))
			base, _ := f.Put(t.Context(), "k", []byte("0"), 0, "base")
			opts := Options{Now: c.now}
			opts.Sleep = func(ctx context.Context, d time.Duration) error {
				if f.Faults() != (fake.Faults{}) {
					f.SetFaults(fake.Faults{})
					o, _ := f.Get(ctx, "k")
					if tc.between != nil {
						tc.between(f, o)
					}
				}
				return c.sleep(ctx, d)
			}
			s := New(f, opts)
			f.SetFaults(tc.faults)
			o, err := s.Put(t.Context(), "k", []byte("1"), base.Version, "mine")
			if !errors.Is(err, tc.want) || (err == nil && o.WriteID != "mine") {
				t.Fatalf("got %+v, %v; want error %v", o, err, tc.want)
			}
			// A delayed copy of the write must conflict, because its base is gone.
			c.t = c.t.Add(2 * time.Hour)
			f.ApplyDueWrites()
			now, _ := f.Get(t.Context(), "k")
			if err == nil && tc.between == nil && now.Version != o.Version {
				t.Errorf("got version %d, want the write applied once, as version %d", now.Version, o.Version)
			}
		})
	}
}

func replace(f *fake.Store, o platform.Object) {
	if _, err := f.Put(context.Background(), "k", []byte("other"), o.Version, "other"); err != nil {
		panic(err)
	}
}

// TestIncrementsAreNeitherLostNorDoubled guards against an increment that is
// reported as written but missing, or applied twice, while two writers
// increment one object under random faults.
func TestIncrementsAreNeitherLostNorDoubled(t *testing.T) {
	params := gopter.DefaultTestParameters()
	params.MinSuccessfulTests = 300
	params.Rng = rand.New(rand.NewSource(11))
	properties := gopter.NewProperties(params)
	properties.Property("reported increments are applied exactly once", prop.ForAll(
		func(seed int64) string { return runCounter(seed) }, gen.Int64()))
	properties.TestingRun(t)
}

func runCounter(seed int64) string {
	ctx := context.Background()
	rng := rand.New(rand.NewSource(seed))
	first, f, c := open(seed, Options{Rate: 1e6, Burst: 1e6})
	second := New(f, Options{Now: c.now, Sleep: c.sleep, Seed: seed + 1, Rate: 1e6, Burst: 1e6})
	written, unknown := 0, 0
	for i := range 40 {
		f.SetFaults(fake.Faults{
			Down:       rng.Intn(8) == 0,
			LostAnswer: float64(rng.Intn(2)) * 0.5, DroppedWrite: float64(rng.Intn(2)) * 0.3,
			DelayedWrite: float64(rng.Intn(2)) * 0.5, WriteDelay: time.Duration(rng.Intn(300)) * time.Millisecond,
			StaleRead: float64(rng.Intn(2)) * 0.5, StaleBy: time.Duration(rng.Intn(300)) * time.Millisecond,
		})
		s := []*Store{first, second}[rng.Intn(2)]
		o, err := s.Get(ctx, "n")
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			continue
		}
		n, _ := strconv.Atoi(string(o.Value))
		_, err = s.Put(ctx, "n", []byte(strconv.Itoa(n+1)), o.Version, fmt.Sprintf("w%d", i))
		switch {
		case err == nil:
			written++
		case !platform.IsDecided(err):
			unknown++
		}
	}
	f.SetFaults(fake.Faults{})
	c.t = c.t.Add(time.Hour)
	f.ApplyDueWrites()
	o, _ := f.Get(ctx, "n")
	n, _ := strconv.Atoi(string(o.Value))
	if n < written || n > written+unknown {
		return fmt.Sprintf("got counter %d, with %d increments written and %d unknown", n, written, unknown)
	}
	return ""
}

func TestStaleReadsAreRejected(t *testing.T) {
	s, f, c := open(1, Options{Rate: 1e6, Burst: 1e6})
	one, _ := s.Put(t.Context(), "k", []byte("1"), 0, "w1")
	c.t = c.t.Add(time.Minute)
	two, _ := s.Put(t.Context(), "k", []byte("2"), one.Version, "w2")
	if _, _, err := s.List(t.Context(), ""); err != nil {
		t.Fatal(err)
	}
	f.SetFaults(fake.Faults{StaleRead: 1, StaleBy: 30 * time.Second})
	if o, err := s.Get(t.Context(), "k"); !errors.Is(err, platform.ErrStale) {
		t.Errorf("stale get: got %+v, %v; want ErrStale", o, err)
	}
	if o, _, err := s.List(t.Context(), ""); !errors.Is(err, platform.ErrStale) {
		t.Errorf("stale list: got %+v, %v; want ErrStale", o, err)
	}
	if o, _, err := s.List(t.Context(), "k"); !errors.Is(err, platform.ErrStale) {
		t.Errorf("first list of a prefix, older than its object: got %+v, %v; want ErrStale", o, err)
	}
	f.SetFaults(fake.Faults{StaleRead: 1, StaleBy: 2 * time.Hour}) // from before the key existed
	if o, err := s.Get(t.Context(), "k"); !errors.Is(err, platform.ErrStale) {
		t.Errorf("get from before the key existed: got %+v, %v; want ErrStale", o, err)
	}
	f.SetFaults(fake.Faults{})
	if err := f.Delete(t.Context(), "k", two.Version); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Get(t.Context(), "k"); !errors.Is(err, platform.ErrNotFound) {
		t.Errorf("deleted by another writer: got %v, want ErrNotFound", err)
	}
}

func TestLimitedAfterLostAnswerIsUnknown(t *testing.T) {
	s, f, _ := open(1, Options{Rate: 1e-9, Burst: 1})
	f.SetFaults(fake.Faults{LostAnswer: 1})
	if _, err := s.Put(t.Context(), "k", nil, 0, "w"); platform.IsDecided(err) {
		t.Errorf("put that took effect: got %v, want ErrUnknown", err)
	}
}

func TestRateLimitSendsNothing(t *testing.T) {
	s, f, c := open(1, Options{Rate: 1, Burst: 3})
	for range 10 {
		_, _ = s.Get(t.Context(), "k")
	}
	if n := f.Counts().Get; n != 3 {
		t.Errorf("got %d calls sent at once, want the burst of 3", n)
	}
	c.t = c.t.Add(2 * time.Second)
	for range 10 {
		_, _ = s.Get(t.Context(), "k")
	}
	if n := f.Counts().Get; n != 5 {
		t.Errorf("got %d calls after 2 s at 1/s, want 5", n)
	}
}

// TestViewNeverGoesBack guards against a view that goes back to an older
// version, or differs from the store after a correct list, when watches skip
// and repeat events and lists are stale.
func TestViewNeverGoesBack(t *testing.T) {
	params := gopter.DefaultTestParameters()
	params.MinSuccessfulTests = 300
	params.Rng = rand.New(rand.NewSource(12))
	properties := gopter.NewProperties(params)
	properties.Property("view never goes back and follows the store", prop.ForAll(
		func(seed int64) string { return runView(seed) }, gen.Int64()))
	properties.TestingRun(t)
}

// singlePoll is a context that ends when the watch has checked for changes
// once and would block.
type singlePoll struct {
	context.Context
	polled bool
}

func (c *singlePoll) Done() <-chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}

func (c *singlePoll) Err() error {
	if c.polled {
		return context.Canceled
	}
	c.polled = true
	return nil
}

func runView(seed int64) string {
	ctx := context.Background()
	rng := rand.New(rand.NewSource(seed))
	_, f, c := open(seed, Options{})
	view := NewView()
	highest := map[string]platform.Version{}
	check := func(changes []platform.Event) string {
		for _, e := range changes {
			if e.Object.Version <= highest[e.Object.Key] {
				return fmt.Sprintf("%s went from %d to %d", e.Object.Key, highest[e.Object.Key], e.Object.Version)
			}
			highest[e.Object.Key] = e.Object.Version
		}
		return ""
	}
	for i := range 60 {
		c.t = c.t.Add(time.Second)
		key := fmt.Sprintf("k%d", rng.Intn(4))
		o, _ := f.Get(ctx, key)
		if rng.Intn(4) == 0 {
			_ = f.Delete(ctx, key, o.Version)
		} else {
			_, _ = f.Put(ctx, key, []byte{byte(i)}, o.Version, strconv.Itoa(i))
		}
		f.SetFaults(fake.Faults{
			SkipEvent: 0.3, RepeatEvent: 0.5,
			StaleRead: 0.5, StaleBy: time.Duration(rng.Intn(20)) * time.Second,
		})
		if rng.Intn(5) == 0 {
			objects, v, _ := f.List(ctx, "k")
			changes, _ := view.ApplyList(objects, v)
			if s := check(changes); s != "" {
				return s
			}
		}
		if view.Listed() && rng.Intn(3) == 0 {
			events, next, err := f.Watch(&singlePoll{Context: ctx}, "k", view.Version())
			if err == nil {
				if s := check(view.ApplyEvents(events, next)); s != "" {
					return s
				}
			}
		}
		f.SetFaults(fake.Faults{})
	}
	objects, v, _ := f.List(ctx, "k")
	if _, fresh := view.ApplyList(objects, v); !fresh {
		return "a current list was ignored"
	}
	if got, want := fmt.Sprint(view.Objects()), fmt.Sprint(objects); got != want {
		return got + " differs from the store: " + want
	}
	return ""
}
