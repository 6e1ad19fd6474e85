// Package platform is the narrow interface to the platform's object API, the
// only place where anything lasts. Every value is a small object under a key;
// every write names the version it replaces.
//
// The API answers in milliseconds but has outages of hours, may answer reads
// from before the newest write, may lose the answer of a write that took
// effect, and its watches may skip or repeat. Nothing above this package may
// conclude anything from its silence.
package platform

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxValue is the largest value of an object, in bytes.
const MaxValue = 1 << 20

// sendRate is the rate at least, in bytes a second, at which a value that is
// written is taken in.
const sendRate = 1 << 20

// SendTime is what a write has for its value, of size bytes, beside the time of
// any call.
func SendTime(size int) time.Duration {
	return time.Duration(size) * time.Second / sendRate
}

// Version grows with every write of any object. 0 means "does not exist".
type Version uint64

// Object is one stored value.
type Object struct {
	Key     string
	Version Version
	// WriteID is the id that the writer gave with the write that made this
	// version; it resolves lost answers.
	WriteID string
	Value   []byte
}

// Event is one change seen by a watch. Deleted objects have a nil Value.
type Event struct {
	Object  Object
	Deleted bool
}

// Errors of a Store. Any other error of a write means that the write may or
// may not have taken effect.
var (
	// ErrNotFound: no object has the key.
	ErrNotFound = errors.New("platform: no such object")
	// ErrConflict: the object has another version than the write named. The
	// write did not take effect.
	ErrConflict = errors.New("platform: version conflict")
	// ErrTooLarge: the value is over MaxValue. The write did not take effect.
	ErrTooLarge = errors.New("platform: value too large")
	// ErrUnknown: the write may have taken effect and can't be read back now.
	ErrUnknown = errors.New("platform: outcome of the write unknown")
	// ErrCompacted: the watch can't resume from so old a version; list again.
	ErrCompacted = errors.New("platform: version too old to watch from")
	// ErrLimited: this process has used up its own rate of calls. Nothing was
	// sent.
	ErrLimited = errors.New("platform: own rate limit")
)

// Store is the object API. Implementations are safe for concurrent use.
type Store interface {
	// Get returns the object, possibly an old version of it.
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects whose keys begin with prefix, by key, and the
	// version that a Watch can go on from.
	List(ctx context.Context, prefix string) ([]Object, Version, error)
	// Put writes the object if its version is still base; base 0 creates it.
	// writeID must be unique to this write.
	Put(ctx context.Context, key string, value []byte, base Version, writeID string) (Object, error)
	// Delete removes the object if its version is still base.
	Delete(ctx context.Context, key string, base Version) error
	// Watch waits until objects under prefix change after the given version,
	// or the context ends, and returns what changed and the version to go on
	// from. It counts as one waiting call.
	Watch(ctx context.Context, prefix string, after Version) ([]Event, Version, error)
}
