package platform_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"heathershed/internal/platform"
	"heathershed/internal/platform/fake"
	"heathershed/internal/platform/objectstore"
	"heathershed/internal/platform/resolve"
	"heathershed/internal/platform/standin"
)

// stores are all implementations, each over a fake that shows its faults.
func stores(t *testing.T) map[string]func() (platform.Store, *fake.Store) {
	overHTTP := func() (platform.Store, *fake.Store) {
		f := fake.New()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		srv := standin.New(f)
		go func() { _ = srv.Serve(l) }()
		t.Cleanup(func() { _ = srv.Shutdown(context.Background()) })
		s, err := objectstore.New([]string{l.Addr().String()})
		if err != nil {
			t.Fatal(err)
		}
		return s, f
	}
	return map[string]func() (platform.Store, *fake.Store){
		"fake": func() (platform.Store, *fake.Store) { f := fake.New(); return f, f },
		"http": overHTTP,
		"resolve": func() (platform.Store, *fake.Store) {
			f := fake.New()
			return resolve.New(f, resolve.Options{Rate: 1e6, Burst: 1e6, BackoffBase: 1, BackoffMax: 1}), f
		},
		"resolve over http": func() (platform.Store, *fake.Store) {
			s, f := overHTTP()
			return resolve.New(s, resolve.Options{Rate: 1e6, Burst: 1e6, BackoffBase: 1, BackoffMax: 1}), f
		},
	}
}

func TestStoreContract(t *testing.T) {
	for name, open := range stores(t) {
		t.Run(name, func(t *testing.T) {
			ctx := t.Context()
			s, _ := open()
			must := func(what string, got, want error) {
				t.Helper()
				if !errors.Is(got, want) {
					t.Fatalf("%s: %v, want %v", what, got, want)
				}
			}
			_, err := s.Get(ctx, "a/x y?")
			must("get of nothing", err, platform.ErrNotFound)
			_, err = s.Put(ctx, "a/x y?", []byte("1"), 7, "w0")
			must("put on a base that never was", err, platform.ErrConflict)
			one, err := s.Put(ctx, "a/x y?", []byte("1"), 0, "w1")
			must("create", err, nil)
			_, err = s.Put(ctx, "a/x y?", []byte("2"), 0, "w2")
			must("create again", err, platform.ErrConflict)
			_, err = s.Put(ctx, "b", make([]byte, platform.MaxValue+1), 0, "w3")
			must("too large", err, platform.ErrTooLarge)
			_, err = s.Put(ctx, "b", make([]byte, platform.MaxValue), 0, "w4")
			must("as large as may be", err, nil)
			two, err := s.Put(ctx, "a/x y?", []byte("2"), one.Version, "w5")
			must("update", err, nil)
			must("delete of an old version", s.Delete(ctx, "a/x y?", one.Version), platform.ErrConflict)
			got, err := s.Get(ctx, "a/x y?")
			must("get", err, nil)
			if string(got.Value) != "2" || got.WriteID != "w5" || got.Version != two.Version || two.Version <= one.Version {
				t.Fatalf("got %+v after versions %d and %d", got, one.Version, two.Version)
			}
			list, v, err := s.List(ctx, "a/")
			must("list", err, nil)
			if len(list) != 1 || list[0].WriteID != "w5" || v < two.Version {
				t.Fatalf("list %+v at %d", list, v)
			}
			events, next, err := s.Watch(ctx, "a/", one.Version)
			must("watch", err, nil)
			if len(events) != 1 || string(events[0].Object.Value) != "2" || next < two.Version {
				t.Fatalf("watch %+v to %d", events, next)
			}
			must("delete", s.Delete(ctx, "a/x y?", two.Version), nil)
			must("delete of nothing", s.Delete(ctx, "a/x y?", two.Version), platform.ErrNotFound)
			events, _, err = s.Watch(ctx, "a/", next)
			must("watch of a delete", err, nil)
			if len(events) != 1 || !events[0].Deleted || events[0].Object.Value != nil {
				t.Fatalf("watch of a delete: %+v", events)
			}
		})
	}
}

// TestStoreFaults holds what each store may say under each fault: a write that
// took effect is never reported as decided against.
func TestStoreFaults(t *testing.T) {
	faults := map[string]fake.Faults{
		"down":           {Down: true},
		"answer lost":    {LostAnswer: 1},
		"write dropped":  {DroppedWrite: 1},
		"write delayed":  {DelayedWrite: 1, WriteDelay: time.Nanosecond},
		"read stale":     {StaleRead: 1, StaleBy: time.Hour},
		"lost and stale": {LostAnswer: 1, StaleRead: 1, StaleBy: time.Hour},
		"watch skips":    {LostAnswer: 1, SkipEvent: 1, StaleRead: 1, StaleBy: time.Hour},
	}
	for name, open := range stores(t) {
		for fault, f := range faults {
			t.Run(name+"/"+fault, func(t *testing.T) {
				s, fk := open()
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				fk.SetFaults(f)
				_, err := s.Put(ctx, "k", []byte("v"), 0, "mine")
				fk.SetFaults(fake.Faults{})
				now, getErr := fk.Get(t.Context(), "k")
				ran := getErr == nil && now.WriteID == "mine"
				if err == nil && !ran {
					t.Errorf("reported as written, but is not")
				}
				if err != nil && platform.IsDecided(err) && ran {
					t.Errorf("reported %v, but is written", err)
				}
				if f.LostAnswer == 1 && !ran {
					t.Errorf("the fault did not happen")
				}
			})
		}
	}
}

func TestHTTPStoreTellsUnsentFromUnknown(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, err := objectstore.New([]string{l.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	go func() { // accepts, reads, closes: the request was sent
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 1))
			_ = c.Close()
		}
	}()
	if _, err := s.Put(t.Context(), "k", nil, 0, "w"); !errors.Is(err, platform.ErrUnknown) {
		t.Errorf("closed under the write: %v, want unknown", err)
	}
	_ = l.Close()
	if _, err := s.Put(t.Context(), "k", nil, 0, "w"); !errors.Is(err, platform.ErrUnavailable) || !platform.IsDecided(err) {
		t.Errorf("nobody listens: %v, want unavailable", err)
	}
}
