package platform

import "github.com/cockroachdb/errors"

// Further errors returned by a Store.
var (
	// ErrUnavailable means that the API cannot be reached. A read returned
	// nothing; a write was not sent and did not take effect.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrStale means that the API answered, also when asked again, with a
	// state older than one that this process has already seen.
	ErrStale = errors.New("platform: only stale answers")
)

// IsDecided reports whether the outcome of a write that returned err is known:
// nil means that the write took effect, and any other decided error that it
// did not. An error that is also marked ErrUnknown is not decided.
func IsDecided(err error) bool {
	if errors.Is(err, ErrUnknown) {
		return false
	}
	return err == nil ||
		errors.Is(err, ErrConflict) ||
		errors.Is(err, ErrTooLarge) ||
		errors.Is(err, ErrLimited) ||
		errors.Is(err, ErrUnavailable) ||
		errors.Is(err, ErrNotFound)
}
