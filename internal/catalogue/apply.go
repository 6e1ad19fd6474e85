package catalogue

import (
	"context"

	"github.com/cockroachdb/errors"

	"heathershed/internal/platform"
)

// application is one run of Apply: the edit and what the tries so far showed.
type application struct {
	editor *Editor
	edit   *Edit
	// sent says that a write may have taken effect or may still do.
	sent bool
}

// Apply writes an edit as the next version. A nil error means that the edit is
// in the result's version. *UnknownOutcomeError means that it may be.
// *NotSentError means that this call sent nothing. Any other error means that
// it is not applied: *InvalidError, *ConflictError, *StaleBaseError,
// *UnknownEntryError, *OrderKindError, ErrBadEdit, ErrEmptyCatalogue, ErrUnreadableHead,
// ErrEditIDReused and platform.ErrTooLarge.
//
// An edit is found again by its ID among the changes that the stored document
// names. Where it is too old to be among them its base is too old as well:
// *StaleBaseError then says that it isn't applied now, not that an earlier call
// with it wasn't.
func (e *Editor) Apply(ctx context.Context, edit Edit) (Result, error) {
	if err := edit.check(); err != nil {
		return Result{}, err
	}
	a := &application{editor: e, edit: &edit}
	var last error
	for n := 0; n < editAttempts; n++ {
		if n > 0 {
			if err := e.opts.Wait(ctx, n); err != nil {
				last = errors.CombineErrors(last, err)
				break
			}
		}
		result, done, err := a.try(ctx)
		if done {
			return result, err
		}
		last = err
	}
	if a.sent {
		return Result{}, &UnknownOutcomeError{EditID: edit.ID, Base: edit.Base, Err: last}
	}
	return Result{}, &NotSentError{EditID: edit.ID, Err: last}
}

// try reads, merges and writes once. It reports whether the outcome is known.
func (a *application) try(ctx context.Context) (result Result, done bool, err error) {
	h, err := a.editor.read(ctx)
	if err != nil {
		return Result{}, false, err
	}
	if h.broken != nil && !a.edit.Replace {
		return a.refuse(ctx, h, errors.Mark(errors.Wrap(h.broken, "stored catalogue"), ErrUnreadableHead))
	}
	if h.broken == nil && h.document.Version < a.edit.Base && !a.edit.Replace {
		return Result{}, false, errors.Wrapf(ErrStaleRead, "version %d before %d", h.document.Version, a.edit.Base)
	}
	lost := a.edit.Replace && (h.broken != nil || h.document.Version < a.edit.Base)
	if lost {
		h.catalogue = newCatalogue()
	}
	if result, done, err := a.known(h.document); done {
		return result, true, err
	}
	m, err := merge(h.document, h.catalogue, a.edit)
	if err != nil {
		return a.refuse(ctx, h, err)
	}
	if len(m.touched) == 0 && h.broken == nil {
		return Result{Version: h.document.Version, Unchanged: true}, true, nil
	}
	if err := a.checkOrders(h, lost, m); err != nil {
		return a.refuse(ctx, h, err)
	}
	return a.write(ctx, h, m)
}

// checkOrders keeps orders from running twice by the edit. Where the stored
// document is lost nobody can tell; the rule holds again from then on.
func (a *application) checkOrders(h head, lost bool, m merged) error {
	if lost {
		return nil
	}
	return checkOrders(h.document, m.catalogue, a.editor.opts.Now())
}

// known looks for the edit among the accepted ones.
func (a *application) known(d *Document) (Result, bool, error) {
	change, ok := d.find(a.edit.ID)
	if !ok {
		return Result{}, false, nil
	}
	if change.Sum != a.edit.sum() {
		return Result{}, true, errors.Wrapf(ErrEditIDReused, "edit %s made version %d", a.edit.ID, change.Version)
	}
	return Result{Version: change.Version, Entries: change.Entries, AlreadyAccepted: !a.sent}, true, nil
}

// refuse makes sure that what was read is the present document before the edit
// is refused because of it: an old read could refuse an edit that has been
// applied since. A conditional write of the same value proves it. A conflict
// needs no proof: what conflicts with an old version conflicts with all later
// ones.
func (a *application) refuse(ctx context.Context, h head, reason error) (Result, bool, error) {
	var conflict *ConflictError
	if errors.As(reason, &conflict) || h.version == 0 {
		return Result{}, true, reason
	}
	if _, err := a.editor.store.Put(ctx, Key, h.value, h.version, NewEditID()); err != nil {
		return Result{}, false, errors.Wrapf(err, "confirm %s", Key)
	}
	return Result{}, true, reason
}

// write replaces the present version. An edit with Replace begins the history
// anew, because what came before is unknown.
func (a *application) write(ctx context.Context, h head, m merged) (Result, bool, error) {
	change := Change{
		Version: max(h.document.Version, a.editor.opts.Floor) + 1,
		EditID:  a.edit.ID,
		Sum:     a.edit.sum(),
		Author:  a.edit.Author,
		Time:    a.editor.opts.Now().UTC(),
		Note:    a.edit.Note,
		Entries: m.touched,
	}
	next := h.document.next(change, m.catalogue.Text())
	if a.edit.Replace {
		next.Recent = nil
	}
	value, err := next.Encode()
	if err != nil {
		return Result{}, true, err
	}
	_, err = a.editor.store.Put(ctx, Key, value, h.version, a.edit.ID)
	switch {
	case err == nil:
		return Result{Version: change.Version, Entries: m.touched}, true, nil
	case errors.Is(err, platform.ErrTooLarge):
		return Result{}, !a.sent, err
	case !platform.IsDecided(err):
		a.sent = true
	}
	return Result{}, false, errors.Wrapf(err, "write %s", Key)
}
