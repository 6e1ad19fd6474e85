package catalogue

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// maxRefused bounds the rejected documents that a Holder records.
const maxRefused = 16

// Errors of Offer, in addition to those of Decode and Parse.
var (
	// ErrVersionMismatch: the document's version differs from the version it was
	// offered under.
	ErrVersionMismatch = errors.New("catalogue document names another version than it was offered under")
	// ErrContentMismatch: the same version is active with different content.
	ErrContentMismatch = errors.New("catalogue version is already in force with other content")
)

// Refused is a document that a Holder did not adopt because it was invalid, its
// version differed from the announced one, or that version was active with
// different content.
type Refused struct {
	// Offered is the version it was offered under, or 0 if none was given.
	Offered uint64
	// Version is the document's own version, or 0 if the value is unreadable.
	Version uint64
	// Sum is a hash of the value.
	Sum uint64
	// Err is the reason.
	Err error
}

// activeVersion is the version that is active at a Holder. It is immutable.
type activeVersion struct {
	catalogue *Catalogue
	change    Change
	version   uint64
	value     []byte
	sum       uint64
}

// Holder holds the active catalogue of one node. Its version never decreases. A
// Holder is safe for concurrent use; Current takes no lock.
type Holder struct {
	current atomic.Pointer[activeVersion]

	mu      sync.Mutex
	refused []Refused // oldest first
}

// NewHolder returns a holder with an empty catalogue at version 0.
func NewHolder() *Holder {
	h := &Holder{}
	h.current.Store(&activeVersion{catalogue: newCatalogue()})
	return h
}

// Current returns the active catalogue and its version.
func (h *Holder) Current() (*Catalogue, uint64) {
	cur := h.current.Load()
	return cur.catalogue, cur.version
}

// Document returns the active version and its encoded document, to be forwarded
// to other nodes. The caller must not modify the value. At version 0 the value
// is nil.
func (h *Holder) Document() (uint64, []byte) {
	cur := h.current.Load()
	return cur.version, cur.value
}

// Change returns the change that created the active version, or the zero Change
// at version 0.
func (h *Holder) Change() Change { return h.current.Load().change }

// Offer adopts a document as the active version if its version is higher than
// the active one and its content is valid, and reports whether it did. The
// document may come from the store or from any node. version is the version it
// was announced under, or 0 to accept the document's own. Offering the active
// version or an older one has no effect and is no error. An error means that
// the document was rejected: the active version stays, and Refused lists the
// document. Offer copies the value.
func (h *Holder) Offer(version uint64, value []byte) (adopted bool, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	cur := h.current.Load()
	sum := xxhash.Sum64(value)
	if version != 0 && version < cur.version {
		return false, nil
	}
	if sum == cur.sum && cur.version != 0 && (version == 0 || version == cur.version) {
		return false, nil
	}
	if known := h.findRefused(version, sum); known != nil {
		return false, known.Err
	}
	next, err := read(version, value)
	if err == nil && next.version < cur.version {
		return false, nil
	}
	if err == nil && next.version == cur.version {
		err = errors.Wrapf(ErrContentMismatch, "version %d, edits %s and %s", cur.version, cur.change.EditID, next.change.EditID)
	}
	if err != nil {
		h.addRefused(Refused{Offered: version, Version: next.version, Sum: sum, Err: err})
		return false, err
	}
	next.sum = sum
	h.current.Store(next)
	return true, nil
}

// read decodes and validates a value. On error, the returned version is set if
// it could be decoded.
func read(version uint64, value []byte) (*activeVersion, error) {
	d, err := Decode(value)
	if err != nil {
		return &activeVersion{}, err
	}
	if version != 0 && d.Version != version {
		return &activeVersion{version: d.Version}, errors.Wrapf(ErrVersionMismatch, "%d and %d", d.Version, version)
	}
	c, err := Parse([]byte(d.Text))
	if err != nil {
		return &activeVersion{version: d.Version}, errors.Wrapf(err, "catalogue version %d", d.Version)
	}
	return &activeVersion{catalogue: c, change: d.Change, version: d.Version, value: slices.Clone(value)}, nil
}

// findRefused returns the record of a document that was rejected before under
// the same version. A valid document that was rejected under a wrong version can
// thus still be adopted under its own.
func (h *Holder) findRefused(offered, sum uint64) *Refused {
	for i := range h.refused {
		if h.refused[i].Sum == sum && h.refused[i].Offered == offered {
			return &h.refused[i]
		}
	}
	return nil
}

func (h *Holder) addRefused(r Refused) {
	if len(h.refused) == maxRefused {
		h.refused = slices.Delete(h.refused, 0, 1)
	}
	h.refused = append(h.refused, r)
}

// Refused returns the most recently rejected documents, oldest first.
func (h *Holder) Refused() []Refused {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.refused)
}
