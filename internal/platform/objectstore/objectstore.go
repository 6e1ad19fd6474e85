// Package objectstore implements platform.Store on the platform's object API,
// in which the system's own values are objects of one kind. Each call is sent
// once; repeating a write is left to the layer above.
package objectstore

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	store "heathershed/internal/platform"
	"heathershed/platform"
)

// maxWait bounds how long a watch blocks.
const maxWait = 30 * time.Second

// Store is a platform.Store. It is safe for concurrent use.
type Store struct {
	clients []*platform.ObjectClient
	at      atomic.Uint32 // index of the client in use, modulo the number of clients
}

var _ store.Store = (*Store)(nil)

// New returns a Store over the API at the given addresses, in the form
// ip:port. After a failure the next address is used. New does not connect.
func New(addresses []string) (*Store, error) {
	if len(addresses) == 0 {
		return nil, errors.New("platform: no address of the object API configured")
	}
	s := &Store{}
	for _, a := range addresses {
		s.clients = append(s.clients, platform.NewObjectClient(a))
	}
	return s, nil
}

// client returns the client in use and a function to report the outcome of the
// call to.
func (s *Store) client() (c *platform.ObjectClient, report func(error)) {
	index := s.at.Load()
	return s.clients[int(index)%len(s.clients)], func(err error) {
		if errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUnknown) {
			s.at.CompareAndSwap(index, index+1)
		}
	}
}

// Get implements platform.Store.
func (s *Store) Get(ctx context.Context, key string) (store.Object, error) {
	c, report := s.client()
	o, err := c.Get(ctx, platform.ValueKind, key)
	report(err)
	if err != nil {
		return store.Object{}, err
	}
	return objectOf(o)
}

// List implements platform.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]store.Object, store.Version, error) {
	c, report := s.client()
	all, at, err := c.List(ctx, platform.ValueKind, false)
	report(err)
	if err != nil {
		return nil, 0, err
	}
	objects := make([]store.Object, 0, len(all))
	for _, o := range all {
		if !strings.HasPrefix(o.Name, prefix) {
			continue
		}
		object, err := objectOf(o)
		if err != nil {
			return nil, 0, err
		}
		objects = append(objects, object)
	}
	return objects, store.Version(at), nil
}

// Put implements platform.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, base store.Version, writeID string) (store.Object, error) {
	if len(value) > store.MaxValue {
		return store.Object{}, store.ErrTooLarge
	}
	spec, err := platform.EncodeValue(writeID, value)
	if err != nil {
		return store.Object{}, err
	}
	c, report := s.client()
	o, err := c.Put(ctx, platform.ValueKind, platform.Object{Name: key, Revision: uint64(base), Spec: spec})
	report(err)
	if err != nil {
		return store.Object{}, err
	}
	return store.Object{Key: key, Version: store.Version(o.Revision), WriteID: writeID, Value: value}, nil
}

// Delete implements platform.Store.
func (s *Store) Delete(ctx context.Context, key string, base store.Version) error {
	c, report := s.client()
	err := c.Delete(ctx, platform.ValueKind, key, uint64(base))
	report(err)
	return err
}

// Watch implements platform.Store. If nothing changes within maxWait, it
// returns no events and the same version.
func (s *Store) Watch(ctx context.Context, prefix string, after store.Version) ([]store.Event, store.Version, error) {
	wait := maxWait
	if d, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(d))
	}
	c, report := s.client()
	all, at, err := c.Watch(ctx, platform.ValueKind, uint64(after), max(wait, time.Millisecond))
	report(err)
	if err != nil {
		return nil, after, err
	}
	events := make([]store.Event, 0, len(all))
	for _, e := range all {
		if !strings.HasPrefix(e.Object.Name, prefix) {
			continue
		}
		event, err := eventOf(e)
		if err != nil {
			return nil, after, err
		}
		events = append(events, event)
	}
	return events, store.Version(at), nil
}

func objectOf(o platform.Object) (store.Object, error) {
	id, value, err := platform.DecodeValue(o.Spec)
	if err != nil {
		return store.Object{}, errors.Mark(errors.Wrapf(err, "object %q", o.Name), store.ErrUnavailable)
	}
	return store.Object{Key: o.Name, Version: store.Version(o.Revision), WriteID: id, Value: value}, nil
}

func eventOf(e platform.Event) (store.Event, error) {
	if e.Gone {
		return store.Event{Object: store.Object{Key: e.Object.Name, Version: store.Version(e.Object.Revision)}, Deleted: true}, nil
	}
	o, err := objectOf(e.Object)
	return store.Event{Object: o}, err
}
