// Package platform defines the narrow interface to the platform's object API,
// the only durable storage of the system. Every value is a small object under
// a key, and every write names the version that it replaces.
//
// The API answers within milliseconds, but it has outages of hours, may answer
// reads with a state older than the newest write, may lose the answer of a
// write that took effect, and its watches may skip or repeat events. Code
// above this package must not conclude anything from a missing answer.
package platform

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxValue is the largest size of an object's value, in bytes.
const MaxValue = 1 << 20

// sendRate is the lowest rate, in bytes per second, at which the API is
// expected to accept the value of a write.
const sendRate = 1 << 20

// SendTime returns the time allowed for transferring a value of size bytes, in
// addition to the timeout of any call.
func SendTime(size int) time.Duration {
	return time.Duration(size) * time.Second / sendRate
}

// Version increases with every write of any object. 0 means that the object
// does not exist.
type Version uint64

// Object is a stored value.
type Object struct {
	Key     string
	Version Version
	// WriteID is the id that the writer passed to the Put that created this
	// version. It identifies a write whose answer was lost.
	WriteID string
	Value   []byte
}

// Event is a change reported by a watch. A deleted object has a nil Value.
type Event struct {
	Object  Object
	Deleted bool
}

// Errors returned by a Store. Any other error of a write means that the write
// may or may not have taken effect.
var (
	// ErrNotFound means that no object has the key.
	ErrNotFound = errors.New("platform: no such object")
	// ErrConflict means that the object's version differs from the base of the
	// write. The write did not take effect.
	ErrConflict = errors.New("platform: version conflict")
	// ErrTooLarge means that the value exceeds MaxValue. The write did not
	// take effect.
	ErrTooLarge = errors.New("platform: value too large")
	// ErrUnknown means that the write may have taken effect, and that this
	// cannot be determined now by reading the object back.
	ErrUnknown = errors.New("platform: outcome of the write unknown")
	// ErrCompacted means that the watch cannot resume from the given version
	// because it is too old. The caller must list again.
	ErrCompacted = errors.New("platform: version too old to watch from")
	// ErrLimited means that the process has exceeded its own limit on the rate
	// of calls. Nothing was sent.
	ErrLimited = errors.New("platform: own rate limit")
)

// Store is the object API. Implementations are safe for concurrent use.
type Store interface {
	// Get returns the object, possibly in an old version, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects whose keys begin with prefix, in ascending
	// order of key, and the version from which a Watch can continue.
	List(ctx context.Context, prefix string) ([]Object, Version, error)
	// Put writes the object if its version is still base, and creates it if
	// base is 0. writeID must be unique to this write.
	Put(ctx context.Context, key string, value []byte, base Version, writeID string) (Object, error)
	// Delete removes the object if its version is still base.
	Delete(ctx context.Context, key string, base Version) error
	// Watch blocks until objects under prefix change after the given version
	// or the context ends. It returns the changes and the version to continue
	// from. A blocked watch counts as one call.
	Watch(ctx context.Context, prefix string, after Version) ([]Event, Version, error)
}
