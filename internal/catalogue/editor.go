package catalogue

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"heathershed/internal/platform"
)

// editAttempts bounds the tries to write one edit.
const editAttempts = 12

// Options of an Editor. The zero value of each has a default.
type Options struct {
	// Now is the wall clock that versions are stamped with; default time.Now.
	Now func() time.Time
	// Wait waits before try n, counted from 1; default grows from 20 ms to 1 s.
	Wait func(ctx context.Context, n int) error
	// Floor is the highest version known to be in force at a node. A new
	// version always goes above it, also where the store has lost its own.
	Floor uint64
}

// Editor changes the catalogue in the store. It is safe for concurrent use as
// far as its store is.
type Editor struct {
	store platform.Store
	opts  Options
}

// NewEditor returns an editor over the store.
func NewEditor(store platform.Store, opts Options) *Editor {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Wait == nil {
		opts.Wait = waitDoubling
	}
	return &Editor{store: store, opts: opts}
}

func waitDoubling(ctx context.Context, n int) error {
	t := time.NewTimer(min(20*time.Millisecond<<n, time.Second))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Result is what became of an accepted edit.
type Result struct {
	// Version is the version that holds the edit.
	Version uint64 `json:"version"`
	// Entries are the entries that the edit changed.
	Entries []EntryChange `json:"entries,omitempty"`
	// Unchanged says that the catalogue already was as asked, so that no
	// version was made.
	Unchanged bool `json:"unchanged,omitempty"`
	// AlreadyAccepted says that the edit had been accepted before.
	AlreadyAccepted bool `json:"known,omitempty"`
}

// UnknownOutcomeError says that an edit may have been applied: a write was
// sent and the store doesn't say what became of it. The same edit, with its ID
// and base, may be sent again at any time.
type UnknownOutcomeError struct {
	EditID string
	Base   uint64
	Err    error
}

// Error names the edit.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("edit %s on version %d may have been applied: %v", e.EditID, e.Base, e.Err)
}

// Unwrap returns the last error of the store.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// NotSentError says that an edit could not be sent, because the store could not
// be reached or kept changing. It says nothing of what an earlier call of Apply
// with the same edit may have done.
type NotSentError struct {
	EditID string
	Err    error
}

// Error names the edit.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("edit %s was not sent: %v", e.EditID, e.Err)
}

// Unwrap returns the last error of the store.
func (e *NotSentError) Unwrap() error { return e.Err }

// Errors of an Editor beside those of platform.Store and of merging.
var (
	// ErrUnreadableHead: the stored document is unreadable or invalid. Only an
	// edit with Replace takes its place.
	ErrUnreadableHead = errors.New("the catalogue in the store is unreadable")
	// ErrEditIDReused: the edit id belongs to an accepted edit with other
	// content.
	ErrEditIDReused = errors.New("the edit id belongs to another edit")
	// ErrStaleRead: the store answers with an older version than the edit's
	// base.
	ErrStaleRead = errors.New("the store answers with an older catalogue than the edit is based on")
)

// head is the stored document as last read.
type head struct {
	document  *Document
	catalogue *Catalogue
	value     []byte
	version   platform.Version
	broken    error // unreadable or invalid
}

// read reads the stored document. No document is one of version 0.
func (e *Editor) read(ctx context.Context) (head, error) {
	object, err := e.store.Get(ctx, Key)
	if errors.Is(err, platform.ErrNotFound) {
		return head{document: &Document{}, catalogue: newCatalogue()}, nil
	}
	if err != nil {
		return head{}, errors.Wrapf(err, "read %s", Key)
	}
	h := head{document: &Document{}, catalogue: newCatalogue(), value: object.Value, version: object.Version}
	d, err := Decode(object.Value)
	if err != nil {
		h.broken = err
		return h, nil
	}
	h.document = d
	c, err := Parse([]byte(d.Text))
	if err != nil {
		h.broken = err
		return h, nil
	}
	h.catalogue = c
	return h, nil
}

// Load returns the stored document; one of version 0 where there is none.
func (e *Editor) Load(ctx context.Context) (*Document, error) {
	h, err := e.read(ctx)
	if err != nil {
		return nil, err
	}
	if h.broken != nil {
		return h.document, errors.Mark(errors.Wrap(h.broken, "stored catalogue"), ErrUnreadableHead)
	}
	return h.document, nil
}
