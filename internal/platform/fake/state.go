package fake

import (
	"sort"
	"strings"
	"time"

	"heathershed/internal/platform"
)

// maxHistory bounds the number of old states of each key that are kept for
// stale reads.
const maxHistory = 32

// change is a write that took effect.
type change struct {
	at      time.Time
	object  platform.Object
	deleted bool
}

// state is the content of the store. It takes the time as an argument and is
// not safe for concurrent use.
type state struct {
	version   platform.Version
	history   map[string][]change // by key, oldest first
	log       []change            // all keys, oldest first
	maxLog    int
	compacted platform.Version // highest version that watches can no longer see
}

func newState(maxLog int) *state {
	return &state{history: make(map[string][]change), maxLog: maxLog}
}

// current returns the current object.
func (s *state) current(key string) (platform.Object, bool) {
	h := s.history[key]
	if len(h) == 0 || h[len(h)-1].deleted {
		return platform.Object{}, false
	}
	return h[len(h)-1].object, true
}

// at returns the object as it was at time t.
func (s *state) at(key string, t time.Time) (platform.Object, bool) {
	h := s.history[key]
	for i := len(h) - 1; i >= 0; i-- {
		if !h[i].at.After(t) {
			return h[i].object, !h[i].deleted
		}
	}
	return platform.Object{}, false
}

// versionAt returns the version of the store at time t.
func (s *state) versionAt(t time.Time) platform.Version {
	for i := len(s.log) - 1; i >= 0; i-- {
		if !s.log[i].at.After(t) {
			return s.log[i].object.Version
		}
	}
	return s.compacted
}

// list returns the objects under prefix that lookup finds, in ascending order
// of key.
func (s *state) list(prefix string, lookup func(string) (platform.Object, bool)) []platform.Object {
	var out []platform.Object
	for key := range s.history {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		if o, ok := lookup(key); ok {
			out = append(out, clone(o))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

// put writes the object if its version is base.
func (s *state) put(now time.Time, key string, value []byte, base platform.Version, writeID string) (platform.Object, error) {
	if len(value) > platform.MaxValue {
		return platform.Object{}, platform.ErrTooLarge
	}
	old, _ := s.current(key)
	if old.Version != base {
		return platform.Object{}, platform.ErrConflict
	}
	o := platform.Object{Key: key, WriteID: writeID, Value: append([]byte{}, value...)}
	return clone(s.apply(change{at: now, object: o})), nil
}

// remove deletes the object if its version is base.
func (s *state) remove(now time.Time, key string, base platform.Version) error {
	old, ok := s.current(key)
	if !ok {
		return platform.ErrNotFound
	}
	if old.Version != base {
		return platform.ErrConflict
	}
	s.apply(change{at: now, object: platform.Object{Key: key}, deleted: true})
	return nil
}

// apply assigns a version to the change and stores it.
func (s *state) apply(c change) platform.Object {
	s.version++
	c.object.Version = s.version
	h := append(s.history[c.object.Key], c)
	if len(h) > maxHistory {
		h = h[len(h)-maxHistory:]
	}
	s.history[c.object.Key] = h
	s.log = append(s.log, c)
	if len(s.log) > s.maxLog {
		s.compact(s.log[len(s.log)-s.maxLog-1].object.Version)
	}
	return c.object
}

// rewind returns to the content at time t. Versions above that of the content
// are assigned again.
func (s *state) rewind(t time.Time) {
	for key, h := range s.history {
		i := sort.Search(len(h), func(i int) bool { return h[i].at.After(t) })
		s.history[key] = h[:i:i]
	}
	s.version = s.versionAt(t)
	i := sort.Search(len(s.log), func(i int) bool { return s.log[i].at.After(t) })
	s.log = s.log[:i:i]
}

// compact discards the log up to and including version v.
func (s *state) compact(v platform.Version) {
	i := sort.Search(len(s.log), func(i int) bool { return s.log[i].object.Version > v })
	s.log = append([]change{}, s.log[i:]...)
	s.compacted = max(s.compacted, v)
}

// since returns the changes under prefix after the given version.
func (s *state) since(prefix string, after platform.Version) []platform.Event {
	i := sort.Search(len(s.log), func(i int) bool { return s.log[i].object.Version > after })
	var out []platform.Event
	for _, c := range s.log[i:] {
		if strings.HasPrefix(c.object.Key, prefix) {
			out = append(out, platform.Event{Object: clone(c.object), Deleted: c.deleted})
		}
	}
	return out
}

func clone(o platform.Object) platform.Object {
	if o.Value != nil {
		o.Value = append([]byte{}, o.Value...)
	}
	return o
}
