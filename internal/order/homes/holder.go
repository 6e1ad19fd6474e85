package homes

import (
	"bytes"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// ErrFork means that two different documents have the same version, which
// cannot result from conditional updates of one object. The first document is
// kept.
var ErrFork = errors.New("homes: two documents of one version")

// Holder holds the newest document that a node has received. Only documents
// read from the store may be offered, never one whose write has an unknown
// outcome. Holder is safe for concurrent use; create it with NewHolder.
type Holder struct {
	mu      sync.Mutex
	current atomic.Pointer[snapshot]
}

type snapshot struct {
	document *Document
	value    []byte
}

// NewHolder returns a holder of the zero Document.
func NewHolder() *Holder {
	h := &Holder{}
	h.current.Store(&snapshot{document: &Document{}})
	return h
}

// Offer adopts the document if its version is higher than the current one. It
// returns an error and keeps the current document if the value is unreadable,
// its version differs from the one given, or it differs from the current
// document of the same version.
func (h *Holder) Offer(version uint64, value []byte) (adopted bool, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.current.Load()
	if version < now.document.Version || version == 0 {
		return false, nil
	}
	if version == now.document.Version {
		if !bytes.Equal(value, now.value) {
			return false, errors.Wrapf(ErrFork, "version %d", version)
		}
		return false, nil
	}
	document, err := Decode(value)
	if err != nil {
		return false, err
	}
	if document.Version != version {
		return false, errors.Wrapf(ErrUnreadable, "version %d in a document offered as %d", document.Version, version)
	}
	h.current.Store(&snapshot{document: document, value: bytes.Clone(value)})
	return true, nil
}

// Current returns the newest document, never nil. It takes no lock.
func (h *Holder) Current() *Document { return h.current.Load().document }

// Document returns the newest version and its encoded form, for sending to
// other nodes. The bytes must not be modified. They are nil at version 0.
func (h *Holder) Document() (version uint64, value []byte) {
	c := h.current.Load()
	return c.document.Version, c.value
}
