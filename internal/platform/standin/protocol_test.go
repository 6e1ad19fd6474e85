package standin_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	store "heathershed/internal/platform"
	"heathershed/internal/platform/fake"
	"heathershed/internal/platform/standin"
	"heathershed/internal/platform/wire"
	"heathershed/platform"
)

const kind = "heathershed-nodes"

// open starts a stand-in server and returns a client of it and its store.
func open(t *testing.T) (*platform.ObjectClient, *fake.Store) {
	t.Helper()
	f := fake.New()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := standin.New(f)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Shutdown(context.Background()) })
	return platform.NewObjectClient(l.Addr().String()), f
}

func put(t *testing.T, c *platform.ObjectClient, name string, revision uint64, spec string) platform.Object {
	t.Helper()
	o, err := c.Put(t.Context(), kind, platform.Object{Name: name, Revision: revision, Spec: []byte(spec)})
	if err != nil {
		t.Fatal(err)
	}
	return o
}

func TestWritesCheckRevision(t *testing.T) {
	c, _ := open(t)
	one := put(t, c, "a/b ?", 0, `{"n":1}`)
	two := put(t, c, "a/b ?", one.Revision, `{"n":2}`)
	if two.Revision <= one.Revision {
		t.Fatalf("got revisions %d and %d, want them ascending", one.Revision, two.Revision)
	}
	for name, err := range map[string]error{
		"create again": second(c.Put(t.Context(), kind, platform.Object{Name: "a/b ?", Spec: []byte("1")})),
		"old revision": second(c.Put(t.Context(), kind, platform.Object{Name: "a/b ?", Revision: one.Revision, Spec: []byte("1")})),
		"delete old":   c.Delete(t.Context(), kind, "a/b ?", one.Revision),
	} {
		if !errors.Is(err, store.ErrConflict) {
			t.Errorf("%s: got %v, want ErrConflict", name, err)
		}
	}
	got, err := c.Get(t.Context(), kind, "a/b ?")
	if err != nil || string(got.Spec) != `{"n":2}` || got.Revision != two.Revision {
		t.Fatalf("got %+v, %v; want the second write", got, err)
	}
	if err := c.Delete(t.Context(), kind, "a/b ?", two.Revision); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Get(t.Context(), kind, "a/b ?"); !errors.Is(err, store.ErrNotFound) {
		t.Fatalf("get after the delete: got %v, want ErrNotFound", err)
	}
}

func second[T any](_ T, err error) error { return err }

func TestListReturnsAllPages(t *testing.T) {
	c, _ := open(t)
	const objects = 1201
	for i := range objects {
		put(t, c, fmt.Sprintf("n-%04d", i), 0, "{}")
	}
	all, _, err := c.List(t.Context(), kind, true)
	if err != nil || len(all) != objects {
		t.Fatalf("got %d objects, error %v; want %d objects", len(all), err, objects)
	}
}

func TestWatchReportsOnlyItsKind(t *testing.T) {
	c, _ := open(t)
	first := put(t, c, "a", 0, "{}")
	_, at, err := c.List(t.Context(), kind, false)
	if err != nil {
		t.Fatal(err)
	}
	if events, _, err := c.Watch(t.Context(), kind, at, 50*time.Millisecond); err != nil || len(events) != 0 {
		t.Fatalf("without a change: got %v, %v; want no events", events, err)
	}
	if _, err := c.Put(t.Context(), "other", platform.Object{Name: "x", Spec: []byte("{}")}); err != nil {
		t.Fatal(err)
	}
	if err := c.Delete(t.Context(), kind, "a", first.Revision); err != nil {
		t.Fatal(err)
	}
	events, _, err := c.Watch(t.Context(), kind, at, time.Second)
	if err != nil || len(events) != 1 || !events[0].Gone || events[0].Object.Name != "a" {
		t.Fatalf("got %+v, %v; want the delete of a", events, err)
	}
}

func TestFaultsSeenByClient(t *testing.T) {
	cases := []struct {
		name   string
		faults fake.Faults
		write  error
		read   error
		exists bool // after the write
	}{
		{"none", fake.Faults{}, nil, nil, true},
		{"down", fake.Faults{Down: true}, store.ErrUnknown, store.ErrUnavailable, false},
		{"answer of the write lost", fake.Faults{LostAnswer: 1}, store.ErrUnknown, nil, true},
		{"write dropped", fake.Faults{DroppedWrite: 1}, store.ErrUnknown, nil, false},
		{"latency above the call timeout", fake.Faults{Latency: 3 * time.Second}, store.ErrUnknown, store.ErrUnavailable, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c, f := open(t)
			f.SetFaults(tc.faults)
			_, err := c.Put(t.Context(), kind, platform.Object{Name: "a", Spec: []byte("{}")})
			if !errors.Is(err, tc.write) || (err == nil) != (tc.write == nil) {
				t.Fatalf("write: got %v, want %v", err, tc.write)
			}
			_, _, err = c.List(t.Context(), kind, false)
			if !errors.Is(err, tc.read) || (err == nil) != (tc.read == nil) {
				t.Fatalf("read: got %v, want %v", err, tc.read)
			}
			time.Sleep(2 * tc.faults.Latency) // a delayed write may take effect
			f.SetFaults(fake.Faults{})
			_, err = c.Get(t.Context(), kind, "a")
			if (err == nil) != tc.exists {
				t.Fatalf("read after the fault: got %v, want object to exist: %v", err, tc.exists)
			}
		})
	}
}

func TestWatchFromCompactedVersionFails(t *testing.T) {
	c, f := open(t)
	first := put(t, c, "a", 0, "{}")
	put(t, c, "a", first.Revision, `{"n":2}`)
	f.Compact()
	if _, _, err := c.Watch(t.Context(), kind, first.Revision, time.Second); !errors.Is(err, store.ErrCompacted) {
		t.Fatalf("watch from a compacted version: got %v, want ErrCompacted", err)
	}
}

func TestUnsentWriteIsDecided(t *testing.T) {
	c := platform.NewObjectClient("127.0.0.1:1")
	_, err := c.Put(t.Context(), kind, platform.Object{Name: "a", Spec: []byte("{}")})
	if !errors.Is(err, store.ErrUnavailable) || !store.IsDecided(err) {
		t.Fatalf("got %v, want ErrUnavailable for a write that was never sent", err)
	}
}

func TestRestoreTakesBackWritesAndRevisions(t *testing.T) {
	c, f := open(t)
	kept := put(t, c, "kept", 0, `{"n":1}`)
	const age = 200 * time.Millisecond
	time.Sleep(2 * age)
	put(t, c, "kept", kept.Revision, `{"n":2}`)
	lost := put(t, c, "lost", 0, "1")
	ended := make(chan error, 1)
	go func() {
		_, _, err := c.Watch(t.Context(), kind, lost.Revision, 5*time.Second)
		ended <- err
	}()
	for f.Counts().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	f.Restore(age)
	if err := <-ended; !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("blocked watch: got %v, want ErrUnavailable", err)
	}
	if _, _, err := c.Watch(t.Context(), kind, lost.Revision, time.Second); !errors.Is(err, store.ErrCompacted) {
		t.Errorf("watch from a lost revision: got %v, want ErrCompacted", err)
	}
	got, err := c.Get(t.Context(), kind, "kept")
	if err != nil || string(got.Spec) != `{"n":1}` || got.Revision != kept.Revision {
		t.Errorf("object written before the copy: got %+v, %v", got, err)
	}
	if _, err := c.Get(t.Context(), kind, "lost"); !errors.Is(err, store.ErrNotFound) {
		t.Errorf("object written after the copy: got %v, want ErrNotFound", err)
	}
	if again := put(t, c, "other", 0, "1"); again.Revision > lost.Revision {
		t.Errorf("revision after the restore: got %d, want one that was assigned before, at most %d", again.Revision, lost.Revision)
	}
}

func TestEachResponseNamesTheEra(t *testing.T) {
	f := fake.New()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := standin.New(f)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Shutdown(context.Background()) })
	for _, want := range []string{"0", "1", "2"} {
		for _, path := range []string{"/v1/objects/" + kind, "/v1/objects/" + kind + "/missing"} {
			resp, err := http.Get("http://" + l.Addr().String() + path)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if got := resp.Header.Get(platform.HeaderEra); got != want {
				t.Errorf("%s: got era %q, want %q", path, got, want)
			}
		}
		resp, err := http.Post("http://"+l.Addr().String()+wire.PathRestore, "application/json", strings.NewReader(`{"age_ns":0}`))
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
	}
}

func TestRejectedCallsHaveNoEffect(t *testing.T) {
	c, f := open(t)
	f.SetFaults(fake.Faults{Rejected: 1})
	_, getErr := c.Get(t.Context(), kind, "a")
	_, putErr := c.Put(t.Context(), kind, platform.Object{Name: "a", Spec: []byte("1")})
	_, _, watchErr := c.Watch(t.Context(), kind, 0, time.Second)
	for name, err := range map[string]error{"get": getErr, "put": putErr, "watch": watchErr} {
		if !errors.Is(err, store.ErrUnavailable) {
			t.Errorf("%s: got %v, want ErrUnavailable", name, err)
		}
	}
	f.SetFaults(fake.Faults{})
	if _, err := c.Get(t.Context(), kind, "a"); !errors.Is(err, store.ErrNotFound) {
		t.Errorf("object of the rejected write: got %v, want ErrNotFound", err)
	}
}
