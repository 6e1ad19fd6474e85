package upstream

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/semaphore"
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
}

func newMemory(size int64) *memory {
	return &memory{size: size, left: semaphore.NewWeighted(size)}
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
	kept.keep(nil, 0) // of an answer that was read before
	if length < 0 {
		return m.readUnknown(r, most, kept)
	}
	held := min(share(length), m.size)
	if err := m.left.Acquire(ctx, held); err != nil {
		return nil, err
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		m.left.Release(held)
		return body, err
	}
	kept.keep(m, held)
	return body, nil
}

func (m *memory) readUnknown(r io.Reader, most int, kept *Held) ([]byte, error) {
	held := int64(0)
	defer func() { m.left.Release(held) }()
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
		more := share(size) - held
		if !m.left.TryAcquire(more) {
			return nil, errNoMemory
		}
		held += more
		body = append(make([]byte, 0, size), body...)
	}
}
