package catalogue

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"heathershed/internal/platform"
)

// maxAttempts bounds the attempts to write one edit.
const maxAttempts = 12

// Options of an Editor. A field with the zero value takes its default.
type Options struct {
	// Now returns the time recorded with new versions; default time.Now.
	Now func() time.Time
	// Wait waits before retry n, counted from 1, or until the context ends. The
	// default waits 40 ms and doubles that with each retry, up to 1 s.
	Wait func(ctx context.Context, n int) error
	// Floor is the highest version known to be active at a node. New versions
	// are always higher, even if the store has lost its document.
	Floor uint64
}

// Editor changes the catalogue in the store. It is safe for concurrent use if
// its store is.
type Editor struct {
	store platform.Store
	opts  Options
}

// NewEditor returns an editor of the catalogue in the store.
func NewEditor(store platform.Store, opts Options) *Editor {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Wait == nil {
		opts.Wait = waitBackoff
	}
	return &Editor{store: store, opts: opts}
}

// waitBackoff is the default of Options.Wait.
func waitBackoff(ctx context.Context, n int) error {
	t := time.NewTimer(min(20*time.Millisecond<<n, time.Second))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Result is the outcome of an accepted edit.
type Result struct {
	// Version is the version that contains the edit.
	Version uint64 `json:"version"`
	// Entries are the entries that the edit changed.
	Entries []EntryChange `json:"entries,omitempty"`
	// Unchanged is set if the catalogue already had the requested content, so
	// that no version was created.
	Unchanged bool `json:"unchanged,omitempty"`
	// AlreadyAccepted is set if the edit had been accepted before this call.
	AlreadyAccepted bool `json:"known,omitempty"`
}

// UnknownOutcomeError reports that an edit may have been applied: a write was
// sent and its outcome is unknown. The same edit, with the same ID and base, may
// be sent again at any time.
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

// NotSentError reports that a call of Apply didn't write an edit, because the
// store was unreachable or returned old versions, or because the document kept
// changing. It doesn't say whether an earlier call of Apply with the same edit
// took effect.
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

// Errors of an Editor, in addition to those of platform.Store and of merging.
var (
	// ErrUnreadableHead: the stored document is unreadable or invalid. Only an
	// edit with Replace can overwrite it.
	ErrUnreadableHead = errors.New("the catalogue in the store is unreadable")
	// ErrEditIDReused: the edit id belongs to an accepted edit with different
	// content.
	ErrEditIDReused = errors.New("the edit id belongs to another edit")
	// ErrStaleRead: the store returned an older version than the edit's base.
	ErrStaleRead = errors.New("the store returned an older catalogue than the edit is based on")
)

// head is the stored document as last read. At version 0, with no document in
// the store, value is nil and version is 0.
type head struct {
	document  *Document
	catalogue *Catalogue
	value     []byte
	version   platform.Version
	decodeErr error // set if the value is unreadable or its text invalid
}

// read reads the stored document. If there is none, it returns version 0.
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
		h.decodeErr = err
		return h, nil
	}
	h.document = d
	c, err := Parse([]byte(d.Text))
	if err != nil {
		h.decodeErr = err
		return h, nil
	}
	h.catalogue = c
	return h, nil
}

// Load returns the stored document, or one of version 0 if there is none. If the
// stored document is unreadable or invalid the error is ErrUnreadableHead.
func (e *Editor) Load(ctx context.Context) (*Document, error) {
	h, err := e.read(ctx)
	if err != nil {
		return nil, err
	}
	if h.decodeErr != nil {
		return h.document, errors.Mark(errors.Wrap(h.decodeErr, "stored catalogue"), ErrUnreadableHead)
	}
	return h.document, nil
}
