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

// stores returns constructors of all implementations, each over a fake store
// with configurable faults.
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
					t.Fatalf("%s: got %v, want %v", what, got, want)
				}
			}
			_, err := s.Get(ctx, "a/x y?")
			must("get of a missing object", err, platform.ErrNotFound)
			_, err = s.Put(ctx, "a/x y?", []byte("1"), 7, "w0")
			must("put with a base that never existed", err, platform.ErrConflict)
			one, err := s.Put(ctx, "a/x y?", []byte("1"), 0, "w1")
			must("create", err, nil)
			_, err = s.Put(ctx, "a/x y?", []byte("2"), 0, "w2")
			must("create again", err, platform.ErrConflict)
			_, err = s.Put(ctx, "b", make([]byte, platform.MaxValue+1), 0, "w3")
			must("put of a value over the limit", err, platform.ErrTooLarge)
			_, err = s.Put(ctx, "b", make([]byte, platform.MaxValue), 0, "w4")
			must("put of the largest value", err, nil)
			two, err := s.Put(ctx, "a/x y?", []byte("2"), one.Version, "w5")
			must("update", err, nil)
			must("delete of an old version", s.Delete(ctx, "a/x y?", one.Version), platform.ErrConflict)
			got, err := s.Get(ctx, "a/x y?")
			must("get", err, nil)
			if string(got.Value) != "2" || got.WriteID != "w5" || got.Version != two.Version || two.Version <= one.Version {
				t.Fatalf("got %+v after writing versions %d and %d", got, one.Version, two.Version)
			}
			list, v, err := s.List(ctx, "a/")
			must("list", err, nil)
			if len(list) != 1 || list[0].WriteID != "w5" || v < two.Version {
				t.Fatalf("got list %+v at version %d", list, v)
			}
			events, next, err := s.Watch(ctx, "a/", one.Version)
			must("watch", err, nil)
			if len(events) != 1 || string(events[0].Object.Value) != "2" || next < two.Version {
				t.Fatalf("got events %+v up to version %d", events, next)
			}
			must("delete", s.Delete(ctx, "a/x y?", two.Version), nil)
			must("delete of a missing object", s.Delete(ctx, "a/x y?", two.Version), platform.ErrNotFound)
			events, _, err = s.Watch(ctx, "a/", next)
			must("watch of a delete", err, nil)
			if len(events) != 1 || !events[0].Deleted || events[0].Object.Value != nil {
				t.Fatalf("watch of a delete: got %+v", events)
			}
		})
	}
}

// TestStoreFaults guards against a store that, under some fault, reports a
// write that took effect as decided against, or the reverse.
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
					t.Errorf("write reported as done, but it did not take effect")
				}
				if err != nil && platform.IsDecided(err) && ran {
					t.Errorf("write reported as failed with %v, but it took effect", err)
				}
				if f.LostAnswer == 1 && !ran {
					t.Errorf("fault not injected")
				}
			})
		}
	}
}

func TestHTTPStoreDistinguishesUnsentFromUnknown(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, err := objectstore.New([]string{l.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	go func() { // closes each connection after the first byte of the request
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
		t.Errorf("connection closed during the write: got %v, want ErrUnknown", err)
	}
	_ = l.Close()
	if _, err := s.Put(t.Context(), "k", nil, 0, "w"); !errors.Is(err, platform.ErrUnavailable) || !platform.IsDecided(err) {
		t.Errorf("no listener: got %v, want ErrUnavailable", err)
	}
}
