package catalogue

import (
	"context"

	"github.com/cockroachdb/errors"

	"heathershed/internal/platform"
)

// applyRun is the state of one call of Apply.
type applyRun struct {
	editor *Editor
	edit   *Edit
	// maybeWritten is set once a write may have taken effect or may still take
	// effect later.
	maybeWritten bool
}

// Apply writes an edit as the next version. If the error is nil, the edit is
// part of the result's version. *UnknownOutcomeError means that the edit may
// have been applied, *NotSentError that this call didn't write it. Any other
// error means that it was not applied: *InvalidError, *ConflictError,
// *StaleBaseError, *UnknownEntryError, *OrderKindError, ErrBadEdit,
// ErrEmptyCatalogue, ErrUnreadableHead, ErrEditIDReused and
// platform.ErrTooLarge.
//
// Apply recognises an accepted edit by its ID, among the changes that the
// stored document retains. If the edit is too old to be retained, its base is
// too old as well. *StaleBaseError then means that this call didn't apply the
// edit; an earlier call may have applied it.
func (e *Editor) Apply(ctx context.Context, edit Edit) (Result, error) {
	if err := edit.check(); err != nil {
		return Result{}, err
	}
	a := &applyRun{editor: e, edit: &edit}
	var lastErr error
	for n := 0; n < maxAttempts; n++ {
		if n > 0 {
			if err := e.opts.Wait(ctx, n); err != nil {
				lastErr = errors.CombineErrors(lastErr, err)
				break
			}
		}
		result, done, err := a.attempt(ctx)
		if done {
			return result, err
		}
		lastErr = err
	}
	if a.maybeWritten {
		return Result{}, &UnknownOutcomeError{EditID: edit.ID, Base: edit.Base, Err: lastErr}
	}
	return Result{}, &NotSentError{EditID: edit.ID, Err: lastErr}
}

// attempt reads, merges and writes once. done reports whether the outcome is
// known; otherwise Apply tries again.
func (a *applyRun) attempt(ctx context.Context) (result Result, done bool, err error) {
	h, err := a.editor.read(ctx)
	if err != nil {
		return Result{}, false, err
	}
	if h.decodeErr != nil && !a.edit.Replace {
		return a.confirmAndReject(ctx, h, errors.Mark(errors.Wrap(h.decodeErr, "stored catalogue"), ErrUnreadableHead))
	}
	if h.decodeErr == nil && h.document.Version < a.edit.Base && !a.edit.Replace {
		return Result{}, false, errors.Wrapf(ErrStaleRead, "store has version %d, edit is based on version %d", h.document.Version, a.edit.Base)
	}
	lost := a.edit.Replace && (h.decodeErr != nil || h.document.Version < a.edit.Base)
	if lost {
		h.catalogue = newCatalogue()
	}
	if result, done, err := a.findAccepted(h.document); done {
		return result, true, err
	}
	m, err := merge(h.document, h.catalogue, a.edit)
	if err != nil {
		return a.confirmAndReject(ctx, h, err)
	}
	if len(m.changes) == 0 && h.decodeErr == nil {
		return Result{Version: h.document.Version, Unchanged: true}, true, nil
	}
	if err := a.checkOrders(h, lost, m); err != nil {
		return a.confirmAndReject(ctx, h, err)
	}
	return a.write(ctx, h, m)
}

// checkOrders rejects an edit that could make orders run twice. If the stored
// document is lost this can't be checked, so the edit is accepted; the check
// applies again to later edits.
func (a *applyRun) checkOrders(h head, lost bool, m mergeResult) error {
	if lost {
		return nil
	}
	return checkOrders(h.document, m.catalogue, a.editor.opts.Now())
}

// findAccepted looks for the edit among the changes that the document retains.
// It reports whether the edit's ID is among them, with ErrEditIDReused if the ID
// belongs to a different edit.
func (a *applyRun) findAccepted(d *Document) (Result, bool, error) {
	change, ok := d.findChange(a.edit.ID)
	if !ok {
		return Result{}, false, nil
	}
	if change.Sum != a.edit.sum() {
		return Result{}, true, errors.Wrapf(ErrEditIDReused, "edit %s made version %d", a.edit.ID, change.Version)
	}
	return Result{Version: change.Version, Entries: change.Entries, AlreadyAccepted: !a.maybeWritten}, true, nil
}

// confirmAndReject rejects the edit for the given reason after it has confirmed,
// by a conditional write of the same value, that the document read is the
// current one. Without this, a stale read could reject an edit that has been
// applied since. A conflict needs no confirmation: an edit that conflicts with
// an old version conflicts with all later ones.
func (a *applyRun) confirmAndReject(ctx context.Context, h head, reason error) (Result, bool, error) {
	var conflict *ConflictError
	if errors.As(reason, &conflict) || h.version == 0 {
		return Result{}, true, reason
	}
	if _, err := a.editor.store.Put(ctx, Key, h.value, h.version, NewEditID()); err != nil {
		return Result{}, false, errors.Wrapf(err, "confirm that %s is current", Key)
	}
	return Result{}, true, reason
}

// write writes the next version over the one that was read. An edit with
// Replace starts a new history, because the previous one is unknown.
func (a *applyRun) write(ctx context.Context, h head, m mergeResult) (Result, bool, error) {
	change := Change{
		Version: max(h.document.Version, a.editor.opts.Floor) + 1,
		EditID:  a.edit.ID,
		Sum:     a.edit.sum(),
		Author:  a.edit.Author,
		Time:    a.editor.opts.Now().UTC(),
		Note:    a.edit.Note,
		Entries: m.changes,
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
		return Result{Version: change.Version, Entries: m.changes}, true, nil
	case errors.Is(err, platform.ErrTooLarge):
		return Result{}, !a.maybeWritten, err
	case !platform.IsDecided(err):
		a.maybeWritten = true
	}
	return Result{}, false, errors.Wrapf(err, "write %s", Key)
}
