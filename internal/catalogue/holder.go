package catalogue

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// maxRefused bounds the refused documents that a Holder remembers.
const maxRefused = 16

// Errors of Offer beside those of Decode and Parse.
var (
	// ErrVersionMismatch: the value names another version than it came under.
	ErrVersionMismatch = errors.New("catalogue document names another version than it was offered under")
	// ErrContentMismatch: the version is in force with other content.
	ErrContentMismatch = errors.New("catalogue version is already in force with other content")
)

// Refused is a document that a Holder did not put in force.
type Refused struct {
	// Offered is the version it was offered under, or 0.
	Offered uint64
	// Version is the version that the value names, or 0 where it is unreadable.
	Version uint64
	// Sum identifies the value.
	Sum uint64
	// Err says why.
	Err error
}

// inForce is what a Holder has in force. It is immutable.
type inForce struct {
	catalogue *Catalogue
	change    Change
	version   uint64
	value     []byte
	sum       uint64
}

// Holder is the catalogue in force at one node. The version only grows. It is
// safe for concurrent use; Current takes no lock.
type Holder struct {
	current atomic.Pointer[inForce]

	mu      sync.Mutex
	refused []Refused // oldest first
}

// NewHolder returns a holder with an empty catalogue of version 0.
func NewHolder() *Holder {
	h := &Holder{}
	h.current.Store(&inForce{catalogue: newCatalogue()})
	return h
}

// Current returns the catalogue in force and its version.
func (h *Holder) Current() (*Catalogue, uint64) {
	f := h.current.Load()
	return f.catalogue, f.version
}

// Document returns the version in force and its value, to hand on to other
// nodes. The caller must not change the value. At version 0 it is nil.
func (h *Holder) Document() (uint64, []byte) {
	f := h.current.Load()
	return f.version, f.value
}

// Change returns the change that made the version in force; the zero Change
// at version 0.
func (h *Holder) Change() Change { return h.current.Load().change }

// Offer puts a document in force where its version is higher than the one in
// force and its content is valid, and reports whether it did. The document may
// come from the store or from any node. The version is the one it was
// announced under; 0 takes the one that the value names. The version in force
// or an older one is no error and changes nothing. An error means that the
// document was refused; it is remembered for Refused, and what is in force
// stays. Offer keeps its own copy of the value.
func (h *Holder) Offer(version uint64, value []byte) (adopted bool, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.current.Load()
	sum := xxhash.Sum64(value)
	if version != 0 && version < f.version {
		return false, nil
	}
	if sum == f.sum && f.version != 0 && (version == 0 || version == f.version) {
		return false, nil
	}
	if known := h.find(version, sum); known != nil {
		return false, known.Err
	}
	next, err := read(version, value)
	if err == nil && next.version < f.version {
		return false, nil
	}
	if err == nil && next.version == f.version {
		err = errors.Wrapf(ErrContentMismatch, "version %d, edits %s and %s", f.version, f.change.EditID, next.change.EditID)
	}
	if err != nil {
		h.remember(Refused{Offered: version, Version: next.version, Sum: sum, Err: err})
		return false, err
	}
	next.sum = sum
	h.current.Store(next)
	return true, nil
}

// read returns what the value holds, with an error at least the version as far
// as it is readable.
func read(version uint64, value []byte) (*inForce, error) {
	d, err := Decode(value)
	if err != nil {
		return &inForce{}, err
	}
	if version != 0 && d.Version != version {
		return &inForce{version: d.Version}, errors.Wrapf(ErrVersionMismatch, "%d and %d", d.Version, version)
	}
	c, err := Parse([]byte(d.Text))
	if err != nil {
		return &inForce{version: d.Version}, errors.Wrapf(err, "catalogue version %d", d.Version)
	}
	return &inForce{catalogue: c, change: d.Change, version: d.Version, value: slices.Clone(value)}, nil
}

func (h *Holder) find(offered, sum uint64) *Refused {
	for i := range h.refused {
		if h.refused[i].Sum == sum && h.refused[i].Offered == offered {
			return &h.refused[i]
		}
	}
	return nil
}

func (h *Holder) remember(r Refused) {
	if len(h.refused) == maxRefused {
		h.refused = slices.Delete(h.refused, 0, 1)
	}
	h.refused = append(h.refused, r)
}

// Refused returns the newest refused documents, oldest first.
func (h *Holder) Refused() []Refused {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.refused)
}
