package catalogue

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"heathershed/internal/platform"
)

// Key is the key of the document in the store. The catalogue has no other
// object there.
const Key = "catalogue/head"

// Bounds of a document.
const (
	// MaxChanges bounds the recent changes that a document retains, including the
	// one that created it.
	MaxChanges = 256
	// MaxChangesBytes bounds the names and previous texts of the entries in
	// Document.Recent, in bytes.
	MaxChangesBytes = 256 << 10
	// MaxAuthor and MaxNote bound the author and the note of a change, in bytes.
	MaxAuthor = 64
	MaxNote   = 256
	// maxDecoded bounds the decompressed document, in bytes. It leaves room for
	// the text and the replaced entries, since JSON may encode one byte as six.
	maxDecoded = 12*MaxText + 4<<20
)

// EntryChange is one entry that an edit added, changed or deleted.
type EntryChange struct {
	Name string `json:"name"`
	// Before is the previous text of the entry, or empty if the edit added it.
	Before string `json:"before,omitempty"`
}

// Change is one accepted edit.
type Change struct {
	// Version is the version that the edit created.
	Version uint64 `json:"version"`
	// EditID is the id that the operator's command assigned to the edit.
	EditID string `json:"edit_id"`
	// Sum is a hash of the requested changes in hexadecimal, see Edit.sum.
	Sum string `json:"sum"`
	// Author is the operator who made the edit.
	Author string `json:"author"`
	// Time is the time of the edit by the clock of the operator's command.
	Time time.Time `json:"time"`
	// Note is the operator's reason.
	Note string `json:"note,omitempty"`
	// Entries lists the entries that differ from the previous version, sorted
	// by name.
	Entries []EntryChange `json:"entries,omitempty"`
}

// Document is one version of the catalogue as the store and the nodes hold it,
// together with the most recent changes.
type Document struct {
	Change
	// Text is the catalogue in its canonical text format.
	Text string `json:"text"`
	// Recent holds the most recent changes before this one, newest first.
	Recent []Change `json:"recent,omitempty"`
}

// Changes returns the retained changes, newest first, beginning with the one
// that created this version. At version 0 it returns nil.
func (d *Document) Changes() []Change {
	if d.Version == 0 {
		return nil
	}
	return append([]Change{d.Change}, d.Recent...)
}

// findChange returns the change made by an edit, if it is still retained.
func (d *Document) findChange(editID string) (Change, bool) {
	for _, c := range d.Changes() {
		if c.EditID == editID {
			return c, true
		}
	}
	return Change{}, false
}

// next returns the document that follows d. It drops the oldest changes that
// exceed MaxChanges or MaxChangesBytes.
func (d *Document) next(c Change, text []byte) *Document {
	recent := d.Changes()
	size, kept := 0, 0
	for kept < min(len(recent), MaxChanges-1) {
		for _, e := range recent[kept].Entries {
			size += len(e.Name) + len(e.Before)
		}
		if size > MaxChangesBytes {
			break
		}
		kept++
	}
	return &Document{Change: c, Text: string(text), Recent: recent[:kept]}
}

// gzipWriters is a small pool. A gzip writer holds close to a megabyte of
// tables, so writers are reused.
var gzipWriters = make(chan *gzip.Writer, 4)

func getGzipWriter() *gzip.Writer {
	select {
	case w := <-gzipWriters:
		return w
	default:
		return gzip.NewWriter(nil)
	}
}

func putGzipWriter(w *gzip.Writer) {
	select {
	case gzipWriters <- w:
	default:
	}
}

// Encode returns the document as a value for the store: JSON compressed with
// gzip. It returns platform.ErrTooLarge if the value exceeds platform.MaxValue.
func (d *Document) Encode() ([]byte, error) {
	var compressed bytes.Buffer
	w := getGzipWriter()
	defer putGzipWriter(w)
	w.Reset(&compressed)
	if err := json.NewEncoder(w).Encode(d); err != nil {
		return nil, errors.Wrap(err, "encode catalogue document")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "encode catalogue document")
	}
	if compressed.Len() > platform.MaxValue {
		return nil, errors.Wrapf(platform.ErrTooLarge, "catalogue document of %d bytes", compressed.Len())
	}
	return compressed.Bytes(), nil
}

// Decode decodes a value from the store. It checks the size, the encoding and
// that a version is set, but doesn't parse the catalogue's text.
func Decode(value []byte) (*Document, error) {
	if len(value) > platform.MaxValue {
		return nil, errors.Newf("catalogue document has %d bytes: want at most %d", len(value), platform.MaxValue)
	}
	r, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, errors.Wrap(err, "catalogue document is unreadable")
	}
	data, err := io.ReadAll(io.LimitReader(r, maxDecoded+1))
	if err != nil {
		return nil, errors.Wrap(err, "catalogue document is unreadable")
	}
	if len(data) > maxDecoded {
		return nil, errors.Newf("catalogue document unpacks to over %d bytes", maxDecoded)
	}
	var d Document
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, errors.Wrap(err, "catalogue document is unreadable")
	}
	if d.Version == 0 {
		return nil, errors.New("catalogue document has no version")
	}
	return &d, nil
}
