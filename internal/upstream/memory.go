package upstream

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/semaphore"

	budget "heathershed/internal/memory"
)

const (
	// freeBytes is the part of each body that needs no share of the memory, so
	// that small answers never wait for large ones.
	freeBytes = 64 << 10
	// firstBytes is the first size of the buffer for a body of unknown length.
	firstBytes = 4 << 10
)

// errNoMemory is returned for a body of unknown length that would need more
// memory than is left.
var errNoMemory = errors.New("answer of unknown length, no memory is left for it")

// memory bounds the bytes that the bodies being read hold together, beyond
// freeBytes each. It is safe for concurrent use.
type memory struct {
	size int64
	left *semaphore.Weighted

	mu sync.Mutex
	// used counts the bytes that are taken, and reserved those of them that are for
	// bodies which are expected.
	used, reserved int64
	released       budget.Rate
}

func newMemory(size int64) *memory {
	return &memory{size: size, left: semaphore.NewWeighted(size)}
}

// acquire waits for n bytes until ctx ends.
func (m *memory) acquire(ctx context.Context, n int64) error {
	if err := m.left.Acquire(ctx, n); err != nil {
		return err
	}
	m.count(n)
	return nil
}

// tryAcquire takes n bytes if they are free and nobody waits for them.
func (m *memory) tryAcquire(n int64) bool {
	if !m.left.TryAcquire(n) {
		return false
	}
	m.count(n)
	return true
}

// release gives back n bytes.
func (m *memory) release(n int64) {
	m.count(-n)
	m.left.Release(n)
}

// count records that n more bytes are used.
func (m *memory) count(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used += n
	if n < 0 {
		m.released.Add(time.Now(), -n)
	}
}

// addReserved records that n more bytes are for bodies that are expected.
func (m *memory) addReserved(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reserved += n
}

// mostlyFree reports whether bodies hold less than half of the memory.
func (m *memory) mostlyFree() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used-m.reserved < m.size/2
}

// roomIn returns the expected time until n bytes are free; 0 if that is not known.
func (m *memory) roomIn(n int64) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.released.TimeFor(time.Now(), m.used+n-m.size)
}

// share returns the share of the memory that a body of n bytes needs.
func share(n int) int64 { return max(int64(n)-freeBytes, 0) }

// readAll reads a body of up to most bytes. length is its length, or negative if
// that is unknown. A body of known length waits until there is memory for it, all of
// the memory if it is larger; one of unknown length, which might have no end, fails
// if there is not enough. The share of a body that was read is passed to the Held of
// the context, if there is one.
func (m *memory) readAll(ctx context.Context, r io.Reader, length, most int) ([]byte, error) {
	if length > most {
		return nil, fasthttp.ErrBodyTooLarge
	}
	kept := heldIn(ctx)
	held := kept.take(m) // reserved, or of an answer that was read before
	if length < 0 {
		return m.readUnknown(r, most, kept, held)
	}
	need := min(share(length), m.size)
	if held >= need {
		m.release(held - need)
	} else {
		m.release(held) // no two answers that hold a part wait for each other
		if err := m.acquire(ctx, need); err != nil {
			return nil, err
		}
	}
	held = need
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		m.release(held)
		return body, err
	}
	kept.keep(m, held)
	return body, nil
}

// readUnknown reads a body of unknown length. held is the share that it has already.
func (m *memory) readUnknown(r io.Reader, most int, kept *Held, held int64) ([]byte, error) {
	defer func() { m.release(held) }()
	body := make([]byte, 0, min(firstBytes, most+1))
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > most:
			return nil, fasthttp.ErrBodyTooLarge
		case errors.Is(err, io.EOF):
			kept.keep(m, held)
			held = 0
			return body, nil
		case err != nil:
			return nil, err
		case len(body) < cap(body):
			continue
		}
		size := min(2*cap(body), most+1)
		if more := share(size) - held; more > 0 {
			if !m.tryAcquire(more) {
				return nil, errNoMemory
			}
			held += more
		}
		body = append(make([]byte, 0, size), body...)
	}
}
